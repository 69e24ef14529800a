package policy

import (
	"fmt"
	"math"
	"strings"
	"sync"
	"testing"
	"time"

	"caroblane/core/model"
	"caroblane/core/place"
	"caroblane/core/roles"
)

// fixed gives 2 of 7 engines to prefill work, near the 24% of docs/design.md.
func fixed(i int) model.Role {
	if i%3 == 0 && i < 6 {
		return model.RolePrefill
	}
	return model.RoleDecode
}

func both(int) model.Role { return model.RoleBoth }

// planned is how the presets begin.
func planned(i int) model.Role {
	switch i {
	case 0:
		return model.RolePrefill
	case 1, 4:
		return model.RoleBoth
	}
	return model.RoleDecode
}

// separate picks the engine for the prompt and the one for the tokens by
// policies that know no roles. An engine with both roles does both.
func separate(prompts, tokens place.Policy[view]) func(*slice, *job, uint64) (place.Plan, bool) {
	return func(s *slice, j *job, draw uint64) (place.Plan, bool) {
		p, ok := prompts.Pick(views{s, model.RolePrefill}, j.key, draw)
		if !ok || s.machines[p].role == model.RoleBoth {
			return place.Plan{Prefill: p, Decode: p}, ok
		}
		d, ok := tokens.Pick(views{s, model.RoleDecode}, 0, draw)
		return place.Plan{Prefill: p, Decode: d}, ok
	}
}

// inTurn is round robin. It advances by the draw of placed work only.
type inTurn struct{ last *int }

func (r inTurn) Pick(list place.List[view], _, draw uint64) (int, bool) {
	for step := range list.Len() {
		i := (*r.last + 1 + step) % list.Len()
		if _, ok := list.At(i).Load(); ok {
			if draw != 0 {
				*r.last = i
			}
			return i, true
		}
	}
	return 0, false
}

func baselines() []func() row {
	least := place.Sampled[view]{Choices: 8}
	affine := place.Affinity[view]{Bound: 1, Otherwise: least}
	return []func() row{
		func() row {
			return row{name: "round robin, fixed", roles: fixed, pick: separate(inTurn{new(int)}, inTurn{new(int)})}
		},
		func() row { return row{name: "least-loaded, fixed", roles: fixed, pick: separate(least, least)} },
		func() row {
			return row{name: "least-loaded, fixed, affinity", roles: fixed, pick: separate(affine, least)}
		},
		func() row { return row{name: "least-loaded, all both", roles: both, pick: separate(least, least)} },
		func() row {
			return row{name: "least-loaded, all both, affinity", roles: both, pick: separate(affine, least)}
		},
		following,
	}
}

// following changes as many engines at once as the last seconds ask for.
func following() row {
	least := place.Sampled[view]{Choices: 8}
	target := roles.New(roles.Options{
		Term: 2 * time.Second, PrefillRate: prefillRate, DecodeRate: decodeRate, MinPrefill: 1, MinDecode: 1,
	}, clock(0))
	return row{
		name: "following every swing", roles: fixed, pick: separate(least, least),
		arrived: func(s *slice, j *job) {
			target = target.WithWork(clock(s.now), float64(j.prompt), float64(j.output))
		},
		adjust: func(s *slice) map[int]model.Role {
			to := map[int]model.Role{}
			for _, zone := range []model.ZoneName{"zone-0", "zone-1", "zone-2"} {
				have := map[model.Role][]*machine{}
				n := 0
				for _, m := range s.machines {
					if m.zone != zone || m.down {
						continue
					}
					n++
					role := m.role
					if m.closing {
						role = m.to
					}
					have[role] = append(have[role], m)
				}
				wanted, ok := target.Wanted(n)
				if !ok {
					continue
				}
				lack := int(math.Round(wanted.Prefill)) - len(have[model.RolePrefill])
				from, role := model.RoleDecode, model.RolePrefill
				if lack < 0 {
					from, role, lack = role, from, -lack
				}
				for _, m := range have[from] {
					if lack > 0 && !m.closing {
						to[m.id] = role
						lack--
					}
				}
			}
			return to
		},
	}
}

