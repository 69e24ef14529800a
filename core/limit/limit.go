// Package limit is the decision part for rate and burst of client accounts. It
// keeps the sum of what all nodes admit within the limits of an account:
// each node has a base share, and nodes lend portions of it to each other.
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

// maxTimers bounds the timers that one event serves, so that a traffic event
// does not wait long behind it. The rest is due at once.
const maxTimers = 256

// Out is what this part produces in a step.
type Out = step.Out[event.Event, effect.Effect]

// Facts are the values of other parts that limit decides on.
type Facts struct {
	// Fresh tells that this node may admit requests and lend.
	Fresh bool
}

// Options are the terms and bounds of the part.
type Options struct {
	// LoanTerm is how long a borrower may use a loan.
	LoanTerm time.Duration
	// Drift bounds by how much the clock rates of two nodes differ.
	Drift float64
	// MaxWaiting bounds the waiting requests of an account, and separately the
	// borrow requests of other nodes that wait for it.
	MaxWaiting int
	// MaxWaitingTotal bounds all that waits on this node.
	MaxWaitingTotal int
}

// DefaultOptions returns the terms of section 6 of the design page.
func DefaultOptions() Options {
	return Options{LoanTerm: 2 * time.Second, Drift: 0.001, MaxWaiting: 1024, MaxWaitingTotal: 16384}
}

// lowMark is a settled version that takes effect at a later time.
type lowMark struct {
	at      time.Time
	version model.Version
}

// suspect is a node that a borrow request did not reach.
type suspect struct {
	node  model.NodeName
	until time.Time
}

// State holds the allowances of this node. The zero value is not usable.
type State struct {
	self    model.NodeName
	way     Way
	options Options
	// low is the settled version in effect, lows are the later ones. Marks are
	// the last ones that took effect, for accounts not used since then.
	low      model.Version
	lows     []lowMark
	marks    []lowMark
	rosters  history[[]model.NodeName]
	accounts *immutable.Map[model.AccountName, account]
	waiting  *immutable.Map[model.Ticket, waiter]
	// deadlines holds a timer for each waiter, dues one for each account that
	// needs one.
	deadlines timers[model.Ticket]
	dues      timers[model.AccountName]
	suspects  []suspect
	// order numbers the waiters.
	order uint64
	// seq numbers the requests to lenders. It starts at a random number, so
	// that answers to an earlier process of this node match no request.
	seq  uint64
	next time.Time
}

// New returns the state of a started node without accounts.
func New(self model.NodeName, way Way, options Options) State {
	return State{
		self:      self,
		way:       way,
		options:   options,
		accounts:  immutable.NewMap[model.AccountName, account](accountHasher{}),
		waiting:   immutable.NewMap[model.Ticket, waiter](ticketHasher{}),
		deadlines: newTimers[model.Ticket](),
		dues:      newTimers[model.AccountName](),
	}
}

// turn is what the handlers of one event share.
type turn struct {
	at    time.Time
	draw  uint64
	fresh bool
	out   *Out
}

// Apply takes changes of the limits, admissions and loans. VersionChanged
// needs no action: each share is the least one over all versions from the
// settled one on, and the templates and rosters themselves carry the versions.
func (s State) Apply(in step.Input[event.Event], facts Facts) (State, Out) {
	var out Out
	t := turn{at: in.At, draw: in.Draw, fresh: facts.Fresh, out: &out}
	deadlines, dues := s.deadlines, s.dues
	switch e := in.Event.(type) {
	case event.AdmissionAsked:
		s = s.withTime(t).admissionAsked(e, t)
	case event.AdmissionDropped:
		s = s.withTime(t).admissionDropped(e, t)
	case event.BorrowAsked:
		s = s.withTime(t).borrowAsked(e, t)
	case event.BorrowAnswered:
		s = s.withTime(t).borrowAnswered(e, t)
	case event.BorrowFailed:
		s = s.withTime(t).borrowFailed(e, t)
	case event.RosterChanged:
		s = s.withTime(t).rosterChanged(e)
	case event.SettledChanged:
		s = s.withTime(t).settledChanged(e, t)
	case event.TemplateChanged:
		s = s.withTime(t).templateChanged(e, t)
	case event.Tick:
		s = s.withTime(t).ticked(t)
	}
	if s.deadlines != deadlines || s.dues != dues {
		deadline, _ := first(s.deadlines)
		due, _ := first(s.dues)
		s.next = step.Earliest(deadline.at, due.at)
	}
	return s, out
}

// Next returns when the part needs a timer event.
func (s State) Next() time.Time { return s.next }

// Settled tells that a settled version is in effect, so that the base shares of
// this node count.
func (s State) Settled(now time.Time) bool {
	return s.low > 0 || len(s.lows) > 0 && !s.lows[0].at.After(now)
}

// Waiting returns the number of waiting requests, with borrow requests of
// other nodes.
func (s State) Waiting() int { return s.waiting.Len() }

// withTime puts the settled versions into effect that are due.
func (s State) withTime(t turn) State {
	if s.seq == 0 {
		s.seq = t.draw >> 24
	}
	for len(s.lows) > 0 && !s.lows[0].at.After(t.at) {
		s.low = s.lows[0].version
		kept := s.marks[max(0, len(s.marks)-maxHistory+1):]
		s.marks = append(slices.Clone(kept), s.lows[0])
		s.lows = s.lows[1:]
	}
	return s
}

