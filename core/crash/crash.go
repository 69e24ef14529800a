// Package crash counts the crashes of upstreams by the content of the requests
// that they were running.
package crash

import (
	"cmp"
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/model"
)

const (
	// Term is how long a count is kept after its last crash.
	Term = 10 * time.Minute
	// aloneFrom and refuseFrom are the counts at which a request runs only
	// alone, and not at all. A crash counts for all requests of its batch, so
	// one crash says little about any of them.
	aloneFrom  = 2
	refuseFrom = 3
	// peerMargin is how much longer a peer's count is kept. Without it, a count
	// that the peer still sends could end here first and then be taken for a
	// new one.
	peerMargin = 5 * time.Second
	// maxCounts bounds the fingerprints. At the cap, the one whose last crash
	// is oldest is dropped.
	maxCounts = 16384
)

// Verdict tells how a request may run.
type Verdict int

// The values of Verdict.
const (
	// Normal means that the request runs as any other.
	Normal Verdict = iota
	// Alone means that the request runs only on an upstream that runs no other
	// request of this node.
	Alone
	// Refuse means that the request does not run.
	Refuse
)

// entry has the counts of one fingerprint.
type entry struct {
	own   int
	peers []peerCount
	until time.Time
}

// peerCount is the count of one peer.
type peerCount struct {
	peer  model.NodeName
	count int
}

func (e entry) total() int {
	total := e.own
	for _, p := range e.peers {
		total += p.count
	}
	return total
}

// WithPeer returns the entry with the count of a peer, and whether it rose.
func (e entry) WithPeer(peer model.NodeName, count int) (entry, bool) {
	peers := make([]peerCount, 0, len(e.peers)+1)
	for _, p := range e.peers {
		if p.peer != peer {
			peers = append(peers, p)
		} else if p.count >= count {
			return e, false
		}
	}
	peers = append(peers, peerCount{peer, count})
	e.peers = peers
	return e, true
}

// expiry orders the fingerprints by the end of their counts.
type expiry struct {
	until       time.Time
	fingerprint uint64
}

type expiryOrder struct{}

func (expiryOrder) Compare(a, b expiry) int {
	return cmp.Or(a.until.Compare(b.until), cmp.Compare(a.fingerprint, b.fingerprint))
}

// State holds the counts of this node and of its peers.
type State struct {
	counts *immutable.Map[uint64, entry]
	order  *immutable.SortedMap[expiry, struct{}]
}

// New returns a state without counts.
func New() State {
	return State{
		counts: immutable.NewMap[uint64, entry](nil),
		order:  immutable.NewSortedMap[expiry, struct{}](expiryOrder{}),
	}
}

// Next returns when the first count ends.
func (s State) Next() time.Time {
	itr := s.order.Iterator()
	if itr.Done() {
		return time.Time{}
	}
	first, _, _ := itr.Next()
	return first.until
}

// Own returns the latest counts of this node, for its peers.
func (s State) Own() []model.CrashCount {
	var own []model.CrashCount
	itr := s.order.Iterator()
	for itr.Last(); !itr.Done() && len(own) < model.MaxCrashCounts; {
		key, _, _ := itr.Prev()
		if e, _ := s.counts.Get(key.fingerprint); e.own > 0 {
			own = append(own, model.CrashCount{Fingerprint: key.fingerprint, Count: e.own})
		}
	}
	return own
}

// Until returns when the count of a fingerprint ends.
func (s State) Until(fingerprint uint64) time.Time {
	e, _ := s.counts.Get(fingerprint)
	return e.until
}

// Verdict returns how a request may run. Requests with the fingerprint zero are
// not counted.
func (s State) Verdict(fingerprint uint64, at time.Time) Verdict {
	e, ok := s.counts.Get(fingerprint)
	switch total := e.total(); {
	case !ok, !at.Before(e.until), total < aloneFrom:
		return Normal
	case total < refuseFrom:
		return Alone
	default:
		return Refuse
	}
}

// WithCrash returns the state after a crash of an upstream that ran requests
// with these fingerprints. Each distinct one counts once.
func (s State) WithCrash(fingerprints []uint64, at time.Time) State {
	s = s.WithoutExpired(at)
	seen := map[uint64]bool{}
	for _, fingerprint := range fingerprints {
		if fingerprint == 0 || seen[fingerprint] {
			continue
		}
		seen[fingerprint] = true
		e, _ := s.counts.Get(fingerprint)
		e.own++
		s = s.with(fingerprint, e, at.Add(Term))
	}
	return s
}

// WithPeer returns the state with the counts that a peer made itself. A count
// that did not rise since the last message does not extend the term.
func (s State) WithPeer(peer model.NodeName, counts []model.CrashCount, at time.Time) State {
	s = s.WithoutExpired(at)
	for _, c := range counts {
		e, _ := s.counts.Get(c.Fingerprint)
		if e, rose := e.WithPeer(peer, c.Count); rose && c.Fingerprint != 0 {
			s = s.with(c.Fingerprint, e, at.Add(Term+peerMargin))
		}
	}
	return s
}

func (s State) with(fingerprint uint64, e entry, until time.Time) State {
	s.order = s.order.Delete(expiry{e.until, fingerprint})
	if until.After(e.until) {
		e.until = until
	}
	s.counts = s.counts.Set(fingerprint, e)
	s.order = s.order.Set(expiry{e.until, fingerprint}, struct{}{})
	if s.counts.Len() > maxCounts {
		oldest, _, _ := s.order.Iterator().Next()
		s = s.without(oldest)
	}
	return s
}

func (s State) without(key expiry) State {
	s.counts = s.counts.Delete(key.fingerprint)
	s.order = s.order.Delete(key)
	return s
}

// WithoutExpired returns the state without the counts that have ended.
func (s State) WithoutExpired(at time.Time) State {
	for itr := s.order.Iterator(); !itr.Done(); {
		key, _, _ := itr.Next()
		if at.Before(key.until) {
			break
		}
		s = s.without(key)
	}
	return s
}
