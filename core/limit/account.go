package limit

import (
	"math"
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/model"
)

const (
	// tokenEpsilon absorbs rounding errors where a bucket was computed to have
	// just enough for one token.
	tokenEpsilon = 1e-9
	// demandTimeConstant is the time constant of the exponential average of the
	// request rate.
	demandTimeConstant = 2 * time.Second
)

// account is the token bucket of one client account on this node, with the
// loans and the queue that go with it.
type account struct {
	name   model.AccountName
	limits history[rateLimit]
	// settledVersion and rosterVersion are the versions for which baseShare
	// was computed.
	settledVersion model.Version
	rosterVersion  model.Version
	// baseShare is this node's share of the limits, without loans.
	baseShare model.Allowance
	// tokens is the number of tokens in the bucket at refilledAt.
	tokens     float64
	refilledAt time.Time
	// borrowed are loans from other nodes, at most one from each lender.
	borrowed []borrowedLoan
	// borrowers has the loans to other nodes.
	borrowers []borrowerState
	// borrowRequests are the requests to lenders that await a response, and the
	// lenders that refused lately.
	borrowRequests []borrowRequest
	// demand is the average rate of requests per second at this node, as of
	// demandAt.
	demand   float64
	demandAt time.Time
	// queue holds the tickets of waiters by arrival number. It is nil when empty.
	queue *immutable.SortedMap[uint64, model.Ticket]
	// waitingRequests and waitingBorrows are the numbers of requests and of
	// borrow requests of other nodes in the queue.
	waitingRequests int
	waitingBorrows  int
	// timerAt is the time of the account's timer, or the zero time.
	timerAt time.Time
}

// capacity returns the maximum number of tokens in the bucket: the base share
// without what is lent, plus what is borrowed.
func (a account) capacity() float64 {
	capacity := max(0, a.baseShare.Burst-a.totalLent().Burst)
	for _, l := range a.borrowed {
		capacity += l.amount.Burst
	}
	return capacity
}

// refillRate returns the refill rate of the bucket in tokens per second. It
// leaves out borrowed loans that expire at or before until.
func (a account) refillRate(until time.Time) float64 {
	rate := max(0, a.baseShare.Rate-a.totalLent().Rate)
	for _, l := range a.borrowed {
		if l.expiresAt.After(until) {
			rate += l.amount.Rate
		}
	}
	return rate
}

// hasToken reports whether the bucket has a token for a request.
func (a account) hasToken() bool { return a.tokens >= 1-tokenEpsilon }

// withoutToken returns the account with one token removed.
func (a account) withoutToken() account {
	a.tokens = max(0, a.tokens-1)
	return a
}

// withCappedTokens returns the account with its tokens capped at the capacity.
func (a account) withCappedTokens() account {
	a.tokens = min(a.tokens, a.capacity())
	return a
}

// withRefill returns the account with its bucket refilled up to at, and without
// the loans that expired. The refill is divided by 1+maxClockDrift, so that a
// node whose clock is fast by that fraction does not exceed the rate.
func (a account) withRefill(at time.Time, maxClockDrift float64) account {
	for at.After(a.refilledAt) {
		step := at
		if end := a.nextLoanExpiry(); !end.IsZero() && end.Before(step) {
			step = end
		}
		if elapsed := step.Sub(a.refilledAt); elapsed > 0 {
			a.tokens = min(a.capacity(), a.tokens+a.refillRate(time.Time{})*elapsed.Seconds()/(1+maxClockDrift))
			a.refilledAt = step
		}
		a = a.withoutExpiredLoans(step).withCappedTokens()
	}
	return a
}

// withDemand returns the account with its average demand updated to at and with
// the given number of new requests added.
func (a account) withDemand(at time.Time, requests float64) account {
	if elapsed := at.Sub(a.demandAt); elapsed > 0 {
		a.demand *= math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
		a.demandAt = at
	}
	a.demand += requests / demandTimeConstant.Seconds()
	return a
}

// nextLoanExpiry returns when the next loan or the state of a borrower expires,
// or the zero time. Loans in both directions count.
func (a account) nextLoanExpiry() time.Time {
	var first time.Time
	keep := func(t time.Time) {
		if first.IsZero() || t.Before(first) {
			first = t
		}
	}
	for _, l := range a.borrowed {
		keep(l.expiresAt)
	}
	for _, b := range a.borrowers {
		for _, l := range b.loans {
			keep(l.expiresAt)
		}
		keep(b.expiresAt)
	}
	return first
}

// withoutExpiredLoans returns the account without the loans and the states of
// borrowers that expired by at.
func (a account) withoutExpiredLoans(at time.Time) account {
	ended := false
	for _, l := range a.borrowed {
		ended = ended || !l.expiresAt.After(at)
	}
	if ended {
		a.borrowed = filter(a.borrowed, func(l borrowedLoan) bool { return l.expiresAt.After(at) })
	}
	ended = false
	for _, b := range a.borrowers {
		ended = ended || !b.expiresAt.After(at)
		for _, l := range b.loans {
			ended = ended || !l.expiresAt.After(at)
		}
	}
	if ended {
		var borrowers []borrowerState
		for _, b := range a.borrowers {
			b.loans = filter(b.loans, func(l lentLoan) bool { return l.expiresAt.After(at) })
			if len(b.loans) > 0 || b.expiresAt.After(at) {
				borrowers = append(borrowers, b)
			}
		}
		a.borrowers = borrowers
	}
	return a
}

// filter returns a new slice with the values that keep accepts.
func filter[T any](values []T, keep func(T) bool) []T {
	var kept []T
	for _, v := range values {
		if keep(v) {
			kept = append(kept, v)
		}
	}
	return kept
}

// upserted returns a copy of values in which the first match is replaced by
// value, or to which value is appended if nothing matches.
func upserted[T any](values []T, match func(T) bool, value T) []T {
	copied := append([]T(nil), values...)
	for i := range copied {
		if match(copied[i]) {
			copied[i] = value
			return copied
		}
	}
	return append(copied, value)
}
