package edge_test

import (
	"flag"
	"testing"
	"time"

	"caroblane/core/model"
)

// The parts of the prompts of the simulated requests. Most have commonPart, some of
// them also one of documentParts parts of their account.
const (
	commonPart     = 1
	documentPart   = 1000
	documentParts  = 60
	crashingPart   = 7
	secondCrashing = 8
)

// simSeed is the seed of the simulated arrivals and delays.
var simSeed = flag.Uint64("edge.seed", 1, "seed of the simulations")

// arrivals sends requests until a time, of which a share has a crashing part.
type arrivals struct {
	until    time.Duration
	interval time.Duration
	// crashesAfter is when requests with the crashing parts begin. The part was sound
	// before if soundBefore is set, and crashing otherwise.
	crashesAfter time.Duration
	soundBefore  bool
	share        float64
	// place is where a crashing part stands: 0 first, 1 in the middle, 2 next to last.
	place    int
	crashing []uint64
}

func (c arrivals) next(n *network) {
	if n.now >= c.until {
		return
	}
	n.after(time.Duration(float64(c.interval)*n.random.ExpFloat64()), func() {
		parts := []uint64{commonPart}
		if n.random.IntN(2) == 0 {
			parts = append(parts, documentPart+uint64(n.random.IntN(documentParts)))
		}
		if len(c.crashing) > 0 && n.now >= c.crashesAfter {
			for _, part := range c.crashing {
				n.crashing[part] = true
			}
		}
		if len(c.crashing) > 0 && (c.soundBefore || n.now >= c.crashesAfter) && n.random.Float64() < c.share {
			crashing := c.crashing[n.random.IntN(len(c.crashing))]
			at := min(len(parts), c.place)
			parts = append(parts[:at:at], append([]uint64{crashing}, parts[at:]...)...)
		}
		n.arrive(parts...)
		c.next(n)
	})
}

// begunShare returns the share of the sound requests of an interval whose answers began
// at their first attempt.
func (n *network) begunShare(from, to time.Duration) float64 {
	all, begun := 0, 0
	for _, r := range n.requests {
		sound := true
		for _, part := range r.parts {
			sound = sound && !n.crashing[part]
		}
		if sound && r.arrivedAt >= from && r.arrivedAt < to {
			all++
			if r.begunFirst {
				begun++
			}
		}
	}
	return float64(begun) / float64(max(1, all))
}

// requireContained checks that at most three requests with a crashing part reach an
// engine later than 3 s after the fifth crash by it. At a node that is cut off from the
// others, the time counts from when they can tell it.
func (n *network) requireContained(t *testing.T, part uint64) {
	t.Helper()
	const contactTime = 3 * time.Second
	crashes := n.crashes[part]
	if len(crashes) < 5 {
		t.Logf("part %d: %d crashes", part, len(crashes))
		return
	}
	late := 0
	for _, r := range n.reached[part] {
		if r.at > max(crashes[4], r.node.healedAt)+contactTime {
			late++
		}
	}
	t.Logf("part %d: %d crashes, the fifth at %v, %d requests reached engines, %d late", part, len(crashes), crashes[4], len(n.reached[part]), late)
	if late > 3 {
		t.Errorf("%d requests with part %d reached engines later than %v after the fifth crash, want at most 3", late, part, contactTime)
	}
}

// requireTrue checks that no refused request that was sent to an engine is said not to
// have run, and that refusals for a part do not invite the caller back at once.
func (n *network) requireTrue(t *testing.T) {
	t.Helper()
	held := 0
	for _, r := range n.requests {
		if r.declined == nil || r.declined.Reason != model.CrashingPart {
			continue
		}
		held++
		if r.declined.RetryAt.Sub(startTime) < r.arrivedAt+time.Second {
			t.Errorf("a request that arrived at %v may come again at %v", r.arrivedAt, r.declined.RetryAt.Sub(startTime))
		}
		if r.reached && r.declined.Execution == model.NotRun {
			t.Error("a request that ran was refused as not run")
		}
	}
	t.Logf("%d of %d requests refused for a part", held, len(n.requests))
}

// TestContainedPart guards against a part of prompts that crashes engines for as long as
// requests with it come, and against refusing sound requests that share other parts
// with them.
func TestContainedPart(t *testing.T) {
	const warmUp, length = 5 * time.Second, 20 * time.Second
	type site struct{ zones, nodes, engines int }
	flat, cells := site{3, 9, 24}, site{6, 74, 40}
	one, two := []uint64{crashingPart}, []uint64{crashingPart, secondCrashing}
	for name, c := range map[string]struct {
		site
		arrivals
		// cut is set if a node is cut off from the others when the crashes begin, until
		// shortly before the end.
		cut bool
	}{
		"share of 0.01":               {site: flat, arrivals: arrivals{share: 0.01, place: 1, crashing: one}},
		"share of 0.05, first":        {site: flat, arrivals: arrivals{share: 0.05, place: 0, crashing: one}},
		"share of 0.15, next to last": {site: flat, arrivals: arrivals{share: 0.15, place: 2, crashing: one}},
		"sound before":                {site: flat, arrivals: arrivals{share: 0.05, place: 1, soundBefore: true, crashing: one}},
		"sound before, share of 0.15": {site: flat, arrivals: arrivals{share: 0.15, place: 0, soundBefore: true, crashing: one}},
		"two parts at once":           {site: flat, arrivals: arrivals{share: 0.1, place: 1, crashing: two}},
		"two parts that were sound":   {site: flat, arrivals: arrivals{share: 0.1, place: 1, soundBefore: true, crashing: two}},
		"node cut off":                {site: flat, arrivals: arrivals{share: 0.1, place: 1, crashing: one}, cut: true},
		"cells":                       {site: cells, arrivals: arrivals{share: 0.05, place: 1, crashing: one}},
		"cells, sound before":         {site: cells, arrivals: arrivals{share: 0.15, place: 2, soundBefore: true, crashing: one}},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(*simSeed, c.zones, c.nodes, c.engines)
			c.until, c.interval, c.crashesAfter = warmUp+length, 25*time.Millisecond, warmUp
			c.next(n)
			n.run(warmUp)
			if c.cut {
				n.nodes[3].cut = true
				n.run(8 * time.Second)
				n.nodes[3].cut, n.nodes[3].healedAt = false, n.now
			}
			n.run(warmUp + length - n.now)
			usual, got := n.begunShare(2*time.Second, warmUp), n.begunShare(warmUp, warmUp+length)
			t.Logf("share of answers that begin at the first attempt: usual %.2f, with the crashing part %.2f", usual, got)
			if got < usual/2 {
				t.Errorf("%.2f of the sound requests begin at their first attempt, want half of %.2f", got, usual)
			}
			for _, part := range c.crashing {
				n.requireContained(t, part)
			}
			n.requireTrue(t)
		})
	}
}

