package edge_test

import (
	"testing"
	"time"
)

// TestTrialsOfNodes guards against several nodes that try a held part before they learn
// of the trial of another one. All nodes have requests with the part all the time. The
// bound of two trials is that of docs/guarantees.md.
func TestTrialsOfNodes(t *testing.T) {
	for name, c := range map[string]struct{ zones, nodes int }{"flat": {3, 9}, "cells": {6, 74}} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(*simSeed, c.zones, c.nodes, 24)
			n.run(3 * time.Second)
			n.crashing[crashingPart] = true
			for range 2 {
				n.arriveAt(n.nodes[4], commonPart, crashingPart)
				n.run(500 * time.Millisecond)
			}
			before := len(n.reached[crashingPart])
			for range 200 {
				for _, node := range n.nodes {
					n.arriveAt(node, commonPart, crashingPart)
				}
				n.run(10 * time.Millisecond)
			}
			trials := len(n.reached[crashingPart]) - before
			t.Logf("seed %d: %d trials", *simSeed, trials)
			if trials > 2 {
				t.Errorf("%d nodes tried the part within 2 s, want at most 2", trials)
			}
		})
	}
}
