package poison

import (
	"testing"
	"time"

	"caroblane/core/model"
)

// TestHeld guards against held parts that operators do not see, cleared ones that they
// see, and a list without a limit.
func TestHeld(t *testing.T) {
	h := newHistory()
	for part := range uint64(5) {
		h.crash(2*part+1, part+1)
		h.crash(2*part+2, part+1)
	}
	h.crash(99, 9)
	h.wait(2 * time.Second)
	count, parts := h.Held("n", h.at(), 3)
	if count != 5 || len(parts) != 3 {
		t.Fatalf("%d held parts, %d shown; want 5 and 3", count, len(parts))
	}
	v := h.Verdict([]model.PromptPart{{ID: parts[0].Part}}, "n", h.at())
	if parts[0].Crashes != 2 || v.Part != parts[0].Part || v.TrialDue == parts[0].TrialAt.After(h.at()) {
		t.Errorf("part %+v, verdict %+v", parts[0], v)
	}
	h.wait(24 * time.Hour)
	if count, parts := h.Held("n", h.at(), 3); count != 0 || len(parts) != 0 {
		t.Errorf("%d held parts after their expiry", count)
	}
}
