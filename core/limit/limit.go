// Package limit is the component for distributed rate limiting of client
// accounts with token buckets. Each node has a base share of an account's rate
// and burst and lends parts of it to other nodes, so that all nodes together
// admit no more than the limits of the account.
package limit

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
)

// maxTimersPerEvent bounds the expired timers of each kind that are handled in
// one event, so that events of traffic are not delayed. The others stay due and
// are handled by the next Tick.
const maxTimersPerEvent = 256

// Out holds the effects and events that one Apply call produces.
type Out = step.Out[event.Event, effect.Effect]

// View is the state of other components that Apply reads.
type View struct {
	// Fresh reports whether the node's copy of the configuration is recent
	// enough to admit requests and to lend.
	Fresh bool
}

// Options holds the loan duration and the queue limits.
type Options struct {
	// LoanDuration is how long a borrower may use a loan.
	LoanDuration time.Duration
	// MaxClockDrift is the maximum relative difference between the clock rates of two
	// nodes.
	MaxClockDrift float64
	// MaxWaiting is the maximum number of queued requests of an account. It
	// applies separately to the borrow requests of other nodes that are queued
	// for the account.
	MaxWaiting int
	// MaxWaitingTotal is the maximum number of queued requests and borrow
	// requests of all accounts on this node.
	MaxWaitingTotal int
}

// DefaultOptions returns the options of a node whose settings set no other values.
func DefaultOptions() Options {
	return Options{LoanDuration: 2 * time.Second, MaxClockDrift: 0.001, MaxWaiting: 1024, MaxWaitingTotal: 16384}
}

// settlement is a settled version and the time at which it takes effect. A
// version is settled once no node admits requests by an older one.
type settlement struct {
	effectiveAt time.Time
	version     model.Version
}

// unreachablePeer is a node that a borrow request failed to reach. It is not
// asked again before retryAt.
type unreachablePeer struct {
	node    model.NodeName
	retryAt time.Time
}

// State is the immutable state of the rate limiter of one node. The zero value
// is not usable; use New.
type State struct {
	self     model.NodeName
	strategy Strategy
	options  Options
	// settledVersion is the settled version in effect. pendingSettlements take
	// effect later. appliedSettlements are the most recent ones that took effect;
	// they are replayed for an account that was not used in the meantime.
	settledVersion     model.Version
	pendingSettlements []settlement
	appliedSettlements []settlement
	rosterHistory      history[[]model.NodeName]
	accounts           *immutable.Map[model.AccountName, account]
	waiters            *immutable.Map[model.Ticket, waiter]
	// deadlines has a timer for each waiter. accountTimers has one for each
	// account that has waiters.
	deadlines     timerSet[model.Ticket]
	accountTimers timerSet[model.AccountName]
	unreachable   []unreachablePeer
	// lastArrival is the arrival number of the last waiter.
	lastArrival uint64
	// lastSeq is the sequence number of the last borrow request. It starts at a
	// random number, so that responses to an earlier process of this node match
	// no request.
	lastSeq     uint64
	nextTimerAt time.Time
}

// New returns the state of a node that has just started and has no accounts.
func New(self model.NodeName, strategy Strategy, options Options) State {
	return State{
		self:          self,
		strategy:      strategy,
		options:       options,
		accounts:      immutable.NewMap[model.AccountName, account](accountHasher{}),
		waiters:       immutable.NewMap[model.Ticket, waiter](ticketHasher{}),
		deadlines:     newTimerSet[model.Ticket](),
		accountTimers: newTimerSet[model.AccountName](),
	}
}

// stepContext holds what the handlers of one event share: its time, its random
// number, whether the node is fresh, and the output.
type stepContext struct {
	at     time.Time
	random uint64
	fresh  bool
	out    *Out
}

