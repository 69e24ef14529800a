// Package quota is the component that enforces the limits of client accounts
// over a sliding window and all nodes. Each node decides by its own admissions
// and by those that its peers reported. The slack that the platform allows
// covers the delay of the reports.
package quota

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
	// sampleInterval is the resolution of the sliding window.
	sampleInterval = 200 * time.Millisecond
	// silenceTimeout is how long after its last report a peer is considered
	// silent. From then on, it is assumed to admit its share of the limit.
	silenceTimeout = 1500 * time.Millisecond
	// usableSlackFraction is the fraction of the platform's slack that a node may
	// use. The rest covers what nodes admit before their reports arrive.
	usableSlackFraction = 0.4
	// processRetention is how long a silent process is assumed to be running
	// and to admit its share.
	processRetention = time.Minute
	// refusedRetryDelay is the minimum delay before a refused client should
	// retry.
	refusedRetryDelay = 500 * time.Millisecond
)

// windowSteps is the number of steps into which the window is divided. The limit
// is checked over the last step, the last two steps, and so on up to the whole
// window: in each, an account gets at most its rate times the duration plus its
// burst. If only the whole window were checked, an account far above its rate
// would use its whole limit at once and get nothing for the rest of the window.
const windowSteps = 32

// Out holds the effects and events that one Apply call produces.
type Out = step.Out[event.Event, effect.Effect]

// State is the immutable state of the limits, with the totals of this node and
// of its peers.
type State struct {
	self      model.Member
	startAt   time.Time
	bounds    model.Bounds
	ownTotals *immutable.SortedMap[model.AccountName, series]
	// processes has the processes of other nodes and earlier processes of this
	// node, until their admissions have left the window.
	processes *immutable.SortedMap[model.Incarnation, process]
	// registered has the processes that the store lists, and cells is set if the nodes are
	// divided into cells.
	registered *immutable.SortedMap[model.Incarnation, registered]
	cells      bool
	// lapsed is set if other nodes may hold nothing back for this process.
	lapsed bool
	// unreported lists the accounts whose totals changed since the last report.
	unreported []model.AccountName
	// cell sums up what the nodes of the cell admit.
	cell cellTotals
	// limits has the limit of each account over the window, as of its last
	// request.
	limits *immutable.SortedMap[model.AccountName, float64]
	// storedRecord is this node's record in the store, for nodes that start.
	// recorded has the admissions according to the records of all nodes, which
	// were read at recordsReadAt.
	storedRecord  record.Copy[model.QuotaRecord]
	recorded      *immutable.SortedMap[model.AccountName, series]
	recordsReadAt time.Time
	recordsRead   bool
	listing       bool
	// idle is set while no account has a limit, so that no call to the store is needed.
	idle       bool
	callSeq    uint64
	nextCallAt time.Time
}

// View is the state of other components that Apply reads.
type View struct {
	// WallTime is the wall-clock time of the event, as well as it is known.
	WallTime time.Time
	// WritesRecords reports whether this node is one of those that write records.
	WritesRecords bool
	// Cells is set if the nodes are divided into cells. The nodes of other cells are heard
	// in sums only.
	Cells bool
	// Lapsed is set if other nodes may have found this process gone, so that they hold
	// nothing back for it.
	Lapsed bool
	// Unlimited is set if the configuration is known and sets no limit for any account.
	Unlimited bool
}

// New returns the state of a process that has admitted nothing.
func New(self model.Member, bounds model.Bounds, startAt time.Time) State {
	return State{
		self:         self,
		startAt:      startAt,
		bounds:       bounds,
		ownTotals:    immutable.NewSortedMap[model.AccountName, series](nil),
		cell:         newCellTotals(),
		processes:    immutable.NewSortedMap[model.Incarnation, process](nil),
		registered:   immutable.NewSortedMap[model.Incarnation, registered](nil),
		limits:       immutable.NewSortedMap[model.AccountName, float64](nil),
		storedRecord: record.New[model.QuotaRecord](model.KindQuota, string(self.Name)),
		recorded:     immutable.NewSortedMap[model.AccountName, series](nil),
		nextCallAt:   startAt,
	}
}

// Apply processes requests for units, reports of peers and responses of the
// store.
func (s State) Apply(in step.Input[event.Event], view View) (State, Out) {
	var out Out
	s.cells, s.lapsed = view.Cells, view.Lapsed
	s = s.handleStoreResponse(in, view)
	switch e := in.Event.(type) {
	case event.SettingsChanged:
		s.bounds = e.Bounds
	case event.QuotaAsked:
		s = s.handleQuotaAsked(e, in.At, &out)
	case event.QuotaReturned:
		s = s.withAdmitted(e.Account, -e.Units, in.At)
	case event.SyncAnswered:
		s = s.withEndedProcesses(e.Report, in.At).handleReport(e.Report, in.At)
	case event.SyncArrived:
		s = s.withEndedProcesses(e.Report, in.At).handleReport(e.Report, in.At)
	case event.AnnounceArrived:
		// An announcement has no units of the window, so it can't be the first
		// report of a process.
		if _, known := s.processes.Get(e.Report.Process()); known || e.Report.Nodes > 0 {
			s = s.handleReport(e.Report, in.At)
		}
	case event.SyncFailed:
		if e.Stopped {
			s = s.withProcessesStopped(e.Peer, 0).withRegisteredStopped(e.Peer, 0)
		}
	case event.MembersRead:
		s = s.withRegistered(e.Members, in.At)
	case event.MemberGone:
		s = s.withGone(e.Member)
	case event.MemberShown:
		s = s.withShown(e.Member, in.At)
	}
	return s.startDueCall(in.At, view, &out), out
}

