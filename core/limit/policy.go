package limit

import (
	"math"

	"caroblane/core/model"
)

const (
	// demandHeadroom is the factor above the measured demand that a node keeps
	// or borrows, so that noise in the measurement does not delay requests.
	demandHeadroom = 1.25
	// minSteadyRequests is the demand over the duration of a loan from which on a
	// node borrows rate. Below it, a borrowed rate would be idle for most of the
	// loan.
	minSteadyRequests = 4
	// maxIdleRequests is the demand over the duration of a loan below which a
	// lender also lends the last whole token of its capacity.
	maxIdleRequests = 0.25
)

// Lender is a node from which this node may borrow for an account.
type Lender struct {
	Node model.NodeName
	// Share is the lender's base share under the latest limits.
	Share model.Allowance
	// Loan is what this node has borrowed from the lender, or zero if that loan
	// expires soon.
	Loan model.Allowance
}

// BaseShare implements Candidate.
func (l Lender) BaseShare() model.Allowance { return l.Share }

// CurrentLoan implements Candidate.
func (l Lender) CurrentLoan() model.Allowance { return l.Loan }

// Candidate describes a possible lender to a policy.
type Candidate interface {
	BaseShare() model.Allowance
	CurrentLoan() model.Allowance
}

// AccountLoad describes the demand for one account at one node and the means
// to serve it.
type AccountLoad struct {
	// Waiting is the number of requests that wait for a token.
	Waiting int
	// Requested is the sum of what was requested from lenders and is not
	// answered yet.
	Requested model.Allowance
	// Demand is the average number of requests per second at this node.
	Demand float64
	// DemandPerLoan is Demand times the duration of a loan.
	DemandPerLoan float64
	// Available is what this node may use. Its Rate leaves out loans that expire
	// soon.
	Available model.Allowance
}

// LoanRequest is a request that a policy proposes to send to a lender.
type LoanRequest[C Candidate] struct {
	Lender C
	Want   model.Allowance
}

// Policy decides how much to borrow from which lenders, and how much to lend.
// Its callers enforce the limits on loans, so a policy cannot cause an account
// to exceed its limits.
type Policy[C Candidate] interface {
	// NeedsLoan reports whether RequestLoans may return requests.
	NeedsLoan(load AccountLoad) bool
	// RequestLoans returns the requests to send. Candidates are in order of
	// preference.
	RequestLoans(load AccountLoad, candidates []C) []LoanRequest[C]
	// Lend returns how much of free to lend to a borrower that requested want.
	// Load is that of the lender, and free.Level is its number of spare tokens.
	Lend(load AccountLoad, free, want model.Allowance) model.Allowance
}

// TokenPolicy borrows tokens for waiting requests, and no rate.
type TokenPolicy[C Candidate] struct{}

// RequestLoans requests a token for each waiting request, distributed over the
// candidates.
func (TokenPolicy[C]) RequestLoans(load AccountLoad, candidates []C) []LoanRequest[C] {
	var requests []LoanRequest[C]
	tokens := float64(load.Waiting) - load.Requested.Level
	for _, c := range candidates {
		if tokens < 1 {
			break
		}
		n := min(tokens, max(1, math.Floor(c.BaseShare().Burst)))
		tokens -= n
		requests = append(requests, LoanRequest[C]{Lender: c, Want: model.Allowance{Burst: n, Level: n}})
	}
	return requests
}

// NeedsLoan reports whether more requests are waiting than tokens requested.
func (TokenPolicy[C]) NeedsLoan(load AccountLoad) bool {
	return float64(load.Waiting)-load.Requested.Level >= 1
}

// Lend lends tokens that are not needed by requests waiting at the lender.
func (TokenPolicy[C]) Lend(load AccountLoad, free, want model.Allowance) model.Allowance {
	n := math.Floor(min(want.Level, free.Level-float64(load.Waiting), free.Burst) + tokenEpsilon)
	return model.Allowance{Burst: max(0, n), Level: max(0, n)}
}

// RatePolicy borrows rate for a steady demand, and tokens otherwise.
type RatePolicy[C Candidate] struct{ tokens TokenPolicy[C] }

// RequestLoans requests rate from as many candidates as needed to cover the
// missing rate.
func (p RatePolicy[C]) RequestLoans(load AccountLoad, candidates []C) []LoanRequest[C] {
	missing, ok := p.missingRate(load)
	if !ok {
		return p.tokens.RequestLoans(load, withoutRateLoans(candidates))
	}
	var requests []LoanRequest[C]
	tokens := float64(load.Waiting) - load.Requested.Level
	for _, c := range candidates {
		part := c.BaseShare()
		if part.Rate <= 0 || c.CurrentLoan().Rate > 0 {
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
		requests = append(requests, LoanRequest[C]{Lender: c, Want: want})
	}
	return requests
}

// NeedsLoan reports whether tokens or rate are missing.
func (p RatePolicy[C]) NeedsLoan(load AccountLoad) bool {
	_, ok := p.missingRate(load)
	return ok || p.tokens.NeedsLoan(load)
}

// missingRate returns the rate to borrow, and whether the demand is steady
// enough to borrow it.
func (RatePolicy[C]) missingRate(load AccountLoad) (float64, bool) {
	rate := demandHeadroom*load.Demand - load.Available.Rate - load.Requested.Rate
	steady := load.DemandPerLoan >= minSteadyRequests
	low := load.Waiting > 0 || load.Available.Level < load.Available.Burst/2
	return rate, steady && low && rate >= load.Demand/10
}

// Lend lends the rate that the lender does not need, and the same fraction of
// its capacity. Both sides keep a capacity of at least one token, except that
// an idle lender may lend everything. If that is not possible, only tokens are
// lent.
func (p RatePolicy[C]) Lend(load AccountLoad, free, want model.Allowance) model.Allowance {
	idle := load.DemandPerLoan < maxIdleRequests && load.Waiting == 0
	rate := min(want.Rate, free.Rate)
	keep := 0.0
	if !idle {
		rate = min(rate, free.Rate-demandHeadroom*load.Demand)
		keep = 1
	}
	if rate <= 0 || load.Waiting > 0 {
		return p.tokens.Lend(load, free, want)
	}
	burst := min(want.Burst, max(1, free.Burst*rate/free.Rate), free.Burst-keep)
	if burst < min(1, want.Burst) {
		return p.tokens.Lend(load, free, want)
	}
	level := min(want.Level, burst, free.Level)
	if !idle {
		level = min(level, free.Level*burst/free.Burst)
	}
	return model.Allowance{Rate: rate, Burst: burst, Level: max(0, level)}
}

// withoutRateLoans returns the candidates from which this node has not borrowed
// rate. A new loan replaces the earlier one, so a token loan from one of the
// others would end the rate loan.
func withoutRateLoans[C Candidate](candidates []C) []C {
	return filter(candidates, func(c C) bool { return c.CurrentLoan().Rate <= 0 })
}
