package peers

import (
	"slices"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

// maxPush bounds the objects that a node pushes to its peers when it regains
// contact with the store. After more changes the peers fetch them in pages.
const maxPush = 256

// withStoreAnswer takes an answer of the store. The configuration part has
// applied its changes in the same step.
func (s State) withStoreAnswer(e event.ConfigChanged, now time.Time, out *Out) State {
	if !e.FromStore {
		return s
	}
	s.loaded = s.loaded || e.Upto == 0
	regained := s.version > 0 && !s.inContact(now)
	s.freshUntil = later(s.freshUntil, e.SentAt.Add(FreshnessTerm))
	s.contactUntil = later(s.contactUntil, e.SentAt.Add(contactTerm))
	if regained && s.inContact(now) {
		s = s.announced(e, now, out)
	}
	return s
}

// announced tells all peers at once that this node has regained contact.
func (s State) announced(e event.ConfigChanged, now time.Time, out *Out) State {
	push := len(e.Changes) > 0 && len(e.Changes) <= maxPush
	for itr := s.peers.Iterator(); !itr.Done(); {
		id, p, _ := itr.Next()
		if p.ruledOut(now) {
			continue
		}
		if push {
			out.Emit(effect.Push{Peer: p.member, Changes: e.Changes, After: s.version, Upto: e.Upto})
		}
		p.nextAt = now
		s.peers = s.peers.Set(id, p)
	}
	return s
}

// withVersion takes a rise of the version in force, which may make grants of
// peers valid.
func (s State) withVersion(version model.Version, now time.Time) State {
	s.version, s.loaded = version, true
	s.settle = s.settle.withHeld(version, now)
	for itr := s.peers.Iterator(); !itr.Done(); {
		_, p, _ := itr.Next()
		s = s.withGrant(p)
	}
	return s
}

// withGrant takes over the freshness of a peer once this node has the peer's
// configuration.
func (s State) withGrant(p peer) State {
	if p.report.Version <= s.version {
		s.freshUntil = later(s.freshUntil, p.grantUntil)
	}
	return s
}

// withFreshness raises a change of the freshness.
func (s State) withFreshness(now time.Time, out *Out) State {
	if fresh := s.Fresh(now); fresh != s.fresh {
		s.fresh = fresh
		out.Raise(event.FreshnessChanged{Fresh: fresh})
	}
	return s
}

func (s State) inContact(now time.Time) bool { return now.Before(s.contactUntil) }

// pushArrived passes pushed objects to the configuration part. Without
// configuration they are of no use, and would hide deletions from the first
// page of a peer. Objects ahead of the version in force are taken one by one,
// except a roster: a node that is a member by a later roster than its version
// would use a share that the settled version does not account for.
func (s State) pushArrived(e event.PushArrived, out *Out) State {
	if s.version > 0 {
		changed := event.ConfigChanged{Changes: e.Changes, Upto: e.Upto}
		if s.version < e.After || e.Upto == 0 {
			changed.Upto = 0
			changed.Changes = slices.DeleteFunc(slices.Clone(e.Changes), func(c model.Change) bool {
				return c.Kind == model.KindRoster
			})
		}
		out.Raise(changed)
	}
	out.Emit(effect.PushReply{Ticket: e.Ticket, Version: s.version})
	return s
}
