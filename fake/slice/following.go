package slice

import (
	"math"
	"time"

	"caroblane/core/model"
	"caroblane/core/place"
	"caroblane/core/roles"
)

// following is a policy with another's placement that changes as many engines
// at once as the demand of the last seconds asks for.
type following[P Policy[P]] struct {
	placement P
	target    roles.Target
}

func newFollowing[P Policy[P]](c Config, placement P) following[P] {
	return following[P]{placement: placement, target: roles.New(roles.Options{
		Term: 2 * time.Second, PrefillRate: c.Engine.PrefillRate, DecodeRate: c.Engine.DecodeRate,
		MinPrefill: 1, MinDecode: 1,
	}, clock(0))}
}

func (p following[P]) Rules() Rules {
	rules := p.placement.Rules()
	rules.Role = fixed
	return rules
}

func (p following[P]) Pick(f *Fleet, r Request, draw uint64) (following[P], place.Plan, bool) {
	next, plan, ok := p.placement.Pick(f, r, draw)
	p.placement = next
	return p, plan, ok
}

func (p following[P]) WithArrival(at time.Time, r Request) following[P] {
	p.target = p.target.WithWork(at, float64(r.Prompt), float64(r.Output))
	return p
}

func (p following[P]) Adjust(f *Fleet) (following[P], []RoleChange) {
	var changes []RoleChange
	list := f.Engines(model.RoleBoth)
	for begin := 0; begin < list.Len(); {
		// The engines of a zone are next to each other.
		end, n := begin, 0
		have := map[model.Role][]int{}
		for ; end < list.Len() && list.At(end).Zone() == list.At(begin).Zone(); end++ {
			if e := list.At(end); !e.Down() {
				n++
				have[e.Next()] = append(have[e.Next()], end)
			}
		}
		begin = end
		wanted, ok := p.target.Wanted(n)
		if !ok {
			continue
		}
		lack := int(math.Round(wanted.Prefill)) - len(have[model.RolePrefill])
		from, to := model.RoleDecode, model.RolePrefill
		if lack < 0 {
			from, to, lack = to, from, -lack
		}
		for _, i := range have[from] {
			if lack > 0 && !list.At(i).Changing() {
				changes = append(changes, RoleChange{Engine: i, To: to})
				lack--
			}
		}
	}
	return p, changes
}
