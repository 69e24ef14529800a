package peers

import "time"

// minStoreFailures is the number of failed store calls after which a node that
// may have been paused knows that the store is not answering. One is not
// enough: only the second call is certain to have been sent after the first had
// failed.
const minStoreFailures = 2

// withOutageMode computes until when all other members are accounted for. This
// node must be a member itself, because the others do not account for a process
// outside the roster.
func (s State) withOutageMode(now time.Time) State {
	s = s.withExpiry(now)
	s.outageModeUntil = time.Time{}
	if !s.roster.hasMember(s.self) || s.expired && s.storeFailures < minStoreFailures {
		return s
	}
	until := now.Add(FreshnessTTL)
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
		s.outageModeUntil = until
	}
	return s
}

// withExpiry records whether the freshness has ended, and when.
func (s State) withExpiry(now time.Time) State {
	end := laterTime(s.freshUntil, s.outageModeUntil)
	if expired := !now.Before(end); expired != s.expired {
		s.expired, s.expiredAt, s.storeFailures = expired, end, 0
	}
	return s
}

// accountedUntil returns until when a member is known to have nothing new from
// the store: either it said so, at a version that this node has, or its process
// has stopped.
func (s State) accountedUntil(p peer, now time.Time) time.Time {
	accounted := now.Add(FreshnessTTL)
	switch {
	case p.declaredStopped || p.vmGone(now):
		// Any response from the address revokes these.
		return accounted
	case p.connRefused:
		accounted = p.outcomeSentAt.Add(FreshnessTTL)
	case p.left && (!p.answered || p.matches(p.lastStatus)):
	case !p.answered || p.lastStatus.StoreContact || p.lastStatus.Version > s.version:
		return time.Time{}
	default:
		// A later process at the same address counts like the member itself: it
		// is the only one there, and may have contact with the store.
		accounted = p.outcomeSentAt.Add(FreshnessTTL)
		if p.matches(p.lastStatus) {
			return accounted
		}
	}
	// Once the freshness of this node had ended, the member may have advanced
	// its settled version without regard to this node. After the member has
	// stopped, members unknown to this node may rely on that version. A stop
	// therefore counts only if this node learned of it before its own freshness
	// ended.
	if s.expired && (p.stopLearnedAt.IsZero() || p.stopLearnedAt.After(s.expiredAt)) {
		return time.Time{}
	}
	return accounted
}