// Apply processes changes of limits and rosters, admission requests, loans and
// timers. VersionChanged needs no handler: a base share is the minimum over all
// versions since the settled one, and templates and rosters carry their
// versions themselves.
func (s State) Apply(in step.Input[event.Event], view View) (State, Out) {
	var out Out
	sc := stepContext{at: in.At, random: in.Random, fresh: view.Fresh, out: &out}
	deadlines, dues := s.deadlines, s.accountTimers
	switch e := in.Event.(type) {
	case event.AdmissionAsked:
		s = s.withDueSettlements(sc).handleAdmissionAsked(e, sc)
	case event.AdmissionDropped:
		s = s.withDueSettlements(sc).handleAdmissionDropped(e, sc)
	case event.BorrowAsked:
		s = s.withDueSettlements(sc).handleBorrowAsked(e, sc)
	case event.BorrowAnswered:
		s = s.withDueSettlements(sc).handleBorrowAnswered(e, sc)
	case event.BorrowFailed:
		s = s.withDueSettlements(sc).handleBorrowFailed(e, sc)
	case event.RosterChanged:
		s = s.withDueSettlements(sc).handleRosterChanged(e)
	case event.SettledChanged:
		s = s.withDueSettlements(sc).handleSettledChanged(e, sc)
	case event.TemplateChanged:
		s = s.withDueSettlements(sc).handleTemplateChanged(e, sc)
	case event.Tick:
		s = s.withDueSettlements(sc).handleTick(sc)
	}
	if s.deadlines != deadlines || s.accountTimers != dues {
		deadline, _ := earliestTimer(s.deadlines)
		due, _ := earliestTimer(s.accountTimers)
		s.nextTimerAt = step.Earliest(deadline.at, due.at)
	}
	return s, out
}

// Next returns when the component needs a Tick, or the zero time if it needs
// none.
func (s State) Next() time.Time { return s.nextTimerAt }

// Settled reports whether a settled version is in effect at now. Before that,
// the base shares of this node are zero.
func (s State) Settled(now time.Time) bool {
	return s.settledVersion > 0 || len(s.pendingSettlements) > 0 && !s.pendingSettlements[0].effectiveAt.After(now)
}

// Queued returns the number of queued requests, including borrow requests of
// other nodes.
func (s State) Queued() int { return s.waiters.Len() }

// withDueSettlements applies the settled versions that are due. It also sets
// the initial sequence number in the first event.
func (s State) withDueSettlements(sc stepContext) State {
	if s.lastSeq == 0 {
		s.lastSeq = sc.random >> 24
	}
	for len(s.pendingSettlements) > 0 && !s.pendingSettlements[0].effectiveAt.After(sc.at) {
		s.settledVersion = s.pendingSettlements[0].version
		kept := s.appliedSettlements[max(0, len(s.appliedSettlements)-maxHistoryWrites+1):]
		s.appliedSettlements = append(slices.Clone(kept), s.pendingSettlements[0])
		s.pendingSettlements = s.pendingSettlements[1:]
	}
	return s
}

func (s State) handleAdmissionAsked(e event.AdmissionAsked, sc stepContext) State {
	a, ok := s.accounts.Get(e.Account)
	if !ok {
		sc.out.Raise(event.AdmissionRefused{Ticket: e.Ticket, Reason: model.KeyUnknown})
		return s
	}
	a = s.refreshed(a, sc).withDemand(sc.at, 1)
	switch {
	case sc.fresh && a.queue == nil && a.hasToken():
		a = a.withoutToken()
		sc.out.Raise(event.AdmissionGranted{Ticket: e.Ticket})
	case a.waitingRequests >= s.options.MaxWaiting:
		sc.out.Raise(event.AdmissionRefused{
			Ticket: e.Ticket, Reason: model.RateLimited, RetryAfterSeconds: a.retryAfterSeconds(),
		})
	case s.waiters.Len() >= s.options.MaxWaitingTotal:
		sc.out.Raise(event.AdmissionRefused{Ticket: e.Ticket, Reason: model.Overloaded, RetryAfterSeconds: 1})
	default:
		s, a = s.withWaiter(a, e.Ticket, waiter{deadline: e.AdmitBy})
	}
	return s.processAccount(a, sc)
}

func (s State) handleAdmissionDropped(e event.AdmissionDropped, sc stepContext) State {
	w, ok := s.waiters.Get(e.Ticket)
	if !ok || w.isBorrow {
		return s
	}
	a, _ := s.accounts.Get(w.account)
	s, a = s.withoutWaiter(s.refreshed(a, sc), e.Ticket, w)
	return s.processAccount(a, sc)
}

func (s State) handleRosterChanged(e event.RosterChanged) State {
	members := make([]model.NodeName, len(e.Roster.Members))
	for i, m := range e.Roster.Members {
		members[i] = m.Name
	}
	s.rosterHistory = s.rosterHistory.With(e.Version, e.Contiguous, members)
	return s
}