// preset returns the row of a preset.
func preset(name string, p Preset, change func(*Preset)) func() row {
	change(&p)
	return func() row {
		policy := Pairs[view](p, Costs{
			PromptToken: promptToken, Mixing: 2, MixBelow: 20.0 / slots,
			TransferBase: transferBase, TransferToken: transferToken,
		})
		target := roles.New(p.Roles, clock(0))
		shares := place.NewShares[int](time.Minute)
		work := func(j *job) float64 { return float64(j.output) + float64(j.prompt)/10 }
		return row{
			name: name, roles: planned, fair: true, lateLast: p.LateLast,
			pick: func(s *slice, j *job, draw uint64) (place.Plan, bool) {
				cheap := j.restartable && shares.Allows(j.account, clock(s.now), work(j), cheapShare[j.account])
				last := j.waits && s.now > j.queued+admitTerm-p.Last
				return policy.Pick(views{s, model.RoleBoth}, place.Job{
					Key: j.key, Prompt: j.prompt, Shared: j.shared, Cheap: cheap, Last: last,
				}, draw)
			},
			placed: func(s *slice, j *job) {
				shares = shares.WithWork(j.account, clock(s.now), work(j), j.cheap)
			},
			arrived: func(s *slice, j *job) {
				target = target.WithWork(clock(s.now), float64(j.prompt), float64(j.output))
			},
			adjust: func(s *slice) map[int]model.Role {
				var list []roles.Engine[int]
				for _, m := range s.machines {
					load, _ := view{m, s, model.RoleBoth}.Load()
					list = append(list, roles.Engine[int]{
						ID: m.id, Zone: m.zone, Role: m.role, Load: load, Usable: !m.down, Changing: m.closing,
					})
				}
				to := map[int]model.Role{}
				for _, c := range roles.Propose(target, clock(s.now), list) {
					to[c.ID] = c.To
					target = target.WithChange(c.Zone, clock(s.now))
				}
				return to
			},
		}
	}
}

func presets() []func() row {
	q, c := Qalam(prefillRate, decodeRate), Changfa(prefillRate, decodeRate)
	as := func(*Preset) {}
	blind := func(p *Preset) { p.Affinity = false }
	still := func(p *Preset) { p.Roles.Band = 100 }
	return []func() row{
		preset("Qalam", q, as),
		preset("Qalam, no affinity", q, blind),
		preset("Qalam, no role changes", q, still),
		// Separates what the roles bring from what placement and queue bring.
		func() row {
			r, swings := preset("Qalam, following every swing", q, as)(), following()
			r.roles, r.arrived, r.adjust = swings.roles, swings.arrived, swings.adjust
			return r
		},
		preset("Changfa", c, as),
		preset("Changfa, no affinity", c, blind),
	}
}

var columns = []string{
	"good/s", "swing good/s", "evening good/s", "in target %", "worst account", "role changes",
	"cost/1000 tokens", "cheap %", "refused in rate", "cut", "strict good/s", "strict swing good/s",
}

// figures returns the columns of the table for a finished run.
func figures(s *slice) []float64 {
	var strict, strictSwing, good, swing, night, offered, busy, tokens, work, cheap float64
	inRate, served := make([]float64, len(weights)), make([]float64, len(weights))
	for _, j := range s.jobs {
		w := float64(j.output) + float64(j.prompt)/10
		offered++
		if j.inRate {
			inRate[j.account] += w
		}
		if j.done {
			tokens += float64(j.output)
			work += w
			if j.cheap {
				cheap += w
			}
		}
		if !j.good() {
			continue
		}
		good++
		if j.first <= firstTarget {
			strict++
			if j.at >= swingFrom && j.at < swingTo {
				strictSwing++
			}
		}
		served[j.account] += w
		switch {
		case j.at >= swingTo:
			night++
		case j.at >= swingFrom:
			swing++
		}
	}
	for _, m := range s.machines {
		price := 1.0
		if m.cheap {
			price = cheapPrice
		}
		busy += price * m.busy.Seconds()
	}
	// An account's fair share is the same part of its demand inside its rate
	// as all accounts together get of theirs.
	var all, demand float64
	for a := range inRate {
		served[a] = min(served[a], inRate[a])
		all += served[a]
		demand += inRate[a]
	}
	worst := 1.0
	for a := range inRate {
		worst = min(worst, served[a]/inRate[a]/(all/demand))
	}
	return []float64{
		good / endAt.Seconds(), swing / (swingTo - swingFrom).Seconds(), night / (endAt - swingTo).Seconds(),
		100 * good / offered, worst, float64(s.changes), 1000 * busy / tokens, 100 * cheap / work,
		float64(s.refused), float64(s.cuts), strict / endAt.Seconds(),
		strictSwing / (swingTo - swingFrom).Seconds(),
	}
}

