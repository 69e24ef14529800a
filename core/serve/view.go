package serve

import (
	"time"

	"caroblane/core/model"
)

// Requests returns the numbers of open requests by what they wait for.
func (s State) Requests() model.RequestCounts {
	var counts model.RequestCounts
	for itr := s.open.Iterator(); !itr.Done(); {
		_, req, _ := itr.Next()
		switch {
		case req.responseStarted, req.running && req.measured:
			counts.Running++
		case !req.running:
			counts.Queue++
		case req.step == model.StepPrompt, req.load.Prompt > 0:
			counts.Prompt++
		case req.kvHandle != "":
			counts.Transfer++
		default:
			counts.Started++
		}
	}
	return counts
}

// HeldParts returns the number of held parts of prompts, and at most limit of them as a
// node sees them.
func (s State) HeldParts(node model.NodeName, at time.Time, limit int) (int, []model.HeldPart) {
	return s.poison.Held(node, at, limit)
}
