package limit

import (
	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

// handleBorrowAsked answers the borrow request of another node, or queues it
// with the requests of this node.
func (s State) handleBorrowAsked(e event.BorrowAsked, sc stepContext) State {
	a, ok := s.accounts.Get(e.Account)
	if !ok || !s.strategy.Lending || e.From == s.self {
		sc.out.Emit(declinedLoan(e))
		return s
	}
	a = s.refreshed(a, sc)
	b, known := a.borrowerOf(borrowerID{e.From, e.FromIncarnation})
	if known && e.GivenBack {
		// Returned tokens are added once: when the message is repeated, the loans
		// have already been removed.
		a.tokens += max(0, min(e.Returned, b.tokensBefore(e.Seq)))
		b = b.withoutLoansBefore(e.Seq)
		a = a.withBorrower(b).withCappedTokens()
	}
	if known && e.Seq <= b.lastSeq {
		s, a = s.answerRepeated(a, b, e, sc)
		return s.processAccount(a, sc)
	}
	if w, waits := s.waiters.Get(b.waitingTicket); waits && w.isBorrow && b.waitingTicket != 0 {
		s, a = s.refuseWaiter(a, b.waitingTicket, w, model.RateLimited, sc.out)
	}
	b.lastSeq, b.waitingTicket = e.Seq, 0
	b.expiresAt = sc.at.Add(s.maxRemoteLoanDuration())
	free := a.lendableTo(b)
	amount := model.Allowance{}
	if sc.fresh && len(b.loans) < maxLoansPerBorrower && (known || len(a.borrowers) < maxBorrowers) {
		load := s.accountLoad(a, sc)
		load.Waiting += a.waitingBorrows
		amount = s.strategy.Policy.Lend(load, free, e.Want)
	}
	switch {
	case amount.Level >= 1-tokenEpsilon || amount.Rate > 0:
		a, amount = a.withLoan(b, e.Seq, amount, b.expiresAt)
		sc.out.Emit(effect.Lend{Ticket: e.Ticket, Account: a.name, Seq: e.Seq, Amount: amount})
	case sc.fresh && e.Want.Level >= 1 && a.baseShare.Burst >= 1 && (known || len(a.borrowers) < maxBorrowers) &&
		a.waitingBorrows < s.options.MaxWaiting && s.waiters.Len() < s.options.MaxWaitingTotal:
		b.waitingTicket = e.Ticket
		a = a.withBorrower(b)
		by := sc.at.Add(s.options.LoanDuration / 2)
		s, a = s.withWaiter(a, e.Ticket, waiter{deadline: by, isBorrow: true, borrow: e})
	default:
		if known {
			a = a.withBorrower(b)
		}
		sc.out.Emit(declinedLoan(e))
	}
	return s.processAccount(a, sc)
}

// answerRepeated answers a request that is not newer than the borrower's last
// one. The loan of a repeated request is not subtracted again, because the
// borrower accepts only one response to it.
func (s State) answerRepeated(a account, b borrowerState, e event.BorrowAsked, sc stepContext) (State, account) {
	for _, l := range b.loans {
		if l.seq == e.Seq {
			sc.out.Emit(effect.Lend{Ticket: e.Ticket, Account: a.name, Seq: e.Seq, Amount: l.amount})
			return s, a
		}
	}
	sc.out.Emit(declinedLoan(e))
	return s, a
}

// lendToWaiter answers the borrow request at the head of the queue. The bucket
// has a token, but the request is refused if the token comes from a borrowed
// loan, which must not be lent.
func (s State) lendToWaiter(a account, ticket model.Ticket, w waiter, sc stepContext) (State, account) {
	b, _ := a.borrowerOf(borrowerID{w.borrow.From, w.borrow.FromIncarnation})
	load := s.accountLoad(a, sc)
	load.Waiting = 0
	amount := s.strategy.Policy.Lend(load, a.lendableTo(b), w.borrow.Want)
	if amount.Level < 1-tokenEpsilon || len(b.loans) >= maxLoansPerBorrower {
		return s.refuseWaiter(a, ticket, w, model.RateLimited, sc.out)
	}
	s, a = s.withoutWaiter(a, ticket, w)
	b.waitingTicket = 0
	a, amount = a.withLoan(b, w.borrow.Seq, amount, sc.at.Add(s.maxRemoteLoanDuration()))
	sc.out.Emit(effect.Lend{Ticket: ticket, Account: a.name, Seq: w.borrow.Seq, Amount: amount})
	return s, a
}

// accountLoad describes the account to the policy.
func (s State) accountLoad(a account, sc stepContext) AccountLoad {
	a = a.withDemand(sc.at, 0)
	soon := sc.at.Add(s.options.LoanDuration / 2)
	return AccountLoad{
		Waiting:       a.waitingRequests,
		Demand:        a.demand,
		DemandPerLoan: a.demand * s.options.LoanDuration.Seconds(),
		Available:     model.Allowance{Rate: a.refillRate(soon), Burst: a.capacity(), Level: a.tokens},
	}
}
