// Package usage is the component that reports usage on a platform. Every node
// counts the requests that start in a window and tells its peers. The holder of
// the lease records the sums in the store and reports them.
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
	// retainedWindows is the number of windows that are retained in memory and
	// in the store. They cover the time after which a report is too late.
	retainedWindows = 6
	// sharedWindows is the number of windows whose counts are sent to peers.
	sharedWindows = 4
	// settleShare and silentPeerShare are the fractions of the time allowed
	// for a report after which a window is reported: normally, and while a
	// peer has not been heard since the end of the window.
	settleShare     = 0.25
	silentPeerShare = 0.6
	// retryDelay is the delay before a failed call is retried.
	retryDelay = 300 * time.Millisecond
)

// Out holds the effects and events that one Apply call produces.
type Out = step.Out[event.Event, effect.Effect]

// View is the state of other components that Apply reads.
type View struct {
	// WallTime is the wall-clock time of the event, as well as it is known.
	WallTime time.Time
	// OldestHeardAt is when the member that has been silent for longest was last
	// heard.
	OldestHeardAt time.Time
	// Flat is set if all nodes form one cell. Otherwise, Cell is the number under which
	// the sums of the cell of this node are kept.
	Flat bool
	Cell model.Incarnation
}

// counts are the numbers of requests by account.
type counts = *immutable.SortedMap[model.AccountName, int]

// State counts the requests of each window and reports them.
type State struct {
	bounds model.Bounds
	local  *immutable.SortedMap[model.Window, counts]
	// peers holds the last counts of each process, including processes that
	// have ended.
	peers *immutable.SortedMap[model.Incarnation, []model.UsageCount]
	// cells has the highest sums known of each cell, by its number. Sums of one's own
	// cell come from relays before this one.
	cells *immutable.SortedMap[model.Incarnation, cellSums]
	// firstWindow is the window in which this process started. Earlier windows
	// are known only from the snapshot.
	firstWindow model.Window
	started     bool
	epoch       model.Epoch
	leaseUntil  time.Time
	holdsLease  bool
	// window is the next window to record and report.
	window model.Window
	stored record.Copy[model.Usage]
	// reportPending is set until the report in flight is answered.
	reportPending bool
	op            model.Op
	callSeq       uint64
	nextCallAt    time.Time
	// obsolete is the record of an old window, which is deleted.
	obsolete record.Copy[model.Usage]
	self     model.Member
	// snapshot stores the counts of all processes for a later lease holder. It
	// is read before the first window is processed, and written at saveAt.
	snapshot record.Copy[model.UsageSnapshot]
	loaded   bool
	saveAt   time.Time
}

// New returns a state without counts.
func New(self model.Member, bounds model.Bounds) State {
	return State{
		self:   self,
		bounds: bounds,
		local:  immutable.NewSortedMap[model.Window, counts](nil),
		peers:  immutable.NewSortedMap[model.Incarnation, []model.UsageCount](nil),
		cells:  immutable.NewSortedMap[model.Incarnation, cellSums](nil),
	}
}

// Apply counts requests, and processes the counts of peers, changes of the lease
// and the responses of the store and the platform.
func (s State) Apply(in step.Input[event.Event], view View) (State, Out) {
	var out Out
	if e, ok := in.Event.(event.SettingsChanged); ok {
		s.bounds = e.Bounds
	}
	if s.bounds.UsageWindow <= 0 {
		return s, out
	}
	if !s.started {
		s.firstWindow, s.started = s.windowOf(view.WallTime), true
	}
	switch e := in.Event.(type) {
	case event.RunBegan:
		s = s.withRequest(e.Account, view.WallTime)
	case event.SyncAnswered:
		s = s.handleReport(e.Report)
	case event.SyncArrived:
		s = s.handleReport(e.Report)
	case event.AuthorityChanged:
		s = s.handleAuthorityChanged(e, view.WallTime)
	case event.SendAnswered:
		s = s.handleReportResponse(e.Op, in.At, e.Result != model.SendAccepted)
	case event.SendFailed:
		s = s.handleReportResponse(e.Op, in.At, true)
	default:
		s = s.handleStoreResponse(in, view)
	}
	s = s.advanceSnapshot(in.At, view, &out)
	return s.advance(in.At, view, &out), out
}

// Counts returns the recent counts of this node, which are sent to its peers.
func (s State) Counts() []model.UsageCount {
	var list []model.UsageCount
	itr := s.local.Iterator()
	itr.Last()
	for n := 0; !itr.Done() && n < sharedWindows; n++ {
		window, accounts, _ := itr.Prev()
		for inner := accounts.Iterator(); !inner.Done(); {
			account, count, _ := inner.Next()
			list = append(list, model.UsageCount{Window: window, Account: account, Count: count})
		}
	}
	return list
}

// Next returns when the component needs a Tick, or the zero time if it needs
// none.
func (s State) Next() time.Time {
	if !s.holdsLease || s.bounds.UsageWindow <= 0 {
		return time.Time{}
	}
	var next time.Time
	if !s.snapshot.InFlight() {
		next = s.saveAt
	}
	if s.loaded && !s.reportPending && !s.stored.InFlight() && !s.obsolete.InFlight() {
		next = step.Earliest(next, s.nextCallAt)
	}
	return next
}

func (s State) windowOf(wallTime time.Time) model.Window {
	return model.Window(wallTime.UnixNano() / int64(s.bounds.UsageWindow))
}

func (s State) endOf(window model.Window) time.Time {
	return time.Unix(0, (int64(window)+1)*int64(s.bounds.UsageWindow))
}

