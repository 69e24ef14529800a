package slice

import (
	"fmt"
	"strings"

	"caroblane/core/place"
	"caroblane/core/policy"
)

// Row is a named policy in the comparison.
type Row struct {
	Name string
	// Run simulates the policy with a configuration.
	Run func(Config) (Figures, error)
}

func row[P Policy[P]](name string, build func(Config) P) Row {
	return Row{name, func(c Config) (Figures, error) { return Run(c, build(c)) }}
}

// Rows returns the baselines and then the presets.
func Rows() []Row { return append(Baselines(), Presets()...) }

// Baselines returns the rows that the presets are compared against.
func Baselines() []Row {
	leastLoaded := stateless{place.Sampled[Engine]{SampleSize: 8}}
	affinity := stateless{place.Affinity[Engine]{MaxLoad: 1, Fallback: leastLoaded}}
	type independent = disaggregated[stateless, stateless]
	return []Row{
		row("round robin, fixed", func(Config) disaggregated[roundRobin, roundRobin] {
			return disaggregated[roundRobin, roundRobin]{role: staticRole}
		}),
		row("least-loaded, fixed", func(Config) independent { return independent{staticRole, leastLoaded, leastLoaded} }),
		row("least-loaded, fixed, affinity", func(Config) independent { return independent{staticRole, affinity, leastLoaded} }),
		row("least-loaded, all both", func(Config) independent { return independent{mixedRole, leastLoaded, leastLoaded} }),
		row("least-loaded, all both, affinity", func(Config) independent { return independent{mixedRole, affinity, leastLoaded} }),
		row("following every swing", func(c Config) reactive[independent] {
			return newReactive(c, independent{staticRole, leastLoaded, leastLoaded})
		}),
	}
}

// Presets returns the rows of the presets, and of variants that lack one feature
// (ablations).
func Presets() []Row {
	qalam := func(c Config) policy.Preset { return policy.Qalam(c.Engine.PrefillRate, c.Engine.DecodeRate) }
	changfa := func(c Config) policy.Preset { return policy.Changfa(c.Engine.PrefillRate, c.Engine.DecodeRate) }
	return []Row{
		row("Qalam", func(c Config) preset { return newPreset(c, qalam(c)) }),
		row("Qalam, no affinity", func(c Config) preset {
			p := qalam(c)
			p.Affinity = false
			return newPreset(c, p)
		}),
		row("Qalam, no role changes", func(c Config) preset {
			p := qalam(c)
			p.Roles.Tolerance = 100
			return newPreset(c, p)
		}),
		// Isolates the effect of the role policy from that of placement and
		// queueing.
		row("Qalam, following every swing", func(c Config) reactive[preset] {
			return newReactive(c, newPreset(c, qalam(c)))
		}),
		row("Changfa", func(c Config) preset { return newPreset(c, changfa(c)) }),
		row("Changfa, no affinity", func(c Config) preset {
			p := changfa(c)
			p.Affinity = false
			return newPreset(c, p)
		}),
	}
}

// RowsByName returns the rows with the given names in the order of Rows, or all rows
// if no name is given.
func RowsByName(names []string) ([]Row, error) {
	if len(names) == 0 {
		return Rows(), nil
	}
	wanted := make(map[string]bool, len(names))
	for _, name := range names {
		wanted[name] = true
	}
	var rows []Row
	var valid []string
	for _, r := range Rows() {
		valid = append(valid, fmt.Sprintf("%q", r.Name))
		if wanted[r.Name] {
			rows = append(rows, r)
			delete(wanted, r.Name)
		}
	}
	for _, name := range names {
		if wanted[name] {
			return nil, fmt.Errorf("row %q: must be one of %s", name, strings.Join(valid, ", "))
		}
	}
	return rows, nil
}
