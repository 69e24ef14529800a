package crash

import (
	"testing"
	"time"

	"caroblane/core/model"
)

// TestVerdict guards against a request that goes on crashing upstreams, and
// against refusing a request for crashes that others caused.
func TestVerdict(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	crashes := func(n int) func(State) State {
		return func(s State) State {
			for range n {
				s = s.WithCrash([]uint64{7, 7, 0}, start)
			}
			return s
		}
	}
	peer := func(name model.NodeName, count int, at time.Time) func(State) State {
		return func(s State) State { return s.WithPeer(name, []model.CrashCount{{Fingerprint: 7, Count: count}}, at) }
	}
	cases := map[string]struct {
		steps []func(State) State
		after time.Duration
		want  Verdict
	}{
		"none":                     {nil, 0, Normal},
		"one crash":                {[]func(State) State{crashes(1)}, 0, Normal},
		"two crashes":              {[]func(State) State{crashes(2)}, 0, Alone},
		"three crashes":            {[]func(State) State{crashes(3)}, Retention - 1, Refuse},
		"after the retention":      {[]func(State) State{crashes(3)}, Retention, Normal},
		"own and peer":             {[]func(State) State{crashes(1), peer("a", 1, start)}, 0, Alone},
		"two peers":                {[]func(State) State{crashes(1), peer("a", 1, start), peer("b", 1, start)}, 0, Refuse},
		"peer repeats its message": {[]func(State) State{crashes(1), peer("a", 1, start), peer("a", 1, start)}, 0, Alone},
		"repeated message does not extend the retention": {
			[]func(State) State{peer("a", 3, start), peer("a", 3, start.Add(time.Minute))}, Retention + peerRetentionMargin, Normal,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := New()
			for _, step := range c.steps {
				s = step(s)
			}
			if got := s.Verdict(7, start.Add(c.after)); got != c.want {
				t.Errorf("verdict %d, want %d", got, c.want)
			}
			if got := s.Verdict(0, start); got != Normal {
				t.Errorf("verdict of a request without fingerprint %d, want %d", got, Normal)
			}
		})
	}
}

// TestCap guards against unbounded growth of the counts.
func TestCap(t *testing.T) {
	at := time.Unix(1_800_000_000, 0)
	s := New()
	for i := range maxFingerprints + 10 {
		s = s.WithCrash([]uint64{uint64(i + 1)}, at.Add(time.Duration(i)))
	}
	if got := s.counts.Len(); got != maxFingerprints {
		t.Errorf("%d counts, want %d", got, maxFingerprints)
	}
	if own := s.Own(); len(own) != model.MaxCrashCounts || own[0].Fingerprint != maxFingerprints+10 {
		t.Errorf("%d counts for peers, the first is %+v; want the %d latest", len(own), own[0], model.MaxCrashCounts)
	}
	if _, ok := s.counts.Get(1); ok {
		t.Error("the oldest count was kept")
	}
	s = s.WithCrash([]uint64{1}, at.Add(2*Retention))
	if s.counts.Len() != 1 || s.byExpiry.Len() != 1 {
		t.Errorf("%d counts after the retention, want 1", s.counts.Len())
	}
}
