package slice

import (
	"time"

	"caroblane/core/model"
	"caroblane/core/place"
	"caroblane/core/policy"
	"caroblane/core/roles"
)

// presetRole returns the initial roles of the presets.
func presetRole(i int) model.Role {
	switch i {
	case 0:
		return model.RolePrefill
	case 1, 4:
		return model.RoleBoth
	}
	return model.RoleDecode
}

// preset implements Policy with the parameters of a policy.Preset.
type preset struct {
	config  policy.Preset
	pairs   place.Pairs[Engine]
	planner roles.Planner
	shares  place.Shares[int]
}

func newPreset(c Config, p policy.Preset) preset {
	return preset{
		config: p,
		pairs: policy.Pairs[Engine](p, policy.EngineSpeeds{
			PromptToken: c.Engine.PromptToken, MixedFactor: 2, MaxMixedLoad: 20 / float64(c.Engine.Slots),
			TransferBase: c.Engine.TransferBase, TransferToken: c.Engine.TransferToken,
		}),
		planner: roles.New(p.Roles, simTime(0)),
		shares:  place.NewShares[int](time.Minute),
	}
}

func (p preset) Rules() Rules {
	return Rules{Role: presetRole, Fair: true, LateLast: p.config.LateLast}
}

func (p preset) Pick(f *Fleet, r Request, draw uint64) (preset, place.Plan, bool) {
	c := f.Config()
	cheap := r.Restartable && p.shares.Allows(r.Account, f.Now(), r.Work(), c.Load.CheapShare[r.Account])
	urgent := r.Waits && f.Elapsed() > r.Queued+c.AdmitTerm-p.config.LastResort
	list := f.Engines(model.RoleBoth)
	plan, ok := p.pairs.Pick(list, place.Job{
		PrefixHash: r.Key, Prompt: r.Prompt, Shared: r.Shared, AllowCheap: cheap, Urgent: urgent,
	}, draw)
	if ok && draw != 0 {
		used := list.At(plan.Prefill).Cheap() || list.At(plan.Decode).Cheap()
		p.shares = p.shares.WithWork(r.Account, f.Now(), r.Work(), used)
	}
	return p, plan, ok
}

func (p preset) WithArrival(at time.Time, r Request) preset {
	p.planner = p.planner.WithWork(at, float64(r.Prompt), float64(r.Output))
	return p
}

func (p preset) Adjust(f *Fleet) (preset, []RoleChange) {
	var list []roles.Engine[int]
	engines := f.Engines(model.RoleBoth)
	for i := range engines.Len() {
		e := engines.At(i)
		load, _ := e.Load()
		list = append(list, roles.Engine[int]{
			ID: i, Zone: e.Zone(), Role: e.Role(), Load: load, Usable: !e.Down(), Changing: e.Changing(),
		})
	}
	var changes []RoleChange
	for _, c := range roles.Propose(p.planner, f.Now(), list) {
		changes = append(changes, RoleChange{Engine: c.ID, To: c.To})
		p.planner = p.planner.WithChange(c.Zone, f.Now())
	}
	return p, changes
}
