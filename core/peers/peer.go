package peers

import (
	"net/netip"
	"slices"
	"time"

	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
)

// vmGoneTimeout is how long a VM that was listed by the platform must be
// missing from the list before it counts as gone. The list lags behind, and a
// replaced VM that keeps its IP address is briefly missing from it.
const vmGoneTimeout = time.Minute

// peer is another process that may be fresh. It is copied on change.
type peer struct {
	member model.Member
	// firstSeenAt is when this node first saw the incarnation in a roster.
	firstSeenAt time.Time
	// former is set once the roster no longer lists the process as a member.
	// formerSince is the version of the first roster in which that was so.
	former      bool
	formerSince model.Version

	// minVersion is a lower bound of the configuration version that the process
	// uses while it is a fresh member.
	minVersion model.Version

	// outcomeSentAt is the send time of the latest exchange with a conclusive
	// outcome. answered is set once a process has answered, and cleared when an
	// operator declares the process stopped. connRefused is set if the latest
	// outcome was a refused connection.
	outcomeSentAt time.Time
	answered      bool
	connRefused   bool
	// lastStatus is the latest response, and grantedUntil is the end of the
	// freshness granted by it.
	lastStatus   model.PeerStatus
	grantedUntil time.Time

	// Each of these proves that the process has stopped: it left the roster
	// gracefully (left), no process or a different one listens on its address
	// (terminated), or an operator declared it stopped (declaredStopped).
	left            bool
	terminated      bool
	declaredStopped bool
	// stopLearnedAt is when this node learned that the process has left or
	// terminated.
	stopLearnedAt time.Time
	// vmListed is set once the platform's list has shown the VM. vmMissingSince
	// is when the VM was first missing from the list. vmListSentAt is the send
	// time of the latest list request that was applied.
	vmListed       bool
	vmMissingSince time.Time
	vmListSentAt   time.Time

	// lastHeardAt is when the last message from the process arrived.
	lastHeardAt time.Time
	// nextExchangeAt is when the next exchange is due. exchangeDeadline is when
	// the exchange in flight is abandoned.
	nextExchangeAt   time.Time
	exchangeSentAt   time.Time
	exchangeDeadline time.Time
	// crashesPending is set if a crash was observed after the last exchange was
	// sent.
	crashesPending bool
	// unresponsive is set if the last exchange got no response.
	unresponsive bool
	// lastFetchAt is when this node last requested a fetch from the peer.
	lastFetchAt time.Time
}

// vmGone reports whether the platform has stopped listing the VM.
func (p peer) vmGone(now time.Time) bool {
	return !p.vmMissingSince.IsZero() && !now.Before(p.vmMissingSince.Add(vmGoneTimeout))
}

// stopped reports whether the process is proven or declared to have stopped,
// which means that it can never be fresh again.
func (p peer) stopped(now time.Time) bool {
	return p.left || p.terminated || p.declaredStopped || p.vmGone(now)
}

// withMessage processes a message from the process itself. It revokes earlier
// evidence that the process has stopped, which may be an operator's mistake.
func (p peer) withMessage(status model.PeerStatus, now time.Time) peer {
	p.lastHeardAt = now
	p.minVersion = max(p.minVersion, status.Version)
	p.terminated, p.declaredStopped = false, false
	if !p.left {
		p.stopLearnedAt = time.Time{}
	}
	if status.Left {
		p.left = true
		p = p.withStopLearned(now)
	}
	p.vmMissingSince = time.Time{}
	return p
}

// withStopLearned records when this node learned that the process has ended.
func (p peer) withStopLearned(now time.Time) peer {
	if p.stopLearnedAt.IsZero() {
		p.stopLearnedAt = now
	}
	return p
}

// matches reports whether a status was sent by this incarnation of the process.
func (p peer) matches(status model.PeerStatus) bool {
	return status.Name == p.member.Name && status.Incarnation == p.member.Incarnation
}

// members returns the number of members, including this node.
func (s State) members() int { return len(s.roster.active.Members) }

func (s State) withPeer(p peer) State {
	s.peers = s.peers.Set(p.member.Incarnation, p)
	return s
}

// handleRosterChanged tracks the processes that a newly active roster lists as
// members or former members, and forgets all others.
func (s State) handleRosterChanged(e event.RosterChanged, in step.Input[event.Event]) State {
	if e.Roster.Region != s.region || e.Version <= s.roster.activeVersion {
		return s
	}
	previousRoster := s.roster.activeVersion
	s.roster = s.roster.withActive(e.Version, e.Roster)
	for _, member := range e.Roster.Members {
		if member.Incarnation != s.self.Incarnation {
			p := s.trackedPeer(member, previousRoster, in)
			p.former, p.formerSince = false, 0
			s = s.withPeer(p)
		}
	}
	for _, member := range e.Roster.Former {
		if member.Incarnation != s.self.Incarnation {
			p := s.trackedPeer(member, previousRoster, in)
			if !p.former {
				p.former, p.formerSince = true, e.Version
			}
			s = s.withPeer(p)
		}
	}
	for itr := s.peers.Iterator(); !itr.Done(); {
		id, _, _ := itr.Next()
		if !s.roster.includes(id) {
			// It left gracefully, or another process has its address.
			s.peers = s.peers.Delete(id)
		}
	}
	if s.roster.hasMember(s.self) {
		s.settled = s.settled.withPresence(e.Version)
	} else {
		s.settled = s.settled.withAbsence(e.Version)
	}
	return s
}

// trackedPeer returns the peer for a process listed in the roster, and creates
// it if it is not known yet. previousRoster is the version of the roster that
// was active before.
func (s State) trackedPeer(member model.Member, previousRoster model.Version, in step.Input[event.Event]) peer {
	p, ok := s.peers.Get(member.Incarnation)
	if !ok {
		// Spread the first exchanges over one interval.
		offset := (in.Random ^ uint64(member.Incarnation)*0x9e3779b97f4a7c15) % uint64(s.baseInterval(in.At))
		p = peer{firstSeenAt: in.At, lastHeardAt: in.At, nextExchangeAt: in.At.Add(time.Duration(offset))}
		if previousRoster > 0 {
			// The process became a member by a write after the previous roster,
			// and sees itself as a member only from that version on.
			p.minVersion = previousRoster + 1
		}
	}
	p.member = member
	return p
}

// handleForgetAsked processes an operator's declaration that a process has
// stopped.
func (s State) handleForgetAsked(name model.NodeName) State {
	for itr := s.peers.Iterator(); !itr.Done(); {
		id, p, _ := itr.Next()
		if p.member.Name == name {
			p.declaredStopped, p.answered = true, false
			s.peers = s.peers.Set(id, p)
		}
	}
	return s
}

// handleVMsListed records for each peer whether the platform's list has its VM.
// Lists requested before the peer was first seen say nothing about it.
func (s State) handleVMsListed(e event.VMsListed) State {
	for itr := s.peers.Iterator(); !itr.Done(); {
		id, p, _ := itr.Next()
		if !e.SentAt.After(p.vmListSentAt) || e.SentAt.Before(p.firstSeenAt) {
			continue
		}
		p.vmListSentAt = e.SentAt
		if slices.Contains(e.Addresses, host(p.member.Address)) {
			p.vmListed, p.vmMissingSince = true, time.Time{}
		} else if p.vmListed && p.vmMissingSince.IsZero() {
			p.vmMissingSince = e.SentAt
		}
		s.peers = s.peers.Set(id, p)
	}
	return s
}

func host(address string) string {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return address
	}
	return parsed.Addr().String()
}
