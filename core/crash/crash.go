// Package crash counts upstream crashes by the fingerprint of the requests that
// were running, to find requests that cause them.
package crash

import (
	"cmp"
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/model"
)

const (
	// Retention is how long a count is kept after the last crash that it includes.
	Retention = 10 * time.Minute
	// aloneThreshold is the count from which a request runs only alone, and
	// refuseThreshold the count from which it is refused. A crash counts against
	// every request of its batch, so one crash says little about any of them.
	aloneThreshold  = 2
	refuseThreshold = 3
	// peerRetentionMargin extends the retention of counts received from peers.
	// Without it, a count that the peer still sends could expire here first and
	// then be taken for a new one.
	peerRetentionMargin = 5 * time.Second
	// maxFingerprints limits the fingerprints that are kept. Beyond it, the one
	// that expires first is evicted.
	maxFingerprints = 16384
)

// Verdict is how a request may run.
type Verdict int

// The values of Verdict.
const (
	// Normal means that the request runs without restrictions.
	Normal Verdict = iota
	// Alone means that the request runs only on an upstream that runs no other
	// request of this node.
	Alone
	// Refuse means that the request is not run.
	Refuse
)

// entry holds the counts of one fingerprint.
type entry struct {
	own int
	// latest is the ID of the latest crash in own, or zero if it is not known.
	latest    uint64
	peers     []peerCount
	expiresAt time.Time
}

// peerCount is the count reported by one peer.
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

// WithPeer returns the entry with the count of a peer, and whether that count
// increased.
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

// expiry is the key that orders fingerprints by the expiry of their counts.
type expiry struct {
	expiresAt   time.Time
	fingerprint uint64
}

type expiryComparer struct{}

func (expiryComparer) Compare(a, b expiry) int {
	return cmp.Or(a.expiresAt.Compare(b.expiresAt), cmp.Compare(a.fingerprint, b.fingerprint))
}

// State holds the crash counts of this node and of its peers.
type State struct {
	counts   *immutable.Map[uint64, entry]
	byExpiry *immutable.SortedMap[expiry, struct{}]
}

// New returns a state without counts.
func New() State {
	return State{
		counts:   immutable.NewMap[uint64, entry](nil),
		byExpiry: immutable.NewSortedMap[expiry, struct{}](expiryComparer{}),
	}
}

// Next returns when the first count expires, or zero if there are none.
func (s State) Next() time.Time {
	itr := s.byExpiry.Iterator()
	if itr.Done() {
		return time.Time{}
	}
	next, _, _ := itr.Next()
	return next.expiresAt
}

// Own returns the counts of this node, latest first, to be sent to its peers.
// It returns at most model.MaxCrashCounts of them.
func (s State) Own() []model.CrashCount {
	var own []model.CrashCount
	itr := s.byExpiry.Iterator()
	for itr.Last(); !itr.Done() && len(own) < model.MaxCrashCounts; {
		key, _, _ := itr.Prev()
		if e, _ := s.counts.Get(key.fingerprint); e.own > 0 {
			own = append(own, model.CrashCount{Fingerprint: key.fingerprint, Count: e.own})
		}
	}
	return own
}

// Sum returns the counts of this node and of the peers that pass a filter, latest
// first. It returns at most model.MaxCrashCounts of them.
func (s State) Sum(include func(model.NodeName) bool) []model.CrashCount {
	var sums []model.CrashCount
	itr := s.byExpiry.Iterator()
	for itr.Last(); !itr.Done() && len(sums) < model.MaxCrashCounts; {
		key, _, _ := itr.Prev()
		e, _ := s.counts.Get(key.fingerprint)
		sum := e.own
		for _, p := range e.peers {
			if include(p.peer) {
				sum += p.count
			}
		}
		if sum > 0 {
			sums = append(sums, model.CrashCount{Fingerprint: key.fingerprint, Count: sum})
		}
	}
	return sums
}

// ExpiresAt returns when the count of a fingerprint expires.
func (s State) ExpiresAt(fingerprint uint64) time.Time {
	e, _ := s.counts.Get(fingerprint)
	return e.expiresAt
}

// Verdict returns how a request may run. The fingerprint zero stands for
// requests that are not counted.
func (s State) Verdict(fingerprint uint64, at time.Time) Verdict {
	e, ok := s.counts.Get(fingerprint)
	switch total := e.total(); {
	case !ok, !at.Before(e.expiresAt), total < aloneThreshold:
		return Normal
	case total < refuseThreshold:
		return Alone
	default:
		return Refuse
	}
}

// WithCrash returns the state after a crash of an upstream that was running
// requests with the given fingerprints. Duplicates count once, and zero is
// ignored.
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
		s = s.withEntry(fingerprint, e, at.Add(Retention))
	}
	return s
}

// WithCrashOf returns the state after a crash with an ID, which is not zero, of an upstream
// that was running a request with the given fingerprint. One crash counts once, however
// many equal requests report it.
func (s State) WithCrashOf(crash, fingerprint uint64, at time.Time) State {
	if e, _ := s.counts.Get(fingerprint); fingerprint == 0 || e.latest == crash && at.Before(e.expiresAt) {
		return s
	}
	s = s.WithCrash([]uint64{fingerprint}, at)
	e, _ := s.counts.Get(fingerprint)
	e.latest = crash
	s.counts = s.counts.Set(fingerprint, e)
	return s
}

// WithPeer returns the state with the counts that a peer has made itself. A
// count that has not increased since the previous message does not extend its
// retention.
func (s State) WithPeer(peer model.NodeName, counts []model.CrashCount, at time.Time) State {
	s = s.WithoutExpired(at)
	for _, c := range counts {
		e, _ := s.counts.Get(c.Fingerprint)
		if e, increased := e.WithPeer(peer, c.Count); increased && c.Fingerprint != 0 {
			s = s.withEntry(c.Fingerprint, e, at.Add(Retention+peerRetentionMargin))
		}
	}
	return s
}

func (s State) withEntry(fingerprint uint64, e entry, expiresAt time.Time) State {
	s.byExpiry = s.byExpiry.Delete(expiry{e.expiresAt, fingerprint})
	if expiresAt.After(e.expiresAt) {
		e.expiresAt = expiresAt
	}
	s.counts = s.counts.Set(fingerprint, e)
	s.byExpiry = s.byExpiry.Set(expiry{e.expiresAt, fingerprint}, struct{}{})
	if s.counts.Len() > maxFingerprints {
		oldest, _, _ := s.byExpiry.Iterator().Next()
		s = s.withoutEntry(oldest)
	}
	return s
}

func (s State) withoutEntry(key expiry) State {
	s.counts = s.counts.Delete(key.fingerprint)
	s.byExpiry = s.byExpiry.Delete(key)
	return s
}

// WithoutExpired returns the state without expired counts.
func (s State) WithoutExpired(at time.Time) State {
	for itr := s.byExpiry.Iterator(); !itr.Done(); {
		key, _, _ := itr.Next()
		if at.Before(key.expiresAt) {
			break
		}
		s = s.withoutEntry(key)
	}
	return s
}
