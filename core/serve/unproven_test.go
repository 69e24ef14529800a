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

// TestEqualRequestsAtOneCrash guards against refusing a request with the content of two
// others that ran at one upstream when it crashed once, although it is answered
// elsewhere.
func TestEqualRequestsAtOneCrash(t *testing.T) {
	h := newHarness()
	h.fleet, _ = h.fleet.Apply(h.in(event.UpstreamsRead{Revision: 4, Upstreams: []model.Upstream{
		{Name: "a", Address: "a", Slots: 6, Service: "app"},
	}}))
	equal := func(ticket model.Ticket) {
		h.forward = nil
		h.apply(event.SiteArrived{Ticket: ticket, Request: model.SiteRequest{
			ID: "r", Host: "h", Path: "/send/1", HasKey: true, KeyHash: key, Fingerprint: 9,
			ArrivedAt: startTime.Add(h.now), CallerDeadline: startTime.Add(h.now + time.Second),
		}})
	}
	var attempts []event.ForwardEnded
	for ticket := range model.Ticket(2) {
		equal(ticket + 1)
		attempts = append(attempts, event.ForwardEnded{Ticket: ticket + 1, Attempt: h.forward.Attempt, Outcome: model.Broken, Crashed: true})
	}
	for _, ended := range attempts {
		h.apply(ended)
	}
	h.now += 3 * time.Second
	h.site, _ = h.site.Apply(h.in(event.SiteRead{SentAt: startTime.Add(h.now), Revision: 3}))
	equal(3)
	if d, _ := h.lastDecline(); h.forward == nil {
		t.Errorf("refused with %v %v after one crash beside which two equal requests ran", d.Reason, h.now)
	}
}