// Totals returns the admissions of this node for all accounts, for a full report
// to a peer.
func (s State) Totals(at time.Time) []model.AccountTotal {
	var totals []model.AccountTotal
	for itr := s.ownTotals.Iterator(); !itr.Done(); {
		name, own, _ := itr.Next()
		recent := own.increaseSince(at.Add(-s.bounds.QuotaWindow))
		totals = append(totals, model.AccountTotal{Account: name, Units: own.latest(), Recent: recent})
	}
	return totals
}

// TakeUnreported returns the totals of this node for the accounts that changed
// since the last call, and the state without unreported changes.
func (s State) TakeUnreported() (State, []model.AccountTotal) {
	var totals []model.AccountTotal
	for _, name := range s.unreported {
		own, _ := s.ownTotals.Get(name)
		totals = append(totals, model.AccountTotal{Account: name, Units: own.latest()})
	}
	s.unreported = nil
	return s, totals
}

// handleQuotaAsked decides about a request. Those of accounts without a limit are not
// counted, so that they cost no memory and no messages.
func (s State) handleQuotaAsked(e event.QuotaAsked, at time.Time, out *Out) State {
	if !e.Account.Limited() {
		out.Raise(event.QuotaGranted{Ticket: e.Ticket})
		return s
	}
	limit := unitLimit(e.Account, s.bounds.QuotaWindow)
	if last, _ := s.limits.Get(e.Account.Name); last != limit {
		s.limits = s.limits.Set(e.Account.Name, limit)
	}
	if result, ok := s.check(e.Account, e.Units, at); !ok {
		out.Raise(event.QuotaRefused{Ticket: e.Ticket, RetryAt: at.Add(refusedRetryDelay), Check: result})
		return s
	}
	out.Raise(event.QuotaGranted{Ticket: e.Ticket})
	return s.withAdmitted(e.Account.Name, e.Units, at)
}

// check reports whether an account may have more units, and the inputs of the
// decision.
func (s State) check(account model.SiteAccount, units float64, at time.Time) (model.QuotaCheck, bool) {
	windowLimit := unitLimit(account, s.bounds.QuotaWindow)
	admitted := s.admitted(account.Name, at)
	result := model.QuotaCheck{
		Account: account.Name, Interval: s.bounds.QuotaWindow, Units: units, Limit: windowLimit,
		Admitted: admitted[windowSteps-1], Hidden: s.hiddenUnits(account.Name, windowLimit, at),
	}
	if result.Admitted+result.Hidden+units > windowLimit {
		return result, false
	}
	for i, part := range admitted[:windowSteps-1] {
		interval := s.stepDuration() * time.Duration(i+1)
		limit := unitLimit(account, interval)
		// The first request in a part of the window is not checked, because a
		// single request may be larger than the burst.
		if part > 0 && part+min(0, result.Hidden)+units > limit {
			result.Interval, result.Limit, result.Admitted = interval, limit, part
			return result, false
		}
	}
	return result, true
}

// unitLimit returns the units that an account may have over an interval.
func unitLimit(account model.SiteAccount, interval time.Duration) float64 {
	return account.Rate*interval.Seconds() + account.Burst
}

// stepDuration returns the duration of one step of the window.
func (s State) stepDuration() time.Duration { return s.bounds.QuotaWindow / windowSteps }

// admitted returns the units that all nodes admitted for an account in the
// window. While this process is younger than the window, it is the larger one of
// the totals with and without the records in the store.
func (s State) admitted(account model.AccountName, at time.Time) stepTotals {
	known := s.totalAdmitted(account, false, at)
	if at.Sub(s.startAt) >= s.bounds.QuotaWindow {
		return known
	}
	if recorded := s.totalAdmitted(account, true, at); recorded[windowSteps-1] > known[windowSteps-1] {
		return recorded
	}
	return known
}

func (s State) totalAdmitted(account model.AccountName, recorded bool, at time.Time) stepTotals {
	var sum stepTotals
	for _, p := range s.contributions(account, recorded, at) {
		sum = sum.plus(p.stepTotals(at, s.stepDuration()), p.estimated)
	}
	return sum
}

// usableSlack returns the part of the platform's slack that a node may use.
func (s State) usableSlack(limit float64) float64 {
	return usableSlackFraction * (s.bounds.QuotaOvershoot*limit + s.bounds.QuotaSlack)
}

func (s State) withAdmitted(account model.AccountName, units float64, at time.Time) State {
	own, _ := s.ownTotals.Get(account)
	s.ownTotals = s.ownTotals.Set(account, own.withSample(at, own.latest()+units, s.bounds.QuotaWindow))
	if !slices.Contains(s.unreported, account) {
		s.unreported = append(s.unreported[:len(s.unreported):len(s.unreported)], account)
	}
	s.cell = s.cell.withAdmitted(account, units, at, s.bounds.QuotaWindow)
	return s
}
