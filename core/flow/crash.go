package flow

import (
	"time"

	"caroblane/core/conf"
	"caroblane/core/event"
	"caroblane/core/model"
)

// expected tells that the end of an upstream's process is no sign of a crash:
// its VM is being reclaimed, or an operator takes it out of service. The
// requests that it ran must not be blamed.
func (s State) expected(name model.UpstreamName, config conf.State) bool {
	upstream, ok := config.Upstream(name)
	return !ok || upstream.State != model.UpstreamActive || s.onLeavingVM(upstream.Address)
}

// crashed counts the crash of an upstream once for each request that it ran.
func (s State) crashed(name model.UpstreamName, facts Facts, out *Out) State {
	var fingerprints []uint64
	for itr := s.open.Iterator(); !itr.Done(); {
		ticket, c, _ := itr.Next()
		if c.phase != running || c.upstream != name || c.crashCounted {
			continue
		}
		c.crashCounted = true
		s.open = s.open.Set(ticket, c)
		fingerprints = append(fingerprints, c.request.Fingerprint)
	}
	s.crashes = s.crashes.WithCrash(fingerprints, facts.At)
	out.Raise(event.CrashCountsChanged{Counts: s.crashes.Own(), Rose: true})
	return s
}

// crashesExpired ends old counts, so that peers do not receive them any more.
func (s State) crashesExpired(at time.Time, out *Out) State {
	if next := s.crashes.Next(); next.IsZero() || at.Before(next) {
		return s
	}
	s.crashes = s.crashes.WithoutExpired(at)
	out.Raise(event.CrashCountsChanged{Counts: s.crashes.Own()})
	return s
}
