package limit

import (
	"cmp"
	"math"
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

// maxRetryAfterSeconds limits the Retry-After value of refused requests.
const maxRetryAfterSeconds = 60

// waiter is a request, or a borrow request of another node, that is queued for a
// token.
type waiter struct {
	account  model.AccountName
	arrival  uint64
	deadline time.Time
	// isBorrow reports whether the waiter is a borrow request, held in borrow.
	isBorrow bool
	borrow   event.BorrowAsked
}

// timerKey identifies a timer and orders timers by time.
type timerKey[K cmp.Ordered] struct {
	at  time.Time
	key K
}

type timerComparer[K cmp.Ordered] struct{}

func (timerComparer[K]) Compare(a, b timerKey[K]) int {
	return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.key, b.key))
}

type timerSet[K cmp.Ordered] = *immutable.SortedMap[timerKey[K], struct{}]

func newTimerSet[K cmp.Ordered]() timerSet[K] {
	return immutable.NewSortedMap[timerKey[K], struct{}](timerComparer[K]{})
}

// earliestTimer returns the earliest timer, and false if there is none.
func earliestTimer[K cmp.Ordered](t timerSet[K]) (timerKey[K], bool) {
	if t.Len() == 0 {
		return timerKey[K]{}, false
	}
	key, _, ok := t.Iterator().Next()
	return key, ok
}

type arrivalComparer struct{}

func (arrivalComparer) Compare(a, b uint64) int { return cmp.Compare(a, b) }

// withWaiter returns the account with a ticket appended to its queue.
func (a account) withWaiter(ticket model.Ticket, w waiter) account {
	if a.queue == nil {
		a.queue = immutable.NewSortedMap[uint64, model.Ticket](arrivalComparer{})
	}
	a.queue = a.queue.Set(w.arrival, ticket)
	if w.isBorrow {
		a.waitingBorrows++
	} else {
		a.waitingRequests++
	}
	return a
}

// withoutWaiter returns the account with a waiter removed from its queue.
func (a account) withoutWaiter(w waiter) account {
	if a.queue = a.queue.Delete(w.arrival); a.queue.Len() == 0 {
		a.queue = nil
	}
	if w.isBorrow {
		a.waitingBorrows--
	} else {
		a.waitingRequests--
	}
	return a
}

// head returns the ticket that has waited longest, and false if the queue is
// empty.
func (a account) head() (model.Ticket, bool) {
	if a.queue == nil {
		return 0, false
	}
	_, ticket, ok := a.queue.Iterator().Next()
	return ticket, ok
}

// retryAfterSeconds returns how long it takes to get a token for each waiting
// request and one more, at the account's full rate over all nodes.
func (a account) retryAfterSeconds() int {
	limits, _ := a.limits.Last()
	if limits.rate <= 0 {
		return maxRetryAfterSeconds
	}
	return int(max(1, min(maxRetryAfterSeconds, math.Ceil(float64(a.waitingRequests+1)/limits.rate))))
}

// withWaiter adds a ticket to the queue of an account and sets its deadline.
func (s State) withWaiter(a account, ticket model.Ticket, w waiter) (State, account) {
	s.lastArrival++
	w.account, w.arrival = a.name, s.lastArrival
	s.waiters = s.waiters.Set(ticket, w)
	s.deadlines = s.deadlines.Set(timerKey[model.Ticket]{w.deadline, ticket}, struct{}{})
	return s, a.withWaiter(ticket, w)
}

// withoutWaiter removes a ticket from the queue of an account and cancels its
// deadline.
func (s State) withoutWaiter(a account, ticket model.Ticket, w waiter) (State, account) {
	s.waiters = s.waiters.Delete(ticket)
	s.deadlines = s.deadlines.Delete(timerKey[model.Ticket]{w.deadline, ticket})
	return s, a.withoutWaiter(w)
}

// refuseWaiter removes a waiter and refuses it.
func (s State) refuseWaiter(a account, ticket model.Ticket, w waiter, reason model.Reason, out *Out) (State, account) {
	s, a = s.withoutWaiter(a, ticket, w)
	if w.isBorrow {
		out.Emit(declinedLoan(w.borrow))
		return s, a
	}
	retryAfter := 0
	if reason == model.RateLimited {
		retryAfter = a.retryAfterSeconds()
	}
	out.Raise(event.AdmissionRefused{Ticket: ticket, Reason: reason, RetryAfterSeconds: retryAfter})
	return s, a
}

func declinedLoan(asked event.BorrowAsked) effect.Lend {
	return effect.Lend{Ticket: asked.Ticket, Account: asked.Account, Seq: asked.Seq}
}
