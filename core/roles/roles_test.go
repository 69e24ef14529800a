package roles

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"caroblane/core/model"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func engines(prefill, decode, both int, zone model.ZoneName) []Engine[string] {
	var list []Engine[string]
	for role, n := range map[model.Role]int{
		model.RolePrefill: prefill, model.RoleDecode: decode, model.RoleBoth: both,
	} {
		for i := range n {
			list = append(list, Engine[string]{
				ID: fmt.Sprintf("%s-%s-%d", zone, role, i), Zone: zone, Role: role, Usable: true,
			})
		}
	}
	return list
}

// TestProposedChanges guards against a role below its minimum, two
// simultaneous changes in a zone, changes within the tolerance or during the
// cooldown, and changes while a zone is lost.
func TestProposedChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Options{
			SmoothingTime: 10 * time.Second, PrefillRate: 10, DecodeRate: 1,
			Tolerance:  rapid.Float64Range(0.5, 2).Draw(t, "tolerance"),
			MinPrefill: rapid.IntRange(0, 2).Draw(t, "minimum prefill"),
			MinDecode:  rapid.IntRange(0, 2).Draw(t, "minimum decode"),
			MinBoth:    rapid.IntRange(0, 2).Draw(t, "minimum both"),
			Cooldown:   20 * time.Second,
		}
		zones := []model.ZoneName{"a", "b", "c"}
		var list []Engine[string]
		for _, zone := range zones {
			count := rapid.IntRange(0, 4)
			list = append(list, engines(o.MinPrefill+count.Draw(t, "p"), o.MinDecode+count.Draw(t, "d"),
				o.MinBoth+count.Draw(t, "b"), zone)...)
		}
		planner, at := New(o, start), start
		cooldowns := map[model.ZoneName]time.Time{}
		t.Repeat(map[string]func(*rapid.T){
			"work": func(t *rapid.T) {
				at = at.Add(time.Duration(rapid.IntRange(0, 9000).Draw(t, "pause")) * time.Millisecond)
				planner = planner.WithWork(at, rapid.Float64Range(0, 1000).Draw(t, "prompt"),
					rapid.Float64Range(0, 100).Draw(t, "output"))
			},
			"fail": func(t *rapid.T) {
				if len(list) > 0 {
					i := rapid.IntRange(0, len(list)-1).Draw(t, "engine")
					list[i].Usable = !list[i].Usable
				}
			},
			"done": func(*rapid.T) {
				for i := range list {
					list[i].Changing = false
				}
			},
			"lose": func(*rapid.T) { planner = planner.WithLostZone("z") },
			"find": func(*rapid.T) { planner = planner.WithRecoveredZone("z") },
			"propose": func(t *rapid.T) {
				changes := Propose(planner, at, list)
				if planner.lostZones.Len() > 0 && len(changes) > 0 {
					t.Fatalf("%d changes while a zone is lost", len(changes))
				}
				for _, zone := range zones {
					checkZone(t, planner, at, cooldowns, zone, list, changes)
				}
				for _, c := range changes {
					planner = planner.WithChange(c.Zone, at)
					cooldowns[c.Zone] = at.Add(o.Cooldown)
					for i := range list {
						if list[i].ID == c.ID {
							list[i].Role, list[i].Changing = c.To, true
						}
					}
				}
			},
		})
	})
}

func checkZone(
	t *rapid.T, planner Planner, at time.Time, cooldowns map[model.ZoneName]time.Time,
	zone model.ZoneName, list []Engine[string], changes []Change[string],
) {
	have, usable, changing := map[model.Role]int{}, 0, false
	for _, e := range list {
		if e.Zone == zone && e.Usable {
			have[e.Role]++
			usable++
			changing = changing || e.Changing
		}
	}
	count := 0
	for _, c := range changes {
		if c.Zone != zone {
			continue
		}
		count++
		if usable == 0 || changing || at.Before(cooldowns[zone]) {
			t.Fatalf("change in zone %s with %d usable engines, changing %v, cooldown until %s", zone, usable, changing, cooldowns[zone])
		}
		minimum := map[model.Role]int{
			model.RolePrefill: planner.options.MinPrefill, model.RoleDecode: planner.options.MinDecode,
			model.RoleBoth: planner.options.MinBoth,
		}
		if have[c.From]-1 < minimum[c.From] {
			t.Fatalf("%s falls below its minimum in zone %s", c.From, zone)
		}
		wanted, _ := planner.Wanted(usable)
		shortfall := map[model.Role]float64{
			model.RolePrefill: wanted.Prefill, model.RoleDecode: wanted.Decode, model.RoleBoth: wanted.Both,
		}[c.To] - float64(have[c.To])
		if shortfall <= planner.options.Tolerance {
			t.Fatalf("change to %s in zone %s within the tolerance: shortfall %.2f", c.To, zone, shortfall)
		}
	}
	if count > 1 {
		t.Fatalf("%d simultaneous changes in zone %s", count, zone)
	}
}

// TestFollowsSustainedDemand guards against roles that never follow the
// demand.
func TestFollowsSustainedDemand(t *testing.T) {
	o := Options{SmoothingTime: 10 * time.Second, PrefillRate: 10, DecodeRate: 1, Tolerance: 0.6, MinPrefill: 1, MinDecode: 1}
	planner := New(o, start).WithWork(start, 600, 20)
	list := engines(1, 7, 0, "a")
	for range 10 {
		for _, c := range Propose(planner, start, list) {
			for i := range list {
				if list[i].ID == c.ID {
					list[i].Role = c.To
				}
			}
		}
	}
	prefill := 0
	for _, e := range list {
		if e.Role == model.RolePrefill {
			prefill++
		}
	}
	if prefill != 6 {
		t.Errorf("%d prefill engines for three quarters of the work, want 6 of 8", prefill)
	}
}
