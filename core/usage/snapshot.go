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
func (s State) handleSnapshotResponse(in step.Input[event.Event], view View) State {
	var result record.Result
	s.snapshot, result = s.snapshot.ApplyResponse(in.Event)
	switch result {
	case record.Unrelated:
	case record.Read:
		s.saveAt = in.At.Add(saveInterval)
		if !s.loaded {
			s.loaded = true
			s = s.withStoredCounts(view)
		}
	case record.Written:
		s.saveAt = in.At.Add(saveInterval)
	default:
		s.saveAt = in.At.Add(retryDelay)
	}
	return s
}

// maxStoredAge is the number of windows by which the counts in a snapshot may be older
// than the first window to report. Windows are reported one after the other, so a
// snapshot with an impossible window would keep all later ones from being reported.
const maxStoredAge = 720

// withStoredCounts adds the stored counts of processes that this one has not
// heard from, or the stored sums of cells, and moves back to the earliest stored
// window that was not reported yet. In a new era of the store it begins with the present
// window: earlier ones may have been reported under a record that the store has lost.
// Holders of the earlier era cannot have reported the present one, because their leases
// ended before this one began and a window is reported only after its end.
func (s State) withStoredCounts(view View) State {
	stored, _ := s.snapshot.Value()
	learned := map[model.Incarnation][]model.UsageCount{}
	firstWindow := s.window
	for _, part := range stored.Parts {
		if part.Window < s.window-maxStoredAge {
			continue
		}
		if part.Cell {
			if !view.Flat {
				s = s.withCellCounts(part.Incarnation, usageCounts(part))
			}
			firstWindow = min(firstWindow, part.Window)
			continue
		}
		if _, known := s.peers.Get(part.Incarnation); known || part.Incarnation == s.self.Incarnation {
			continue
		}
		learned[part.Incarnation] = append(learned[part.Incarnation], usageCounts(part)...)
		firstWindow = min(firstWindow, part.Window)
	}
	for incarnation, counts := range learned {
		s.peers = s.peers.Set(incarnation, counts)
	}
	// A window far in the future would keep all present ones from being reported.
	if stored.Next <= s.windowOf(view.WallTime)+retainedWindows {
		firstWindow = max(firstWindow, stored.Next)
	}
	if !s.ofThisEra(stored) {
		firstWindow = max(firstWindow, s.windowOf(view.WallTime))
	}
	if firstWindow != s.window {
		s = s.withWindow(firstWindow)
	}
	return s
}

// protected reports whether the store keeps every later holder from reporting the window
// again whose record is deleted with the report of the next one, and windows that were
// reported in an earlier era. Such a holder would find no record, and report other counts.
func (s State) protected() bool {
	stored, found := s.snapshot.Value()
	return found && stored.Next > s.window-retainedWindows && s.ofThisEra(stored)
}

// ofThisEra reports whether a snapshot was written in the era of the lease, so that the
// store has lost no record since. The zero snapshot is that of a store without one: only
// where eras are not numbered does its absence show that nothing was reported.
func (s State) ofThisEra(stored model.UsageSnapshot) bool {
	return stored.Epoch.Era() >= s.epoch.Era()
}

// usageCounts returns the counts of a part of a snapshot.
func usageCounts(part model.UsagePart) []model.UsageCount {
	var list []model.UsageCount
	for _, line := range part.Lines {
		list = append(list, model.UsageCount{Window: part.Window, Account: line.Account, Count: int(line.Requests)})
	}
	return list
}

// advanceSnapshot reads the snapshot, or writes it when that is due.
func (s State) advanceSnapshot(at time.Time, view View, out *Out) State {
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
	next := s.snapshotSince(s.oldestReportable(view.WallTime), view)
	if stored, found := s.snapshot.Value(); found && len(next.Parts) == 0 && stored.Next == next.Next && s.ofThisEra(stored) {
		s.saveAt = at.Add(saveInterval)
		return s
	}
	s.snapshot, call = s.snapshot.Write(op, next, "")
	out.Emit(call)
	return s
}

// snapshotSince returns the counts of all known processes, or the sums of all cells,
// from a window on.
func (s State) snapshotSince(since model.Window, view View) model.UsageSnapshot {
	all := s.peers.Set(s.self.Incarnation, s.Counts())
	if !view.Flat {
		all = immutable.NewSortedMap[model.Incarnation, []model.UsageCount](nil)
		for itr := s.cells.Iterator(); !itr.Done(); {
			cell, _, _ := itr.Next()
			all = all.Set(cell, s.cellCountsSince(cell, since))
		}
		all = all.Set(view.Cell, s.CellCounts(view.Cell))
	}
	snapshot := model.UsageSnapshot{Epoch: s.epoch, Next: s.window}
	for itr := all.Iterator(); !itr.Done(); {
		incarnation, counts, _ := itr.Next()
		for _, part := range usageParts(counts, since) {
			part.Incarnation, part.Cell = incarnation, !view.Flat
			snapshot.Parts = append(snapshot.Parts, part)
		}
	}
	return snapshot
}

// cellCountsSince returns the known sums of another cell from a window on.
func (s State) cellCountsSince(cell model.Incarnation, since model.Window) []model.UsageCount {
	var list []model.UsageCount
	windows, _ := s.cells.Get(cell)
	for itr := windows.Iterator(); !itr.Done(); {
		window, accounts, _ := itr.Next()
		for inner := accounts.Iterator(); !inner.Done() && window >= since; {
			account, count, _ := inner.Next()
			list = append(list, model.UsageCount{Window: window, Account: account, Count: count})
		}
	}
	return list
}

// usageParts returns counts by window, from a window on.
func usageParts(counts []model.UsageCount, since model.Window) []model.UsagePart {
	windows := immutable.NewSortedMap[model.Window, model.UsagePart](nil)
	for _, c := range counts {
		if c.Window < since {
			continue
		}
		part, _ := windows.Get(c.Window)
		part.Window = c.Window
		part.Lines = append(slices.Clone(part.Lines), model.UsageLine{Account: c.Account, Requests: int64(c.Count)})
		windows = windows.Set(c.Window, part)
	}
	var parts []model.UsagePart
	for itr := windows.Iterator(); !itr.Done(); {
		_, part, _ := itr.Next()
		parts = append(parts, part)
	}
	return parts
}
