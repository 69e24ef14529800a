package slice

import (
	"strings"
	"testing"
)

// Prints the comparison of docs/policy.md, and guards against a preset that
// falls behind its baselines or changes roles with every swing.
func TestCompare(t *testing.T) {
	seeds := []uint64{1, 2, 3}
	if testing.Short() {
		seeds = seeds[:1]
	}
	results, err := Compare(t.Context(), Default(), Rows(), seeds)
	if err != nil {
		t.Fatal(err)
	}
	mean := map[string]Figures{}
	for _, result := range results {
		var sum Figures
		for n, f := range result.Figures {
			// Requests that are lost or counted twice would spoil the table.
			if f.Unended != 0 || f.HeldSlots != 0 {
				t.Errorf("%s, seed %d: %d requests without an end, %d slots held", result.Row, seeds[n], f.Unended, f.HeldSlots)
			}
			sum.SwingGood += f.SwingGood / float64(len(seeds))
			sum.WorstAccount += f.WorstAccount / float64(len(seeds))
			sum.RoleChanges += f.RoleChanges / float64(len(seeds))
			sum.Refused += f.Refused / float64(len(seeds))
		}
		mean[result.Row] = sum
	}
	best := 0.0
	for _, baseline := range Baselines() {
		best = max(best, mean[baseline.Name].SwingGood)
	}
	qalam, changfa, follows := mean["Qalam"], mean["Changfa"], mean["following every swing"]
	if qalam.SwingGood < 1.3*best {
		t.Errorf("Qalam: goodput of %.1f/s in the swing, best baseline %.1f/s", qalam.SwingGood, best)
	}
	if qalam.WorstAccount < 0.9 {
		t.Errorf("Qalam: the worst account gets %.3f of its fair share", qalam.WorstAccount)
	}
	if qalam.RoleChanges > follows.RoleChanges/10 || changfa.RoleChanges > follows.RoleChanges/10 {
		t.Errorf("role changes: Qalam %.0f, Changfa %.0f, following %.0f",
			qalam.RoleChanges, changfa.RoleChanges, follows.RoleChanges)
	}
	if changfa.Refused > qalam.Refused/4 {
		t.Errorf("refused in rate: Changfa %.0f, Qalam %.0f", changfa.Refused, qalam.Refused)
	}
	var table strings.Builder
	if err := Table(&table, results); err != nil {
		t.Fatal(err)
	}
	t.Logf("mean (lowest to highest) of seeds %v\n%s", seeds, &table)
}
