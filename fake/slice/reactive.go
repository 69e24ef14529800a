package slice

import (
	"math"
	"time"

	"caroblane/core/model"
	"caroblane/core/place"
	"caroblane/core/roles"
)

// reactive combines the placement of another policy with roles that follow the
// demand of the last seconds: it changes as many engines at once as needed.
type reactive[P Policy[P]] struct {
	placement P
	planner   roles.Planner
}

func newReactive[P Policy[P]](c Config, placement P) reactive[P] {
	return reactive[P]{placement: placement, planner: roles.New(roles.Options{
		SmoothingTime: 2 * time.Second, PrefillRate: c.Engine.PrefillRate, DecodeRate: c.Engine.DecodeRate,
		MinPrefill: 1, MinDecode: 1,
	}, simTime(0))}
}

func (p reactive[P]) Rules() Rules {
	rules := p.placement.Rules()
	rules.Role = staticRole
	return rules
}

func (p reactive[P]) Pick(f *Fleet, r Request, draw uint64) (reactive[P], place.Plan, bool) {
	next, plan, ok := p.placement.Pick(f, r, draw)
	p.placement = next
	return p, plan, ok
}

func (p reactive[P]) WithArrival(at time.Time, r Request) reactive[P] {
	p.planner = p.planner.WithWork(at, float64(r.Prompt), float64(r.Output))
	return p
}

func (p reactive[P]) Adjust(f *Fleet) (reactive[P], []RoleChange) {
	var changes []RoleChange
	list := f.Engines(model.RoleBoth)
	for start := 0; start < list.Len(); {
		// The engines of a zone are consecutive.
		end, n := start, 0
		byRole := map[model.Role][]int{}
		for ; end < list.Len() && list.At(end).Zone() == list.At(start).Zone(); end++ {
			if e := list.At(end); !e.Down() {
				n++
				byRole[e.Next()] = append(byRole[e.Next()], end)
			}
		}
		start = end
		wanted, ok := p.planner.Wanted(n)
		if !ok {
			continue
		}
		missing := int(math.Round(wanted.Prefill)) - len(byRole[model.RolePrefill])
		from, to := model.RoleDecode, model.RolePrefill
		if missing < 0 {
			from, to, missing = to, from, -missing
		}
		for _, i := range byRole[from] {
			if missing > 0 && !list.At(i).Changing() {
				changes = append(changes, RoleChange{Engine: i, To: to})
				missing--
			}
		}
	}
	return p, changes
}
