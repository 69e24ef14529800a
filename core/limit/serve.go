package limit

import (
	"time"

	"caroblane/core/event"
	"caroblane/core/model"
)

const (
	// minTimerDelay is the shortest delay of an account's timer.
	minTimerDelay = time.Millisecond
	// maxTimerDelay is the longest delay of the timer of an account that has
	// waiters. It covers changes without a timer of their own, such as an
	// unreachable node that recovers.
	maxTimerDelay = time.Second
	// staleCheckInterval is how often accounts with waiters are checked while
	// this node is not fresh.
	staleCheckInterval = 100 * time.Millisecond
)

// processAccount serves the waiters of an account, requests and returns loans,
// sets the account's timer and stores the account.
func (s State) processAccount(a account, sc stepContext) State {
	s, a = s.serveWaiters(a, sc)
	s, a = s.borrowAndReturn(a, sc)
	due := s.accountTimer(a, sc)
	if !due.Equal(a.timerAt) {
		if !a.timerAt.IsZero() {
			s.accountTimers = s.accountTimers.Delete(timerKey[model.AccountName]{a.timerAt, a.name})
		}
		if !due.IsZero() {
			s.accountTimers = s.accountTimers.Set(timerKey[model.AccountName]{due, a.name}, struct{}{})
		}
		a.timerAt = due
	}
	s.accounts = s.accounts.Set(a.name, a)
	return s
}

// serveWaiters gives tokens to waiters in order of arrival.
func (s State) serveWaiters(a account, sc stepContext) (State, account) {
	for {
		ticket, ok := a.head()
		if !ok {
			return s, a
		}
		w, _ := s.waiters.Get(ticket)
		switch {
		case !w.deadline.After(sc.at):
			s, a = s.refuseWaiter(a, ticket, w, model.RateLimited, sc.out)
		case !sc.fresh || !a.hasToken():
			return s, a
		case w.isBorrow:
			s, a = s.lendToWaiter(a, ticket, w, sc)
		default:
			s, a = s.withoutWaiter(a.withoutToken(), ticket, w)
			sc.out.Raise(event.AdmissionGranted{Ticket: ticket})
		}
	}
}

// accountTimer returns when the account must be processed again, or the zero
// time if it has no waiters.
func (s State) accountTimer(a account, sc stepContext) time.Time {
	if a.queue == nil {
		return time.Time{}
	}
	next := sc.at.Add(maxTimerDelay)
	sooner := func(at time.Time) {
		if at.After(sc.at) && at.Before(next) {
			next = at
		}
	}
	if !sc.fresh {
		sooner(sc.at.Add(staleCheckInterval))
		return next
	}
	if rate := a.refillRate(time.Time{}); rate > 0 && a.capacity() >= 1-tokenEpsilon {
		seconds := (1 - a.tokens) / rate * (1 + s.options.MaxClockDrift)
		if seconds < maxTimerDelay.Seconds() {
			sooner(sc.at.Add(max(minTimerDelay, time.Duration(seconds*float64(time.Second))+time.Microsecond)))
		}
	}
	if end := a.nextLoanExpiry(); !end.IsZero() {
		sooner(end)
	}
	if len(s.pendingSettlements) > 0 {
		sooner(s.pendingSettlements[0].effectiveAt)
	}
	if s.strategy.Lending && a.waitingRequests > 0 {
		for _, r := range a.borrowRequests {
			sooner(r.retryAt)
			sooner(r.sentAt.Add(hedgeDelay))
			sooner(r.sentAt.Add(s.options.LoanDuration))
		}
	}
	return next
}
