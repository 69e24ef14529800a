package peers

import "time"

// minFailures is the number of failed calls to the store after which a node
// that was paused knows that the store does not answer it: the second call was
// sent after the first one had failed.
const minFailures = 2

// withOutage computes until when all other members are accounted for. Only a
// member counts: others would not account for a process outside of the roster.
func (s State) withOutage(now time.Time) State {
	s = s.withLapse(now)
	s.outageUntil = time.Time{}
	if !s.roster.lists(s.self) || s.lapsed && s.failures < minFailures {
		return s
	}
	until := now.Add(FreshnessTerm)
	for itr := s.peers.Iterator(); !itr.Done(); {
		_, p, _ := itr.Next()
		if p.former {
			continue
		}
		if accounted := s.accountedUntil(p, now); accounted.Before(until) {
			until = accounted
		}
	}
	if until.After(now) {
		s.outageUntil = until
	}
	return s
}

// withLapse notes whether the freshness has ended.
func (s State) withLapse(now time.Time) State {
	end := later(s.freshUntil, s.outageUntil)
	if lapsed := !now.Before(end); lapsed != s.lapsed {
		s.lapsed, s.lapsedAt, s.failures = lapsed, end, 0
	}
	return s
}

// accountedUntil returns until when a member is known to have no news of the
// store: it said so, at a version that this node has, or its process stopped.
func (s State) accountedUntil(p peer, now time.Time) time.Time {
	ended := now.Add(FreshnessTerm)
	switch {
	case p.stated || p.gone(now):
		// Any answer from the address withdraws these.
		return ended
	case p.refused:
		ended = p.outcomeAt.Add(FreshnessTerm)
	case p.left && (!p.answered || p.runsAs(p.report)):
	case !p.answered || p.report.Contact || p.report.Version > s.version:
		return time.Time{}
	default:
		// A later process at the same address counts like the member itself: it
		// is the only one there, and may have contact.
		ended = p.outcomeAt.Add(FreshnessTerm)
		if p.runsAs(p.report) {
			return ended
		}
	}
	// The member may have passed over this node in its settled version once this
	// node's freshness ended, and members that this node does not know may rely
	// on that after the member's end. Its end counts only if it came before.
	if s.lapsed && (p.endedAt.IsZero() || p.endedAt.After(s.lapsedAt)) {
		return time.Time{}
	}
	return ended
}