// Prints the comparison of docs/policy.md, and guards against a preset that
// falls behind its baselines or changes roles with every swing.
func TestCompare(t *testing.T) {
	seeds := []uint64{1, 2, 3}
	if testing.Short() {
		seeds = seeds[:1]
	}
	rows := append(baselines(), presets()...)
	results := make([][][]float64, len(rows))
	var running sync.WaitGroup
	permits := make(chan struct{}, 4)
	for r, build := range rows {
		results[r] = make([][]float64, len(seeds))
		for n, seed := range seeds {
			running.Go(func() {
				permits <- struct{}{}
				defer func() { <-permits }()
				s := newSlice(build(), seed)
				s.run()
				results[r][n] = figures(s)
				open, held := 0, 0
				for _, j := range s.jobs {
					if !j.finished {
						open++
					}
				}
				for _, m := range s.machines {
					held += m.used
				}
				// Requests that are lost or counted twice would spoil the table.
				if open != 0 || held != 0 {
					t.Errorf("%s, seed %d: %d requests without an end, %d slots held", s.row.name, seed, open, held)
				}
			})
		}
	}
	running.Wait()
	table := &strings.Builder{}
	fmt.Fprintf(table, "| row | %s |\n|%s\n", strings.Join(columns, " | "), strings.Repeat("---|", len(columns)+1))
	for r, build := range rows {
		fmt.Fprintf(table, "| %s |", build().name)
		for c := range columns {
			low, high, sum := math.Inf(1), math.Inf(-1), 0.0
			for _, figures := range results[r] {
				low, high, sum = min(low, figures[c]), max(high, figures[c]), sum+figures[c]
			}
			fmt.Fprintf(table, " %.4g (%.4g to %.4g) |", sum/float64(len(seeds)), low, high)
		}
		fmt.Fprintln(table)
	}
	mean := map[string][]float64{}
	for r, build := range rows {
		sums := make([]float64, len(columns))
		for _, figures := range results[r] {
			for c := range columns {
				sums[c] += figures[c] / float64(len(seeds))
			}
		}
		mean[build().name] = sums
	}
	const swing, worst, changes, refused = 1, 4, 5, 8
	best := 0.0
	for _, build := range baselines() {
		best = max(best, mean[build().name][swing])
	}
	qalam, changfa, follows := mean["Qalam"], mean["Changfa"], mean["following every swing"]
	if qalam[swing] < 1.3*best {
		t.Errorf("Qalam: goodput of %.1f/s in the swing, best baseline %.1f/s", qalam[swing], best)
	}
	if qalam[worst] < 0.9 {
		t.Errorf("Qalam: the worst account gets %.3f of its fair share", qalam[worst])
	}
	if qalam[changes] > follows[changes]/10 || changfa[changes] > follows[changes]/10 {
		t.Errorf("role changes: Qalam %.0f, Changfa %.0f, following %.0f", qalam[changes], changfa[changes], follows[changes])
	}
	if changfa[refused] > qalam[refused]/4 {
		t.Errorf("refused in rate: Changfa %.0f, Qalam %.0f", changfa[refused], qalam[refused])
	}
	t.Logf("mean (lowest to highest) of seeds %v\n%s", seeds, table)
}
