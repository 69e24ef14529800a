package peers

import (
	"net/netip"
	"slices"
	"time"

	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
)

// vmGoneTerm is for how long the platform's list must lack a VM that it has
// shown. The list lags, and a replaced VM with the same IP number is missing
// from it for a moment.
const vmGoneTerm = time.Minute

// peer is another process that may be fresh. Values are changed by copy.
type peer struct {
	member model.Member
	// seenAt is when this node first saw the incarnation in a roster.
	seenAt time.Time
	// former marks a process that the roster no longer lists as a member;
	// removed is the roster version that showed it first.
	former  bool
	removed model.Version

	// version is a lower bound of the configuration version that the process
	// uses while it is a fresh member.
	version model.Version

	// outcomeAt is when the last call with an outcome was sent. Answered tells
	// that there was one, refused that it was a refused connection.
	outcomeAt time.Time
	answered  bool
	refused   bool
	// report is the last answer, grantUntil the freshness that it passes on.
	report     model.PeerStatus
	grantUntil time.Time

	// Each of these proves that the process has stopped: it left the roster in
	// good order, no process or another one listens at its address, an operator
	// stated it.
	left   bool
	dead   bool
	stated bool
	// endedAt is when this node learned that the process has left or died.
	endedAt time.Time
	// listed tells that the platform's list has shown the VM, goneAt since when
	// it no longer does.
	listed bool
	goneAt time.Time
	listAt time.Time

	// heardAt is when the process was last heard.
	heardAt time.Time
	// nextAt is when the next exchange is due, pendingUntil when the one in
	// progress is given up.
	nextAt       time.Time
	sentAt       time.Time
	pendingUntil time.Time
	// news tells that crash counts rose after the last exchange was sent.
	news bool
	// silent tells that the last exchange got no answer.
	silent bool
	// fetchedAt is when this node last wanted to fetch from the peer.
	fetchedAt time.Time
}

// gone tells that the platform no longer lists the VM.
func (p peer) gone(now time.Time) bool {
	return !p.goneAt.IsZero() && !now.Before(p.goneAt.Add(vmGoneTerm))
}

// ruledOut tells that the process can never be fresh again.
func (p peer) ruledOut(now time.Time) bool {
	return p.left || p.dead || p.stated || p.gone(now)
}

// withSign takes a message of the process itself. It withdraws proofs that it
// has stopped, which an operator may have stated in error.
func (p peer) withSign(status model.PeerStatus, now time.Time) peer {
	p.heardAt = now
	p.version = max(p.version, status.Version)
	p.dead, p.stated = false, false
	if !p.left {
		p.endedAt = time.Time{}
	}
	if status.Left {
		p.left = true
		p = p.withEnded(now)
	}
	p.goneAt = time.Time{}
	return p
}

// withEnded notes when this node learned that the process ended.
func (p peer) withEnded(now time.Time) peer {
	if p.endedAt.IsZero() {
		p.endedAt = now
	}
	return p
}

// runsAs tells whether a status is from the process of this incarnation.
func (p peer) runsAs(status model.PeerStatus) bool {
	return status.Name == p.member.Name && status.Incarnation == p.member.Incarnation
}

// members returns the number of members, this node included.
func (s State) members() int { return len(s.roster.value.Members) }

func (s State) withPeer(p peer) State {
	s.peers = s.peers.Set(p.member.Incarnation, p)
	return s
}

// withRoster takes another roster that came into force.
func (s State) withRoster(e event.RosterChanged, in step.Input[event.Event]) State {
	if e.Roster.Region != s.region || e.Version <= s.roster.inForce {
		return s
	}
	previous := s.roster.inForce
	s.roster = s.roster.withInForce(e.Version, e.Roster)
	for _, member := range e.Roster.Members {
		if member.Incarnation != s.self.Incarnation {
			p := s.tracked(member, previous, in)
			p.former, p.removed = false, 0
			s = s.withPeer(p)
		}
	}
	for _, member := range e.Roster.Former {
		if member.Incarnation != s.self.Incarnation {
			p := s.tracked(member, previous, in)
			if !p.former {
				p.former, p.removed = true, e.Version
			}
			s = s.withPeer(p)
		}
	}
	for itr := s.peers.Iterator(); !itr.Done(); {
		id, _, _ := itr.Next()
		if !s.roster.mentions(id) {
			// It left in good order, or another process has its address.
			s.peers = s.peers.Delete(id)
		}
	}
	if s.roster.lists(s.self) {
		s.settle = s.settle.withPresence(e.Version)
	} else {
		s.settle = s.settle.withAbsence(e.Version)
	}
	return s
}

// tracked returns what is known of a process that the roster lists. Previous is
// the version of the roster that was in force before.
func (s State) tracked(member model.Member, previous model.Version, in step.Input[event.Event]) peer {
	p, ok := s.peers.Get(member.Incarnation)
	if !ok {
		// The first exchanges are spread over a period.
		offset := (in.Draw ^ uint64(member.Incarnation)*0x9e3779b97f4a7c15) % uint64(s.period(in.At))
		p = peer{seenAt: in.At, heardAt: in.At, nextAt: in.At.Add(time.Duration(offset))}
		if previous > 0 {
			// A write after the previous one made the process a member, and it is
			// one in its own view only from then on.
			p.version = previous + 1
		}
	}
	p.member = member
	return p
}

// forgetAsked takes an operator's statement that a process has stopped.
func (s State) forgetAsked(name model.NodeName) State {
	for itr := s.peers.Iterator(); !itr.Done(); {
		id, p, _ := itr.Next()
		if p.member.Name == name {
			p.stated, p.answered = true, false
			s.peers = s.peers.Set(id, p)
		}
	}
	return s
}

// vmsListed takes the platform's list of VMs.
func (s State) vmsListed(e event.VMsListed) State {
	for itr := s.peers.Iterator(); !itr.Done(); {
		id, p, _ := itr.Next()
		if !e.SentAt.After(p.listAt) || e.SentAt.Before(p.seenAt) {
			continue
		}
		p.listAt = e.SentAt
		if slices.Contains(e.Addresses, host(p.member.Address)) {
			p.listed, p.goneAt = true, time.Time{}
		} else if p.listed && p.goneAt.IsZero() {
			p.goneAt = e.SentAt
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
