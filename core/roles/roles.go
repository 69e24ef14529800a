// Package roles computes how many engines of each availability zone should do
// prefill work, decode work or both, and proposes role changes.
package roles

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/model"
)

// Options are the parameters of a Planner.
type Options struct {
	// SmoothingTime is the time constant with which the demand is smoothed.
	SmoothingTime time.Duration
	// PrefillRate and DecodeRate are the tokens per second that one engine
	// processes.
	PrefillRate, DecodeRate float64
	// Tolerance is the shortfall of engines of a role up to which nothing changes.
	// Below 0.5, rounding to whole engines causes changes.
	Tolerance float64
	// MinPrefill, MinDecode and MinBoth are the minimum numbers of engines of
	// each role in a zone.
	MinPrefill, MinDecode, MinBoth int
	// Cooldown is the time after a change during which its zone gets no other.
	Cooldown time.Duration
}

// Engine is the state of one engine.
type Engine[I cmp.Ordered] struct {
	ID   I
	Zone model.ZoneName
	Role model.Role
	// Load decides which engine of a role changes: the least loaded one.
	Load float64
	// Usable is false for engines that are lost, shutting down or must not be
	// changed.
	Usable bool
	// Changing is set while the engine changes to Role and does not serve yet.
	Changing bool
}

// Change is a proposed role change.
type Change[I cmp.Ordered] struct {
	ID       I
	Zone     model.ZoneName
	From, To model.Role
}

// Wanted is the wanted number of engines of each role, not rounded.
type Wanted struct {
	Prefill, Decode, Both float64
}

// Planner is an immutable estimate of the demand, together with the zones that
// are lost or in their cooldown.
type Planner struct {
	options         Options
	prefill, decode float64
	at              time.Time
	cooldowns       *immutable.SortedMap[model.ZoneName, time.Time]
	lostZones       *immutable.SortedMap[model.ZoneName, struct{}]
}

// New returns a planner without demand, which proposes no changes.
func New(options Options, at time.Time) Planner {
	return Planner{
		options:   options,
		at:        at,
		cooldowns: immutable.NewSortedMap[model.ZoneName, time.Time](nil),
		lostZones: immutable.NewSortedMap[model.ZoneName, struct{}](nil),
	}
}

// WithWork returns the planner after work arrived: prompt tokens to process and
// output tokens to generate.
func (p Planner) WithWork(at time.Time, prompt, output float64) Planner {
	if passed := at.Sub(p.at); passed > 0 {
		decay := math.Exp(-passed.Seconds() / p.options.SmoothingTime.Seconds())
		p.prefill *= decay
		p.decode *= decay
		p.at = at
	}
	p.prefill += prompt / p.options.PrefillRate
	p.decode += output / p.options.DecodeRate
	return p
}

// WithChange returns the planner after a change started in a zone.
func (p Planner) WithChange(zone model.ZoneName, at time.Time) Planner {
	p.cooldowns = p.cooldowns.Set(zone, at.Add(p.options.Cooldown))
	return p
}

// WithLostZone returns the planner with a zone marked as lost. Until the zone
// recovers, no zone gets a change.
func (p Planner) WithLostZone(zone model.ZoneName) Planner {
	p.lostZones = p.lostZones.Set(zone, struct{}{})
	return p
}

// WithRecoveredZone returns the planner with a zone that is no longer lost.
func (p Planner) WithRecoveredZone(zone model.ZoneName) Planner {
	p.lostZones = p.lostZones.Delete(zone)
	return p
}

// Wanted returns the wanted number of engines of each role in a zone with n
// engines. Zones share the demand in proportion to their engines. The second
// result is false if there is no demand, or if the minimums leave no choice.
func (p Planner) Wanted(n int) (Wanted, bool) {
	o := p.options
	singleRole := n - o.MinBoth
	if p.prefill+p.decode <= 0 || singleRole <= o.MinPrefill+o.MinDecode {
		return Wanted{}, false
	}
	prefill := float64(singleRole) * p.prefill / (p.prefill + p.decode)
	prefill = min(max(prefill, float64(o.MinPrefill)), float64(singleRole-o.MinDecode))
	return Wanted{prefill, float64(singleRole) - prefill, float64(o.MinBoth)}, true
}

// Propose returns at most one role change for each zone.
func Propose[I cmp.Ordered](p Planner, at time.Time, engines []Engine[I]) []Change[I] {
	if p.lostZones.Len() > 0 {
		return nil
	}
	zones := immutable.NewSortedMap[model.ZoneName, []Engine[I]](nil)
	for _, e := range engines {
		list, _ := zones.Get(e.Zone)
		if e.Usable {
			list = append(slices.Clip(list), e)
		}
		zones = zones.Set(e.Zone, list)
	}
	var changes []Change[I]
	for itr := zones.Iterator(); !itr.Done(); {
		zone, list, _ := itr.Next()
		if len(list) == 0 {
			// The zone is lost. The other zones need all of their engines.
			return nil
		}
		cooldown, _ := p.cooldowns.Get(zone)
		if at.Before(cooldown) || slices.ContainsFunc(list, func(e Engine[I]) bool { return e.Changing }) {
			continue
		}
		if change, ok := chooseChange(p, list); ok {
			changes = append(changes, Change[I]{list[change.index].ID, zone, list[change.index].Role, change.to})
		}
	}
	return changes
}

// choice is the index of an engine and its new role.
type choice struct {
	index int
	to    model.Role
}

// chooseChange returns the change to the role with the largest shortfall.
func chooseChange[I cmp.Ordered](p Planner, list []Engine[I]) (choice, bool) {
	wanted, ok := p.Wanted(len(list))
	if !ok {
		return choice{}, false
	}
	o := p.options
	have := map[model.Role]int{}
	for _, e := range list {
		have[e.Role]++
	}
	shortfalls := map[model.Role]float64{
		model.RolePrefill: wanted.Prefill - float64(have[model.RolePrefill]),
		model.RoleDecode:  wanted.Decode - float64(have[model.RoleDecode]),
		model.RoleBoth:    wanted.Both - float64(have[model.RoleBoth]),
	}
	minimum := map[model.Role]int{
		model.RolePrefill: o.MinPrefill, model.RoleDecode: o.MinDecode, model.RoleBoth: o.MinBoth,
	}
	to, from := model.RolePrefill, model.RolePrefill
	for _, role := range []model.Role{model.RoleDecode, model.RoleBoth} {
		if shortfalls[role] > shortfalls[to] {
			to = role
		}
		if shortfalls[role] < shortfalls[from] {
			from = role
		}
	}
	if shortfalls[to] <= o.Tolerance || shortfalls[from] >= 0 || have[from] <= minimum[from] {
		return choice{}, false
	}
	best := -1
	for i, e := range list {
		if e.Role == from && (best < 0 || e.Load < list[best].Load) {
			best = i
		}
	}
	return choice{best, to}, true
}
