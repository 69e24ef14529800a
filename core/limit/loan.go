package limit

import (
	"time"

	"caroblane/core/model"
)

// maxLoansPerBorrower limits the unexpired loans of one account to one borrower.
const maxLoansPerBorrower = 8

// maxBorrowers limits the borrowers of one account.
const maxBorrowers = 512

// borrowedLoan is a loan from another node.
type borrowedLoan struct {
	lender    model.NodeName
	amount    model.Allowance
	expiresAt time.Time
}

// lentLoan is a loan to another node.
type lentLoan struct {
	seq       uint64
	amount    model.Allowance
	expiresAt time.Time
}

// borrowerID identifies a process that borrows.
type borrowerID struct {
	node        model.NodeName
	incarnation model.Incarnation
}

// borrowerState has the loans of one borrower and its last borrow request.
type borrowerState struct {
	id        borrowerID
	lastSeq   uint64
	expiresAt time.Time
	// waitingTicket is the ticket of the last request while it is queued for a
	// token.
	waitingTicket model.Ticket
	// loans are ordered by seq. The borrower uses at most one of them at a time,
	// because each response replaces its earlier loan.
	loans []lentLoan
}

// reserved returns the most that the borrower may be using. While the response
// with the last loan is in transit, the borrower may still use an earlier loan,
// so the tokens of the last loan are added to the capacity of the earlier one.
func (b borrowerState) reserved() model.Allowance {
	var r model.Allowance
	last := len(b.loans) - 1
	for i, l := range b.loans {
		r.Rate = max(r.Rate, l.amount.Rate)
		burst := l.amount.Burst
		if i < last {
			burst += b.loans[last].amount.Level
		}
		r.Burst = max(r.Burst, burst)
	}
	return r
}

// withoutLoansBefore returns the state without the loans of requests before
// seq, which the borrower has returned.
func (b borrowerState) withoutLoansBefore(seq uint64) borrowerState {
	b.loans = filter(b.loans, func(l lentLoan) bool { return l.seq >= seq })
	return b
}

// tokensBefore returns the tokens lent for requests before seq.
func (b borrowerState) tokensBefore(seq uint64) float64 {
	var tokens float64
	for _, l := range b.loans {
		if l.seq < seq {
			tokens += l.amount.Level
		}
	}
	return tokens
}

// maxLoanBurst returns the largest capacity of the loans.
func (b borrowerState) maxLoanBurst() float64 {
	var burst float64
	for _, l := range b.loans {
		burst = max(burst, l.amount.Burst)
	}
	return burst
}

// totalLent returns the sum of what is reserved for all borrowers.
func (a account) totalLent() model.Allowance {
	var sum model.Allowance
	for _, b := range a.borrowers {
		r := b.reserved()
		sum.Rate += r.Rate
		sum.Burst += r.Burst
	}
	return sum
}

// borrowerOf returns the state of a borrower, and whether the borrower is known.
func (a account) borrowerOf(id borrowerID) (borrowerState, bool) {
	for _, b := range a.borrowers {
		if b.id == id {
			return b, true
		}
	}
	return borrowerState{id: id}, false
}

func (a account) withBorrower(b borrowerState) account {
	a.borrowers = upserted(a.borrowers, func(o borrowerState) bool { return o.id == b.id }, b)
	return a
}

// withLoan returns the account after a loan to b, and the amount of the loan.
// The amount is the proposed one, reduced to what can be lent.
func (a account) withLoan(b borrowerState, seq uint64, proposed model.Allowance, expiresAt time.Time) (account, model.Allowance) {
	free := a.lendableTo(b)
	amount := model.Allowance{
		Rate:  max(0, min(proposed.Rate, free.Rate)),
		Burst: max(0, min(proposed.Burst, free.Burst)),
	}
	amount.Level = max(0, min(proposed.Level, amount.Burst, free.Level))
	b.lastSeq = seq
	b.expiresAt = expiresAt
	if amount != (model.Allowance{}) {
		b.loans = append(b.loans[:len(b.loans):len(b.loans)], lentLoan{seq: seq, amount: amount, expiresAt: expiresAt})
	}
	a.tokens -= amount.Level
	return a.withBorrower(b).withCappedTokens(), amount
}

// lendableTo returns the most that b may hold. Rate and Burst include its present
// loans; Level is the number of tokens that can be added.
func (a account) lendableTo(b borrowerState) model.Allowance {
	var others model.Allowance
	for _, o := range a.borrowers {
		if o.id == b.id {
			continue
		}
		r := o.reserved()
		others.Rate += r.Rate
		others.Burst += r.Burst
	}
	burst := max(0, a.baseShare.Burst-others.Burst)
	return model.Allowance{
		Rate:  max(0, a.baseShare.Rate-others.Rate),
		Burst: burst,
		Level: max(0, min(a.tokens, burst-b.maxLoanBurst())),
	}
}

// borrowRequest is the last request to a lender.
type borrowRequest struct {
	lender model.NodeName
	// seq is zero if no response is awaited.
	seq    uint64
	sentAt time.Time
	want   model.Allowance
	// retryAt is the earliest time of the next request to the lender.
	retryAt time.Time
}

func (a account) borrowRequestTo(lender model.NodeName) borrowRequest {
	for _, r := range a.borrowRequests {
		if r.lender == lender {
			return r
		}
	}
	return borrowRequest{lender: lender}
}

func (a account) withBorrowRequest(r borrowRequest) account {
	a.borrowRequests = upserted(a.borrowRequests, func(o borrowRequest) bool { return o.lender == r.lender }, r)
	return a
}

// withoutExpiredRequests returns the account without the requests that neither
// await a response nor delay the next request. A response is awaited for at most
// the duration of a loan.
func (a account) withoutExpiredRequests(at time.Time, loanDuration time.Duration) account {
	old := func(r borrowRequest) bool {
		return !r.retryAt.After(at) && (r.seq == 0 || !r.sentAt.Add(loanDuration).After(at))
	}
	for _, r := range a.borrowRequests {
		if old(r) {
			a.borrowRequests = filter(a.borrowRequests, func(r borrowRequest) bool { return !old(r) })
			return a
		}
	}
	return a
}

// loanFrom returns the loan from a lender, or the zero value.
func (a account) loanFrom(lender model.NodeName) borrowedLoan {
	for _, l := range a.borrowed {
		if l.lender == lender {
			return l
		}
	}
	return borrowedLoan{}
}

// withBorrowed returns the account with a loan that replaces the earlier loan
// from the same lender.
func (a account) withBorrowed(l borrowedLoan) account {
	a.borrowed = upserted(a.borrowed, func(o borrowedLoan) bool { return o.lender == l.lender }, l)
	a.tokens += l.amount.Level
	return a.withCappedTokens()
}

// withoutBorrowed returns the account without the loan from a lender.
func (a account) withoutBorrowed(lender model.NodeName) account {
	a.borrowed = filter(a.borrowed, func(l borrowedLoan) bool { return l.lender != lender })
	return a.withCappedTokens()
}