func (s State) withRequest(account model.AccountName, wallTime time.Time) State {
	window := s.windowOf(wallTime)
	accounts, found := s.local.Get(window)
	if !found {
		accounts = immutable.NewSortedMap[model.AccountName, int](nil)
	}
	count, _ := accounts.Get(account)
	s.local = s.local.Set(window, accounts.Set(account, count+1))
	for s.local.Len() > retainedWindows {
		earliest, _, _ := s.local.Iterator().Next()
		s.local = s.local.Delete(earliest)
	}
	return s
}

// handleAuthorityChanged applies a change of the lease. A new holder starts
// with the oldest window whose report is not yet too late.
func (s State) handleAuthorityChanged(e event.AuthorityChanged, wallTime time.Time) State {
	if e.Held && s.holdsLease && e.Epoch == s.epoch {
		s.leaseUntil = e.Until
		return s
	}
	s.holdsLease, s.epoch, s.leaseUntil, s.reportPending = e.Held, e.Epoch, e.Until, false
	s = s.withoutSnapshot()
	return s.withWindow(max(s.oldestReportable(wallTime), s.firstWindow))
}

// oldestReportable returns the oldest window whose report is not yet too late.
func (s State) oldestReportable(wallTime time.Time) model.Window {
	return s.windowOf(wallTime.Add(-s.bounds.UsageReportDelay - s.bounds.UsageWindow))
}

// withWindow moves to a window. The response to a call in flight is ignored.
func (s State) withWindow(window model.Window) State {
	s.window = window
	s.stored = record.New[model.Usage](model.KindUsage, window.String())
	s.obsolete = record.New[model.Usage](model.KindUsage, (window - retainedWindows).String())
	s.nextCallAt = time.Time{}
	return s
}

func (s State) handleReportResponse(op model.Op, at time.Time, failed bool) State {
	if !s.reportPending || op != s.op {
		return s
	}
	s.reportPending = false
	if failed {
		s.nextCallAt = at.Add(retryDelay)
		return s
	}
	return s.withWindow(s.window + 1)
}

func (s State) handleStoreResponse(in step.Input[event.Event], view View) State {
	var result record.Result
	s.stored, result = s.stored.ApplyResponse(in.Event)
	if result == record.Failed || result == record.Ambiguous {
		s.nextCallAt = in.At.Add(retryDelay)
	}
	s.obsolete, _ = s.obsolete.ApplyResponse(in.Event)
	return s.handleSnapshotResponse(in, view)
}

// advance starts the call that is due. A window is always reported as it was
// recorded, so that a later holder reports the same counts.
func (s State) advance(at time.Time, view View, out *Out) State {
	if !s.holdsLease || !s.loaded || !at.Before(s.leaseUntil) || s.reportPending || s.stored.InFlight() || at.Before(s.nextCallAt) {
		return s
	}
	if delay := s.delay(view); delay > 0 {
		s.nextCallAt = at.Add(delay)
		return s
	}
	s.nextCallAt = time.Time{}
	if !s.protected() {
		// The response to the write of the snapshot continues.
		if s.saveAt.After(at.Add(retryDelay)) {
			s.saveAt = at
		}
		return s
	}
	usage, found := s.stored.Value()
	switch {
	case !s.stored.Valid():
		var read effect.Effect
		s, op := s.nextOp()
		s.stored, read = s.stored.Read(op)
		out.Emit(read)
		return s
	case found:
		s, op := s.nextOp()
		s.reportPending, s.op = true, op
		out.Emit(effect.ReportUsage{Op: op, Epoch: s.epoch, Usage: usage, NotAfter: s.leaseUntil})
		return s.deleteObsolete(out)
	default:
		var write effect.Effect
		s, op := s.nextOp()
		s.stored, write = s.stored.Write(op, s.windowRecord(view), "")
		out.Emit(write)
		return s
	}
}

// delay returns how long to wait before the next window is processed: until
// the counts of all nodes should have arrived, and longer while a node is
// silent.
func (s State) delay(view View) time.Duration {
	end := s.endOf(s.window)
	since := view.WallTime.Sub(end)
	settle := time.Duration(settleShare * float64(s.bounds.UsageReportDelay))
	if since < settle {
		return settle - since
	}
	if view.OldestHeardAt.Before(end) && since < time.Duration(silentPeerShare*float64(s.bounds.UsageReportDelay)) {
		return retryDelay
	}
	return 0
}

// deleteObsolete deletes the record of a window that can no longer be
// reported.
func (s State) deleteObsolete(out *Out) State {
	if s.obsolete.InFlight() {
		return s
	}
	var remove effect.Effect
	s, op := s.nextOp()
	s.obsolete, remove = s.obsolete.Delete(op)
	out.Emit(remove)
	return s
}

func (s State) nextOp() (State, model.Op) {
	s.callSeq++
	return s, model.Op{Part: model.PartUsage, Seq: s.callSeq}
}

// windowRecord returns the record of the window, with the sums over all nodes.
func (s State) windowRecord(view View) model.Usage {
	sums := s.windowSums(s.window, view)
	usage := model.Usage{Window: s.window, Epoch: s.epoch}
	for account, count := range sums {
		usage.Lines = append(usage.Lines, model.UsageLine{Account: account, Requests: int64(count)})
	}
	slices.SortFunc(usage.Lines, func(a, b model.UsageLine) int {
		if a.Account < b.Account {
			return -1
		}
		return 1
	})
	return usage
}
