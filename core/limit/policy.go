package limit

import (
	"math"

	"caroblane/core/model"
)

const (
	// headroom is how much more rate than the measured demand a node keeps or
	// borrows, so that the noise of the measurement does not make it wait.
	headroom = 1.25
	// steadyRequests is the demand within a loan's term above which a node
	// borrows rate. Below it, rate would lie idle for most of the term.
	steadyRequests = 4
	// idleRequests is the demand within a loan's term below which a lender
	// gives away its last whole token of capacity.
	idleRequests = 0.25
)

// Lender is a node that an account may borrow from.
type Lender struct {
	Node model.NodeName
	// Share is the lender's base share under the newest limits.
	Share model.Allowance
	// Holds is the loan that this node has from it and that does not end soon.
	Holds model.Allowance
}

// Part returns the lender's base share.
func (l Lender) Part() model.Allowance { return l.Share }

// Held returns the loan that this node has from the lender.
func (l Lender) Held() model.Allowance { return l.Holds }

// Candidate is what a policy knows of a lender.
type Candidate interface {
	Part() model.Allowance
	Held() model.Allowance
}

// Need is the situation of one account at one node.
type Need struct {
	// Waiting is the number of requests without a token.
	Waiting int
	// Asked is what open requests to lenders may bring.
	Asked model.Allowance
	// Demand is in requests a second at this node.
	Demand float64
	// DemandInTerm is Demand times the term of a loan.
	DemandInTerm float64
	// Own is what this node may use, without loans that end soon.
	Own model.Allowance
}

// Request is a proposal to ask a lender.
type Request[C Candidate] struct {
	Lender C
	Want   model.Allowance
}

// Policy decides whom to ask for how much, and how much to lend. The bounds on
// loans are enforced around it, so that it cannot affect safety.
type Policy[C Candidate] interface {
	// Wants tells whether Ask may return requests.
	Wants(need Need) bool
	// Ask returns the requests to make. Candidates are in order of preference.
	Ask(need Need, candidates []C) []Request[C]
	// Lend returns what to lend from free, which has the lender's tokens as its
	// level. Need is the situation of the lender.
	Lend(need Need, free, want model.Allowance) model.Allowance
}

// Permits borrows single tokens for waiting requests.
type Permits[C Candidate] struct{}

// Ask spreads the waiting requests over the candidates.
func (Permits[C]) Ask(need Need, candidates []C) []Request[C] {
	var requests []Request[C]
	tokens := float64(need.Waiting) - need.Asked.Level
	for _, c := range candidates {
		if tokens < 1 {
			break
		}
		n := min(tokens, max(1, math.Floor(c.Part().Burst)))
		tokens -= n
		requests = append(requests, Request[C]{Lender: c, Want: model.Allowance{Burst: n, Level: n}})
	}
	return requests
}

// Wants tells whether more requests wait than tokens were asked for.
func (Permits[C]) Wants(need Need) bool { return float64(need.Waiting)-need.Asked.Level >= 1 }

// Lend gives tokens that no request at the lender waits for.
func (Permits[C]) Lend(need Need, free, want model.Allowance) model.Allowance {
	n := math.Floor(min(want.Level, free.Level-float64(need.Waiting), free.Burst) + tokenSlack)
	return model.Allowance{Burst: max(0, n), Level: max(0, n)}
}

// Spread borrows rate for a steady demand, and single tokens otherwise.
type Spread[C Candidate] struct{ permits Permits[C] }

// Ask asks as many candidates as the missing rate takes.
func (p Spread[C]) Ask(need Need, candidates []C) []Request[C] {
	missing, ok := p.missing(need)
	if !ok {
		return p.permits.Ask(need, withoutHolders(candidates))
	}
	var requests []Request[C]
	tokens := float64(need.Waiting) - need.Asked.Level
	for _, c := range candidates {
		part := c.Part()
		if part.Rate <= 0 || c.Held().Rate > 0 {
			continue
		}
		if missing <= 0 && tokens < 1 {
			break
		}
		want := model.Allowance{Rate: min(part.Rate, max(missing, part.Rate/8))}
		want.Burst = min(part.Burst, max(1, part.Burst*want.Rate/part.Rate, tokens))
		want.Level = want.Burst
		missing -= want.Rate
		tokens -= want.Level
		requests = append(requests, Request[C]{Lender: c, Want: want})
	}
	return requests
}

// Wants tells whether requests wait, or rate is missing.
func (p Spread[C]) Wants(need Need) bool {
	_, ok := p.missing(need)
	return ok || p.permits.Wants(need)
}

// missing returns the rate to borrow for a steady demand.
func (Spread[C]) missing(need Need) (float64, bool) {
	rate := headroom*need.Demand - need.Own.Rate - need.Asked.Rate
	steady := need.DemandInTerm >= steadyRequests
	low := need.Waiting > 0 || need.Own.Level < need.Own.Burst/2
	return rate, steady && low && rate >= need.Demand/10
}

// Lend gives the rate that the lender does not need, with the same part of its
// capacity, in portions that leave whole tokens to both.
func (p Spread[C]) Lend(need Need, free, want model.Allowance) model.Allowance {
	idle := need.DemandInTerm < idleRequests && need.Waiting == 0
	rate := min(want.Rate, free.Rate)
	keep := 0.0
	if !idle {
		rate = min(rate, free.Rate-headroom*need.Demand)
		keep = 1
	}
	if rate <= 0 || need.Waiting > 0 {
		return p.permits.Lend(need, free, want)
	}
	burst := min(want.Burst, max(1, free.Burst*rate/free.Rate), free.Burst-keep)
	if burst < min(1, want.Burst) {
		return p.permits.Lend(need, free, want)
	}
	level := min(want.Level, burst, free.Level)
	if !idle {
		level = min(level, free.Level*burst/free.Burst)
	}
	return model.Allowance{Rate: rate, Burst: burst, Level: max(0, level)}
}

// withoutHolders returns the candidates that this node has no rate from. An
// answer replaces the earlier loan, so a permit would cost the rate.
func withoutHolders[C Candidate](candidates []C) []C {
	return filter(candidates, func(c C) bool { return c.Held().Rate <= 0 })
}
