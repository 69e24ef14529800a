package serve_test

import (
	"testing"
	"time"

	"caroblane/core/event"
	"caroblane/core/model"
)

// TestTrialWithoutResult guards against a part that is held for 10 s and longer after a
// trial that says nothing about it: it reached no upstream, or its caller left.
func TestTrialWithoutResult(t *testing.T) {
	for name, outcome := range map[string]model.Outcome{"not sent": model.NotSent, "caller left": model.CallerLeft} {
		t.Run(name, func(t *testing.T) {
			h := &suspectHarness{harness: newHarness()}
			for range 2 {
				h.arriveWith("/send/1", 2, 100+h.sent)
				h.crash()
			}
			h.waitForTrial(t)
			for range 20 {
				if h.forward == nil {
					break
				}
				h.endAttempt(event.ForwardEnded{Outcome: outcome, Unreachable: outcome == model.NotSent})
			}
			endedAt := h.now
			h.waitForTrial(t)
			if wait := h.now - endedAt; wait > 3*time.Second {
				t.Errorf("the next trial follows %v after one without a result, want at most 3s", wait)
			}
		})
	}
}