// handleSettledChanged schedules a settled version to take effect after the
// duration of a loan. Until then, loans that were granted by nodes at older
// versions may still be in use. A node that has just started has no settled
// version, so it also waits this long before it uses its share, during which
// the loans of its earlier process expire.
func (s State) handleSettledChanged(e event.SettledChanged, sc stepContext) State {
	last := s.settledVersion
	if n := len(s.pendingSettlements); n > 0 {
		last = s.pendingSettlements[n-1].version
	}
	if e.Version <= last {
		return s
	}
	kept := s.pendingSettlements[:min(len(s.pendingSettlements), maxHistoryWrites-1)]
	s.pendingSettlements = append(slices.Clone(kept), settlement{effectiveAt: sc.at.Add(s.maxRemoteLoanDuration()), version: e.Version})
	return s
}

func (s State) handleTemplateChanged(e event.TemplateChanged, sc stepContext) State {
	a, ok := s.accounts.Get(e.Account)
	if e.Deleted {
		if ok {
			s = s.removeAccount(a, sc)
		}
		return s
	}
	if !ok {
		a = account{name: e.Account, refilledAt: sc.at, demandAt: sc.at, settledVersion: s.settledVersion}
	}
	a = s.refreshed(a, sc)
	a.limits = a.limits.With(e.Version, e.Contiguous, rateLimitOf(e.Template))
	a.baseShare = s.minShare(a.name, a.limits, a.settledVersion)
	return s.processAccount(a.withCappedTokens(), sc)
}

// removeAccount refuses the waiters of a deleted account and removes it. Its
// loans need not be remembered: if the account is created again, its base share
// is zero until the new version is settled, which takes longer than the loans
// last.
func (s State) removeAccount(a account, sc stepContext) State {
	for ticket, ok := a.head(); ok; ticket, ok = a.head() {
		w, _ := s.waiters.Get(ticket)
		s, a = s.refuseWaiter(a, ticket, w, model.KeyUnknown, sc.out)
	}
	if !a.timerAt.IsZero() {
		s.accountTimers = s.accountTimers.Delete(timerKey[model.AccountName]{a.timerAt, a.name})
	}
	s.accounts = s.accounts.Delete(a.name)
	return s
}

func (s State) handleTick(sc stepContext) State {
	for range maxTimersPerEvent {
		key, ok := earliestTimer(s.accountTimers)
		if !ok || key.at.After(sc.at) {
			break
		}
		a, _ := s.accounts.Get(key.key)
		s = s.processAccount(s.refreshed(a, sc), sc)
	}
	for range maxTimersPerEvent {
		key, ok := earliestTimer(s.deadlines)
		if !ok || key.at.After(sc.at) {
			break
		}
		w, _ := s.waiters.Get(key.key)
		a, _ := s.accounts.Get(w.account)
		s, a = s.refuseWaiter(s.refreshed(a, sc), key.key, w, model.RateLimited, sc.out)
		s = s.processAccount(a, sc)
	}
	return s
}

// refreshed returns the account with its base share and its token bucket as of
// the event. Accounts are updated lazily, when an event concerns them, so that
// a change of the roster does not cost time for every account. The applied
// settlements that the account missed are replayed in order: up to each of
// them, the bucket is refilled at the minimum share since the previous one.
func (s State) refreshed(a account, sc stepContext) account {
	if a.settledVersion == s.settledVersion && a.rosterVersion == s.rosterHistory.Newest() {
		return a.withRefill(sc.at, s.options.MaxClockDrift)
	}
	a.baseShare = s.minShare(a.name, a.limits, a.settledVersion)
	a = a.withCappedTokens()
	for _, past := range s.appliedSettlements {
		if past.version > a.settledVersion {
			a = a.withRefill(past.effectiveAt, s.options.MaxClockDrift)
			a.settledVersion = past.version
			a.baseShare = s.minShare(a.name, a.limits, a.settledVersion)
		}
	}
	a.rosterVersion = s.rosterHistory.Newest()
	a.limits = a.limits.WithoutSuperseded(s.settledVersion)
	return a.withRefill(sc.at, s.options.MaxClockDrift)
}

// maxRemoteLoanDuration returns the time on this node's clock after which a loan
// has expired by the clock of any other node.
func (s State) maxRemoteLoanDuration() time.Duration {
	return time.Duration(float64(s.options.LoanDuration) * (1 + s.options.MaxClockDrift))
}
