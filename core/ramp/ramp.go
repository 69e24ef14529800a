// Package ramp decides how many requests a node may send to an upstream that is cold,
// so that all nodes together send no more than such an upstream bears. It answers the
// load of an upstream that has just started: it has no work, so that every node prefers
// it at the same moment.
//
// A few nodes are the senders of an upstream. They follow from the names of the nodes and
// of the upstream alone, so that nodes need not agree and a node that is cut off, killed
// or restarted is not replaced by another one.
package ramp

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"caroblane/core/model"
)

const (
	// maxSenders is the number of nodes that may send to a cold upstream. More of them
	// would get parts of less than one request.
	maxSenders = 3
	// maxViews is the number of different lists of nodes by which nodes may decide at
	// the same time, each with senders of its own, while nodes join or leave.
	maxViews = 2
	// maxKeptSends limits the sends that are remembered.
	maxKeptSends = 64
)

// Limits are the number of requests a second that a cold upstream bears from all nodes
// together, and what it may get at most within a second: PerSecond times Overshoot, plus
// Slack. There is no limit if PerSecond is zero.
type Limits struct{ PerSecond, Overshoot, Slack float64 }

// Part is what one node may send to a cold upstream: a number of requests in any span of
// the given length.
type Part struct {
	Requests int
	Span     time.Duration
}

// Node is a node that may be a sender.
type Node struct {
	Name model.NodeName
	hash uint64
}

// NewNode returns the node with a name.
func NewNode(name model.NodeName) Node { return Node{name, xxhash.Sum64String(string(name))} }

// Rank implements Ranked.
func (n Node) Rank(seed uint64) uint64 {
	// The multiplication and the shift spread the combined hash over all bits.
	mixed := (n.hash ^ seed) * 0x9e3779b97f4a7c15
	return (mixed ^ mixed>>32) * 0xd6e8feb86659fd93
}

// Directory lists the nodes that may be senders, by their availability zone. The zero
// Directory has none.
type Directory struct {
	zones map[model.ZoneName][]Node
	all   []Node
}

// NewDirectory returns a directory of nodes.
func NewDirectory(members iter.Seq[model.Member]) Directory {
	d := Directory{zones: map[model.ZoneName][]Node{}}
	for m := range members {
		n := NewNode(m.Name)
		d.zones[m.Zone], d.all = append(d.zones[m.Zone], n), append(d.all, n)
	}
	return d
}

// In returns the nodes that may be senders of the upstreams of an availability zone:
// those of the same zone, or all of them if it has none.
func (d Directory) In(zone model.ZoneName) []Node {
	if nodes := d.zones[zone]; len(nodes) > 0 {
		return nodes
	}
	return d.all
}

// Ranked is a candidate of a choice by hashes.
type Ranked interface {
	// Rank returns a number that is different for each seed.
	Rank(seed uint64) uint64
}

// First returns the given number of candidates with the lowest ranks. Another candidate
// displaces at most one of them.
func First[C Ranked](candidates []C, seed uint64, count int) []C {
	first := make([]C, 0, count+1)
	for _, c := range candidates {
		i, _ := slices.BinarySearchFunc(first, c.Rank(seed), func(c C, rank uint64) int { return cmp.Compare(c.Rank(seed), rank) })
		if i < count {
			first = slices.Insert(first, i, c)
			first = first[:min(len(first), count)]
		}
	}
	return first
}

// Part returns what a node may send to a cold upstream, given the hash of its name and
// the nodes that may be its senders.
func (l Limits) Part(upstream uint64, self model.NodeName, nodes []Node) Part {
	total := min(l.PerSecond, (l.PerSecond*l.Overshoot+l.Slack)/maxViews)
	if total <= 0 {
		return Part{}
	}
	senders := min(maxSenders, max(1, int(total)), max(1, len(nodes)))
	if !slices.ContainsFunc(First(nodes, upstream, senders), func(n Node) bool { return n.Name == self }) {
		return Part{}
	}
	if total < 1 {
		return Part{Requests: 1, Span: time.Duration(float64(time.Second) / total)}
	}
	return Part{Requests: int(total) / senders, Span: time.Second}
}

// Sends are the times at which a node sent requests to an upstream, in this order. They
// are immutable.
type Sends struct{ times []time.Time }

// With returns the sends with another one.
func (s Sends) With(at time.Time) Sends {
	kept := s.times[max(0, len(s.times)-maxKeptSends+1):]
	return Sends{append(kept[:len(kept):len(kept)], at)}
}

// Admit reports whether a part allows another send.
func (s Sends) Admit(p Part, at time.Time) bool {
	recent := 0
	for i := len(s.times) - 1; i >= 0 && at.Sub(s.times[i]) < p.Span; i-- {
		recent++
	}
	return recent < min(p.Requests, maxKeptSends)
}
