package fleet

import (
	"maps"
	"time"

	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
)

// handleUpstreamsRead replaces the entries. An upstream whose entry may have expired
// during an outage of the store, or may be missing in the copy with which it came back, is
// kept for reregisterGrace.
func (s State) handleUpstreamsRead(e event.UpstreamsRead, at time.Time, out *Out) State {
	if e.Revision < s.revision {
		return s
	}
	next := immutable.NewSortedMap[model.UpstreamName, Upstream](nil)
	changed := !s.listed
	for _, u := range e.Upstreams {
		old, found := s.upstreams.Get(u.Name)
		changed = changed || !found || !sameEntry(old.Upstream, u)
		s = s.handleProcess(u, at, out)
		next = next.Set(u.Name, s.mergeEntry(u, at, out))
	}
	s.nextGoneAt = time.Time{}
	newEra := e.Revision.Era() > s.revision.Era()
	for itr := s.upstreams.Iterator(); !itr.Done(); {
		name, u, _ := itr.Next()
		if _, found := next.Get(name); found {
			continue
		}
		if u, kept := s.handleMissing(u, newEra, at, out); kept {
			next = next.Set(name, u)
			s.nextGoneAt = step.Earliest(s.nextGoneAt, u.goneAt)
		} else {
			s = s.withoutEntry(name, e.Revision, at)
		}
	}
	if changed || next.Len() != s.upstreams.Len() {
		s.registrySeq++
	}
	s.upstreams, s.revision, s.listed, s.contact = next, e.Revision, true, s.contact.WithRead()
	s.readsRegistry = !e.ByPeer
	return s.withServiceIndex()
}

// sameEntry reports whether two entries of the registry are equal.
func sameEntry(a, b model.Upstream) bool {
	return a.Kind == b.Kind && a.Address == b.Address && a.Zone == b.Zone && a.Role == b.Role && a.State == b.State &&
		a.Cheap == b.Cheap && a.Slots == b.Slots && a.Service == b.Service && a.Incarnation == b.Incarnation &&
		a.ColdLeft == b.ColdLeft
}

func (s State) handleUpstreamRegistered(e event.UpstreamRegistered, at time.Time, out *Out) State {
	if e.Revision < s.revision {
		return s
	}
	s.revision = e.Revision
	s.registrySeq++
	s = s.handleProcess(e.Upstream, at, out)
	s.upstreams = s.upstreams.Set(e.Upstream.Name, s.mergeEntry(e.Upstream, at, out))
	return s.withServiceIndex()
}

// mergeEntry returns a new entry with the state that is known of the same
// process.
func (s State) mergeEntry(u model.Upstream, at time.Time, out *Out) Upstream {
	old, found := s.upstreams.Get(u.Name)
	if found && old.Incarnation == u.Incarnation && old.Address == u.Address {
		if u.Role != old.Role && old.misdirections > 0 {
			old.misdirections, old.avoidUntil = 0, time.Time{}
		}
		last := old.EntryVersion
		if old.staysDraining(u) {
			u.State = model.UpstreamDraining
		}
		old.Upstream = u
		old = old.withColdEntry(last, at, out)
		old.goneAt = time.Time{}
		if u.Role == old.nextRole {
			old.roleChangeUntil = time.Time{}
		}
		return old
	}
	return s.withReportedUse(Upstream{
		Upstream:   u,
		Hash:       xxhash.Sum64String(string(u.Name)),
		local:      model.UpstreamUse{Upstream: u.Name},
		heard:      newHeard(s.noticeOf(instanceOf(u)), time.Time{}),
		evacuated:  s.evacuations.Has(u.Zone),
		returnedAt: s.returnTime(u, at),
	}.withColdEntry(0, at, out))
}

func (s State) removeGone(at time.Time, out *Out) State {
	if s.nextGoneAt.IsZero() || at.Before(s.nextGoneAt) {
		return s
	}
	s.nextGoneAt = time.Time{}
	kept := s.upstreams
	for itr := s.upstreams.Iterator(); !itr.Done(); {
		name, u, _ := itr.Next()
		switch {
		case u.goneAt.IsZero():
		case u.goneAt.After(at):
			s.nextGoneAt = step.Earliest(s.nextGoneAt, u.goneAt)
		default:
			kept = kept.Delete(name)
			s = s.withoutEntry(name, s.revision, at)
			out.Emit(beliefEffect(model.UpstreamGone, u.Upstream))
		}
	}
	s.upstreams = kept
	s.registrySeq++
	return s.withServiceIndex()
}

func beliefEffect(belief model.Belief, u model.Upstream) effect.Believe {
	return effect.Believe{Belief: belief, Subject: string(u.Name), Number: uint64(u.Incarnation)}
}

func (s State) withServiceIndex() State {
	services := map[model.ServiceName][]model.UpstreamName{}
	zones := maps.Clone(s.zones)
	if zones == nil {
		zones = map[model.ZoneName]struct{}{}
	}
	for itr := s.upstreams.Iterator(); !itr.Done(); {
		name, u, _ := itr.Next()
		if u.State == model.UpstreamActive {
			services[u.Service] = append(services[u.Service], name)
		}
		zones[u.Zone] = struct{}{}
	}
	s.services, s.zones = services, zones
	return s
}
