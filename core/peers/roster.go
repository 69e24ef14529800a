package peers

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
)

const (
	// evictionTimeout is how long a member must be silent before the lease
	// holder evicts it.
	evictionTimeout = time.Minute
	// maxFormerMembers limits the size of Roster.Former. No member is evicted
	// once the limit is reached.
	maxFormerMembers = 512
	// storeCallTimeout limits the wait for the end of a store call.
	storeCallTimeout = 15 * time.Second
	// minWriteBackoff and maxWriteBackoff limit the random delay before a write
	// is retried.
	minWriteBackoff = 50 * time.Millisecond
	maxWriteBackoff = 4 * time.Second
)

// roster holds the active roster and the state of this node's writes to it.
type roster struct {
	// activeVersion and active are the roster in the active configuration.
	activeVersion model.Version
	active        model.Roster
	// storeVersion and storeRoster are the latest roster known to be in the
	// store.
	storeVersion model.Version
	storeRoster  model.Roster

	// callSeq numbers the store calls. callPending is set while a call is in
	// flight. The call is abandoned at callDeadline.
	callSeq      uint64
	callPending  bool
	callDeadline time.Time
	// pendingWrite is the value of the write in flight.
	pendingWrite model.Roster
	// nextWriteAt is the earliest time of the next write after unsuccessful
	// attempts.
	nextWriteAt time.Time
	failures    int
}

// hasMember reports whether a process is a member in the active roster.
func (r roster) hasMember(member model.Member) bool {
	return containsIncarnation(r.active.Members, member.Incarnation)
}

// includes reports whether the active roster lists a process as a current or
// former member.
func (r roster) includes(id model.Incarnation) bool {
	return containsIncarnation(r.active.Members, id) || containsIncarnation(r.active.Former, id)
}

func (r roster) withActive(version model.Version, active model.Roster) roster {
	r.activeVersion, r.active = version, active
	if version > r.storeVersion {
		r.storeVersion, r.storeRoster = version, active
	}
	return r
}

// withCallEnd clears the call in flight.
func (r roster) withCallEnd() roster {
	r.callPending, r.callDeadline = false, time.Time{}
	return r
}

// withBackoff sets a random delay whose limit grows exponentially, so that the
// writes of nodes that start together soon stop conflicting.
func (r roster) withBackoff(in step.Input[event.Event]) roster {
	limit := min(minWriteBackoff<<min(r.failures, 10), maxWriteBackoff)
	r.failures++
	r.nextWriteAt = in.At.Add(time.Duration(in.Random % uint64(limit)))
	return r
}

func (r roster) withCall(now time.Time) roster {
	r.callSeq++
	r.callPending, r.callDeadline, r.nextWriteAt = true, now.Add(storeCallTimeout), time.Time{}
	return r
}

func (r roster) op() model.Op { return model.Op{Part: model.PartPeers, Seq: r.callSeq} }

// isPending reports whether op identifies the call in flight.
func (r roster) isPending(op model.Op) bool { return r.callPending && op == r.op() }

// writeRoster writes the roster if the desired one differs from the latest one
// known.
func (s State) writeRoster(in step.Input[event.Event], out *Out) State {
	if s.roster.callPending {
		if in.At.Before(s.roster.callDeadline) {
			return s
		}
		s.roster = s.roster.withCallEnd()
	}
	if !s.configLoaded || !s.hasStoreContact(in.At) || in.At.Before(s.roster.nextWriteAt) {
		return s
	}
	s.roster.nextWriteAt = time.Time{}
	desired, changed := s.desired(in.At)
	if !changed {
		return s
	}
	s.roster = s.roster.withCall(in.At)
	s.roster.pendingWrite = desired
	out.Emit(effect.WriteObject{
		Op:        s.roster.op(),
		Kind:      model.KindRoster,
		Name:      string(s.region),
		IfVersion: s.roster.storeVersion,
		Value:     desired,
		Nonce:     fmt.Sprintf("%x.%d", uint64(s.self.Incarnation), s.roster.callSeq),
	})
	return s
}

// desired returns the roster that this node would write, and whether it differs
// from the latest one known.
func (s State) desired(now time.Time) (model.Roster, bool) {
	latest := s.roster.storeRoster
	desired := model.Roster{Region: s.region, Members: slices.Clone(latest.Members)}
	changed := false
	for _, former := range latest.Former {
		p, ok := s.peers.Get(former.Incarnation)
		if ok && (p.stopped(now) || s.formerSettled(p)) {
			// Only the lease holder writes the roster for this alone.
			changed = changed || s.holdsLease
			continue
		}
		desired.Former = append(desired.Former, former)
	}
	if s.leaving == containsIncarnation(latest.Members, s.self.Incarnation) {
		changed = true
		desired = s.withoutOwnEntries(desired)
		if !s.leaving {
			desired.Members = append(desired.Members, s.self)
		}
	}
	if s.holdsLease {
		for _, member := range s.evictionCandidates(now) {
			i := slices.Index(desired.Members, member)
			if i < 0 || len(desired.Former) >= maxFormerMembers {
				continue
			}
			changed = true
			desired.Members = slices.Delete(desired.Members, i, i+1)
			if p, ok := s.peers.Get(member.Incarnation); ok && !p.stopped(now) {
				desired.Former = append(desired.Former, member)
			}
		}
	}
	slices.SortFunc(desired.Members, func(a, b model.Member) int {
		return strings.Compare(string(a.Name), string(b.Name))
	})
	return desired, changed
}

