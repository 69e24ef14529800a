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

// TestWriteOutcomes guards against reported outcomes of writes that the store's
// history contradicts: a write reported as done that is missing, or one reported
// as unsent or in conflict that is there. Faults change while writes are in
// progress.
func TestWriteOutcomes(t *testing.T) {
	const seed, rounds, writers = 11, 60, 8
	rng := rand.New(rand.NewPCG(seed, seed))
	s := startStore(t, store.NewState(store.DefaultLimits()))
	settings := DefaultSettings("http://"+s.Addr(), "node-1")
	settings.CallTimeout = 30 * time.Millisecond
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
	reported := map[string]event.Event{}
	versions := map[string]model.Version{}
	seq := uint64(0)
	nonces := map[uint64]string{}
	names := map[uint64]string{}
	counts := map[string]int{}
	for round := range rounds {
		if round%15 == 14 {
			s.Restart(time.Now())
		}
		_ = s.SetFaults(t.Context(), faults[rng.IntN(len(faults))])
		for range writers {
			seq++
			name := fmt.Sprint("m", rng.IntN(3))
			nonces[seq], names[seq] = fmt.Sprint("nonce-", seq), name
			client.Execute(t.Context(), effect.WriteObject{
				Op: model.Op{Part: model.PartClaim, Seq: seq}, Kind: model.KindModel, Name: name, IfVersion: versions[name],
				Value: model.Model{MaxTokens: int(seq)}, Nonce: nonces[seq],
			})
		}
		for range writers {
			got := awaitResult(t, b)
			counts[fmt.Sprintf("%T", got)]++
			switch e := got.(type) {
			case event.ObjectWritten:
				reported[nonces[e.Op.Seq]] = e
				versions[names[e.Op.Seq]] = e.Version
			case event.ObjectConflict:
				reported[nonces[e.Op.Seq]] = e
			case event.ObjectUnsent:
				reported[nonces[e.Op.Seq]] = e
			case event.ObjectAmbiguous:
				reported[nonces[e.Op.Seq]] = e
			}
		}
		// After an ambiguous write the known version may be stale, and all further
		// writes would conflict.
		for name := range versions {
			versions[name] = latestVersion(s, name)
		}
	}
	_ = s.SetFaults(t.Context(), gate.Faults{})
	// The store handles calls in order. Once it responds to a read, it has applied
	// the writes that were delayed by a pause.
	for read := false; !read; {
		client.Execute(t.Context(), effect.ReadObject{Kind: model.KindModel, Name: "m0"})
		_, read = awaitResult(t, b).(event.ObjectRead)
	}
	_, out := s.Snapshot().Inner().Apply(step.Input[store.Event]{Event: store.Watch{Limit: 10_000}})
	written := map[string]bool{}
	for _, o := range out[0].Body.(store.Page).Objects {
		if written[o.Nonce] {
			t.Errorf("seed %d: %s was written twice", seed, o.Nonce)
		}
		written[o.Nonce] = true
	}
	for nonce, e := range reported {
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
			t.Errorf("seed %d: no %s occurred, so this outcome is not tested", seed, name)
		}
	}
}

func latestVersion(s *store.Store, name string) model.Version {
	_, out := s.Snapshot().Inner().Apply(step.Input[store.Event]{Event: store.Get{Kind: "Model", Name: name}})
	o, _ := out[0].Body.(store.Object)
	return model.Version(o.Version)
}