func (s State) admissionAsked(e event.AdmissionAsked, t turn) State {
	a, ok := s.accounts.Get(e.Account)
	if !ok {
		t.out.Raise(event.AdmissionRefused{Ticket: e.Ticket, Reason: model.KeyUnknown})
		return s
	}
	a = s.current(a, t).withDemand(t.at, 1)
	switch {
	case t.fresh && a.queue == nil && a.hasToken():
		a = a.withoutToken()
		t.out.Raise(event.AdmissionGranted{Ticket: e.Ticket})
	case a.callers >= s.options.MaxWaiting:
		t.out.Raise(event.AdmissionRefused{
			Ticket: e.Ticket, Reason: model.RateLimited, RetryAfterSeconds: a.retryAfter(),
		})
	case s.waiting.Len() >= s.options.MaxWaitingTotal:
		t.out.Raise(event.AdmissionRefused{Ticket: e.Ticket, Reason: model.Overloaded, RetryAfterSeconds: 1})
	default:
		s, a = s.withWaiter(a, e.Ticket, waiter{by: e.AdmitBy})
	}
	return s.settled(a, t)
}

func (s State) admissionDropped(e event.AdmissionDropped, t turn) State {
	w, ok := s.waiting.Get(e.Ticket)
	if !ok || w.borrows {
		return s
	}
	a, _ := s.accounts.Get(w.account)
	s, a = s.withoutWaiter(s.current(a, t), e.Ticket, w)
	return s.settled(a, t)
}

func (s State) rosterChanged(e event.RosterChanged) State {
	members := make([]model.NodeName, len(e.Roster.Members))
	for i, m := range e.Roster.Members {
		members[i] = m.Name
	}
	s.rosters = s.rosters.With(e.Version, e.Contiguous, members)
	return s
}

// settledChanged lets a settled version take effect after the term of a loan.
// Until then, loans may be in use that were given by nodes at older versions.
// A started node has no settled version, so that the same term also passes
// before it uses its share beside the loans of an earlier process.
func (s State) settledChanged(e event.SettledChanged, t turn) State {
	last := s.low
	if n := len(s.lows); n > 0 {
		last = s.lows[n-1].version
	}
	if e.Low <= last {
		return s
	}
	kept := s.lows[:min(len(s.lows), maxHistory-1)]
	s.lows = append(slices.Clone(kept), lowMark{at: t.at.Add(s.loanTermElsewhere()), version: e.Low})
	return s
}

func (s State) templateChanged(e event.TemplateChanged, t turn) State {
	a, ok := s.accounts.Get(e.Account)
	if e.Deleted {
		if ok {
			s = s.withoutAccount(a, t)
		}
		return s
	}
	if !ok {
		a = account{name: e.Account, updated: t.at, demandAt: t.at, low: s.low}
	}
	a = s.current(a, t)
	a.limits = a.limits.With(e.Version, e.Contiguous, boundsOf(e.Template))
	a.base = s.floor(a.name, a.limits, a.low)
	return s.settled(a.withClip(), t)
}

// withoutAccount forgets a deleted account. Its loans need no record: the base
// share of an account that is created again counts only after it is settled,
// which takes longer than the loans last.
func (s State) withoutAccount(a account, t turn) State {
	for ticket, ok := a.head(); ok; ticket, ok = a.head() {
		w, _ := s.waiting.Get(ticket)
		s, a = s.turnedAway(a, ticket, w, model.KeyUnknown, t.out)
	}
	if !a.due.IsZero() {
		s.dues = s.dues.Delete(dueKey[model.AccountName]{a.due, a.name})
	}
	s.accounts = s.accounts.Delete(a.name)
	return s
}

func (s State) ticked(t turn) State {
	for range maxTimers {
		key, ok := first(s.dues)
		if !ok || key.at.After(t.at) {
			break
		}
		a, _ := s.accounts.Get(key.key)
		s = s.settled(s.current(a, t), t)
	}
	for range maxTimers {
		key, ok := first(s.deadlines)
		if !ok || key.at.After(t.at) {
			break
		}
		w, _ := s.waiting.Get(key.key)
		a, _ := s.accounts.Get(w.account)
		s, a = s.turnedAway(s.current(a, t), key.key, w, model.RateLimited, t.out)
		s = s.settled(a, t)
	}
	return s
}

// current returns the account with its base share and its bucket at the time
// of the event. An account is only brought up to date when an event concerns
// it, so that a change of the roster costs nothing for the others. Up to each
// mark, its bucket filled by the least share since the mark before.
func (s State) current(a account, t turn) account {
	if a.low == s.low && a.roster == s.rosters.Newest() {
		return a.withTime(t.at, s.options.Drift)
	}
	a.base = s.floor(a.name, a.limits, a.low)
	a = a.withClip()
	for _, m := range s.marks {
		if m.version > a.low {
			a = a.withTime(m.at, s.options.Drift)
			a.low = m.version
			a.base = s.floor(a.name, a.limits, a.low)
		}
	}
	a.roster = s.rosters.Newest()
	a.limits = a.limits.Since(s.low)
	return a.withTime(t.at, s.options.Drift)
}

// loanTermElsewhere returns the time on this node's clock after which a loan
// has ended on any other node's clock.
func (s State) loanTermElsewhere() time.Duration {
	return time.Duration(float64(s.options.LoanTerm) * (1 + s.options.Drift))
}
