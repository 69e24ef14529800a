package peers_test

import (
	"testing"
	"time"

	"caroblane/core/event"
	"caroblane/core/model"
)

// newReliableSimulation returns a simulation without random faults in which all
// nodes have joined.
func newReliableSimulation() *simulation {
	sim := newSimulation(1, nil)
	sim.reliable = true
	sim.run(5 * time.Second)
	return sim
}

func (sim *simulation) freshCount() int {
	n := 0
	for _, p := range sim.nodes {
		if p.fresh() {
			n++
		}
	}
	return n
}

// roster returns the roster in the store.
func (sim *simulation) roster() model.Roster {
	return sim.storeWrites[sim.rosterVersion()-1].change.Value.(model.Roster)
}

// TestStoppedMemberProofs guards against an outage in which no node admits
// requests any more because a member stopped without refusing connections, and
// against accepting insufficient evidence that a member has stopped.
func TestStoppedMemberProofs(t *testing.T) {
	list := func(sim *simulation, addresses ...string) {
		sim.run(time.Second)
		for _, p := range sim.nodes {
			p.post(event.VMsListed{SentAt: p.clock(), Addresses: addresses})
		}
	}
	for name, c := range map[string]struct {
		prove func(sim *simulation)
		fresh int
	}{
		"nothing": {func(sim *simulation) { sim.run(70 * time.Second) }, 0},
		"declared stopped by the operator": {func(sim *simulation) {
			for _, p := range sim.nodes {
				p.post(event.ForgetAsked{Name: "n1"})
			}
		}, 3},
		"missing from the VM list": {func(sim *simulation) {
			list(sim, "127.0.0.1")
			list(sim)
			sim.run(61 * time.Second)
		}, 3},
		"briefly missing from the VM list": {func(sim *simulation) {
			list(sim, "127.0.0.1")
			list(sim)
			sim.run(50 * time.Second)
			list(sim, "127.0.0.1")
			sim.run(20 * time.Second)
		}, 0},
		"never in the VM list": {func(sim *simulation) {
			list(sim)
			sim.run(61 * time.Second)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newReliableSimulation()
			setPlatformDown(true)(sim, 0)
			setPeersCut(true)(sim, 1)
			sim.nodes[1].paused = true
			sim.run(10 * time.Second)
			if n := sim.freshCount(); n != 0 {
				t.Fatalf("%d nodes are fresh although a member does not answer", n)
			}
			c.prove(sim)
			sim.run(3 * time.Second)
			if n := sim.freshCount(); n != c.fresh || sim.violation != nil {
				t.Errorf("%d nodes are fresh, want %d; violation: %v", n, c.fresh, sim.violation)
			}
		})
	}
}

// TestRoster guards against members that remain listed after they have stopped,
// and against members that are missing or listed twice.
func TestRoster(t *testing.T) {
	for name, c := range map[string]struct {
		inject          func(sim *simulation)
		members, former int
	}{
		"joined": {func(*simulation) {}, 4, 0},
		"restarted on the same address": {func(sim *simulation) {
			sim.inject(fault{action: kill, i: 1})
			sim.run(time.Second)
			sim.inject(fault{action: restart, i: 1})
		}, 4, 0},
		"left": {func(sim *simulation) {
			sim.nodes[1].post(event.LeaveAsked{})
		}, 3, 0},
		"killed for less than evictionTimeout": {func(sim *simulation) {
			sim.inject(fault{action: kill, i: 1})
			sim.run(45 * time.Second)
		}, 4, 0},
		"killed": {func(sim *simulation) {
			sim.inject(fault{action: kill, i: 1})
			sim.run(65 * time.Second)
		}, 3, 0},
		"killed without a lease holder": {func(sim *simulation) {
			sim.nodes[0].post(event.AuthorityChanged{})
			sim.inject(fault{action: kill, i: 1})
			sim.run(65 * time.Second)
		}, 4, 0},
		"paused": {func(sim *simulation) {
			sim.inject(fault{action: pause, i: 1})
			sim.run(70 * time.Second)
		}, 3, 0},
		"paused and resumed": {func(sim *simulation) {
			sim.inject(fault{action: pause, i: 1})
			sim.run(70 * time.Second)
			sim.inject(fault{action: resume, i: 1})
		}, 4, 0},
		"lease holder partitioned from its peers": {func(sim *simulation) {
			setPeersCut(true)(sim, 0)
			sim.run(70 * time.Second)
		}, 4, 0},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newReliableSimulation()
			c.inject(sim)
			sim.run(10 * time.Second)
			roster := sim.roster()
			if len(roster.Members) != c.members || len(roster.Former) != c.former || sim.violation != nil {
				t.Errorf("roster %+v, want %d members and %d former; violation: %v", roster, c.members, c.former, sim.violation)
			}
			for _, p := range sim.nodes {
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
