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

// countCrash records the crash of an upstream for each request that was
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
	// Each node that observes the crash counts it by itself: its batch differs from those of
	// the others.
	s.crashes = s.crashes.WithCrash(view.Random, fingerprints, view.At)
	out.Raise(event.CrashRecordsChanged{Crashes: s.crashes.Records(view.At), Observed: true})
	return s
}

// handleCrashRecordsArrived adds the crash records of a peer. The node passes on what it
// learned, so that it outlives the peer.
func (s State) handleCrashRecordsArrived(e event.CrashRecordsArrived, at time.Time, out *Out) State {
	crashes, changed := s.crashes.WithRecords(e.Crashes, at)
	if changed {
		s.crashes = crashes
		out.Raise(event.CrashRecordsChanged{Crashes: s.crashes.Records(at)})
	}
	return s
}

// expireCrashRecords removes expired crash records, so that they are no longer
// sent to peers.
func (s State) expireCrashRecords(at time.Time, out *Out) State {
	if next := s.crashes.Next(); next.IsZero() || at.Before(next) {
		return s
	}
	s.crashes = s.crashes.WithoutExpired(at)
	out.Raise(event.CrashRecordsChanged{Crashes: s.crashes.Records(at)})
	return s
}
