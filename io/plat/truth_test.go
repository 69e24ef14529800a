package plat

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
	"caroblane/fake/gate"
	"caroblane/fake/store"
)

// TestTruth guards against any statement about a write that the store's history
// contradicts, under faults that change while writes are under way: written
// and not there, or unsent or in conflict and there.
func TestTruth(t *testing.T) {
	const seed, rounds, writers = 11, 60, 8
	draw := rand.New(rand.NewPCG(seed, seed))
	s := startStore(t, store.NewState(store.DefaultLimits()))
	settings := DefaultSettings("http://"+s.Addr(), "node-1")
	settings.CallTerm = 30 * time.Millisecond
	client, b := startClient(t, settings)
	faults := []gate.Faults{
		{},
		{},
		{Down: true},
		{Pause: true},
		{LoseAnswers: 3},
		{SlowBy: 20 * time.Millisecond},
		{SlowBy: time.Second},
		{DropClients: []string{"node-1"}},
		{WritesPerSecond: 3},
	}
	said := map[string]event.Event{}
	versions := map[string]model.Version{}
	seq := uint64(0)
	nonces := map[uint64]string{}
	names := map[uint64]string{}
	counts := map[string]int{}
	for round := range rounds {
		if round%15 == 14 {
			s.Restart(time.Now())
		}
		_ = s.SetFaults(t.Context(), faults[draw.IntN(len(faults))])
		for range writers {
			seq++
			name := fmt.Sprint("m", draw.IntN(3))
			nonces[seq], names[seq] = fmt.Sprint("nonce-", seq), name
			client.Execute(t.Context(), effect.WriteObject{
				Op: model.Op{Part: model.PartClaim, Seq: seq}, Kind: model.KindModel, Name: name, IfVersion: versions[name],
				Value: model.Model{MaxTokens: int(seq)}, Nonce: nonces[seq],
			})
		}
		for range writers {
			got := awaitOp(t, b)
			counts[fmt.Sprintf("%T", got)]++
			switch e := got.(type) {
			case event.ObjectWritten:
				said[nonces[e.Op.Seq]] = e
				versions[names[e.Op.Seq]] = e.Version
			case event.ObjectConflict:
				said[nonces[e.Op.Seq]] = e
			case event.ObjectUnsent:
				said[nonces[e.Op.Seq]] = e
			case event.ObjectAmbiguous:
				said[nonces[e.Op.Seq]] = e
			}
		}
		// Without the version in the store, all further writes would conflict.
		for name := range versions {
			versions[name] = latest(s, name)
		}
	}
	_ = s.SetFaults(t.Context(), gate.Faults{})
	// The store takes calls in order: once it answers a read, it has applied the
	// writes that a pause held back.
	for read := false; !read; {
		client.Execute(t.Context(), effect.ReadObject{Kind: model.KindModel, Name: "m0"})
		_, read = awaitOp(t, b).(event.ObjectRead)
	}
	_, out := s.Snapshot().Inner().Apply(step.Input[store.Event]{Event: store.Watch{Limit: 10_000}})
	written := map[string]bool{}
	for _, o := range out[0].Body.(store.Page).Objects {
		if written[o.Nonce] {
			t.Errorf("seed %d: %s was written twice", seed, o.Nonce)
		}
		written[o.Nonce] = true
	}
	for nonce, e := range said {
		switch e.(type) {
		case event.ObjectWritten:
			if !written[nonce] {
				t.Errorf("seed %d: %s is not in the store: %+v", seed, nonce, e)
			}
		case event.ObjectConflict, event.ObjectUnsent:
			if written[nonce] {
				t.Errorf("seed %d: %s is in the store: %+v", seed, nonce, e)
			}
		}
	}
	t.Logf("seed %d: %v, %d writes in the store", seed, counts, len(written))
	for _, name := range []string{"event.ObjectWritten", "event.ObjectConflict", "event.ObjectUnsent", "event.ObjectAmbiguous"} {
		if counts[name] == 0 {
			t.Errorf("seed %d: no %s, so that the test shows nothing about it", seed, name)
		}
	}
}

func latest(s *store.Store, name string) model.Version {
	_, out := s.Snapshot().Inner().Apply(step.Input[store.Event]{Event: store.Get{Kind: "Model", Name: name}})
	o, _ := out[0].Body.(store.Object)
	return model.Version(o.Version)
}
