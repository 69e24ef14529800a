package limit

import (
	"slices"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

const (
	// hedgeDelay is how long the tokens requested from a lender count as
	// expected before another lender is asked for them. With 8 nodes, evenly
	// distributed load and a limit of 10 requests/s with a burst of 4, of 443
	// requests within the limit 19 were refused at 200 ms, 8 at 50 ms and 15 at
	// 20 ms. Shorter delays send too many tokens to nodes that don't need them.
	hedgeDelay = 50 * time.Millisecond
	// refusalBackoff is the delay before a lender that lent nothing is asked
	// again.
	refusalBackoff = 100 * time.Millisecond
	// unreachableBackoff is the delay before a node that could not be reached
	// is asked again.
	unreachableBackoff = time.Second
)

// handleBorrowAnswered handles the response of a lender. The loan's duration
// counts from when the request was emitted, which is before the lender granted
// it.
func (s State) handleBorrowAnswered(e event.BorrowAnswered, sc stepContext) State {
	a, ok := s.accounts.Get(e.Account)
	if !ok {
		return s
	}
	a = s.refreshed(a, sc)
	r := a.borrowRequestTo(e.Peer)
	if r.seq == 0 || r.seq != e.Seq {
		return s
	}
	expiresAt := r.sentAt.Add(s.options.LoanDuration)
	r.seq = 0
	if e.Amount == (model.Allowance{}) {
		r.retryAt = sc.at.Add(refusalBackoff)
	} else if expiresAt.After(sc.at) {
		a = a.withBorrowed(borrowedLoan{lender: e.Peer, amount: e.Amount, expiresAt: expiresAt})
	}
	return s.processAccount(a.withBorrowRequest(r), sc)
}

// handleBorrowFailed marks the peer as unreachable for unreachableBackoff.
func (s State) handleBorrowFailed(e event.BorrowFailed, sc stepContext) State {
	s.unreachable = upserted(
		filter(s.unreachable, func(u unreachablePeer) bool { return u.retryAt.After(sc.at) }),
		func(u unreachablePeer) bool { return u.node == e.Peer },
		unreachablePeer{node: e.Peer, retryAt: sc.at.Add(unreachableBackoff)},
	)
	a, ok := s.accounts.Get(e.Account)
	if !ok {
		return s
	}
	a = s.refreshed(a, sc)
	if r := a.borrowRequestTo(e.Peer); r.seq != 0 && r.seq == e.Seq {
		r.seq = 0
		a = a.withBorrowRequest(r)
	}
	return s.processAccount(a, sc)
}

// borrowAndReturn requests loans for what the account lacks, and returns the
// loans that it no longer needs. A return is sent with a request to the same
// lender if there is one.
func (s State) borrowAndReturn(a account, sc stepContext) (State, account) {
	if !s.strategy.Lending || !sc.fresh {
		return s, a
	}
	a = a.withoutExpiredRequests(sc.at, s.options.LoanDuration)
	a, returns := a.withoutUnneededLoans()
	load := s.accountLoad(a, sc)
	for _, call := range a.borrowRequests {
		if call.seq == 0 {
			continue
		}
		load.Requested.Rate += call.want.Rate
		if call.sentAt.Add(hedgeDelay).After(sc.at) {
			load.Requested.Level += call.want.Level
		}
	}
	if s.strategy.Policy.NeedsLoan(load) {
		for _, proposal := range s.strategy.Policy.RequestLoans(load, s.candidateLenders(a, returns, sc)) {
			lender := proposal.Lender.Node
			s.lastSeq++
			a = a.withBorrowRequest(borrowRequest{lender: lender, seq: s.lastSeq, sentAt: sc.at, want: proposal.Want})
			call := effect.Borrow{Peer: lender, Account: a.name, Seq: s.lastSeq, Want: proposal.Want}
			for i, loan := range returns {
				if loan.lender == lender {
					call.GivenBack, call.Returned = true, loan.unused
					returns = slices.Delete(returns, i, i+1)
					break
				}
			}
			sc.out.Emit(call)
		}
	}
	for _, loan := range returns {
		s.lastSeq++
		sc.out.Emit(effect.Borrow{
			Peer: loan.lender, Account: a.name, Seq: s.lastSeq, GivenBack: true, Returned: loan.unused,
		})
	}
	return s, a
}

// loanReturn tells a lender that its loans are no longer used, and how many of
// their tokens are unused.
type loanReturn struct {
	lender model.NodeName
	unused float64
}

// withoutUnneededLoans returns the account without the token loans (loans
// without a rate) that it does not need, and the returns to send to their
// lenders. If no request is waiting, these are all token loans and the open
// requests for token loans. If requests are waiting and the bucket has no token,
// these are the token loans, whose tokens are used up. A loan is kept while a
// response from its lender is awaited. A response to a request that is withdrawn
// here is ignored.
func (a account) withoutUnneededLoans() (account, []loanReturn) {
	if a.waitingRequests > 0 && a.hasToken() {
		return a, nil
	}
	var returns []loanReturn
	if a.waitingRequests == 0 {
		for _, r := range a.borrowRequests {
			if loan := a.loanFrom(r.lender); r.seq != 0 && r.want.Rate == 0 && loan.amount.Rate == 0 {
				r.seq = 0
				a = a.withBorrowRequest(r)
				returns = append(returns, loanReturn{lender: r.lender})
			}
		}
	}
	for _, l := range a.borrowed {
		if l.amount.Rate > 0 || a.borrowRequestTo(l.lender).seq != 0 {
			continue
		}
		ret := loanReturn{lender: l.lender}
		if a.waitingRequests == 0 {
			ret.unused = min(a.tokens, l.amount.Level)
		}
		a.tokens -= ret.unused
		a = a.withoutBorrowed(l.lender)
		returns = append(filter(returns, func(other loanReturn) bool { return other.lender != l.lender }), ret)
	}
	return a, returns
}

// candidateLenders returns the owners of a base share that can be asked now.
// Owners that this node has borrowed from, or returns a loan to now, come first,
// because that part of their share is already reserved for it. The order is
// otherwise a random rotation.
func (s State) candidateLenders(a account, returns []loanReturn, sc stepContext) []Lender {
	limits, _ := a.limits.Last()
	members, _ := s.rosterHistory.Last()
	owners := s.strategy.owners(a.name, limits, members)
	share := s.strategy.ownerShare(limits, len(members))
	soon := sc.at.Add(s.options.LoanDuration / 2)
	var renewable, others []Lender
	for i := range owners {
		node := owners[(uint64(i)+sc.random)%uint64(len(owners))]
		if node == s.self || s.isUnreachable(node, sc.at) {
			continue
		}
		if r := a.borrowRequestTo(node); r.seq != 0 || r.retryAt.After(sc.at) {
			continue
		}
		lender := Lender{Node: node, Share: share}
		renews := slices.ContainsFunc(returns, func(r loanReturn) bool { return r.lender == node })
		for _, l := range a.borrowed {
			if l.lender == node {
				renews = true
				if l.expiresAt.After(soon) {
					lender.Loan = l.amount
				}
			}
		}
		if renews {
			renewable = append(renewable, lender)
		} else {
			others = append(others, lender)
		}
	}
	return append(renewable, others...)
}

func (s State) isUnreachable(node model.NodeName, at time.Time) bool {
	for _, u := range s.unreachable {
		if u.node == node {
			return u.retryAt.After(at)
		}
	}
	return false
}
