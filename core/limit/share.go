package limit

import (
	"cmp"
	"math"
	"slices"

	"caroblane/core/model"
)

// bounds are the limits of a template. Both are zero for a deleted account.
type bounds struct {
	rate  float64
	burst float64
}

func boundsOf(t model.Template) bounds { return bounds{rate: t.Rate, burst: t.Burst} }

// Way is how an account's limits are spread over the members of a roster. All
// members must use the same one.
type Way struct {
	// Owners returns the number of members that have a base share.
	Owners func(burst float64, members int) int
	// Lending tells whether members lend to each other.
	Lending bool
	// Policy decides whom to ask and how much to lend.
	Policy Policy[Lender]
}

// Split gives each member an equal share and lends nothing.
func Split() Way {
	return Way{Owners: func(_ float64, members int) int { return members }, Policy: Permits[Lender]{}}
}

// Home gives the whole limit to one member, which lends single permits.
func Home() Way {
	return Way{Owners: func(float64, int) int { return 1 }, Lending: true, Policy: Permits[Lender]{}}
}

// Mix gives shares of at least one request to as many members as possible and
// lends rate and permits.
func Mix() Way {
	return Way{Owners: mixOwners, Lending: true, Policy: Spread[Lender]{}}
}

func mixOwners(burst float64, members int) int {
	if whole := math.Floor(burst); whole < float64(members) {
		return max(1, int(whole))
	}
	return members
}

// part returns the share of one owner.
func (w Way) part(b bounds, members int) model.Allowance {
	if members == 0 {
		return model.Allowance{}
	}
	k := float64(w.Owners(b.burst, members))
	return model.Allowance{Rate: b.rate / k, Burst: b.burst / k}
}

// share returns the base share of a node under one template and one roster.
func (w Way) share(self model.NodeName, account model.AccountName, b bounds, members []model.NodeName) model.Allowance {
	k := w.Owners(b.burst, len(members))
	own := score(account, self)
	member, ahead := false, 0
	for _, m := range members {
		if m == self {
			member = true
			continue
		}
		if s := score(account, m); s > own || (s == own && m < self) {
			ahead++
		}
	}
	if !member || ahead >= k {
		return model.Allowance{}
	}
	return w.part(b, len(members))
}

// owners returns the members that have a base share.
func (w Way) owners(account model.AccountName, b bounds, members []model.NodeName) []model.NodeName {
	k := w.Owners(b.burst, len(members))
	if k >= len(members) {
		return members
	}
	type scored struct {
		node  model.NodeName
		score uint64
	}
	all := make([]scored, len(members))
	for i, m := range members {
		all[i] = scored{m, score(account, m)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.node, b.node))
	})
	nodes := make([]model.NodeName, k)
	for i := range nodes {
		nodes[i] = all[i].node
	}
	return nodes
}

// floor returns the least share of this node under all versions from low to
// the newest one.
func (s State) floor(account model.AccountName, limits history[bounds], low model.Version) model.Allowance {
	least := s.shareAt(account, limits, low)
	for _, w := range limits.writes {
		if w.version > low {
			least = lesser(least, s.shareAt(account, limits, w.version))
		}
	}
	for _, w := range s.rosters.writes {
		if w.version > low {
			least = lesser(least, s.shareAt(account, limits, w.version))
		}
	}
	return least
}

func (s State) shareAt(account model.AccountName, limits history[bounds], version model.Version) model.Allowance {
	b, ok := limits.At(version)
	if !ok {
		return model.Allowance{}
	}
	members, ok := s.rosters.At(version)
	if !ok {
		return model.Allowance{}
	}
	return s.way.share(s.self, account, b, members)
}

func lesser(a, b model.Allowance) model.Allowance {
	return model.Allowance{Rate: min(a.Rate, b.Rate), Burst: min(a.Burst, b.Burst)}
}
