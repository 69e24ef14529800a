package usage

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/record"
	"caroblane/core/step"
)

const (
	snapshotName = "recent"
	// saveInterval is the time between two writes of the snapshot. Requests
	// counted since the last write are lost if all nodes fail.
	saveInterval = time.Second
)

// withoutSnapshot resets the snapshot, so that it is read again.
func (s State) withoutSnapshot() State {
	s.snapshot = record.New[model.UsageSnapshot](model.KindUsageSnapshot, snapshotName)
	s.loaded, s.saveAt = false, time.Time{}
	return s
}

// handleSnapshotResponse applies the response to a call for the snapshot.
func (s State) handleSnapshotResponse(in step.Input[event.Event]) State {
	var result record.Result
	s.snapshot, result = s.snapshot.ApplyResponse(in.Event)
	switch result {
	case record.Unrelated:
	case record.Read:
		s.saveAt = in.At.Add(saveInterval)
		if !s.loaded {
			s.loaded = true
			s = s.withStoredCounts()
		}
	case record.Written:
		s.saveAt = in.At.Add(saveInterval)
	default:
		s.saveAt = in.At.Add(retryDelay)
	}
	return s
}

// withStoredCounts adds the stored counts of processes that this one has not
// heard from, and moves back to the earliest stored window.
func (s State) withStoredCounts() State {
	stored, _ := s.snapshot.Value()
	learned := map[model.Incarnation][]model.UsageCount{}
	firstWindow := s.window
	for _, part := range stored.Parts {
		if _, known := s.peers.Get(part.Incarnation); known || part.Incarnation == s.self.Incarnation {
			continue
		}
		for _, line := range part.Lines {
			learned[part.Incarnation] = append(learned[part.Incarnation], model.UsageCount{
				Window: part.Window, Account: line.Account, Count: int(line.Requests),
			})
		}
		firstWindow = min(firstWindow, part.Window)
	}
	for incarnation, counts := range learned {
		s.peers = s.peers.Set(incarnation, counts)
	}
	if firstWindow < s.window {
		s = s.withWindow(firstWindow)
	}
	return s
}

// advanceSnapshot reads the snapshot, or writes it when that is due.
func (s State) advanceSnapshot(at time.Time, facts Facts, out *Out) State {
	if !s.holdsLease || !at.Before(s.leaseUntil) || s.snapshot.InFlight() || at.Before(s.saveAt) {
		return s
	}
	var call effect.Effect
	s, op := s.nextOp()
	if !s.snapshot.Valid() {
		s.snapshot, call = s.snapshot.Read(op)
		out.Emit(call)
		return s
	}
	next := s.snapshotSince(s.oldestReportable(facts.WallTime))
	if len(next.Parts) == 0 {
		s.saveAt = at.Add(saveInterval)
		return s
	}
	s.snapshot, call = s.snapshot.Write(op, next, "")
	out.Emit(call)
	return s
}

// snapshotSince returns the counts of all known processes from a window on.
func (s State) snapshotSince(since model.Window) model.UsageSnapshot {
	all := s.peers.Set(s.self.Incarnation, s.Counts())
	var snapshot model.UsageSnapshot
	for itr := all.Iterator(); !itr.Done(); {
		incarnation, counts, _ := itr.Next()
		windows := immutable.NewSortedMap[model.Window, model.UsagePart](nil)
		for _, c := range counts {
			if c.Window < since {
				continue
			}
			part, _ := windows.Get(c.Window)
			part.Window, part.Incarnation = c.Window, incarnation
			part.Lines = append(slices.Clone(part.Lines), model.UsageLine{Account: c.Account, Requests: int64(c.Count)})
			windows = windows.Set(c.Window, part)
		}
		for inner := windows.Iterator(); !inner.Done(); {
			_, part, _ := inner.Next()
			snapshot.Parts = append(snapshot.Parts, part)
		}
	}
	return snapshot
}
