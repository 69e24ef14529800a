package fleet

import (
	"slices"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

// returnColdTime is the time after the end of an evacuation for which the upstreams of
// the zone are taken for cold, unless their entries say otherwise. They may have become
// cold shortly before, and their entries follow within a heartbeat.
const returnColdTime = 1500 * time.Millisecond

// Evacuations returns the availability zones whose upstreams get no requests.
func (s State) Evacuations() model.Evacuations { return s.evacuations }

// EvacuationSeq returns the number of changes of the evacuated zones.
func (s State) EvacuationSeq() uint64 { return s.evacuationSeq }

// Evacuated reports whether the availability zone of the upstream is evacuated.
func (u Upstream) Evacuated() bool { return u.evacuated }

// handleEvacuations applies evacuations that are later than those that are known.
func (s State) handleEvacuations(next model.Evacuations, at time.Time, out *Out) State {
	if next.Version <= s.evacuations.Version {
		return s
	}
	last := s.evacuations
	s.evacuations = next
	if slices.Equal(last.Zones, next.Zones) {
		return s
	}
	s.evacuationSeq++
	for _, zone := range next.Zones {
		if !last.Has(zone) {
			out.Emit(s.evacuationBelief(zone))
		}
	}
	for _, zone := range last.Zones {
		if !next.Has(zone) {
			out.Emit(effect.Believe{Belief: model.ZoneReturned, Subject: string(zone), Number: uint64(next.Version)})
		}
	}
	for itr := s.upstreams.Iterator(); !itr.Done(); {
		name, u, _ := itr.Next()
		if evacuated := next.Has(u.Zone); evacuated != u.evacuated {
			s.upstreams = s.upstreams.Set(name, u.withEvacuated(evacuated, at, out))
		}
	}
	return s
}

// evacuationBelief returns the belief that a zone is evacuated.
func (s State) evacuationBelief(zone model.ZoneName) effect.Effect {
	belief := model.ZoneEvacuated
	if _, known := s.zones[zone]; !known && s.listed {
		belief = model.UnknownZoneEvacuated
	}
	return effect.Believe{Belief: belief, Subject: string(zone), Number: uint64(s.evacuations.Version)}
}

// withEvacuated returns the upstream at the begin or the end of an evacuation.
func (u Upstream) withEvacuated(evacuated bool, at time.Time, out *Out) Upstream {
	u.evacuated = evacuated
	if until := at.Add(returnColdTime); !evacuated && u.coldLeft(at) < returnColdTime {
		u = u.withColdUntil(until, at, out)
	}
	return u
}

// handleEvacuationReport applies the evacuations that a peer knows.
func (s State) handleEvacuationReport(e event.Event, at time.Time, out *Out) State {
	switch e := e.(type) {
	case event.EvacuationsRead:
		return s.handleEvacuations(e.Evacuations, at, out)
	case event.SyncAnswered:
		return s.handleEvacuations(e.Report.Evacuations, at, out)
	case event.SyncArrived:
		return s.handleEvacuations(e.Report.Evacuations, at, out)
	case event.AnnounceArrived:
		return s.handleEvacuations(e.Report.Evacuations, at, out)
	default:
		return s
	}
}
