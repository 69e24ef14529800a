package flow

import (
	"time"

	"caroblane/core/event"
	"caroblane/core/model"
)

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
