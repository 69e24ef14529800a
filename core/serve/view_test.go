package serve_test

import (
	"testing"
	"time"

	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/serve"
)

// TestRequests guards against a request that is shown as waiting for something else than
// it waits for.
func TestRequests(t *testing.T) {
	h := newEngineHarness()
	check := func(when string, want model.RequestCounts) {
		t.Helper()
		if got := h.serve.Requests(); got != want {
			t.Errorf("%s: %+v, want %+v", when, got, want)
		}
	}
	check("without requests", model.RequestCounts{})
	h.apply(event.SiteArrived{Ticket: 1, Request: model.SiteRequest{
		ID: "r", Host: "h", Path: "/twice/1", HasKey: true, KeyHash: key, PromptTokens: 9000, HasTokenCounts: true,
		ArrivedAt: startTime, CallerDeadline: startTime.Add(5 * time.Second),
	}})
	check("prefill", model.RequestCounts{Prompt: 1})
	h.endAttempt(event.ForwardEnded{Outcome: model.Completed, Handle: "h"})
	check("transfer", model.RequestCounts{Transfer: 1})
	h.apply(event.ForwardBegan{Ticket: 1, Attempt: h.forward.Attempt, Status: 200})
	check("running", model.RequestCounts{Running: 1})
	h.endAttempt(event.ForwardEnded{Outcome: model.Completed, Status: 200, Passed: true})
	check("ended", model.RequestCounts{})

	h = newHarness()
	h.arrive("/read/1", key)
	check("plain service", model.RequestCounts{Started: 1})

	h = newHarness()
	in := h.in(event.SiteArrived{Ticket: 1, Request: model.SiteRequest{
		Host: "h", Path: "/read/1", HasKey: true, KeyHash: key, ArrivedAt: startTime, CallerDeadline: startTime.Add(time.Second),
	}})
	h.serve, _ = h.serve.Apply(in, serve.View{Site: h.site, Fleet: h.fleet, Nodes: 2, Zone: "z", At: in.At, Initialized: true})
	check("quota asked", model.RequestCounts{Queue: 1})
}
