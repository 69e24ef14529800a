package flow

import (
	"time"

	"caroblane/core/conf"
	"caroblane/core/event"
	"caroblane/core/model"
)

// expectedExit reports whether an upstream process was expected to end: its VM
// is being reclaimed, or an operator is taking it out of service or has removed
// it. Such an exit is not counted as a crash of the requests that it was
// running.
func (s State) expectedExit(name model.UpstreamName, config conf.State) bool {
	upstream, ok := config.Upstream(name)
	return !ok || upstream.State != model.UpstreamActive || s.onReclaimedVM(upstream.Address)
}

// countCrash counts the crash of an upstream once for each request that was
// running there.
func (s State) countCrash(name model.UpstreamName, view View, out *Out) State {
	var fingerprints []uint64
	for itr := s.open.Iterator(); !itr.Done(); {
		ticket, req, _ := itr.Next()
		if req.phase != running || req.upstream != name || req.crashCounted {
			continue
		}
		req.crashCounted = true
		s.open = s.open.Set(ticket, req)
		fingerprints = append(fingerprints, req.received.Fingerprint)
	}
	s.crashes = s.crashes.WithCrash(fingerprints, view.At)
	out.Raise(event.CrashCountsChanged{Counts: s.crashes.Own(), Increased: true})
	return s
}

// expireCrashCounts removes expired crash counts, so that they are no longer
// sent to peers.
func (s State) expireCrashCounts(at time.Time, out *Out) State {
	if next := s.crashes.Next(); next.IsZero() || at.Before(next) {
		return s
	}
	s.crashes = s.crashes.WithoutExpired(at)
	out.Raise(event.CrashCountsChanged{Counts: s.crashes.Own()})
	return s
}
