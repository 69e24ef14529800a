package peers_test

import (
	"testing"
	"time"

	"caroblane/core/model"
)

// single is a fault of one node, or of the platform.
type single struct {
	name string
	act  func(w *world, i int)
	heal func(w *world, i int)
}

func cutFromPeers(cut bool) func(w *world, i int) {
	return func(w *world, i int) {
		for j := range w.nodes {
			w.cutPeer[i][j], w.cutPeer[j][i] = cut, cut
		}
	}
}

func platform(down bool) func(w *world, _ int) {
	return func(w *world, _ int) {
		for i := range w.cutStore {
			w.cutStore[i] = down
		}
	}
}

func act(action int) func(w *world, i int) {
	return func(w *world, i int) { w.act(fault{action: action, i: i}) }
}

var (
	storeCut  = single{"cut from the platform", act(cutStore), act(healStore)}
	peersCut  = single{"cut from peers", cutFromPeers(true), cutFromPeers(false)}
	storeDown = single{"platform down", platform(true), platform(false)}
	killed    = single{"killed", act(kill), act(restart)}
	paused    = single{"paused past the term", act(pause), act(resume)}
)

// TestPairs guards against a second fault that lets a node admit with old
// configuration, takes freshness from nodes that could have kept it, or keeps
// nodes apart after both faults have ended. The first fault meets node 1, the
// second node 2 or, where named, node 1 again.
func TestPairs(t *testing.T) {
	all := [nodeCount]bool{true, true, true, true}
	none := [nodeCount]bool{}
	not := func(nodes ...int) [nodeCount]bool {
		fresh := all
		for _, i := range nodes {
			fresh[i] = false
		}
		return fresh
	}
	for _, c := range []struct {
		first, second single
		same          bool
		fresh         [nodeCount]bool
	}{
		{first: storeCut, second: storeCut, fresh: all},
		{first: storeCut, second: peersCut, fresh: all},
		{first: storeCut, second: peersCut, same: true, fresh: not(1)},
		{first: storeCut, second: storeDown, fresh: all},
		{first: storeCut, second: killed, fresh: not(2)},
		{first: storeCut, second: paused, fresh: not(2)},
		{first: peersCut, second: peersCut, fresh: all},
		{first: peersCut, second: storeDown, fresh: none},
		{first: peersCut, second: killed, fresh: not(2)},
		{first: peersCut, second: paused, fresh: not(2)},
		{first: storeDown, second: storeDown, fresh: all},
		{first: storeDown, second: killed, fresh: not(2)},
		{first: storeDown, second: paused, fresh: none},
		{first: killed, second: killed, fresh: not(1, 2)},
		{first: killed, second: paused, fresh: not(1, 2)},
		{first: paused, second: paused, fresh: not(1, 2)},
	} {
		name := c.first.name + " and " + c.second.name
		second := 2
		if c.same {
			name, second = name+" on one node", 1
		}
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, nil)
			w.calm = true
			w.run(5 * time.Second)
			c.first.act(w, 1)
			w.run(200 * time.Millisecond)
			c.second.act(w, second)
			w.run(time.Second)
			w.write(model.KindModel, "m", model.Model{MaxTokens: 1})
			w.run(9 * time.Second)
			for i, p := range w.nodes {
				if p.fresh() != c.fresh[i] {
					t.Errorf("%s is fresh: %v, want %v", p.self.Name, p.fresh(), c.fresh[i])
				}
			}
			c.first.heal(w, 1)
			c.second.heal(w, second)
			w.run(20 * time.Second)
			if w.fault != nil {
				t.Fatal(w.fault)
			}
			for _, p := range w.nodes {
				if !p.fresh() || p.conf.Version() != w.version() || p.peers.Low() != w.version() {
					t.Errorf("%s after both faults: fresh %v, version %d, settled %d; want version %d",
						p.self.Name, p.fresh(), p.conf.Version(), p.peers.Low(), w.version())
				}
			}
		})
	}
}

// TestOutageStart guards against a gap between the end of freshness by the store
// and the start of outage mode, in which requests would be refused.
func TestOutageStart(t *testing.T) {
	w := calmWorld()
	w.run(15 * time.Second)
	platform(true)(w, 0)
	for range 400 {
		w.run(50 * time.Millisecond)
		if n := w.freshCount(); n != nodeCount {
			t.Fatalf("%d of %d nodes are fresh at %v", n, nodeCount, w.now)
		}
	}
	for _, p := range w.nodes {
		if !p.peers.Outage(p.clock()) {
			t.Errorf("%s is not in outage mode", p.self.Name)
		}
	}
}
