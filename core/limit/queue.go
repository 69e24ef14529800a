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

// maxRetryAfter bounds the advice to a refused caller, in seconds.
const maxRetryAfter = 60

// waiter is a request, or a borrow request of another node, without a token.
type waiter struct {
	account model.AccountName
	order   uint64
	by      time.Time
	// borrows tells that asked is what waits.
	borrows bool
	asked   event.BorrowAsked
}

// dueKey orders timers by time.
type dueKey[K cmp.Ordered] struct {
	at  time.Time
	key K
}

type dueComparer[K cmp.Ordered] struct{}

func (dueComparer[K]) Compare(a, b dueKey[K]) int {
	return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.key, b.key))
}

type timers[K cmp.Ordered] = *immutable.SortedMap[dueKey[K], struct{}]

func newTimers[K cmp.Ordered]() timers[K] {
	return immutable.NewSortedMap[dueKey[K], struct{}](dueComparer[K]{})
}

// first returns the earliest timer.
func first[K cmp.Ordered](t timers[K]) (dueKey[K], bool) {
	if t.Len() == 0 {
		return dueKey[K]{}, false
	}
	key, _, ok := t.Iterator().Next()
	return key, ok
}

type orderComparer struct{}

func (orderComparer) Compare(a, b uint64) int { return cmp.Compare(a, b) }

// withWaiter returns the account with a ticket at the end of its queue.
func (a account) withWaiter(ticket model.Ticket, w waiter) account {
	if a.queue == nil {
		a.queue = immutable.NewSortedMap[uint64, model.Ticket](orderComparer{})
	}
	a.queue = a.queue.Set(w.order, ticket)
	if w.borrows {
		a.borrowers++
	} else {
		a.callers++
	}
	return a
}

// withoutWaiter returns the account without a waiting ticket.
func (a account) withoutWaiter(w waiter) account {
	if a.queue = a.queue.Delete(w.order); a.queue.Len() == 0 {
		a.queue = nil
	}
	if w.borrows {
		a.borrowers--
	} else {
		a.callers--
	}
	return a
}

// head returns the ticket that waits longest.
func (a account) head() (model.Ticket, bool) {
	if a.queue == nil {
		return 0, false
	}
	_, ticket, ok := a.queue.Iterator().Next()
	return ticket, ok
}

// retryAfter returns the seconds until the account has a token for one more
// request than already waits, if all of its rate came to this node.
func (a account) retryAfter() int {
	b, _ := a.limits.Last()
	if b.rate <= 0 {
		return maxRetryAfter
	}
	return int(max(1, min(maxRetryAfter, math.Ceil(float64(a.callers+1)/b.rate))))
}

// withWaiter adds a ticket to the queue of an account.
func (s State) withWaiter(a account, ticket model.Ticket, w waiter) (State, account) {
	s.order++
	w.account, w.order = a.name, s.order
	s.waiting = s.waiting.Set(ticket, w)
	s.deadlines = s.deadlines.Set(dueKey[model.Ticket]{w.by, ticket}, struct{}{})
	return s, a.withWaiter(ticket, w)
}

// withoutWaiter removes a ticket from the queue of an account.
func (s State) withoutWaiter(a account, ticket model.Ticket, w waiter) (State, account) {
	s.waiting = s.waiting.Delete(ticket)
	s.deadlines = s.deadlines.Delete(dueKey[model.Ticket]{w.by, ticket})
	return s, a.withoutWaiter(w)
}

// turnedAway ends a waiter without a token.
func (s State) turnedAway(a account, ticket model.Ticket, w waiter, reason model.Reason, out *Out) (State, account) {
	s, a = s.withoutWaiter(a, ticket, w)
	if w.borrows {
		out.Emit(noLoan(w.asked))
		return s, a
	}
	retryAfter := 0
	if reason == model.RateLimited {
		retryAfter = a.retryAfter()
	}
	out.Raise(event.AdmissionRefused{Ticket: ticket, Reason: reason, RetryAfterSeconds: retryAfter})
	return s, a
}

func noLoan(asked event.BorrowAsked) effect.Lend {
	return effect.Lend{Ticket: asked.Ticket, Account: asked.Account, Seq: asked.Seq}
}
