package peers_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/peers"
)

// fault is one action on the world, followed by a wait.
type fault struct {
	action int
	i, j   int
	wait   time.Duration
}

const (
	cutStore = iota
	cutAllStore
	healStore
	cutPeers
	healPeers
	pause
	resume
	kill
	restart
	leave
	writeConfig
	actionCount
)

type script struct {
	seed   uint64
	faults []fault
}

func scripts() *rapid.Generator[script] {
	return rapid.Custom(func(t *rapid.T) script {
		one := rapid.Custom(func(t *rapid.T) fault {
			return fault{
				action: rapid.IntRange(0, actionCount-1).Draw(t, "action"),
				i:      rapid.IntRange(0, nodeCount-1).Draw(t, "i"),
				j:      rapid.IntRange(0, nodeCount-1).Draw(t, "j"),
				wait:   time.Duration(rapid.IntRange(1, 9000).Draw(t, "wait")) * time.Millisecond,
			}
		})
		return script{rapid.Uint64().Draw(t, "seed"), rapid.SliceOfN(one, 10, 60).Draw(t, "faults")}
	})
}

func (w *world) act(f fault) {
	p := w.nodes[f.i]
	switch f.action {
	case cutStore:
		w.cutStore[f.i] = true
	case cutAllStore:
		w.cutStore = [nodeCount]bool{true, true, true, true}
	case healStore:
		w.cutStore[f.i] = false
	case cutPeers, healPeers:
		w.cutPeer[f.i][f.j] = f.action == cutPeers
		w.cutPeer[f.j][f.i] = f.action == cutPeers
	case pause:
		p.paused = true
	case resume:
		p.paused = false
		waiting := p.waiting
		p.waiting = nil
		for _, e := range waiting {
			p.post(e)
		}
	case kill:
		p.dead = true
	case restart:
		if p.dead {
			w.start(f.i)
		}
	case leave:
		p.post(event.LeaveAsked{})
		p.left = p.left || p.running()
		w.after(f.wait/2, func() { p.dead = true })
	case writeConfig:
		w.write(model.KindModel, fmt.Sprintf("m%d", f.j), model.Model{MaxTokens: 1 + len(w.writes)})
	}
}

// play runs a script after all nodes have joined.
func play(s script, mutate mutation) *world {
	w := newWorld(s.seed, mutate)
	w.run(20 * time.Second)
	for _, f := range s.faults {
		if w.fault != nil {
			break
		}
		w.act(f)
		w.run(f.wait)
	}
	return w
}

// TestFreshness guards against admission with configuration that misses an old
// write, against a settled version above one in use, and against versions that
// fall, over lost, late and crossed messages, pauses, cuts and restarts.
func TestFreshness(t *testing.T) {
	fresh, outage, behind := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := play(scripts().Draw(t, "script"), nil)
		fresh, outage, behind = fresh+w.fresh, outage+w.outage, behind+w.behind
		if w.fault != nil {
			t.Fatal(w.fault)
		}
	})
	t.Logf("checked %d fresh states, %d of them in outage mode; %d with a silent process passed over", fresh, outage, behind)
	if outage == 0 || behind == 0 {
		t.Error("scripts reached neither outage mode nor a silent process")
	}
}

// TestNaiveVariants guards against a property that a wrong rule passes too.
func TestNaiveVariants(t *testing.T) {
	const most = 400
	for name, mutate := range map[string]mutation{
		"store answer counts from its receipt": func(e event.Event, now time.Time) event.Event {
			if changed, ok := e.(event.ConfigChanged); ok && changed.FromStore {
				changed.SentAt = now
				return changed
			}
			return e
		},
		"peer answer counts from its receipt": func(e event.Event, now time.Time) event.Event {
			if answered, ok := e.(event.ExchangeAnswered); ok {
				answered.SentAt = now
				return answered
			}
			return e
		},
		"fresh peer grants the whole term": func(e event.Event, _ time.Time) event.Event {
			if answered, ok := e.(event.ExchangeAnswered); ok && answered.Status.Remaining > 0 {
				answered.Status.Remaining = peers.FreshnessTerm
				return answered
			}
			return e
		},
		"silence counts as a stopped process": func(e event.Event, _ time.Time) event.Event {
			if failed, ok := e.(event.ExchangeFailed); ok {
				failed.Refused = true
				return failed
			}
			return e
		},
		"settled version is the version of a peer": func(e event.Event, _ time.Time) event.Event {
			if answered, ok := e.(event.ExchangeAnswered); ok {
				answered.Status.Low = answered.Status.Version
				return answered
			}
			return e
		},
		"peer counts as without contact": func(e event.Event, _ time.Time) event.Event {
			if answered, ok := e.(event.ExchangeAnswered); ok {
				answered.Status.Contact, answered.Status.Version = false, 0
				return answered
			}
			return e
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range most {
				if w := play(scripts().Example(seed), mutate); w.fault != nil {
					t.Logf("script %d: %v", seed, w.fault)
					return
				}
			}
			t.Errorf("no violation in %d scripts", most)
		})
	}
}
