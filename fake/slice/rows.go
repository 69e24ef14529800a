package slice

import (
	"fmt"
	"strings"

	"caroblane/core/place"
	"caroblane/core/policy"
)

// Row is a named policy of the comparison.
type Row struct {
	Name string
	// Run measures the policy with a configuration.
	Run func(Config) (Figures, error)
}

func row[P Policy[P]](name string, build func(Config) P) Row {
	return Row{name, func(c Config) (Figures, error) { return Run(c, build(c)) }}
}

// Rows returns the baselines and then the presets.
func Rows() []Row { return append(Baselines(), Presets()...) }

// Baselines returns the rows that the presets are compared with.
func Baselines() []Row {
	least := plain{place.Sampled[Engine]{Choices: 8}}
	affine := plain{place.Affinity[Engine]{Bound: 1, Otherwise: least}}
	type stateless = separate[plain, plain]
	return []Row{
		row("round robin, fixed", func(Config) separate[inTurn, inTurn] {
			return separate[inTurn, inTurn]{role: fixed}
		}),
		row("least-loaded, fixed", func(Config) stateless { return stateless{fixed, least, least} }),
		row("least-loaded, fixed, affinity", func(Config) stateless { return stateless{fixed, affine, least} }),
		row("least-loaded, all both", func(Config) stateless { return stateless{both, least, least} }),
		row("least-loaded, all both, affinity", func(Config) stateless { return stateless{both, affine, least} }),
		row("following every swing", func(c Config) following[stateless] {
			return newFollowing(c, stateless{fixed, least, least})
		}),
	}
}

// Presets returns the rows of the presets and of presets without a part.
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
			p.Roles.Band = 100
			return newPreset(c, p)
		}),
		// Separates what the roles bring from what placement and queue bring.
		row("Qalam, following every swing", func(c Config) following[preset] {
			return newFollowing(c, newPreset(c, qalam(c)))
		}),
		row("Changfa", func(c Config) preset { return newPreset(c, changfa(c)) }),
		row("Changfa, no affinity", func(c Config) preset {
			p := changfa(c)
			p.Affinity = false
			return newPreset(c, p)
		}),
	}
}

// Named returns the rows with the given names in their usual order, or all rows
// if no name is given.
func Named(names []string) ([]Row, error) {
	if len(names) == 0 {
		return Rows(), nil
	}
	wanted := make(map[string]bool, len(names))
	for _, name := range names {
		wanted[name] = true
	}
	var rows []Row
	var known []string
	for _, r := range Rows() {
		known = append(known, fmt.Sprintf("%q", r.Name))
		if wanted[r.Name] {
			rows = append(rows, r)
			delete(wanted, r.Name)
		}
	}
	for _, name := range names {
		if wanted[name] {
			return nil, fmt.Errorf("row %q: must be one of %s", name, strings.Join(known, ", "))
		}
	}
	return rows, nil
}
