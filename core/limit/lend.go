package limit

import (
	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

// borrowAsked answers a request of another node, or lets it wait in turn with
// the requests of this node.
func (s State) borrowAsked(e event.BorrowAsked, t turn) State {
	a, ok := s.accounts.Get(e.Account)
	if !ok || !s.way.Lending || e.From == s.self {
		t.out.Emit(noLoan(e))
		return s
	}
	a = s.current(a, t)
	d, known := a.debtOf(borrower{e.From, e.FromIncarnation})
	if known && e.GivenBack {
		// The tokens come back once: a repeat has no loans left to return.
		a.level += max(0, min(e.Returned, d.tokensBefore(e.Seq)))
		d = d.withoutBefore(e.Seq)
		a = a.withDebt(d).withClip()
	}
	if known && e.Seq <= d.seq {
		s, a = s.askedAgain(a, d, e, t)
		return s.settled(a, t)
	}
	if w, waits := s.waiting.Get(d.waiting); waits && w.borrows && d.waiting != 0 {
		s, a = s.turnedAway(a, d.waiting, w, model.RateLimited, t.out)
	}
	d.seq, d.waiting = e.Seq, 0
	d.until = t.at.Add(s.loanTermElsewhere())
	free := a.freeFor(d)
	amount := model.Allowance{}
	if t.fresh && len(d.loans) < maxLoans && (known || len(a.debts) < maxDebts) {
		need := s.needOf(a, t)
		need.Waiting += a.borrowers
		amount = s.way.Policy.Lend(need, free, e.Want)
	}
	switch {
	case amount.Level >= 1-tokenSlack || amount.Rate > 0:
		a, amount = a.withLoan(d, e.Seq, amount, d.until)
		t.out.Emit(effect.Lend{Ticket: e.Ticket, Account: a.name, Seq: e.Seq, Amount: amount})
	case t.fresh && e.Want.Level >= 1 && a.base.Burst >= 1 && (known || len(a.debts) < maxDebts) &&
		a.borrowers < s.options.MaxWaiting && s.waiting.Len() < s.options.MaxWaitingTotal:
		d.waiting = e.Ticket
		a = a.withDebt(d)
		by := t.at.Add(s.options.LoanTerm / 2)
		s, a = s.withWaiter(a, e.Ticket, waiter{by: by, borrows: true, asked: e})
	default:
		if known {
			a = a.withDebt(d)
		}
		t.out.Emit(noLoan(e))
	}
	return s.settled(a, t)
}

// askedAgain answers a request that is not newer than the borrower's last one.
// The loan of a repeated request was subtracted once, and the borrower takes
// only one answer to it.
func (s State) askedAgain(a account, d debt, e event.BorrowAsked, t turn) (State, account) {
	for _, l := range d.loans {
		if l.seq == e.Seq {
			t.out.Emit(effect.Lend{Ticket: e.Ticket, Account: a.name, Seq: e.Seq, Amount: l.amount})
			return s, a
		}
	}
	t.out.Emit(noLoan(e))
	return s, a
}

// lentToWaiter answers the borrow request at the head of the queue. There is a
// token, but it may come from a loan, which is not lent on.
func (s State) lentToWaiter(a account, ticket model.Ticket, w waiter, t turn) (State, account) {
	d, _ := a.debtOf(borrower{w.asked.From, w.asked.FromIncarnation})
	need := s.needOf(a, t)
	need.Waiting = 0
	amount := s.way.Policy.Lend(need, a.freeFor(d), w.asked.Want)
	if amount.Level < 1-tokenSlack || len(d.loans) >= maxLoans {
		return s.turnedAway(a, ticket, w, model.RateLimited, t.out)
	}
	s, a = s.withoutWaiter(a, ticket, w)
	d.waiting = 0
	a, amount = a.withLoan(d, w.asked.Seq, amount, t.at.Add(s.loanTermElsewhere()))
	t.out.Emit(effect.Lend{Ticket: ticket, Account: a.name, Seq: w.asked.Seq, Amount: amount})
	return s, a
}

// needOf describes the account for the policy.
func (s State) needOf(a account, t turn) Need {
	a = a.withDemand(t.at, 0)
	soon := t.at.Add(s.options.LoanTerm / 2)
	return Need{
		Waiting:      a.callers,
		Demand:       a.demand,
		DemandInTerm: a.demand * s.options.LoanTerm.Seconds(),
		Own:          model.Allowance{Rate: a.rate(soon), Burst: a.capacity(), Level: a.level},
	}
}
