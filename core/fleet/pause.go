package fleet

import (
	"math"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
)

const (
	// maxPause is the longest pause that an upstream can ask for. One that asks for more
	// gets this.
	maxPause = time.Hour
	// returnFactor is the number of further requests that each served one allows after a
	// pause, and returnedAfter the number of served ones after which there is no limit.
	returnFactor  = 2
	returnedAfter = 16
)

// pause is the time for which an instance wants nothing from this node, and the gradual
// return of the requests after it.
type pause struct {
	// until is the end of the pause, or zero if there is none and the return is complete.
	until time.Time
	// reported is set once the end has been reported.
	reported bool
	// sent is the number of requests sent since the end, without those that the instance
	// did not serve, and served the number of those that it served.
	sent, served int
}

// runs reports whether the instance wants nothing at the given time.
func (p pause) runs(at time.Time) bool { return at.Before(p.until) }

// admits reports whether a request may be sent: any without a pause, none during it, and
// as many as were served allow after it.
func (p pause) admits(at time.Time) bool {
	return p.until.IsZero() || !p.runs(at) && p.sent < 1+returnFactor*p.served
}

// Pausing reports whether the upstream wants nothing for now.
func (u Upstream) Pausing(at time.Time) bool { return u.notice().pause.runs(at) }

// Paused reports whether the upstream gets nothing because of a pause, which runs or
// after which it has yet to serve what it got.
func (u Upstream) Paused(at time.Time) bool { return !u.notice().pause.admits(at) }

// Pausing reports whether an instance of an upstream wants nothing for now.
func (s State) Pausing(u model.Upstream, at time.Time) bool {
	return s.noticeOf(instanceOf(u)).pause.runs(at) ||
		s.anyStatement(u, func(st statement) bool { return at.Before(st.pausedUntil) })
}

// PauseEnd reports whether all upstreams of a service that pass a filter get no request
// because of a pause, and when the first one ends. Upstreams that are leaving or
// evacuated do not count.
func (s State) PauseEnd(service model.ServiceName, at time.Time, filter func(Upstream) bool) (end time.Time, all bool) {
	for _, name := range s.ActiveUpstreams(service) {
		u, found := s.upstreams.Get(name)
		if !found || u.Leaving() || u.Evacuated() || !filter(u) {
			continue
		}
		if !u.Paused(at) {
			return time.Time{}, false
		}
		end = step.Earliest(end, u.notice().pause.until)
	}
	return end, !end.IsZero()
}

// pauseEnd returns the end of a pause of a stated number of seconds. Zero, a negative
// number and NaN ask for no pause; infinity and numbers above maxPause ask for maxPause.
func pauseEnd(from time.Time, seconds float64) (time.Time, bool) {
	switch {
	case math.IsNaN(seconds), seconds <= 0:
		return time.Time{}, false
	case seconds >= maxPause.Seconds():
		return from.Add(maxPause), true
	default:
		return from.Add(time.Duration(seconds * float64(time.Second))), true
	}
}

// handlePauseAsked begins or extends a pause.
func (s State) handlePauseAsked(e event.PauseAsked, at time.Time, out *Out) State {
	until, valid := pauseEnd(e.ReceivedAt, e.Seconds)
	if !valid {
		return s
	}
	st := statement{source: s.sourceOf(e.Conn, at), pausedUntil: until}
	return s.handleStatement(s.responder(e.Instance, st), st, at, out)
}

// extended returns the pause of an instance that wants nothing until a time, and reports
// what changes. A pause that runs is never shortened.
func (p pause) extended(instance model.UpstreamInstance, until, at time.Time, out *Out) pause {
	if !until.After(p.until) {
		return p
	}
	if !p.runs(at) {
		if !p.until.IsZero() && !p.reported {
			out.Emit(pauseBelief(model.UpstreamPauseOver, instance, p.until))
		}
		out.Emit(pauseBelief(model.UpstreamPaused, instance, until))
	}
	return pause{until: until}
}

func pauseBelief(belief model.Belief, instance model.UpstreamInstance, until time.Time) effect.Effect {
	return effect.Believe{Belief: belief, Subject: string(instance.Name), Number: uint64(instance.Incarnation), Until: until}
}

// endPauses reports the pauses that have ended.
func (s State) endPauses(at time.Time, out *Out) State {
	if s.nextPauseEnd.IsZero() || at.Before(s.nextPauseEnd) {
		return s
	}
	s.nextPauseEnd = time.Time{}
	for itr := s.notices.Iterator(); !itr.Done(); {
		instance, n, _ := itr.Next()
		switch {
		case n.pause.until.IsZero(), n.pause.reported:
		case n.pause.runs(at):
			s.nextPauseEnd = step.Earliest(s.nextPauseEnd, n.pause.until)
		default:
			out.Emit(pauseBelief(model.UpstreamPauseOver, instance, n.pause.until))
			n.pause.reported = true
			s = s.withNotice(instance, n)
		}
	}
	return s
}

// withTrial counts a request that was placed at an upstream after its pause.
func (s State) withTrial(u Upstream, at time.Time) State {
	n := u.notice()
	if n.pause.until.IsZero() || n.pause.runs(at) {
		return s
	}
	n.pause.sent++
	return s.withNotice(instanceOf(u.Upstream), n)
}

// handleAttemptSettled allows more requests after one that was served, and another one
// after one that was not. Those sent before the end of the pause do not count.
func (s State) handleAttemptSettled(e event.AttemptSettled) State {
	n := s.noticeOf(e.Instance)
	if n.pause.until.IsZero() || e.SentAt.Before(n.pause.until) {
		return s
	}
	if e.Served {
		n.pause.served++
	} else {
		n.pause.sent = max(0, n.pause.sent-1)
	}
	if n.pause.served >= returnedAfter && n.pause.reported {
		n.pause = pause{}
	}
	return s.withNotice(e.Instance, n)
}
