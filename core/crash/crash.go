// Package crash records the upstream crashes by the fingerprint of the requests that were
// running, to find requests that cause them.
package crash

import (
	"cmp"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/model"
)

const (
	// Retention is how long a crash is remembered after the last one of its fingerprint.
	Retention = 10 * time.Minute
	// aloneThreshold is the number of crashes from which a request runs only alone, and
	// refuseThreshold that from which it is refused. A crash counts against every request
	// of its batch, so one crash says little about any of them.
	aloneThreshold  = 2
	refuseThreshold = model.MaxCrashes
	// unsentRemainder is the rest of the retention in which a record is not sent any more.
	// A peer where it has just expired, because ages do not include the time on the
	// network, would take it for a new one and send it back.
	unsentRemainder = 5 * time.Second
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

// entry holds the crashes of one fingerprint, at most model.MaxCrashes. The list is never
// modified.
type entry struct {
	crashes   []uint64
	expiresAt time.Time
}

// withCrash returns the entry with a crash, and whether it is a new one.
func (e entry) withCrash(crash uint64) (entry, bool) {
	if len(e.crashes) >= model.MaxCrashes || slices.Contains(e.crashes, crash) {
		return e, false
	}
	e.crashes = append(e.crashes[:len(e.crashes):len(e.crashes)], crash)
	return e, true
}

// expiry is the key that orders fingerprints by the expiry of their crashes.
type expiry struct {
	expiresAt   time.Time
	fingerprint uint64
}

type expiryComparer struct{}

func (expiryComparer) Compare(a, b expiry) int {
	return cmp.Or(a.expiresAt.Compare(b.expiresAt), cmp.Compare(a.fingerprint, b.fingerprint))
}

// State holds the crashes that any node observed, as far as this one knows. They are a set:
// it does not matter how often, from whom, or in which order they are learned.
type State struct {
	entries  *immutable.Map[uint64, entry]
	byExpiry *immutable.SortedMap[expiry, struct{}]
}

// New returns a state without crashes.
func New() State {
	return State{
		entries:  immutable.NewMap[uint64, entry](nil),
		byExpiry: immutable.NewSortedMap[expiry, struct{}](expiryComparer{}),
	}
}

// Next returns when the first entry expires, or zero if there are none.
func (s State) Next() time.Time {
	itr := s.byExpiry.Iterator()
	if itr.Done() {
		return time.Time{}
	}
	next, _, _ := itr.Next()
	return next.expiresAt
}

// Records returns the crashes to be sent to peers, latest first. It returns at most
// model.MaxCrashRecords fingerprints.
func (s State) Records(at time.Time) []model.CrashRecord {
	var records []model.CrashRecord
	itr := s.byExpiry.Iterator()
	for itr.Last(); !itr.Done() && len(records) < model.MaxCrashRecords; {
		key, _, _ := itr.Prev()
		if key.expiresAt.Sub(at) <= unsentRemainder {
			break
		}
		e, _ := s.entries.Get(key.fingerprint)
		records = append(records, model.CrashRecord{
			Fingerprint: key.fingerprint, Crashes: e.crashes, Age: max(0, Retention-e.expiresAt.Sub(at)),
		})
	}
	return records
}

// ExpiresAt returns when the crashes of a fingerprint expire.
func (s State) ExpiresAt(fingerprint uint64) time.Time {
	e, _ := s.entries.Get(fingerprint)
	return e.expiresAt
}

// Verdict returns how a request may run. The fingerprint zero stands for
// requests that are not counted.
func (s State) Verdict(fingerprint uint64, at time.Time) Verdict {
	e, ok := s.entries.Get(fingerprint)
	switch crashes := len(e.crashes); {
	case !ok, !at.Before(e.expiresAt), crashes < aloneThreshold:
		return Normal
	case crashes < refuseThreshold:
		return Alone
	default:
		return Refuse
	}
}

// WithCrash returns the state after a crash of an upstream that was running requests with
// the given fingerprints. One crash counts once, however many requests report it. The
// fingerprint zero is ignored.
func (s State) WithCrash(crash uint64, fingerprints []uint64, at time.Time) State {
	s = s.WithoutExpired(at)
	for _, fingerprint := range fingerprints {
		e, _ := s.entries.Get(fingerprint)
		if fingerprint == 0 || slices.Contains(e.crashes, crash) {
			continue
		}
		e, _ = e.withCrash(crash)
		s = s.withEntry(fingerprint, e, at.Add(Retention))
	}
	return s
}

// WithRecords returns the state with the crashes that a peer has, and whether any of them is
// new. A crash that is known does not extend the retention.
func (s State) WithRecords(records []model.CrashRecord, at time.Time) (_ State, changed bool) {
	s = s.WithoutExpired(at)
	for _, r := range records {
		expiresAt := at.Add(Retention - max(0, r.Age))
		e, _ := s.entries.Get(r.Fingerprint)
		isNew := false
		for _, crash := range r.Crashes {
			var added bool
			e, added = e.withCrash(crash)
			isNew = isNew || added
		}
		if isNew && r.Fingerprint != 0 && expiresAt.After(at) {
			s, changed = s.withEntry(r.Fingerprint, e, expiresAt), true
		}
	}
	return s, changed
}

func (s State) withEntry(fingerprint uint64, e entry, expiresAt time.Time) State {
	s.byExpiry = s.byExpiry.Delete(expiry{e.expiresAt, fingerprint})
	if expiresAt.After(e.expiresAt) {
		e.expiresAt = expiresAt
	}
	s.entries = s.entries.Set(fingerprint, e)
	s.byExpiry = s.byExpiry.Set(expiry{e.expiresAt, fingerprint}, struct{}{})
	if s.entries.Len() > maxFingerprints {
		oldest, _, _ := s.byExpiry.Iterator().Next()
		s = s.withoutEntry(oldest)
	}
	return s
}

func (s State) withoutEntry(key expiry) State {
	s.entries = s.entries.Delete(key.fingerprint)
	s.byExpiry = s.byExpiry.Delete(key)
	return s
}

// WithoutExpired returns the state without expired crashes.
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
