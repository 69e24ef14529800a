package limit

import (
	"cmp"
	"math"
	"slices"

	"caroblane/core/model"
)

// rateLimit has the rate and burst of a template. Both are zero for a deleted
// account.
type rateLimit struct {
	rate  float64
	burst float64
}

func rateLimitOf(t model.Template) rateLimit { return rateLimit{rate: t.Rate, burst: t.Burst} }

// Strategy determines how the limits of an account are divided among the
// members of a roster. All members must use the same strategy.
type Strategy struct {
	// Owners returns the number of members that have a base share.
	Owners func(burst float64, members int) int
	// Lending reports whether members lend to each other.
	Lending bool
	// Policy decides how much to borrow and to lend.
	Policy Policy[Lender]
}

// EqualShares gives each member an equal share, without lending.
func EqualShares() Strategy {
	return Strategy{Owners: func(_ float64, members int) int { return members }, Policy: TokenPolicy[Lender]{}}
}

// SingleOwner gives the whole limit to one member, which lends tokens to the
// others.
func SingleOwner() Strategy {
	return Strategy{Owners: func(float64, int) int { return 1 }, Lending: true, Policy: TokenPolicy[Lender]{}}
}

// Hybrid gives equal shares to as many members as possible, such that each share
// has a burst of at least one request. Members lend rate and tokens.
func Hybrid() Strategy {
	return Strategy{Owners: hybridOwners, Lending: true, Policy: RatePolicy[Lender]{}}
}

func hybridOwners(burst float64, members int) int {
	if whole := math.Floor(burst); whole < float64(members) {
		return max(1, int(whole))
	}
	return members
}

// ownerShare returns the base share of one owner.
func (s Strategy) ownerShare(b rateLimit, members int) model.Allowance {
	if members == 0 {
		return model.Allowance{}
	}
	owners := float64(s.Owners(b.burst, members))
	return model.Allowance{Rate: b.rate / owners, Burst: b.burst / owners}
}

// baseShare returns the base share of a node under the given limits and members.
// It is zero if the node is not an owner. The members with the highest
// rendezvous weights are the owners.
func (s Strategy) baseShare(self model.NodeName, account model.AccountName, b rateLimit, members []model.NodeName) model.Allowance {
	owners := s.Owners(b.burst, len(members))
	ownWeight := rendezvousWeight(account, self)
	member, ahead := false, 0
	for _, m := range members {
		if m == self {
			member = true
			continue
		}
		if weight := rendezvousWeight(account, m); weight > ownWeight || (weight == ownWeight && m < self) {
			ahead++
		}
	}
	if !member || ahead >= owners {
		return model.Allowance{}
	}
	return s.ownerShare(b, len(members))
}

// owners returns the members that have a base share, highest weight first, or
// all members in their order if each has one.
func (s Strategy) owners(account model.AccountName, b rateLimit, members []model.NodeName) []model.NodeName {
	count := s.Owners(b.burst, len(members))
	if count >= len(members) {
		return members
	}
	type weighted struct {
		node   model.NodeName
		weight uint64
	}
	all := make([]weighted, len(members))
	for i, m := range members {
		all[i] = weighted{m, rendezvousWeight(account, m)}
	}
	slices.SortFunc(all, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.node, b.node))
	})
	nodes := make([]model.NodeName, count)
	for i := range nodes {
		nodes[i] = all[i].node
	}
	return nodes
}

// minShare returns the minimum base share of this node over all versions from
// the settled one to the newest one.
func (s State) minShare(account model.AccountName, limits history[rateLimit], settledVersion model.Version) model.Allowance {
	least := s.baseShareAt(account, limits, settledVersion)
	for _, w := range limits.writes {
		if w.version > settledVersion {
			least = minAllowance(least, s.baseShareAt(account, limits, w.version))
		}
	}
	for _, w := range s.rosterHistory.writes {
		if w.version > settledVersion {
			least = minAllowance(least, s.baseShareAt(account, limits, w.version))
		}
	}
	return least
}

func (s State) baseShareAt(account model.AccountName, limits history[rateLimit], version model.Version) model.Allowance {
	b, ok := limits.At(version)
	if !ok {
		return model.Allowance{}
	}
	members, ok := s.rosterHistory.At(version)
	if !ok {
		return model.Allowance{}
	}
	return s.strategy.baseShare(s.self, account, b, members)
}

func minAllowance(a, b model.Allowance) model.Allowance {
	return model.Allowance{Rate: min(a.Rate, b.Rate), Burst: min(a.Burst, b.Burst)}
}
