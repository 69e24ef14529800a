package limit

import (
	"slices"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

const (
	// hedgePause is how long requests rely on the answer of one lender before
	// another one is asked.
	hedgePause = 200 * time.Millisecond
	// refusedPause is how long a lender that lent nothing is not asked again.
	refusedPause = 100 * time.Millisecond
	// suspectPause is how long a node that was not reached is not asked.
	suspectPause = time.Second
)

// borrowAnswered takes a loan. Its term counts from when the request was
// emitted, which is before it was sent.
func (s State) borrowAnswered(e event.BorrowAnswered, t turn) State {
	a, ok := s.accounts.Get(e.Account)
	if !ok {
		return s
	}
	a = s.current(a, t)
	q := a.askOf(e.Peer)
	if q.seq == 0 || q.seq != e.Seq {
		return s
	}
	until := q.at.Add(s.options.LoanTerm)
	q.seq = 0
	if e.Amount == (model.Allowance{}) {
		q.after = t.at.Add(refusedPause)
	} else if until.After(t.at) {
		a = a.withHeld(heldLoan{lender: e.Peer, amount: e.Amount, until: until})
	}
	return s.settled(a.withAsk(q), t)
}

// borrowFailed avoids the peer for a while.
func (s State) borrowFailed(e event.BorrowFailed, t turn) State {
	s.suspects = replaced(
		filter(s.suspects, func(p suspect) bool { return p.until.After(t.at) }),
		func(p suspect) bool { return p.node == e.Peer },
		suspect{node: e.Peer, until: t.at.Add(suspectPause)},
	)
	a, ok := s.accounts.Get(e.Account)
	if !ok {
		return s
	}
	a = s.current(a, t)
	if q := a.askOf(e.Peer); q.seq != 0 && q.seq == e.Seq {
		q.seq = 0
		a = a.withAsk(q)
	}
	return s.settled(a, t)
}

// borrowed asks lenders for what the account lacks, and gives loans back whose
// tokens are used and that bring no rate.
func (s State) borrowed(a account, t turn) (State, account) {
	if !s.way.Lending || !t.fresh {
		return s, a
	}
	a = a.withoutOldAsks(t.at, s.options.LoanTerm)
	a, back := a.withoutUsed()
	need := s.needOf(a, t)
	for _, q := range a.asks {
		if q.seq == 0 {
			continue
		}
		need.Asked.Rate += q.want.Rate
		if q.at.Add(hedgePause).After(t.at) {
			need.Asked.Level += q.want.Level
		}
	}
	if s.way.Policy.Wants(need) {
		for _, r := range s.way.Policy.Ask(need, s.lenders(a, back, t)) {
			lender := r.Lender.Node
			s.seq++
			a = a.withAsk(ask{lender: lender, seq: s.seq, at: t.at, want: r.Want})
			given := slices.Contains(back, lender)
			back = filter(back, func(n model.NodeName) bool { return n != lender })
			t.out.Emit(effect.Borrow{Peer: lender, Account: a.name, Seq: s.seq, Want: r.Want, GivenBack: given})
		}
	}
	for _, lender := range back {
		s.seq++
		t.out.Emit(effect.Borrow{Peer: lender, Account: a.name, Seq: s.seq, GivenBack: true})
	}
	return s, a
}

// withoutUsed returns the account without the loans that it no longer needs,
// and their lenders. A lender with an open request keeps its loan, because the
// answer on its way would otherwise belong to a loan given back.
func (a account) withoutUsed() (account, []model.NodeName) {
	if a.hasToken() {
		return a, nil
	}
	var back []model.NodeName
	for _, l := range a.held {
		if q := a.askOf(l.lender); l.amount.Rate == 0 && q.seq == 0 {
			back = append(back, l.lender)
		}
	}
	for _, lender := range back {
		a = a.withoutHeld(lender)
	}
	return a, back
}

// lenders returns the owners that can be asked now. Those with a loan that
// ends soon come first, because their share is already set apart for this node.
func (s State) lenders(a account, back []model.NodeName, t turn) []Lender {
	b, _ := a.limits.Last()
	members, _ := s.rosters.Last()
	owners := s.way.owners(a.name, b, members)
	part := s.way.part(b, len(members))
	soon := t.at.Add(s.options.LoanTerm / 2)
	var renewable, others []Lender
	for i := range owners {
		node := owners[(uint64(i)+t.draw)%uint64(len(owners))]
		if node == s.self || s.suspected(node, t.at) {
			continue
		}
		if q := a.askOf(node); q.seq != 0 || q.after.After(t.at) {
			continue
		}
		lender := Lender{Node: node, Share: part}
		renews := slices.Contains(back, node)
		for _, l := range a.held {
			if l.lender == node {
				renews = true
				if l.until.After(soon) {
					lender.Holds = l.amount
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

func (s State) suspected(node model.NodeName, at time.Time) bool {
	for _, p := range s.suspects {
		if p.node == node {
			return p.until.After(at)
		}
	}
	return false
}
