package alive_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"caroblane/core/alive"
	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
)

// TestGoneNodes guards against a part of the limits that is held back for machines which are
// gone for good, and against their registrations, which stay in the store: while nodes run,
// and when all of them start again.
func TestGoneNodes(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		c := newCluster(12)
		c.run(5 * time.Second)
		c.end(c.processes[3:]...)
		if restarted {
			c.end(c.processes...)
			for i := range 3 {
				c.start(model.NodeName(fmt.Sprintf("n%02d", i)))
			}
		}
		c.run(12 * time.Second)
		for _, p := range c.processes {
			if len(p.gone) != 9 {
				t.Errorf("restarted %v: %s found %d nodes gone after 12 s, want 9", restarted, p.member.Name, len(p.gone))
			}
		}
		c.run(10 * time.Second)
		if diff := cmp.Diff([]string{"n00", "n01", "n02"}, c.registered()); diff != "" {
			t.Errorf("restarted %v: registrations (-want +got):\n%s", restarted, diff)
		}
	}
}

// TestUnheardNodes guards against a node that runs and is taken for gone because another one
// does not hear it: in one direction or both, for long, or because it was frozen before.
func TestUnheardNodes(t *testing.T) {
	for name, cut := range map[string]func(c *cluster){
		"in both directions": func(c *cluster) { c.cutApart(c.processes[0], c.processes[1]) },
		"in one direction":   func(c *cluster) { c.deaf[[2]model.NodeName{"n00", "n01"}] = true },
		"from all": func(c *cluster) {
			for _, p := range c.processes[1:] {
				c.cutApart(c.processes[0], p)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(4)
			c.run(5 * time.Second)
			cut(c)
			for range 900 {
				c.run(tickInterval)
				c.check(t)
			}
			if len(c.registered()) != 4 || len(c.processes[1].gone) > 0 {
				t.Errorf("registered %v, found gone %v", c.registered(), c.processes[1].gone)
			}
		})
	}
}

// TestStartedUnheard guards against a node that starts cut off from all others and takes them
// for gone, or is taken for gone by them, although the store answers all.
func TestStartedUnheard(t *testing.T) {
	c := newCluster(6)
	c.run(20 * time.Second)
	added := c.start("n99")
	for _, p := range c.processes[:6] {
		c.cutApart(added, p)
	}
	for range 600 {
		c.run(tickInterval)
		c.check(t)
	}
	if len(added.gone) > 0 || len(c.registered()) != 7 {
		t.Errorf("the added node found %v gone; registered %v", added.gone, c.registered())
	}
}

// TestFrozenNode guards against a node that is removed while it is suspended and then admits
// requests as if the others still counted with it.
func TestFrozenNode(t *testing.T) {
	c := newCluster(4)
	c.run(5 * time.Second)
	frozen := c.processes[0]
	frozen.frozen = true
	c.run(20 * time.Second)
	if !c.processes[1].gone["n00"] || len(c.registered()) != 3 {
		t.Fatalf("registered %v after 20 s, want three", c.registered())
	}
	frozen.frozen = false
	if !frozen.state.Lapsed(startTime.Add(c.now)) {
		t.Error("the node does not count as lapsed when it goes on")
	}
	for _, p := range c.processes[1:] {
		c.cutApart(frozen, p)
	}
	for range 100 {
		c.run(tickInterval)
	}
	if len(c.registered()) != 4 || frozen.state.Lapsed(startTime.Add(c.now)) {
		t.Errorf("registered %v, lapsed %v, 10 s after the node went on", c.registered(), frozen.state.Lapsed(startTime.Add(c.now)))
	}
	for _, p := range c.processes[1:] {
		if p.gone["n00"] {
			t.Errorf("%s still takes the node for gone", p.member.Name)
		}
	}
}

// TestStoreAway guards against nodes that are taken for gone because the store was away, so
// that they could not renew their registrations.
func TestStoreAway(t *testing.T) {
	for after := 2 * time.Second; after < 10*time.Second; after += tickInterval {
		c := newCluster(3)
		c.run(5 * time.Second)
		c.cutApart(c.processes[0], c.processes[1])
		c.run(after)
		c.store.down = true
		c.run(20 * time.Second)
		c.store.down = false
		for range 200 {
			c.run(tickInterval)
			c.check(t)
		}
		if len(c.registered()) != 3 || len(c.found) > 0 {
			t.Errorf("away %v after the cut: registered %v, want three; found gone: %v", after, c.registered(), c.found)
		}
	}
}

// TestStoreRestored guards against registrations that are lost for good in a return of the
// store to an older copy, and against removed ones that it brings back for good.
func TestStoreRestored(t *testing.T) {
	c := newCluster(5)
	c.run(20 * time.Second)
	c.end(c.processes[4])
	c.run(20 * time.Second)
	added := c.start("n99")
	c.run(time.Second)
	c.store.restore(c.now, c.now-30*time.Second)
	c.run(20 * time.Second)
	if diff := cmp.Diff([]string{"n00", "n01", "n02", "n03", "n99"}, c.registered()); diff != "" {
		t.Errorf("registrations 20 s after the restore (-want +got):\n%s", diff)
	}
	if added.state.Lapsed(startTime.Add(c.now)) {
		t.Error("the node whose registration was lost has lapsed")
	}
}

