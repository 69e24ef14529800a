package fleet

import (
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/model"
)

const (
	// returnTerm is the time after which an entry that returned with a copy of the store is
	// taken as that of a live upstream. The store removes the entry of one that is gone
	// earlier, since it sends no heartbeats.
	returnTerm = 5 * time.Second
	// removalTerm is how long the removal of an entry is remembered. Copies of the store are
	// younger.
	removalTerm = time.Minute
	// maxRemovals is the number of removals that are remembered, the latest ones.
	maxRemovals = 512
)

// removal is the removal of an entry of the registry, in the era that showed it.
type removal struct {
	instance model.UpstreamInstance
	era      model.Era
	at       time.Time
}

// removals are the latest removals, the earliest first.
type removals struct{ list *immutable.List[removal] }

func newRemovals() removals { return removals{immutable.NewList[removal]()} }

// With returns the removals with another one, without those that are too old or too many.
func (r removals) With(next removal) removals {
	r.list = r.list.Append(next)
	first := max(0, r.list.Len()-maxRemovals)
	for first < r.list.Len() && next.at.Sub(r.list.Get(first).at) > removalTerm {
		first++
	}
	r.list = r.list.Slice(first, r.list.Len())
	return r
}

// removedBefore reports whether the entry of an instance was removed in an earlier era.
func (r removals) removedBefore(instance model.UpstreamInstance, era model.Era) bool {
	for itr := r.list.Iterator(); !itr.Done(); {
		if _, past := itr.Next(); past.instance == instance && past.era < era {
			return true
		}
	}
	return false
}

// withoutEntry removes an upstream whose entry is missing at a version of the store.
func (s State) withoutEntry(name model.UpstreamName, revision model.Version, at time.Time) State {
	if u, found := s.upstreams.Get(name); found && u.Incarnation != 0 {
		s.removals = s.removals.With(removal{instanceOf(u.Upstream), revision.Era(), at})
	}
	s.upstreams = s.upstreams.Delete(name)
	return s.withoutUnnumbered(name)
}

// returnTime returns when an upstream whose entry is new here may get requests, or zero if
// it may at once. An entry that was removed and is back in a later era comes from the copy
// with which the store began that era, unless the upstream lives and has written it again.
func (s State) returnTime(u model.Upstream, at time.Time) time.Time {
	if !s.removals.removedBefore(instanceOf(u), u.EntryVersion.Era()) {
		return time.Time{}
	}
	return at.Add(returnTerm)
}

// staysDraining reports whether an upstream is leaving although the entry that was read
// says otherwise. That is so if the entry comes from the copy with which the store began a
// new era, in which the report of the upstream is missing: a process that leaves does not
// come back.
func (u Upstream) staysDraining(read model.Upstream) bool {
	fromCopy := read.EntryVersion.Era() > u.EntryVersion.Era() || read.EntryVersion == u.EntryVersion
	return u.State == model.UpstreamDraining && u.Incarnation != 0 && u.EntryVersion != 0 && fromCopy
}
