// Package roles computes how many engines of each availability zone should
// take prefill work, decode work or both, and proposes role changes.
package roles

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/model"
)

// Options are the parameters of a target.
type Options struct {
	// Term is the time constant of the smoothed demand.
	Term time.Duration
	// PrefillRate and DecodeRate are the tokens a second of one engine.
	PrefillRate, DecodeRate float64
	// Band is the lack of engines of a role, in engines, up to which nothing
	// changes. Below one half, the rounding of whole engines causes changes.
	Band float64
	// MinPrefill, MinDecode and MinBoth are engines for each role and zone.
	MinPrefill, MinDecode, MinBoth int
	// Rest is the time after a change in which its zone gets no other.
	Rest time.Duration
}

// Engine is an engine as the target sees it.
type Engine[I cmp.Ordered] struct {
	ID   I
	Zone model.ZoneName
	Role model.Role
	// Load orders the engines of a role: the least loaded one changes first.
	Load float64
	// Usable is false for engines that are lost, leaving or not to be changed.
	Usable bool
	// Changing engines already have the role Role, but do not serve yet.
	Changing bool
}

// Change is a proposed role change.
type Change[I cmp.Ordered] struct {
	ID       I
	Zone     model.ZoneName
	From, To model.Role
}

// Wanted is a number of engines for each role, not rounded.
type Wanted struct {
	Prefill, Decode, Both float64
}

// Target is an immutable estimate of the demand with the rests of the zones.
type Target struct {
	options         Options
	prefill, decode float64
	at              time.Time
	rests           *immutable.SortedMap[model.ZoneName, time.Time]
	lost            *immutable.SortedMap[model.ZoneName, struct{}]
}

// New returns a target without demand. It proposes nothing.
func New(options Options, at time.Time) Target {
	return Target{
		options: options,
		at:      at,
		rests:   immutable.NewSortedMap[model.ZoneName, time.Time](nil),
		lost:    immutable.NewSortedMap[model.ZoneName, struct{}](nil),
	}
}

// WithWork returns the target after work has arrived: tokens of prompt to
// compute and tokens to generate.
func (t Target) WithWork(at time.Time, prompt, output float64) Target {
	if passed := at.Sub(t.at); passed > 0 {
		kept := math.Exp(-passed.Seconds() / t.options.Term.Seconds())
		t.prefill *= kept
		t.decode *= kept
		t.at = at
	}
	t.prefill += prompt / t.options.PrefillRate
	t.decode += output / t.options.DecodeRate
	return t
}

// WithChange returns the target after a change began in a zone.
func (t Target) WithChange(zone model.ZoneName, at time.Time) Target {
	t.rests = t.rests.Set(zone, at.Add(t.options.Rest))
	return t
}

// WithLost returns the target with a zone marked as lost. Until it is marked
// as present again, nothing changes in any zone.
func (t Target) WithLost(zone model.ZoneName) Target {
	t.lost = t.lost.Set(zone, struct{}{})
	return t
}

// WithPresent returns the target with a zone that is no longer lost.
func (t Target) WithPresent(zone model.ZoneName) Target {
	t.lost = t.lost.Delete(zone)
	return t
}

// Wanted returns the number for each role in a zone with n engines. Zones
// share the demand by their engines. The second result is false without
// demand and where the minimums leave no choice.
func (t Target) Wanted(n int) (Wanted, bool) {
	o := t.options
	split := n - o.MinBoth
	if t.prefill+t.decode <= 0 || split <= o.MinPrefill+o.MinDecode {
		return Wanted{}, false
	}
	prefill := float64(split) * t.prefill / (t.prefill + t.decode)
	prefill = min(max(prefill, float64(o.MinPrefill)), float64(split-o.MinDecode))
	return Wanted{prefill, float64(split) - prefill, float64(o.MinBoth)}, true
}

// Propose returns at most one change for each zone.
func Propose[I cmp.Ordered](t Target, at time.Time, engines []Engine[I]) []Change[I] {
	if t.lost.Len() > 0 {
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
			// The zone is lost: the others need every engine that they have.
			return nil
		}
		rest, _ := t.rests.Get(zone)
		if at.Before(rest) || slices.ContainsFunc(list, func(e Engine[I]) bool { return e.Changing }) {
			continue
		}
		if change, ok := mostNeeded(t, list); ok {
			changes = append(changes, Change[I]{list[change.index].ID, zone, list[change.index].Role, change.to})
		}
	}
	return changes
}

// choice is an engine of a list and its new role.
type choice struct {
	index int
	to    model.Role
}

// mostNeeded returns the change that the engines of a zone need most.
func mostNeeded[I cmp.Ordered](t Target, list []Engine[I]) (choice, bool) {
	wanted, ok := t.Wanted(len(list))
	if !ok {
		return choice{}, false
	}
	o := t.options
	have := map[model.Role]int{}
	for _, e := range list {
		have[e.Role]++
	}
	lacks := map[model.Role]float64{
		model.RolePrefill: wanted.Prefill - float64(have[model.RolePrefill]),
		model.RoleDecode:  wanted.Decode - float64(have[model.RoleDecode]),
		model.RoleBoth:    wanted.Both - float64(have[model.RoleBoth]),
	}
	minimum := map[model.Role]int{
		model.RolePrefill: o.MinPrefill, model.RoleDecode: o.MinDecode, model.RoleBoth: o.MinBoth,
	}
	to, from := model.RolePrefill, model.RolePrefill
	for _, role := range []model.Role{model.RoleDecode, model.RoleBoth} {
		if lacks[role] > lacks[to] {
			to = role
		}
		if lacks[role] < lacks[from] {
			from = role
		}
	}
	if lacks[to] <= o.Band || lacks[from] >= 0 || have[from] <= minimum[from] {
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
