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
	// another one is asked. Of 443 requests inside a rate of 10/s with a burst
	// of 4, even load over 8 nodes refused 19 at 200 ms, 8 at 50 ms and 15 at
	// 20 ms, where too many tokens are on their way to the wrong node.
	hedgePause = 50 * time.Millisecond
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
	a, back := a.withoutUnneeded()
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
			q := effect.Borrow{Peer: lender, Account: a.name, Seq: s.seq, Want: r.Want}
			for i, g := range back {
				if g.lender == lender {
					q.GivenBack, q.Returned = true, g.tokens
					back = slices.Delete(back, i, i+1)
					break
				}
			}
			t.out.Emit(q)
		}
	}
	for _, g := range back {
		s.seq++
		t.out.Emit(effect.Borrow{
			Peer: g.lender, Account: a.name, Seq: s.seq, GivenBack: true, Returned: g.tokens,
		})
	}
	return s, a
}

// giveBack is a message to a lender that its loans are no longer used.
type giveBack struct {
	lender model.NodeName
	tokens float64
}

// withoutUnneeded returns the account without the permits that it does not
// need, and what to tell their lenders. With no request waiting, these are all
// permits and the open requests for permits; with requests waiting, the ones
// whose tokens are used. An answer to a request withdrawn here is not taken.
func (a account) withoutUnneeded() (account, []giveBack) {
	if a.callers > 0 && a.hasToken() {
		return a, nil
	}
	var back []giveBack
	if a.callers == 0 {
		for _, q := range a.asks {
			if held := a.heldFrom(q.lender); q.seq != 0 && q.want.Rate == 0 && held.amount.Rate == 0 {
				q.seq = 0
				a = a.withAsk(q)
				back = append(back, giveBack{lender: q.lender})
			}
		}
	}
	for _, l := range a.held {
		if l.amount.Rate > 0 || a.askOf(l.lender).seq != 0 {
			continue
		}
		g := giveBack{lender: l.lender}
		if a.callers == 0 {
			g.tokens = min(a.level, l.amount.Level)
		}
		a.level -= g.tokens
		a = a.withoutHeld(l.lender)
		back = append(filter(back, func(o giveBack) bool { return o.lender != l.lender }), g)
	}
	return a, back
}

// lenders returns the owners that can be asked now. Those with a loan that
// ends soon come first, because their share is already set apart for this node.
func (s State) lenders(a account, back []giveBack, t turn) []Lender {
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
		renews := slices.ContainsFunc(back, func(g giveBack) bool { return g.lender == node })
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
