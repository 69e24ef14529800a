package serve_test

import (
	"testing"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

// abandonSecond reports whether the run of another request is given up, which needs a
// retry.
func (h *harness) abandonSecond() bool {
	h.apply(event.SiteArrived{Ticket: 2, Request: model.SiteRequest{
		ID: "s", Host: "h", Path: "/silent/resume/1", HasKey: true, KeyHash: key, Fingerprint: 10,
		ArrivedAt: startTime.Add(h.now), CallerDeadline: startTime.Add(h.now + 1e10),
	}})
	h.apply(event.ForwardSilent{Ticket: 2, Attempt: 1, Report: 1, Reachable: true})
	for _, f := range h.effects {
		if e, ok := f.(effect.AbandonAttempt); ok && e.Ticket == 2 {
			return true
		}
	}
	return false
}

// TestRetryOfRunNotStarted guards against a retry that stays spent although the run for
// which it was taken does not start, so that another request gets none, and against one
// that is returned although the run has reached an upstream.
func TestRetryOfRunNotStarted(t *testing.T) {
	completed := event.ForwardEnded{Outcome: model.Completed, Passed: true}
	notSent := event.ForwardEnded{Outcome: model.NotSent}
	silent := event.ForwardSilent{Ticket: 1, Attempt: 1, Report: 1, Reachable: true}
	for name, c := range map[string]struct {
		play     func(h *harness)
		returned bool
	}{
		"not given up": {func(*harness) {}, true},
		"attempt completes instead": {func(h *harness) {
			h.apply(silent)
			h.endAttempt(completed)
		}, true},
		"attempt is not sent": {func(h *harness) {
			h.apply(silent)
			h.endAttempt(notSent)
		}, true},
		"attempt goes on": {func(h *harness) {
			h.apply(silent)
			h.apply(event.AbandonIgnored{Ticket: 1, Attempt: 1, Ignored: 1})
		}, true},
		"attempt begins and is silent again": {func(h *harness) {
			h.apply(silent)
			h.apply(event.ForwardSilent{Ticket: 1, Attempt: 1, Report: 2, Begun: true, LastEvent: "1", Reachable: true, Ignored: 1})
		}, true},
		"late news that the attempt goes on": {func(h *harness) {
			h.apply(silent)
			h.apply(event.ForwardSilent{Ticket: 1, Attempt: 1, Report: 2, Reachable: true, Ignored: 1})
			h.apply(event.AbandonIgnored{Ticket: 1, Attempt: 1, Ignored: 1})
		}, false},
		"caller leaves": {func(h *harness) {
			h.apply(silent)
			h.endAttempt(event.ForwardEnded{Outcome: model.CallerLeft})
		}, true},
		"run waits for an upstream": {func(h *harness) {
			h.fallSilent(true, false, "2")
			h.register(0, 9)
			h.endAttempt(notSent)
			h.register(4, 10)
		}, true},
		"run is not sent, then runs": {func(h *harness) {
			h.fallSilent(true, false, "2")
			h.endAttempt(notSent)
			h.endAttempt(completed)
		}, false},
		"run is withheld, then the caller leaves": {func(h *harness) {
			h.fallSilent(true, false, "2")
			h.register(0, 9)
			h.endAttempt(event.ForwardEnded{Outcome: model.NotSent, Withheld: true})
			h.apply(event.CallerGone{Ticket: 1})
			h.register(4, 10)
		}, true},
		"run runs": {func(h *harness) {
			h.fallSilent(true, false, "2")
			h.endAttempt(completed)
		}, false},
		"run is rejected": {func(h *harness) {
			h.fallSilent(true, false, "2")
			h.endAttempt(event.ForwardEnded{Outcome: model.Rejected, Status: 503})
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			// The budget allows one retry.
			h := newSilenceHarness("/silent/resume/1", 4, 4)
			c.play(h)
			if got := h.abandonSecond(); got != c.returned {
				t.Errorf("a retry for another request: %v, want %v", got, c.returned)
			}
		})
	}
}
