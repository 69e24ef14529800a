package peers_test

import (
	"testing"
	"time"

	"caroblane/core/event"
	"caroblane/core/model"
)

// calmWorld returns a world without random faults whose nodes have joined.
func calmWorld() *world {
	w := newWorld(1, nil)
	w.calm = true
	w.run(5 * time.Second)
	return w
}

func (w *world) freshCount() int {
	n := 0
	for _, p := range w.nodes {
		if p.fresh() {
			n++
		}
	}
	return n
}

// roster returns the roster in the store.
func (w *world) roster() model.Roster {
	return w.writes[w.rosterVersion()-1].change.Value.(model.Roster)
}

// TestProofs guards against an outage that ends admission for good after a
// member stopped without refusing connections, and against a proof that is
// taken from too little.
func TestProofs(t *testing.T) {
	list := func(w *world, addresses ...string) {
		w.run(time.Second)
		for _, p := range w.nodes {
			p.post(event.VMsListed{SentAt: p.clock(), Addresses: addresses})
		}
	}
	for name, c := range map[string]struct {
		prove func(w *world)
		fresh int
	}{
		"nothing": {func(w *world) { w.run(70 * time.Second) }, 0},
		"operator's statement": {func(w *world) {
			for _, p := range w.nodes {
				p.post(event.ForgetAsked{Name: "n1"})
			}
		}, 3},
		"gone from the VM list": {func(w *world) {
			list(w, "127.0.0.1")
			list(w)
			w.run(61 * time.Second)
		}, 3},
		"gone for a moment": {func(w *world) {
			list(w, "127.0.0.1")
			list(w)
			w.run(50 * time.Second)
			list(w, "127.0.0.1")
			w.run(20 * time.Second)
		}, 0},
		"never listed": {func(w *world) {
			list(w)
			w.run(61 * time.Second)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			w := calmWorld()
			platform(true)(w, 0)
			cutFromPeers(true)(w, 1)
			w.nodes[1].paused = true
			w.run(10 * time.Second)
			if n := w.freshCount(); n != 0 {
				t.Fatalf("%d nodes are fresh beside a silent member", n)
			}
			c.prove(w)
			w.run(3 * time.Second)
			if n := w.freshCount(); n != c.fresh || w.fault != nil {
				t.Errorf("%d nodes are fresh, want %d; fault %v", n, c.fresh, w.fault)
			}
		})
	}
}

// TestRoster guards against members that stay listed after they have gone, and
// against one that is lost or listed twice.
func TestRoster(t *testing.T) {
	for name, c := range map[string]struct {
		act             func(w *world)
		members, former int
	}{
		"joined": {func(*world) {}, 4, 0},
		"restarted on its address": {func(w *world) {
			w.act(fault{action: kill, i: 1})
			w.run(time.Second)
			w.act(fault{action: restart, i: 1})
		}, 4, 0},
		"left": {func(w *world) {
			w.nodes[1].post(event.LeaveAsked{})
		}, 3, 0},
		"killed for less than the eviction term": {func(w *world) {
			w.act(fault{action: kill, i: 1})
			w.run(45 * time.Second)
		}, 4, 0},
		"killed": {func(w *world) {
			w.act(fault{action: kill, i: 1})
			w.run(65 * time.Second)
		}, 3, 0},
		"killed without a lease holder": {func(w *world) {
			w.nodes[0].post(event.AuthorityChanged{})
			w.act(fault{action: kill, i: 1})
			w.run(65 * time.Second)
		}, 4, 0},
		"paused": {func(w *world) {
			w.act(fault{action: pause, i: 1})
			w.run(70 * time.Second)
		}, 3, 0},
		"paused and resumed": {func(w *world) {
			w.act(fault{action: pause, i: 1})
			w.run(70 * time.Second)
			w.act(fault{action: resume, i: 1})
		}, 4, 0},
		"lease holder cut from all others": {func(w *world) {
			cutFromPeers(true)(w, 0)
			w.run(70 * time.Second)
		}, 4, 0},
	} {
		t.Run(name, func(t *testing.T) {
			w := calmWorld()
			c.act(w)
			w.run(10 * time.Second)
			roster := w.roster()
			if len(roster.Members) != c.members || len(roster.Former) != c.former || w.fault != nil {
				t.Errorf("roster %+v, want %d members and %d former; fault %v", roster, c.members, c.former, w.fault)
			}
			for _, p := range w.nodes {
				listed := false
				for _, member := range roster.Members {
					listed = listed || member == p.self
				}
				if p.running() && listed == p.peers.Leaving() {
					t.Errorf("%s is listed: %v", p.self.Name, listed)
				}
			}
		})
	}
}
