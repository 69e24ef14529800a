package serve_test

import (
	"slices"
	"testing"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

// awaitAttempt plays the time until an attempt runs or the request ends.
func (h *harness) awaitAttempt() {
	for h.forward == nil && len(h.replies) == 0 {
		next := h.serve.Next()
		if next.IsZero() {
			return
		}
		h.now = max(h.now, next.Sub(startTime))
		h.apply(event.Tick{})
	}
}

// TestRunAfterGivenUpOne guards against an answer that ends because the run that follows
// a given-up one does not start, although its deadline, its runs and the retry budget
// allow a further one, and against a request that is sent to upstreams without a pause
// until one takes it.
func TestRunAfterGivenUpOne(t *testing.T) {
	rejected := event.ForwardEnded{Outcome: model.Rejected, Status: 503}
	notSent := event.ForwardEnded{Outcome: model.NotSent}
	broken := event.ForwardEnded{Outcome: model.Broken}
	for name, c := range map[string]struct {
		path      string
		upstreams int
		slack     float64
		ended     []event.ForwardEnded
	}{
		"rejected":                      {"/silent/resume/1", 4, 40, []event.ForwardEnded{rejected}},
		"not sent":                      {"/silent/resume/1", 4, 40, []event.ForwardEnded{notSent}},
		"broken":                        {"/silent/thrice/1", 4, 40, []event.ForwardEnded{broken}},
		"broken by the last upstream":   {"/silent/thrice/1", 2, 40, []event.ForwardEnded{broken}},
		"rejected by the last upstream": {"/silent/resume/1", 2, 40, []event.ForwardEnded{rejected}},
		"not sent, last upstream":       {"/silent/resume/1", 2, 40, []event.ForwardEnded{notSent}},
		"rejected by all, twice":        {"/silent/resume/1", 4, 40, slices.Repeat([]event.ForwardEnded{rejected}, 8)},
		"not sent to any, twice":        {"/silent/resume/1", 4, 40, slices.Repeat([]event.ForwardEnded{notSent}, 8)},
		"budget spent":                  {"/silent/resume/1", 4, 4, []event.ForwardEnded{rejected}},
		"budget spent, many upstreams":  {"/silent/resume/1", 8, 8, slices.Repeat([]event.ForwardEnded{rejected}, 6)},
	} {
		t.Run(name, func(t *testing.T) {
			h := newSilenceHarness(c.path, c.slack, c.upstreams)
			h.fallSilent(true, false, "2")
			if h.sends != 2 {
				t.Fatalf("%d sends, want that the silent run is given up", h.sends)
			}
			for i, ended := range c.ended {
				h.now += time.Millisecond
				h.endAttempt(ended)
				h.awaitAttempt()
				if h.forward == nil {
					t.Fatalf("the answer has ended after the end %d of a further attempt: %+v", i+1, h.replies)
				}
				if h.forward.LastEvent != "2" {
					t.Errorf("the answer goes on after event %q, want 2", h.forward.LastEvent)
				}
			}
			if rate := float64(h.sends) / max(h.now.Seconds(), 0.1); rate > 40 {
				t.Errorf("%d sends in %v", h.sends, h.now)
			}
			h.endAttempt(event.ForwardEnded{Outcome: model.Completed, Passed: true})
			if _, finished := h.replies[0].(effect.Finish); !finished || len(h.replies) != 1 || h.serve.Open() != 0 {
				t.Errorf("replies after the whole answer: %+v", h.replies)
			}
		})
	}
}

// TestEndOfWait guards against a request that waits for an upstream beyond its deadline,
// or after its caller has left.
func TestEndOfWait(t *testing.T) {
	for name, c := range map[string]struct{ callerLeaves bool }{"deadline": {}, "caller left": {true}} {
		t.Run(name, func(t *testing.T) {
			h := newSilenceHarness("/silent/resume/1", 40, 4)
			h.fallSilent(true, false, "2")
			h.register(0, 9)
			h.endAttempt(event.ForwardEnded{Outcome: model.NotSent})
			if h.forward != nil || len(h.replies) > 0 {
				t.Fatalf("the request does not wait: forward %+v, replies %+v", h.forward, h.replies)
			}
			if c.callerLeaves {
				h.apply(event.CallerGone{Ticket: 1})
			}
			h.awaitAttempt()
			if len(h.replies) != 1 || h.serve.Open() != 0 {
				t.Fatalf("replies %+v, %d open", h.replies, h.serve.Open())
			}
			d, declined := h.lastDecline()
			if declined == c.callerLeaves || declined && (d.Reason != model.DeadlineExceeded || d.Execution != model.OutcomeUnknown) {
				t.Errorf("reply %+v", h.replies[0])
			}
			if h.now > time.Minute+time.Second {
				t.Errorf("the request waited for %v", h.now)
			}
		})
	}
}
