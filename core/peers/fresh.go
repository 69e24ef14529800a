package peers

import (
	"slices"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

// maxPushedChanges limits the number of objects that a node pushes to its peers
// when it regains contact with the store. If there are more changes, the peers
// fetch them in pages.
const maxPushedChanges = 256

// handleConfigChanged processes a response from the store. The configuration
// component has already applied the changes in the same step.
func (s State) handleConfigChanged(e event.ConfigChanged, now time.Time, out *Out) State {
	if !e.FromStore {
		return s
	}
	s.configLoaded = s.configLoaded || e.Upto == 0
	regained := s.version > 0 && !s.hasStoreContact(now)
	s.freshUntil = laterTime(s.freshUntil, e.SentAt.Add(FreshnessTTL))
	s.storeContactUntil = laterTime(s.storeContactUntil, e.SentAt.Add(contactTimeout))
	if regained && s.hasStoreContact(now) {
		s = s.notifyPeers(e, now, out)
	}
	return s
}

// notifyPeers notifies all peers immediately that this node has regained
// contact with the store.
func (s State) notifyPeers(e event.ConfigChanged, now time.Time, out *Out) State {
	push := len(e.Changes) > 0 && len(e.Changes) <= maxPushedChanges
	for itr := s.peers.Iterator(); !itr.Done(); {
		id, p, _ := itr.Next()
		if p.stopped(now) {
			continue
		}
		if push {
			out.Emit(effect.Push{Peer: p.member, Changes: e.Changes, After: s.version, Upto: e.Upto})
		}
		p.nextExchangeAt = now
		s.peers = s.peers.Set(id, p)
	}
	return s
}

// handleVersionChanged processes an increase of the active configuration
// version, which may make freshness granted by peers usable.
func (s State) handleVersionChanged(version model.Version, now time.Time) State {
	s.version, s.configLoaded = version, true
	s.settled = s.settled.withCheckpoint(version, now)
	for itr := s.peers.Iterator(); !itr.Done(); {
		_, p, _ := itr.Next()
		s = s.withGrant(p)
	}
	return s
}

// withGrant adopts the freshness granted by a peer, provided that this node has
// all configuration that the peer has.
func (s State) withGrant(p peer) State {
	if p.lastStatus.Version <= s.version {
		s.freshUntil = laterTime(s.freshUntil, p.grantedUntil)
	}
	return s
}

// raiseFreshness raises an event if the freshness of this node has changed.
func (s State) raiseFreshness(now time.Time, out *Out) State {
	if fresh := s.Fresh(now); fresh != s.reportedFresh {
		s.reportedFresh = fresh
		out.Raise(event.FreshnessChanged{Fresh: fresh})
	}
	return s
}

func (s State) hasStoreContact(now time.Time) bool { return now.Before(s.storeContactUntil) }

// handlePushArrived passes pushed objects to the configuration component. A node
// without configuration ignores them, because they would hide deletions from
// the first page fetched from a peer. Objects beyond the active version are
// applied individually, except for rosters: a node that became a member through
// a roster newer than its version would use a share that the settled version
// does not account for.
func (s State) handlePushArrived(e event.PushArrived, out *Out) State {
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
