package slice

import (
	"strings"
	"testing"
)

// TestCompare prints the comparison of docs/policy.md. It guards against changes of a
// policy that reverse its results: Qalam beats the baselines during the swing and
// serves all accounts fairly, the presets change roles far less often than the reactive
// policy, and Changfa refuses far fewer requests within their rate limit than Qalam.
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
			// Requests that are lost or counted twice would invalidate the table.
			if f.Unended != 0 || f.HeldSlots != 0 {
				t.Errorf("%s, seed %d: %d requests did not end exactly once, %d slots still in use", result.Row, seeds[n], f.Unended, f.HeldSlots)
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
	qalam, changfa, reactive := mean["Qalam"], mean["Changfa"], mean["following every swing"]
	if qalam.SwingGood < 1.3*best {
		t.Errorf("Qalam: swing goodput %.1f/s, want 1.3 times the best baseline %.1f/s", qalam.SwingGood, best)
	}
	if qalam.WorstAccount < 0.9 {
		t.Errorf("Qalam: worst account got %.3f of its fair share, want at least 0.9", qalam.WorstAccount)
	}
	if qalam.RoleChanges > reactive.RoleChanges/10 || changfa.RoleChanges > reactive.RoleChanges/10 {
		t.Errorf("role changes: Qalam %.0f, Changfa %.0f, want at most a tenth of %.0f",
			qalam.RoleChanges, changfa.RoleChanges, reactive.RoleChanges)
	}
	if changfa.Refused > qalam.Refused/4 {
		t.Errorf("refused within rate: Changfa %.0f, want at most a quarter of Qalam's %.0f", changfa.Refused, qalam.Refused)
	}
	var table strings.Builder
	if err := WriteTable(&table, results); err != nil {
		t.Fatal(err)
	}
	t.Logf("mean (lowest to highest) of seeds %v\n%s", seeds, &table)
}
