package poison

import (
	"time"

	"caroblane/core/model"
)

// Held returns the number of held parts, and at most limit of them as a node sees them.
func (s State) Held(node model.NodeName, at time.Time, limit int) (int, []model.HeldPart) {
	count := 0
	var parts []model.HeldPart
	for itr := s.held.Iterator(); !itr.Done(); {
		part, _, _ := itr.Next()
		e, found := s.suspects.Get(part)
		if !found || !e.held || !at.Before(e.expiresAt) {
			continue
		}
		if count++; len(parts) < limit {
			parts = append(parts, model.HeldPart{Part: part, Crashes: e.open, Trials: e.trials, TrialAt: e.trialAt(node)})
		}
	}
	return count, parts
}