// TestFirstLists guards against nodes that start at the same time and do not find each other,
// and against lists at short intervals for longer than that, or by each node of a cell.
func TestFirstLists(t *testing.T) {
	for name, c := range map[string]struct {
		searches bool
		want     []time.Duration
	}{
		"searches": {true, []time.Duration{0, 500, 1000, 1500, 2000, 2500, 3000, 5500, 8000}},
		"in cells": {false, []time.Duration{0, 2500, 5000, 7500}},
	} {
		self := model.Member{Name: "n", Address: "a", Zone: "z", Incarnation: 1}
		s := alive.New(self, bounds, startTime)
		var lists []time.Duration
		writes := 0
		apply := func(at time.Duration, e event.Event) []effect.Effect {
			var out alive.Out
			s, out = s.Apply(step.Input[event.Event]{At: startTime.Add(at), Event: e}, alive.View{Flat: true, Searches: c.searches})
			return out.Effects
		}
		for at := time.Duration(0); at < 10*time.Second; at += 100 * time.Millisecond {
			pending := apply(at, event.Tick{})
			for len(pending) > 0 {
				f := pending[0]
				pending = pending[1:]
				switch f := f.(type) {
				case effect.ListObjects:
					lists = append(lists, at/time.Millisecond)
					listed := event.ObjectsListed{Op: f.Op, SentAt: startTime.Add(at)}
					if writes > 0 {
						listed.Objects = []model.Change{{Name: "n", Version: 1, Value: model.Registration{Member: self}}}
					}
					pending = append(pending, apply(at, listed)...)
				case effect.WriteObject:
					writes++
					pending = append(pending, apply(at, event.ObjectWritten{Op: f.Op, SentAt: startTime.Add(at), Version: 1})...)
				}
			}
			if next := s.Next(); !next.After(startTime.Add(at)) {
				t.Fatalf("%s: next step at %v, which is over", name, next.Sub(startTime))
			}
		}
		if diff := cmp.Diff(c.want, lists[:len(c.want)]); diff != "" || writes != 1 {
			t.Errorf("%s: %d registrations, lists in ms (-want +got):\n%s", name, writes, diff)
		}
	}
}

// TestWrites guards against writes to the store while nothing is wrong, and against lists
// that grow with the number of nodes.
func TestWrites(t *testing.T) {
	lists := map[int]int{}
	for _, n := range []int{6, 60} {
		c := newCluster(n)
		c.run(10 * time.Second)
		before := c.store.revision
		if int(before) != n {
			t.Errorf("%d writes at the start of %d nodes, want one each", before, n)
		}
		c.store.lists = 0
		c.run(30 * time.Second)
		if c.store.revision != before {
			t.Errorf("%d writes of %d nodes in calm", c.store.revision-before, n)
		}
		lists[n] = c.store.lists
	}
	if lists[60] > 30*14 || lists[6] > 30*3 {
		t.Errorf("%v lists in 30 s by the number of nodes, want at most 14 a second", lists)
	}
}

// TestRunningNodes guards, over random cuts, freezes, outages and returns of the store, against
// a node that is taken for gone although it runs and has not lapsed, and against nodes that
// stay without a registration.
func TestRunningNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(2, 5).Draw(t, "nodes"))
		c.run(4 * time.Second)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			p := rapid.SampledFrom(c.processes).Draw(t, "node")
			other := rapid.SampledFrom(c.processes).Draw(t, "other node")
			switch rapid.IntRange(0, 7).Draw(t, "action") {
			case 0:
				c.cutApart(p, other)
			case 1:
				c.deaf[[2]model.NodeName{p.member.Name, other.member.Name}] = true
			case 2:
				clear(c.deaf)
			case 3:
				p.cut = !p.cut
			case 4:
				c.store.down = !c.store.down
			case 5:
				if len(c.processes) > 1 {
					c.end(p)
				}
			case 6:
				c.random++
				c.start(model.NodeName(fmt.Sprint("m", c.random)))
			case 7:
				c.end(p)
				c.start(p.member.Name)
			}
			for range rapid.IntRange(1, 60).Draw(t, "tenths of a second") {
				c.run(tickInterval)
				c.check(t)
			}
		}
		c.store.down = false
		clear(c.deaf)
		var want []string
		for _, p := range c.processes {
			p.cut = false
			want = append(want, string(p.member.Name))
		}
		slices.Sort(want)
		c.run(30 * time.Second)
		if diff := cmp.Diff(want, c.registered()); diff != "" {
			t.Errorf("registrations (-want +got):\n%s", diff)
		}
	})
}
