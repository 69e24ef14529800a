package fleet

import (
	"time"

	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/ramp"
)

// maxColdTime is the longest time for which an entry or an answer may say that its
// upstream is cold. One that says more is taken for this.
const maxColdTime = time.Minute

// coldness is what is known of the time for which an upstream bears few requests, and what
// this node sent to it meanwhile. It is nil for most upstreams and never modified.
type coldness struct {
	until time.Time
	sends ramp.Sends
}

// Cold reports whether the upstream bears few requests for now.
func (u Upstream) Cold(at time.Time) bool { return u.cold != nil && at.Before(u.cold.until) }

// ColdCount returns the number of cold upstreams.
func (s State) ColdCount(at time.Time) int {
	count := 0
	for itr := s.upstreams.Iterator(); !itr.Done(); {
		if _, u, _ := itr.Next(); u.Cold(at) {
			count++
		}
	}
	return count
}

// ColdSends returns what this node sent to the upstream while it was cold.
func (u Upstream) ColdSends() ramp.Sends {
	if u.cold == nil {
		return ramp.Sends{}
	}
	return u.cold.sends
}

// withColdUntil returns the upstream, which is cold until a time. What was sent to it
// before still counts.
func (u Upstream) withColdUntil(until, at time.Time, out *Out) Upstream {
	if !until.After(at) {
		u.cold = nil
		return u
	}
	if !u.Cold(at) {
		cold := beliefEffect(model.UpstreamCold, u.Upstream)
		cold.Until = until
		out.Emit(cold)
	}
	u.cold = &coldness{until: until, sends: u.ColdSends()}
	return u
}

// withColdEntry returns the upstream with what a new version of its entry says. The same
// entry may be read again later, when less of its cold time is left.
func (u Upstream) withColdEntry(last model.Version, at time.Time, out *Out) Upstream {
	if u.EntryVersion == last && last != 0 {
		return u
	}
	left := min(max(u.ColdLeft, 0), maxColdTime)
	if left != u.ColdLeft {
		out.Emit(beliefEffect(model.ColdTimeInvalid, u.Upstream))
	}
	return u.withColdUntil(at.Add(left), at, out)
}

// handleUpstreamCold notes what an answer of an upstream says about how long it is cold.
// It is later than the entry, which follows with the next heartbeat.
func (s State) handleUpstreamCold(e event.UpstreamCold, at time.Time, out *Out) State {
	u, found := s.upstreams.Get(e.Instance.Name)
	if !found || u.Incarnation != e.Instance.Incarnation {
		return s
	}
	s.upstreams = s.upstreams.Set(u.Name, u.withColdUntil(e.ReceivedAt.Add(min(max(e.Left, 0), maxColdTime)), at, out))
	return s
}

// withColdSend counts a request that was placed at the upstream while it is cold.
func (u Upstream) withColdSend(at time.Time) Upstream {
	if u.Cold(at) {
		u.cold = &coldness{until: u.cold.until, sends: u.cold.sends.With(at)}
	}
	return u
}

// coldLeft returns how much longer the upstream is cold.
func (u Upstream) coldLeft(at time.Time) time.Duration {
	if !u.Cold(at) {
		return 0
	}
	return u.cold.until.Sub(at)
}
