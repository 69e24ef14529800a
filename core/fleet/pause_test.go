package fleet_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/fleet"
	"caroblane/core/model"
)

// pauseAsked is the request of x, received at the given time, for a pause.
func pauseAsked(at time.Duration, seconds float64) event.PauseAsked {
	return event.PauseAsked{Instance: instance(engine("x")), ReceivedAt: start.Add(at), Seconds: seconds}
}

func newListed() fleet.State {
	s, _ := apply(fleet.New(), 0, event.UpstreamsRead{Revision: 5, Upstreams: []model.Upstream{engine("x"), engine("y")}})
	return s
}

// TestPauseLength guards against pauses that an upstream did not ask for, and against
// numbers that are not a time.
func TestPauseLength(t *testing.T) {
	for name, c := range map[string]struct {
		seconds float64
		want    time.Duration
	}{
		"seconds":                {3, 3 * time.Second},
		"fraction":               {0.25, 250 * time.Millisecond},
		"zero":                   {0, 0},
		"negative":               {-5, 0},
		"not a number":           {math.NaN(), 0},
		"negative infinity":      {math.Inf(-1), 0},
		"infinity":               {math.Inf(1), time.Hour},
		"the bound":              {3600, time.Hour},
		"beyond the bound":       {3601, time.Hour},
		"beyond any duration":    {1e300, time.Hour},
		"less than a nanosecond": {1e-12, 0},
	} {
		s, _ := apply(newListed(), time.Second, pauseAsked(time.Second, c.seconds))
		u, _ := s.Get("x")
		if end := start.Add(time.Second + c.want); c.want > 0 && !u.Pausing(end.Add(-time.Nanosecond)) || u.Pausing(end) || usable(s, "x", time.Second) != (c.want == 0) {
			t.Errorf("%s: not paused for exactly %v", name, c.want)
		}
	}
}

// TestPauseExtends guards against a later answer that shortens a pause, and against one
// after the end that is ignored because it asks for less than the first.
func TestPauseExtends(t *testing.T) {
	s, beliefs := applyEffects(newListed(), 0, pauseAsked(0, 4))
	want := effect.Believe{Belief: model.UpstreamPaused, Subject: "x", Number: 1, Until: start.Add(4 * time.Second)}
	if len(beliefs) != 1 || beliefs[0] != want {
		t.Errorf("beliefs %+v, want %+v", beliefs, want)
	}
	s, _ = apply(s, time.Second, pauseAsked(time.Second, 1))
	if u, _ := s.Get("x"); !u.Pausing(start.Add(3900 * time.Millisecond)) {
		t.Error("a later answer has shortened the pause")
	}
	s, beliefs = applyEffects(s, 2*time.Second, pauseAsked(2*time.Second, 4))
	if u, _ := s.Get("x"); !u.Pausing(start.Add(5900*time.Millisecond)) || len(beliefs) != 0 {
		t.Errorf("a later answer has not extended the pause, or is reported as another one: %+v", beliefs)
	}
	if next := s.Next(); next.After(start.Add(6 * time.Second)) {
		t.Errorf("next tick at %v, want one by the end of the pause", next)
	}
	s, beliefs = applyEffects(s, 6*time.Second, event.Tick{})
	if len(beliefs) != 1 || beliefs[0].Belief != model.UpstreamPauseOver || beliefs[0].Subject != "x" {
		t.Errorf("beliefs %+v, want that the pause is over", beliefs)
	}
	if s, beliefs = applyEffects(s, 7*time.Second, event.Tick{}); len(beliefs) != 0 || !s.Next().IsZero() {
		t.Errorf("beliefs %+v, next %v after the end was reported", beliefs, s.Next())
	}
	s, beliefs = applyEffects(s, 8*time.Second, pauseAsked(8*time.Second, 1))
	if u, _ := s.Get("x"); !u.Pausing(start.Add(8900*time.Millisecond)) || u.Pausing(start.Add(9*time.Second)) || len(beliefs) != 1 {
		t.Errorf("a shorter pause after the first does not count as stated: %+v", beliefs)
	}
	s, beliefs = applyEffects(s, 9500*time.Millisecond, pauseAsked(9500*time.Millisecond, 1))
	if got := fmt.Sprint(len(beliefs)); got != "2" || beliefs[0].Belief != model.UpstreamPauseOver || beliefs[1].Belief != model.UpstreamPaused {
		t.Errorf("beliefs %+v, want the end of one pause and the begin of the next", beliefs)
	}
	if usable(s, "x", 10*time.Second) {
		t.Error("used during the second pause")
	}
}

// TestPauseOfInstance guards against a pause that ends with a change of the registry or
// of the settings, and against one that holds for another process.
func TestPauseOfInstance(t *testing.T) {
	x := engine("x")
	s, _ := apply(newListed(), 0, pauseAsked(0, 10))
	for name, events := range map[string][]event.Event{
		"list":             {event.UpstreamsRead{Revision: 6, Upstreams: []model.Upstream{x}}},
		"entry":            {event.UpstreamRegistered{Revision: 6, Upstream: x}},
		"settings":         {event.SettingsChanged{}},
		"removed and back": {event.UpstreamRemoved{Revision: 6, Name: "x"}, event.UpstreamRegistered{Revision: 7, Upstream: x}},
		"served":           {event.AttemptSettled{Instance: instance(x), SentAt: start, Served: true}, event.AttemptJudged{Upstream: "x"}},
	} {
		after, _ := apply(s, time.Second, events...)
		if at := start.Add(9 * time.Second); usable(after, "x", 9*time.Second) || !after.Withheld(x, at) || !after.Pausing(x, at) {
			t.Errorf("%s: the pause has ended", name)
		}
	}
	next := x
	next.Incarnation = 2
	after, _ := apply(s, time.Second, event.UpstreamRegistered{Revision: 6, Upstream: next})
	if !usable(after, "x", time.Second) || after.Withheld(next, start.Add(time.Second)) {
		t.Error("the pause holds for the next process")
	}
}

// TestReturnAfterPause guards against a node that comes back with all it has at the end
// of a pause, and against one that never does: if the first request is lost, if what was
// sent before the pause ends, or if all are served.
func TestReturnAfterPause(t *testing.T) {
	x := instance(engine("x"))
	s, _ := apply(newListed(), 0, event.UseChanged{Upstream: "x", Runs: 1}, pauseAsked(0, 1))
	at := 2 * time.Second
	send := func() { s, _ = apply(s, at, event.UseChanged{Upstream: "x", Runs: 1}) }
	settle := func(sent time.Duration, served bool) {
		s, _ = apply(s, at, event.AttemptSettled{Instance: x, SentAt: start.Add(sent), Served: served})
	}
	sendAll := func() (n int) {
		for ; n < 100 && usable(s, "x", at); n++ {
			send()
		}
		return n
	}
	if got := sendAll(); got != 1 {
		t.Fatalf("%d requests at the end of the pause, want 1", got)
	}
	settle(0, true)
	if got := sendAll(); got != 0 {
		t.Errorf("%d requests because one from before the pause was served", got)
	}
	settle(at, false)
	if got := sendAll(); got != 1 {
		t.Fatalf("%d requests after the first was lost, want 1", got)
	}
	settle(at, true)
	if got := sendAll(); got != 2 {
		t.Errorf("%d more requests after one was served, want 2", got)
	}
	s, _ = apply(s, at, event.Tick{})
	for range 20 {
		settle(at, true)
		sendAll()
	}
	if got := sendAll(); got != 100 {
		t.Errorf("%d requests after many were served, want no limit", got)
	}
}
