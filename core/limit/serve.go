package limit

import (
	"time"

	"caroblane/core/event"
	"caroblane/core/model"
)

const (
	// minPause is the least time to an account's timer.
	minPause = time.Millisecond
	// maxPause bounds the time to the timer of an account that has waiters. It
	// covers what has no timer of its own, such as a node that answers again.
	maxPause = time.Second
	// stalePause is the time between looks at whether this node is fresh again.
	stalePause = 100 * time.Millisecond
)

// settled serves the waiters of an account, borrows what it lacks, sets its
// timer and stores it.
func (s State) settled(a account, t turn) State {
	s, a = s.served(a, t)
	s, a = s.borrowed(a, t)
	due := s.dueOf(a, t)
	if !due.Equal(a.due) {
		if !a.due.IsZero() {
			s.dues = s.dues.Delete(dueKey[model.AccountName]{a.due, a.name})
		}
		if !due.IsZero() {
			s.dues = s.dues.Set(dueKey[model.AccountName]{due, a.name}, struct{}{})
		}
		a.due = due
	}
	s.accounts = s.accounts.Set(a.name, a)
	return s
}

// served gives tokens to waiters in their order.
func (s State) served(a account, t turn) (State, account) {
	for {
		ticket, ok := a.head()
		if !ok {
			return s, a
		}
		w, _ := s.waiting.Get(ticket)
		switch {
		case !w.by.After(t.at):
			s, a = s.turnedAway(a, ticket, w, model.RateLimited, t.out)
		case !t.fresh || !a.hasToken():
			return s, a
		case w.borrows:
			s, a = s.lentToWaiter(a, ticket, w, t)
		default:
			s, a = s.withoutWaiter(a.withoutToken(), ticket, w)
			t.out.Raise(event.AdmissionGranted{Ticket: ticket})
		}
	}
}

// dueOf returns when the account needs a timer event, or the zero time if
// nothing waits.
func (s State) dueOf(a account, t turn) time.Time {
	if a.queue == nil {
		return time.Time{}
	}
	due := t.at.Add(maxPause)
	sooner := func(at time.Time) {
		if at.After(t.at) && at.Before(due) {
			due = at
		}
	}
	if !t.fresh {
		sooner(t.at.Add(stalePause))
		return due
	}
	if rate := a.rate(time.Time{}); rate > 0 && a.capacity() >= 1-tokenSlack {
		seconds := (1 - a.level) / rate * (1 + s.options.Drift)
		if seconds < maxPause.Seconds() {
			sooner(t.at.Add(max(minPause, time.Duration(seconds*float64(time.Second))+time.Microsecond)))
		}
	}
	if end := a.firstEnd(); !end.IsZero() {
		sooner(end)
	}
	if len(s.lows) > 0 {
		sooner(s.lows[0].at)
	}
	if s.way.Lending && a.callers > 0 {
		for _, q := range a.asks {
			sooner(q.after)
			sooner(q.at.Add(hedgePause))
			sooner(q.at.Add(s.options.LoanTerm))
		}
	}
	return due
}
