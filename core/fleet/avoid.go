package fleet

import (
	"math"
	"time"

	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
)

const (
	// unreachableBackoff is how long an upstream is avoided after it did not
	// accept a connection. It doubles with each further failure, up to
	// maxUnreachableBackoff.
	unreachableBackoff    = 500 * time.Millisecond
	maxUnreachableBackoff = 4 * time.Second
	// rejectedBackoff is how long an upstream is avoided after it rejected a
	// request. It may be at capacity or shutting down.
	rejectedBackoff = 200 * time.Millisecond
	// misdirectedBackoff is how long an upstream is avoided if it differs from
	// its registry entry, unless the entry changes earlier. It doubles with
	// each further misdirected request, up to maxMisdirectedBackoff: an order
	// that is carried out late changes the role of an engine without notice,
	// and the entry only follows seconds later.
	misdirectedBackoff    = 400 * time.Millisecond
	maxMisdirectedBackoff = 3200 * time.Millisecond
	// failureWeight is the load added by one failed response. It decays with the
	// time constant failureDecayTime.
	failureWeight    = 0.5
	failureDecayTime = 3 * time.Second
	// suspicionTime is how long a report that an upstream cannot be reached counts
	// until another node reports the same.
	suspicionTime = 2 * time.Second
	// avoidInterval is the least time between two reasons to double the backoff, since
	// many requests fail at once.
	avoidInterval = 300 * time.Millisecond
)

// Avoided reports whether other upstreams are preferred, because this one
// recently rejected a request or did not accept a connection.
func (u Upstream) Avoided(at time.Time) bool { return at.Before(u.avoidUntil) }

// FailurePenalty returns the load that recent failures add.
func (u Upstream) FailurePenalty(at time.Time) float64 {
	if u.failureLoad == 0 {
		return 0
	}
	return u.failureLoad * math.Exp(-at.Sub(u.failedAt).Seconds()/failureDecayTime.Seconds())
}

func (s State) handleAttemptJudged(e event.AttemptJudged, at time.Time, out *Out) State {
	u, found := s.upstreams.Get(e.Upstream)
	if !found {
		return s
	}
	switch {
	case e.Unreachable:
		u = u.avoided(at)
		out.Emit(beliefEffect(model.UpstreamAvoided, u.Upstream))
		s.unreachable = withName(s.unreachable, e.Upstream)
		s.announceAt = step.Earliest(s.announceAt, at.Add(startAnnounceDelay))
	case e.Misdirected:
		u.avoidUntil = at.Add(min(maxMisdirectedBackoff, misdirectedBackoff<<min(u.misdirections, 8)))
		u.misdirections++
		out.Emit(beliefEffect(model.UpstreamAvoided, u.Upstream))
	case e.Rejected:
		u.avoidUntil = at.Add(rejectedBackoff)
	case e.Failed:
		u.failureLoad, u.failedAt = u.FailurePenalty(at)+failureWeight, at
	default:
		if u.connectFailures == 0 && u.misdirections == 0 {
			return s
		}
		u.connectFailures, u.misdirections = 0, 0
	}
	s.upstreams = s.upstreams.Set(e.Upstream, u)
	return s
}

// avoided returns an upstream that could not be reached. Each failure doubles the time
// for which it is avoided.
func (u Upstream) avoided(at time.Time) Upstream {
	until := at.Add(min(maxUnreachableBackoff, unreachableBackoff<<min(u.connectFailures, 8)))
	if until.After(u.avoidUntil) {
		u.avoidUntil = until
	}
	if at.Sub(u.avoidedAt) >= avoidInterval {
		u.avoidedAt = at
		u.connectFailures++
	}
	return u
}

// withUnreachable notes that a peer could not reach an upstream. It is avoided once two
// nodes say so, because a single one may itself be cut off.
func (s State) withUnreachable(name model.UpstreamName, by model.NodeName, at time.Time) State {
	u, found := s.upstreams.Get(name)
	if !found {
		return s
	}
	confirmed := u.suspectedBy != "" && u.suspectedBy != by && at.Sub(u.suspectedAt) < suspicionTime
	u.suspectedBy, u.suspectedAt = by, at
	if confirmed || u.connectFailures > 0 {
		u = u.avoided(at)
	}
	s.upstreams = s.upstreams.Set(name, u)
	return s
}
