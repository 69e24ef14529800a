package limit

import (
	"math"
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/model"
)

const (
	// tokenSlack absorbs rounding where a bucket was computed to be just full
	// enough for one token.
	tokenSlack = 1e-9
	// demandTerm is the time constant of the measured demand.
	demandTerm = 2 * time.Second
)

// account is this node's part of the limits of one client account.
type account struct {
	name   model.AccountName
	limits history[bounds]
	// low and roster are the versions that base was computed for.
	low    model.Version
	roster model.Version
	// base is the share of this node.
	base model.Allowance
	// level is the number of tokens at updated.
	level   float64
	updated time.Time
	// held are loans from other nodes, at most one from each lender.
	held []heldLoan
	// debts are loans to other nodes.
	debts []debt
	// asks are the open questions to lenders and their last refusals.
	asks []ask
	// demand is the number of requests a second at this node at demandAt.
	demand   float64
	demandAt time.Time
	// queue holds the waiting tickets by order of arrival, nil when empty.
	queue *immutable.SortedMap[uint64, model.Ticket]
	// callers and borrowers count the waiting requests and borrow requests.
	callers   int
	borrowers int
	// due is when the account needs a timer event, or the zero time.
	due time.Time
}

// capacity returns how many tokens the bucket holds.
func (a account) capacity() float64 {
	capacity := max(0, a.base.Burst-a.lent().Burst)
	for _, l := range a.held {
		capacity += l.amount.Burst
	}
	return capacity
}

// rate returns the refill of the bucket, without loans that end before until.
func (a account) rate(until time.Time) float64 {
	rate := max(0, a.base.Rate-a.lent().Rate)
	for _, l := range a.held {
		if l.until.After(until) {
			rate += l.amount.Rate
		}
	}
	return rate
}

// hasToken tells whether a request can be admitted.
func (a account) hasToken() bool { return a.level >= 1-tokenSlack }

// withoutToken returns the account without one token.
func (a account) withoutToken() account {
	a.level = max(0, a.level-1)
	return a
}

// withClip returns the account with no more tokens than its bucket holds.
func (a account) withClip() account {
	a.level = min(a.level, a.capacity())
	return a
}

// withTime returns the account with its bucket refilled up to at, and without
// the loans that ended. Clocks that run fast by drift refill no faster than
// the rate.
func (a account) withTime(at time.Time, drift float64) account {
	for at.After(a.updated) {
		step := at
		if end := a.firstEnd(); !end.IsZero() && end.Before(step) {
			step = end
		}
		if elapsed := step.Sub(a.updated); elapsed > 0 {
			a.level = min(a.capacity(), a.level+a.rate(time.Time{})*elapsed.Seconds()/(1+drift))
			a.updated = step
		}
		a = a.withoutEnded(step).withClip()
	}
	return a
}

// withDemand returns the account with the demand measured up to at, and the
// given number of further requests.
func (a account) withDemand(at time.Time, requests float64) account {
	if elapsed := at.Sub(a.demandAt); elapsed > 0 {
		a.demand *= math.Exp(-elapsed.Seconds() / demandTerm.Seconds())
		a.demandAt = at
	}
	a.demand += requests / demandTerm.Seconds()
	return a
}

// firstEnd returns when the first loan ends, or the zero time.
func (a account) firstEnd() time.Time {
	var first time.Time
	keep := func(t time.Time) {
		if first.IsZero() || t.Before(first) {
			first = t
		}
	}
	for _, l := range a.held {
		keep(l.until)
	}
	for _, d := range a.debts {
		for _, l := range d.loans {
			keep(l.until)
		}
		keep(d.until)
	}
	return first
}

// withoutEnded returns the account without the loans that ended.
func (a account) withoutEnded(at time.Time) account {
	ended := false
	for _, l := range a.held {
		ended = ended || !l.until.After(at)
	}
	if ended {
		a.held = filter(a.held, func(l heldLoan) bool { return l.until.After(at) })
	}
	ended = false
	for _, d := range a.debts {
		ended = ended || !d.until.After(at)
		for _, l := range d.loans {
			ended = ended || !l.until.After(at)
		}
	}
	if ended {
		var debts []debt
		for _, d := range a.debts {
			d.loans = filter(d.loans, func(l lentLoan) bool { return l.until.After(at) })
			if len(d.loans) > 0 || d.until.After(at) {
				debts = append(debts, d)
			}
		}
		a.debts = debts
	}
	return a
}

// filter returns the kept values in a slice of their own.
func filter[T any](values []T, keep func(T) bool) []T {
	var kept []T
	for _, v := range values {
		if keep(v) {
			kept = append(kept, v)
		}
	}
	return kept
}

// replaced returns a copy of values in which the value that matches is
// replaced, or to which it is added.
func replaced[T any](values []T, match func(T) bool, value T) []T {
	copied := append([]T(nil), values...)
	for i := range copied {
		if match(copied[i]) {
			copied[i] = value
			return copied
		}
	}
	return append(copied, value)
}
