package limit

import (
	"time"

	"caroblane/core/model"
)

// maxLoans bounds the unexpired loans of one account to one borrower.
const maxLoans = 8

// maxDebts bounds the borrowers of one account.
const maxDebts = 512

// heldLoan is a loan from another node.
type heldLoan struct {
	lender model.NodeName
	amount model.Allowance
	until  time.Time
}

// lentLoan is a loan to another node.
type lentLoan struct {
	seq    uint64
	amount model.Allowance
	until  time.Time
}

// borrower identifies a process that borrows.
type borrower struct {
	node        model.NodeName
	incarnation model.Incarnation
}

// debt is what one borrower holds, and the last request that it made.
type debt struct {
	to    borrower
	seq   uint64
	until time.Time
	// waiting is the ticket of the request if it waits for a token.
	waiting model.Ticket
	// loans are in order of their Seq. The borrower uses at most one of them,
	// because it replaces the earlier one when the answer arrives.
	loans []lentLoan
}

// reserved returns the portion that the borrower may be using. While the last
// loan is on its way, its tokens come on top of an earlier loan's capacity.
func (d debt) reserved() model.Allowance {
	var r model.Allowance
	last := len(d.loans) - 1
	for i, l := range d.loans {
		r.Rate = max(r.Rate, l.amount.Rate)
		burst := l.amount.Burst
		if i < last {
			burst += d.loans[last].amount.Level
		}
		r.Burst = max(r.Burst, burst)
	}
	return r
}

// withoutBefore returns the debt without the loans of requests before seq,
// which the borrower gave back.
func (d debt) withoutBefore(seq uint64) debt {
	d.loans = filter(d.loans, func(l lentLoan) bool { return l.seq >= seq })
	return d
}

// tokensBefore returns the tokens lent for requests before seq.
func (d debt) tokensBefore(seq uint64) float64 {
	var tokens float64
	for _, l := range d.loans {
		if l.seq < seq {
			tokens += l.amount.Level
		}
	}
	return tokens
}

// earlier returns the largest capacity of the loans.
func (d debt) earlier() float64 {
	var burst float64
	for _, l := range d.loans {
		burst = max(burst, l.amount.Burst)
	}
	return burst
}

// lent returns what is reserved for all borrowers.
func (a account) lent() model.Allowance {
	var sum model.Allowance
	for _, d := range a.debts {
		r := d.reserved()
		sum.Rate += r.Rate
		sum.Burst += r.Burst
	}
	return sum
}

// debtOf returns the debt of a borrower.
func (a account) debtOf(to borrower) (debt, bool) {
	for _, d := range a.debts {
		if d.to == to {
			return d, true
		}
	}
	return debt{to: to}, false
}

func (a account) withDebt(d debt) account {
	a.debts = replaced(a.debts, func(o debt) bool { return o.to == d.to }, d)
	return a
}

// withLoan returns the account with a loan to d's borrower subtracted, and the
// loan, which is at most the proposed amount.
func (a account) withLoan(d debt, seq uint64, proposed model.Allowance, until time.Time) (account, model.Allowance) {
	free := a.freeFor(d)
	amount := model.Allowance{
		Rate:  max(0, min(proposed.Rate, free.Rate)),
		Burst: max(0, min(proposed.Burst, free.Burst)),
	}
	amount.Level = max(0, min(proposed.Level, amount.Burst, free.Level))
	d.seq = seq
	d.until = until
	if amount != (model.Allowance{}) {
		d.loans = append(d.loans[:len(d.loans):len(d.loans)], lentLoan{seq: seq, amount: amount, until: until})
	}
	a.level -= amount.Level
	return a.withDebt(d).withClip(), amount
}

// freeFor returns the most that may be lent to d's borrower, with what it
// already holds.
func (a account) freeFor(d debt) model.Allowance {
	var others model.Allowance
	for _, o := range a.debts {
		if o.to == d.to {
			continue
		}
		r := o.reserved()
		others.Rate += r.Rate
		others.Burst += r.Burst
	}
	burst := max(0, a.base.Burst-others.Burst)
	return model.Allowance{
		Rate:  max(0, a.base.Rate-others.Rate),
		Burst: burst,
		Level: max(0, min(a.level, burst-d.earlier())),
	}
}

// ask is the last request to a lender.
type ask struct {
	lender model.NodeName
	// seq is zero when no answer is awaited.
	seq  uint64
	at   time.Time
	want model.Allowance
	// after is when the lender may be asked again.
	after time.Time
}

func (a account) askOf(lender model.NodeName) ask {
	for _, q := range a.asks {
		if q.lender == lender {
			return q
		}
	}
	return ask{lender: lender}
}

func (a account) withAsk(q ask) account {
	a.asks = replaced(a.asks, func(o ask) bool { return o.lender == q.lender }, q)
	return a
}

// withoutOldAsks returns the account without requests that ended by at.
func (a account) withoutOldAsks(at time.Time, term time.Duration) account {
	old := func(q ask) bool {
		return !q.after.After(at) && (q.seq == 0 || !q.at.Add(term).After(at))
	}
	for _, q := range a.asks {
		if old(q) {
			a.asks = filter(a.asks, func(q ask) bool { return !old(q) })
			return a
		}
	}
	return a
}

// heldFrom returns the loan of a lender.
func (a account) heldFrom(lender model.NodeName) heldLoan {
	for _, l := range a.held {
		if l.lender == lender {
			return l
		}
	}
	return heldLoan{}
}

// withHeld returns the account with a loan that replaces the lender's earlier
// one.
func (a account) withHeld(l heldLoan) account {
	a.held = replaced(a.held, func(o heldLoan) bool { return o.lender == l.lender }, l)
	a.level += l.amount.Level
	return a.withClip()
}

// withoutHeld returns the account without the loan of a lender.
func (a account) withoutHeld(lender model.NodeName) account {
	a.held = filter(a.held, func(l heldLoan) bool { return l.lender != lender })
	return a.withClip()
}