// TestManyCrashes guards against refusing requests for a part that many of them share
// because a third of the engines, or those of a zone, crash at once for another reason.
func TestManyCrashes(t *testing.T) {
	for name, c := range map[string]struct{ zones, nodes int }{"flat": {3, 9}, "cells": {4, 36}} {
		t.Run(name, func(t *testing.T) {
			const warmUp, length = 5 * time.Second, 9 * time.Second
			n := newNetwork(*simSeed, c.zones, c.nodes, 24)
			arrivals{until: warmUp + length, interval: 20 * time.Millisecond}.next(n)
			n.run(warmUp)
			for round := range 2 {
				for i, e := range n.engines {
					zoneLost, thirdLost := round == 0 && e.Zone == zoneName(1), round == 1 && i%3 == 0
					if e.up && (zoneLost || thirdLost) {
						n.crash(e)
					}
				}
				n.run(length / 2)
			}
			usual, worst := n.begunShare(2*time.Second, warmUp), 1.0
			for at := warmUp; at < warmUp+length; at += time.Second {
				worst = min(worst, n.begunShare(at, at+time.Second))
			}
			t.Logf("share of answers that begin at the first attempt: usual %.2f, worst second %.2f", usual, worst)
			if worst < usual/2 {
				t.Errorf("%.2f of the requests of a second begin at their first attempt, want half of %.2f", worst, usual)
			}
			n.requireTrue(t)
		})
	}
}

// knows reports whether a node knows of at least two crashes by a part.
func (n *network) knows(node *simNode, part uint64) bool {
	for _, p := range node.state.Serve().Suspicions(startTime.Add(n.now)) {
		if p.Part == part {
			return len(p.Marks) >= 2
		}
	}
	return false
}

// TestSuspicionSpread guards against nodes that do not learn at once that a part crashes
// engines, and against those that do not learn it within 2 s when announcements are
// lost, after they were cut off, and when they start.
func TestSuspicionSpread(t *testing.T) {
	const announceTime, spreadTime, cutTime = 100 * time.Millisecond, 2 * time.Second, 4 * time.Second
	for name, c := range map[string]struct {
		zones, nodes int
		loss         float64
		// cut lists the nodes that are cut off from the others before the crashes. The
		// first nodes of the zones are relays.
		cut []int
		// restarted lists nodes that start again after the crashes.
		restarted []int
	}{
		"flat":                       {zones: 3, nodes: 9},
		"flat, half lost":            {zones: 3, nodes: 9, loss: 0.5},
		"flat, nodes cut":            {zones: 3, nodes: 9, cut: []int{0, 7}},
		"flat, node started":         {zones: 3, nodes: 9, restarted: []int{0, 8}},
		"cells":                      {zones: 6, nodes: 74},
		"cells, half lost":           {zones: 6, nodes: 74, loss: 0.5},
		"cells, relay and node cut":  {zones: 6, nodes: 74, cut: []int{2, 33}},
		"cells, relay of origin cut": {zones: 6, nodes: 74, cut: []int{5}},
		"cells, nodes started":       {zones: 6, nodes: 74, restarted: []int{3, 40}},
		"many cells":                 {zones: 21, nodes: 195},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(1, c.zones, c.nodes, 8)
			n.run(3 * time.Second)
			n.loss = c.loss
			for _, i := range c.cut {
				n.nodes[i].cut = true
			}
			n.crashing[crashingPart] = true
			// The relay of the zone of the origin is the node 5 where there are cells.
			origin := n.nodes[min(len(n.nodes)-4, 5+c.zones)]
			for range 2 {
				n.arriveAt(origin, commonPart, crashingPart)
				n.run(500 * time.Millisecond)
			}
			if !n.knows(origin, crashingPart) {
				t.Fatal("the node that saw the crashes does not know of them")
			}
			if len(c.cut) > 0 {
				n.run(cutTime)
				for _, i := range c.cut {
					n.nodes[i].cut = false
				}
			}
			for _, i := range c.restarted {
				n.start(n.nodes[i])
			}
			within := spreadTime
			if c.loss == 0 && len(c.cut) == 0 && len(c.restarted) == 0 {
				within = announceTime
			}
			n.run(within)
			unaware := 0
			for _, node := range n.nodes {
				if !n.knows(node, crashingPart) {
					unaware++
				}
			}
			if unaware > 0 {
				t.Errorf("%d of %d nodes do not know of the part %v after the crashes", unaware, len(n.nodes), within)
			}
		})
	}
}