// withoutOwnEntries removes this process and its predecessors. A predecessor at
// the same address has ended, because this process listens there. A process
// with the same name but another address may still be running, so it becomes a
// former member.
func (s State) withoutOwnEntries(roster model.Roster) model.Roster {
	var members []model.Member
	for _, member := range roster.Members {
		switch {
		case member.Incarnation == s.self.Incarnation || member.Address == s.self.Address:
		case member.Name == s.self.Name:
			roster.Former = append(roster.Former, member)
		default:
			members = append(members, member)
		}
	}
	roster.Members = members
	roster.Former = slices.DeleteFunc(roster.Former, func(former model.Member) bool {
		return former.Incarnation == s.self.Incarnation || former.Address == s.self.Address
	})
	return roster
}

// emitDeparture emits effect.Departed once, when this process is leaving and
// the store's roster no longer lists it.
func (s State) emitDeparture(out *Out) State {
	if s.leaving && !s.departed && !containsIncarnation(s.roster.storeRoster.Members, s.self.Incarnation) {
		s.departed = true
		out.Emit(effect.Departed{})
	}
	return s
}

// evictionCandidates returns the members to evict. A node that has other
// members but hears from none of them is probably partitioned itself, so it
// evicts only members proven to have stopped.
func (s State) evictionCandidates(now time.Time) []model.Member {
	var candidates []model.Member
	heard, others := 0, 0
	for itr := s.peers.Iterator(); !itr.Done(); {
		_, p, _ := itr.Next()
		if p.former {
			continue
		}
		others++
		if now.Before(p.lastHeardAt.Add(2 * FreshnessTTL)) {
			heard++
		}
	}
	for itr := s.peers.Iterator(); !itr.Done(); {
		_, p, _ := itr.Next()
		if p.former || now.Before(p.lastHeardAt.Add(evictionTimeout)) {
			continue
		}
		if heard > 0 || others == 1 || p.stopped(now) {
			candidates = append(candidates, p.member)
		}
	}
	return candidates
}

// handleObjectWritten adopts the written roster as the one in the store, unless
// a later one is already known.
func (s State) handleObjectWritten(e event.ObjectWritten) State {
	if !s.roster.isPending(e.Op) {
		return s
	}
	r := s.roster.withCallEnd()
	r.failures = 0
	if e.Version > r.storeVersion {
		r.storeVersion, r.storeRoster = e.Version, r.pendingWrite
	}
	s.roster = r
	return s
}

// handleWriteFailed reads the roster after a write that was rejected or whose
// outcome is unknown. The roster lists sets of members, so its content shows
// whether the write took effect.
func (s State) handleWriteFailed(op model.Op, now time.Time, out *Out) State {
	if !s.roster.isPending(op) {
		return s
	}
	s.roster = s.roster.withCall(now)
	out.Emit(effect.ReadObject{Op: s.roster.op(), Kind: model.KindRoster, Name: string(s.region)})
	return s
}

// handleObjectRead processes the roster that was read back. If it is not as
// desired, the next write follows after a backoff.
func (s State) handleObjectRead(e event.ObjectRead, in step.Input[event.Event]) State {
	if !s.roster.isPending(e.Op) {
		return s
	}
	r := s.roster.withCallEnd().withBackoff(in)
	switch latest, ok := e.Object.Value.(model.Roster); {
	case !e.Found || e.Object.Deleted:
		r.storeVersion, r.storeRoster = 0, model.Roster{Region: s.region}
	case e.Object.Version < r.storeVersion:
	case ok:
		r.storeVersion, r.storeRoster = e.Object.Version, latest
	default:
		// Replace an object that cannot be decoded by the active roster.
		r.storeVersion, r.storeRoster = e.Object.Version, r.active
	}
	s.roster = r
	if !containsIncarnation(r.storeRoster.Members, s.self.Incarnation) {
		s.settled = s.settled.withAbsence(r.storeVersion)
	}
	return s
}

// handleCallFailed schedules another attempt for a call that had no effect.
func (s State) handleCallFailed(op model.Op, in step.Input[event.Event]) State {
	if s.roster.isPending(op) {
		s.roster = s.roster.withCallEnd().withBackoff(in)
	}
	return s
}

func containsIncarnation(members []model.Member, id model.Incarnation) bool {
	return slices.ContainsFunc(members, func(m model.Member) bool { return m.Incarnation == id })
}
