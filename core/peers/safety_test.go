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

// fault is one action on the simulation, followed by a wait.
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

func (sim *simulation) inject(f fault) {
	p := sim.nodes[f.i]
	switch f.action {
	case cutStore:
		sim.storeCut[f.i] = true
	case cutAllStore:
		sim.storeCut = [nodeCount]bool{true, true, true, true}
	case healStore:
		sim.storeCut[f.i] = false
	case cutPeers, healPeers:
		sim.peerCut[f.i][f.j] = f.action == cutPeers
		sim.peerCut[f.j][f.i] = f.action == cutPeers
	case pause:
		p.paused = true
	case resume:
		p.paused = false
		waiting := p.deferredEvents
		p.deferredEvents = nil
		for _, e := range waiting {
			p.post(e)
		}
	case kill:
		p.dead = true
	case restart:
		if p.dead {
			sim.start(f.i)
		}
	case leave:
		p.post(event.LeaveAsked{})
		p.left = p.left || p.running()
		sim.schedule(f.wait/2, func() { p.dead = true })
	case writeConfig:
		sim.writeObject(model.KindModel, fmt.Sprintf("m%d", f.j), model.Model{MaxTokens: 1 + len(sim.storeWrites)})
	}
}

// runScript executes a script after all nodes have joined.
func runScript(s script, mutate mutation) *simulation {
	sim := newSimulation(s.seed, mutate)
	sim.run(20 * time.Second)
	for _, f := range s.faults {
		if sim.violation != nil {
			break
		}
		sim.inject(f)
		sim.run(f.wait)
	}
	return sim
}

// TestFreshness guards against three failures: a node admits requests with
// configuration that lacks an old write, the settled version is above a version
// in use, or the version of a node falls. The scripts contain lost, delayed and
// reordered messages, pauses, partitions and restarts.
func TestFreshness(t *testing.T) {
	fresh, outage, behind := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		sim := runScript(scripts().Draw(t, "script"), nil)
		fresh, outage, behind = fresh+sim.freshChecks, outage+sim.outageChecks, behind+sim.behindChecks
		if sim.violation != nil {
			t.Fatal(sim.violation)
		}
	})
	t.Logf("checks of fresh nodes: %d, of which in outage mode: %d; checks with a live process below the settled version: %d", fresh, outage, behind)
	if outage == 0 || behind == 0 {
		t.Error("scripts did not cover outage mode and a live process below the settled version")
	}
}

// TestMutations checks that the properties of TestFreshness detect faulty
// implementations.
func TestMutations(t *testing.T) {
	const maxScripts = 400
	for name, mutate := range map[string]mutation{
		"store answer dated by its arrival": func(e event.Event, now time.Time) event.Event {
			if changed, ok := e.(event.ConfigChanged); ok && changed.FromStore {
				changed.SentAt = now
				return changed
			}
			return e
		},
		"peer answer dated by its arrival": func(e event.Event, now time.Time) event.Event {
			if answered, ok := e.(event.ExchangeAnswered); ok {
				answered.SentAt = now
				return answered
			}
			return e
		},
		"fresh peer grants the full FreshnessTTL": func(e event.Event, _ time.Time) event.Event {
			if answered, ok := e.(event.ExchangeAnswered); ok && answered.Status.ValidFor > 0 {
				answered.Status.ValidFor = peers.FreshnessTTL
				return answered
			}
			return e
		},
		"time-out taken as a stopped process": func(e event.Event, _ time.Time) event.Event {
			if failed, ok := e.(event.ExchangeFailed); ok {
				failed.Refused = true
				return failed
			}
			return e
		},
		"version of a peer taken as settled": func(e event.Event, _ time.Time) event.Event {
			if answered, ok := e.(event.ExchangeAnswered); ok {
				answered.Status.SettledVersion = answered.Status.Version
				return answered
			}
			return e
		},
		"peer taken as without store contact": func(e event.Event, _ time.Time) event.Event {
			if answered, ok := e.(event.ExchangeAnswered); ok {
				answered.Status.StoreContact, answered.Status.Version = false, 0
				return answered
			}
			return e
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range maxScripts {
				if sim := runScript(scripts().Example(seed), mutate); sim.violation != nil {
					t.Logf("script %d: %v", seed, sim.violation)
					return
				}
			}
			t.Errorf("faulty implementation not detected in %d scripts", maxScripts)
		})
	}
}
