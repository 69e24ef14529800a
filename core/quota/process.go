package quota

import (
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/model"
)

// process has the admissions of a process of another node, or of all nodes of
// another cell as its relay sums them up.
type process struct {
	node model.NodeName
	zone model.ZoneName
	// relay is the process that sums up a cell, and nodes the number of its nodes.
	// Nodes is zero for a single process.
	relay      model.Incarnation
	nodes      int
	seq        uint64
	reportedAt time.Time
	// firstReportAt is when its first report arrived. predatesWindow reports
	// whether it had admitted units before the window at that time.
	firstReportAt  time.Time
	predatesWindow bool
	// stopped reports whether the process has ended.
	stopped  bool
	accounts *immutable.SortedMap[model.AccountName, series]
}

// EndedProcesses returns the admissions in the window of processes that have
// ended. It includes all processes of the receiving node, which may have
// restarted.
func (s State) EndedProcesses(to model.NodeName, at time.Time) []model.ProcessTotal {
	var totals []model.ProcessTotal
	for itr := s.processes.Iterator(); !itr.Done(); {
		incarnation, p, _ := itr.Next()
		if !p.stopped && p.node != to || p.nodes > 0 {
			continue
		}
		for accounts := p.accounts.Iterator(); !accounts.Done(); {
			name, admitted, _ := accounts.Next()
			if units := admitted.increaseSince(at.Add(-s.bounds.QuotaWindow)); units > 0 {
				totals = append(totals, model.ProcessTotal{
					Node: p.node, Incarnation: incarnation, Account: name, Units: units,
				})
			}
		}
	}
	return totals
}

// contribution is what one process, or the records, add to the total of an
// account.
type contribution struct {
	series
	// countedFrom is the time from which on units count, or zero.
	countedFrom time.Time
	// timedFrom is the time from which on the times of the admissions are known.
	// Earlier units count for the whole window only.
	timedFrom time.Time
	// estimated is what the process may have admitted since its last report. It
	// is assumed to continue at its rate before the report.
	estimated float64
}

// contributions returns what the processes admitted for an account, with or
// without the records. The records include everything that was admitted before
// this process started, so with records, units of a process that predates the
// window count only from its first report on.
func (s State) contributions(account model.AccountName, recorded bool, at time.Time) []contribution {
	own, _ := s.ownTotals.Get(account)
	all := append(make([]contribution, 0, s.processes.Len()+2), contribution{series: own})
	if recorded {
		past, _ := s.recorded.Get(account)
		all = append(all, contribution{series: past, timedFrom: s.recordsReadAt})
	}
	for itr := s.processes.Iterator(); !itr.Done(); {
		_, p, _ := itr.Next()
		admitted, found := p.accounts.Get(account)
		if !found || s.replaced(p) {
			continue
		}
		next := contribution{series: admitted, timedFrom: p.firstReportAt}
		if recorded && p.predatesWindow {
			next.countedFrom = p.firstReportAt
		}
		if lag := at.Sub(p.reportedAt); !p.stopped && lag < silenceTimeout {
			next.estimated = admitted.rate(p.reportedAt) * lag.Seconds()
		}
		all = append(all, next)
	}
	return all
}

// represents reports whether the reports of a process or a cell stand for its nodes as they are
// divided now. In cells, the nodes of other availability zones are heard in sums, else by
// themselves.
func (s State) represents(p process) bool {
	if p.nodes > 0 {
		return s.cells || s.heardSingly(p) == 0
	}
	return !s.cells || p.zone == s.self.Zone
}

// replaced reports whether all nodes of a cell that does not exist any more have been heard one
// by one, so that its sums would count their units again.
func (s State) replaced(p process) bool {
	return p.nodes > 0 && !s.cells && s.heardSingly(p) >= p.nodes
}

// heardSingly returns the number of nodes that were heard one by one since the last sums of
// their cell.
func (s State) heardSingly(cell process) (nodes int) {
	for itr := s.processes.Iterator(); !itr.Done(); {
		if _, p, _ := itr.Next(); p.nodes == 0 && p.zone == cell.zone && p.reportedAt.After(cell.reportedAt) {
			nodes++
		}
	}
	return nodes
}

