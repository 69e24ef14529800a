package peers_test

import (
	"testing"
	"time"

	"caroblane/core/model"
)

// nodeFault is a fault of one node or of the platform.
type nodeFault struct {
	name   string
	inject func(w *simulation, i int)
	repair func(w *simulation, i int)
}

func setPeersCut(cut bool) func(sim *simulation, i int) {
	return func(sim *simulation, i int) {
		for j := range sim.nodes {
			sim.peerCut[i][j], sim.peerCut[j][i] = cut, cut
		}
	}
}

func setPlatformDown(down bool) func(sim *simulation, _ int) {
	return func(sim *simulation, _ int) {
		for i := range sim.storeCut {
			sim.storeCut[i] = down
		}
	}
}

func injectAction(action int) func(sim *simulation, i int) {
	return func(sim *simulation, i int) { sim.inject(fault{action: action, i: i}) }
}

var (
	storeCut  = nodeFault{"partitioned from the platform", injectAction(cutStore), injectAction(healStore)}
	peersCut  = nodeFault{"partitioned from peers", setPeersCut(true), setPeersCut(false)}
	storeDown = nodeFault{"platform down", setPlatformDown(true), setPlatformDown(false)}
	killed    = nodeFault{"killed", injectAction(kill), injectAction(restart)}
	paused    = nodeFault{"paused for longer than FreshnessTTL", injectAction(pause), injectAction(resume)}
)

// TestPairs injects two faults at once. It guards against nodes that admit
// requests with outdated configuration, lose freshness that they could have
// kept, or fail to recover after both faults have ended. The first fault
// affects node 1, the second node 2, or node 1 as well if same is set.
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
		first, second nodeFault
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
			name, second = name+" on the same node", 1
		}
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(1, nil)
			sim.reliable = true
			sim.run(5 * time.Second)
			c.first.inject(sim, 1)
			sim.run(200 * time.Millisecond)
			c.second.inject(sim, second)
			sim.run(time.Second)
			sim.writeObject(model.KindModel, "m", model.Model{MaxTokens: 1})
			sim.run(9 * time.Second)
			for i, p := range sim.nodes {
				if p.fresh() != c.fresh[i] {
					t.Errorf("%s is fresh: %v, want %v", p.self.Name, p.fresh(), c.fresh[i])
				}
			}
			c.first.repair(sim, 1)
			c.second.repair(sim, second)
			sim.run(20 * time.Second)
			if sim.violation != nil {
				t.Fatal(sim.violation)
			}
			for _, p := range sim.nodes {
				if !p.fresh() || p.conf.Version() != sim.version() || p.peers.SettledVersion() != sim.version() {
					t.Errorf("%s after both faults: fresh %v, version %d, settled %d; want version %d",
						p.self.Name, p.fresh(), p.conf.Version(), p.peers.SettledVersion(), sim.version())
				}
			}
		})
	}
}

// TestOutageStart guards against a gap between the end of the freshness derived
// from the store and the start of outage mode, in which requests would be
// refused.
func TestOutageStart(t *testing.T) {
	sim := newReliableSimulation()
	sim.run(15 * time.Second)
	setPlatformDown(true)(sim, 0)
	for range 400 {
		sim.run(50 * time.Millisecond)
		if n := sim.freshCount(); n != nodeCount {
			t.Fatalf("%d of %d nodes are fresh at %v", n, nodeCount, sim.now)
		}
	}
	for _, p := range sim.nodes {
		if !p.peers.InOutageMode(p.clock()) {
			t.Errorf("%s is not in outage mode", p.self.Name)
		}
	}
}
