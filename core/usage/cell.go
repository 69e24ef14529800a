package usage

import (
	"cmp"
	"slices"

	"github.com/benbjohnson/immutable"

	"caroblane/core/model"
)

// cellSums are the numbers of requests that the nodes of a cell started, by window and
// account. Each is a lower bound of the true number, whichever relay counted, so of
// two sums the higher one counts.
type cellSums = *immutable.SortedMap[model.Window, counts]

// handleReport keeps the counts of a process, or the sums of a cell.
func (s State) handleReport(r model.Report) State {
	if r.Nodes == 0 {
		s.peers = s.peers.Set(r.Process(), r.Usage)
		return s
	}
	return s.withCellCounts(r.Process(), r.Usage)
}

// withCellCounts raises the sums of a cell to the given ones.
func (s State) withCellCounts(cell model.Incarnation, list []model.UsageCount) State {
	sums, found := s.cells.Get(cell)
	if !found {
		sums = immutable.NewSortedMap[model.Window, counts](nil)
	}
	for _, c := range list {
		accounts, found := sums.Get(c.Window)
		if !found {
			accounts = immutable.NewSortedMap[model.AccountName, int](nil)
		}
		known, _ := accounts.Get(c.Account)
		sums = sums.Set(c.Window, accounts.Set(c.Account, max(known, c.Count)))
	}
	for sums.Len() > retainedWindows {
		earliest, _, _ := sums.Iterator().Next()
		sums = sums.Delete(earliest)
	}
	s.cells = s.cells.Set(cell, sums)
	return s
}

// CellCounts returns the recent sums of the cell of this node, which are sent to the
// other cells.
func (s State) CellCounts(cell model.Incarnation) []model.UsageCount {
	var list []model.UsageCount
	itr := s.local.Iterator()
	itr.Last()
	latest := model.Window(0)
	if !itr.Done() {
		latest, _, _ = itr.Prev()
	}
	for itr := s.peers.Iterator(); !itr.Done(); {
		_, counts, _ := itr.Next()
		for _, c := range counts {
			latest = max(latest, c.Window)
		}
	}
	for window := latest - sharedWindows + 1; window <= latest; window++ {
		for account, count := range s.cellSums(window, cell) {
			list = append(list, model.UsageCount{Window: window, Account: account, Count: count})
		}
	}
	slices.SortFunc(list, func(a, b model.UsageCount) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Account, b.Account))
	})
	return list
}

// windowSums returns the numbers of requests of all nodes in a window.
func (s State) windowSums(window model.Window, view View) map[model.AccountName]int {
	if view.Flat {
		return s.processSums(window)
	}
	sums := s.cellSums(window, view.Cell)
	for itr := s.cells.Iterator(); !itr.Done(); {
		cell, _, _ := itr.Next()
		if cell == view.Cell {
			continue
		}
		for account, count := range s.knownSums(cell, window) {
			sums[account] += count
		}
	}
	return sums
}

// cellSums returns the numbers of requests of the cell of this node in a window.
func (s State) cellSums(window model.Window, cell model.Incarnation) map[model.AccountName]int {
	sums := s.processSums(window)
	for account, count := range s.knownSums(cell, window) {
		sums[account] = max(sums[account], count)
	}
	return sums
}

// processSums returns the sums over this process and those that reported to it.
func (s State) processSums(window model.Window) map[model.AccountName]int {
	sums := map[model.AccountName]int{}
	if accounts, found := s.local.Get(window); found {
		for itr := accounts.Iterator(); !itr.Done(); {
			account, count, _ := itr.Next()
			sums[account] += count
		}
	}
	for itr := s.peers.Iterator(); !itr.Done(); {
		_, list, _ := itr.Next()
		for _, c := range list {
			if c.Window == window {
				sums[c.Account] += c.Count
			}
		}
	}
	return sums
}

// knownSums returns the sums that relays reported of a cell.
func (s State) knownSums(cell model.Incarnation, window model.Window) map[model.AccountName]int {
	sums := map[model.AccountName]int{}
	windows, found := s.cells.Get(cell)
	if !found {
		return sums
	}
	accounts, found := windows.Get(window)
	if !found {
		return sums
	}
	for itr := accounts.Iterator(); !itr.Done(); {
		account, count, _ := itr.Next()
		sums[account] = count
	}
	return sums
}