// hiddenUnits returns what silent nodes may have admitted in the window without
// reporting it, less the usable slack. A silent node, which may never have been heard, is
// assumed to admit an equal share of the limit. The result may be negative.
func (s State) hiddenUnits(account model.AccountName, limit float64, at time.Time) float64 {
	from := at.Add(-s.bounds.QuotaWindow)
	unheard := float64(s.unheard(at))
	hidden, nodes, silent := 0.0, 1+unheard, unheard
	for itr := s.processes.Iterator(); !itr.Done(); {
		_, p, _ := itr.Next()
		if p.stopped || !s.represents(p) {
			continue
		}
		weight := float64(max(1, p.nodes))
		nodes += weight
		if at.Sub(p.reportedAt) >= silenceTimeout {
			series, _ := p.accounts.Get(account)
			silent += weight
			hidden -= series.increaseSince(from)
		}
	}
	if s.lapsed && silent*2 > nodes {
		// The nodes that this one does not hear may have found it gone, and hold back
		// nothing for it.
		return limit
	}
	if silent > 0 {
		hidden = max(0, hidden+silent*limit/nodes)
	}
	if silent*2 < nodes && at.Sub(s.startAt) >= s.bounds.QuotaWindow {
		// Most nodes report, so this side uses the slack. It covers what the silent
		// nodes may admit, which use no slack because they hear only a minority. A
		// process that is younger than the window uses none, because it may not
		// know all admissions.
		hidden -= s.usableSlack(limit)
	}
	return hidden
}

// handleReport applies the totals of a process or of a cell. A cell whose relay was
// replaced is summed up anew by the new one.
func (s State) handleReport(r model.Report, at time.Time) State {
	m := r.Member
	if m.Incarnation == s.self.Incarnation {
		return s
	}
	p, found := s.processes.Get(r.Process())
	if found && r.Nodes > 0 && p.relay != m.Incarnation {
		found = false
	}
	if found && r.Seq <= p.seq {
		return s
	}
	if !found {
		if r.Nodes == 0 {
			s = s.withProcessesStopped(m.Name, m.Incarnation).withRegisteredStopped(m.Name, m.Incarnation)
		}
		s = s.withoutExpiredProcesses(at)
		p = process{node: r.Source(), zone: m.Zone, firstReportAt: at, accounts: immutable.NewSortedMap[model.AccountName, series](nil)}
	}
	p.seq, p.reportedAt, p.stopped = r.Seq, at, false
	if r.Nodes > 0 {
		p.relay, p.nodes = m.Incarnation, r.Nodes
	}
	for _, total := range r.Admitted {
		admitted, known := p.accounts.Get(total.Account)
		if !known && (!found || r.Nodes > 0) {
			// Units admitted before the window do not count.
			admitted = series{{at.Add(-s.bounds.QuotaWindow), total.Units - total.Recent}}
			p.predatesWindow = p.predatesWindow || total.Recent < total.Units
		}
		if r.Nodes == 0 {
			s.cell = s.cell.withAdmitted(total.Account, increase(admitted, total, known), at, s.bounds.QuotaWindow)
		}
		p.accounts = p.accounts.Set(total.Account, admitted.withSample(at, total.Units, s.bounds.QuotaWindow))
	}
	s.processes = s.processes.Set(r.Process(), p)
	return s
}

// increase returns what a process admitted within the window that was not known
// before.
func increase(admitted series, total model.AccountTotal, known bool) float64 {
	if !known {
		return total.Recent
	}
	return total.Units - admitted.latest()
}

// withEndedProcesses adds the processes of a report that ended before this
// process received a report from them.
func (s State) withEndedProcesses(r model.Report, at time.Time) State {
	learned := immutable.NewSortedMap[model.Incarnation, process](nil)
	for _, total := range r.Former {
		if _, known := s.processes.Get(total.Incarnation); known || total.Incarnation == s.self.Incarnation {
			continue
		}
		p, found := learned.Get(total.Incarnation)
		if !found {
			p = process{
				node: total.Node, reportedAt: at, firstReportAt: at, stopped: true,
				accounts: immutable.NewSortedMap[model.AccountName, series](nil),
			}
		}
		p.accounts = p.accounts.Set(total.Account, series{{at, total.Units}})
		learned = learned.Set(total.Incarnation, p)
	}
	for itr := learned.Iterator(); !itr.Done(); {
		incarnation, p, _ := itr.Next()
		s.processes = s.processes.Set(incarnation, p)
	}
	return s
}

// withProcessesStopped marks the processes of a node as ended, except for one.
func (s State) withProcessesStopped(node model.NodeName, except model.Incarnation) State {
	for itr := s.processes.Iterator(); !itr.Done(); {
		incarnation, p, _ := itr.Next()
		if p.node == node && incarnation != except && !p.stopped {
			p.stopped = true
			s.processes = s.processes.Set(incarnation, p)
		}
	}
	return s
}

// withoutExpiredProcesses removes the processes that ended and whose units have
// left the window, and those that were silent for processRetention.
func (s State) withoutExpiredProcesses(at time.Time) State {
	for itr := s.processes.Iterator(); !itr.Done(); {
		incarnation, p, _ := itr.Next()
		if lag := at.Sub(p.reportedAt); p.stopped && lag >= s.bounds.QuotaWindow || lag >= processRetention {
			s.processes = s.processes.Delete(incarnation)
		}
	}
	return s
}

// increaseBetween returns the increase between two times.
func (p contribution) increaseBetween(from, to time.Time) float64 {
	if from.Before(p.countedFrom) {
		from = p.countedFrom
	}
	return max(0, p.increaseSince(from)-p.increaseSince(to))
}
