package serve_test

import (
	"fmt"
	"testing"
	"time"

	"caroblane/core/event"
	"caroblane/core/model"
)

// pause lets upstreams ask for a pause of a number of seconds.
func (h *harness) pause(seconds float64, names ...model.UpstreamName) {
	for _, name := range names {
		h.apply(event.PauseAsked{
			Instance: model.UpstreamInstance{Name: name}, ReceivedAt: startTime.Add(h.now), Seconds: seconds,
		})
	}
}

// TestAllPaused guards against requests that are sent to try although all upstreams of
// their service want a pause, and against callers that all come back at the same time or
// before the first pause ends.
func TestAllPaused(t *testing.T) {
	h := newHarness()
	h.pause(5, "a", "b", "c")
	h.pause(3, "d")
	retries := map[time.Time]bool{}
	for range 20 {
		h.now += time.Millisecond
		h.arrive("/send/1", key)
		d, declined := h.lastDecline()
		if h.forward != nil || !declined || d.Reason != model.UpstreamsPaused || d.Execution != model.NotRun {
			t.Fatalf("forward %+v, decline %+v; want UpstreamsPaused, not run", h.forward, d)
		}
		if early, late := startTime.Add(3*time.Second), startTime.Add(4*time.Second); d.RetryAt.Before(early) || d.RetryAt.After(late) {
			t.Errorf("retry at %v, want between %v and %v", d.RetryAt, early, late)
		}
		retries[d.RetryAt] = true
	}
	if len(retries) < 10 {
		t.Errorf("20 callers are told %d different times", len(retries))
	}
	if h.sends != 0 {
		t.Errorf("%d requests sent to try", h.sends)
	}
	h.now = 3100 * time.Millisecond
	h.arrive("/send/1", key)
	if h.forward == nil || h.forward.Upstream.Name != "d" {
		t.Fatalf("forward %+v after the first pause, want one to d", h.forward)
	}
	first := h.forward
	h.apply(event.SiteArrived{Ticket: 2, Request: model.SiteRequest{
		ID: "s", Host: "h", Path: "/send/1", HasKey: true, KeyHash: key, ArrivedAt: startTime.Add(h.now),
		CallerDeadline: startTime.Add(h.now + time.Second),
	}})
	if d, _ := h.lastDecline(); h.forward != first || d.Reason != model.UpstreamsPaused {
		t.Errorf("forward %+v, decline %+v; want one request at first", h.forward, d)
	}
}

// TestPauseAnswer guards against another request to the upstream that asked for a pause
// with its refusal, and against a refusal that is repeated outside the rules for it.
func TestPauseAnswer(t *testing.T) {
	h := newHarness()
	h.arrive("/send/1", key)
	first := h.forward.Upstream.Name
	h.pause(2, first)
	h.endAttempt(event.ForwardEnded{Outcome: model.Rejected, Status: 503})
	if h.forward == nil || h.forward.Upstream.Name == first {
		t.Fatalf("forward %+v, want one to another upstream", h.forward)
	}
	h.endAttempt(event.ForwardEnded{Outcome: model.Completed, Status: 200})
	for i := range 30 {
		h.arrive("/read/1", key)
		if h.forward == nil || h.forward.Upstream.Name == first {
			t.Fatalf("request %d: forward %+v, want one to another upstream", i, h.forward)
		}
		h.endAttempt(event.ForwardEnded{Outcome: model.Completed, Status: 200})
	}
}

// TestLastPause guards against callers that come back too early because the last upstream
// that a request was sent to is the one that makes all of them want a pause.
func TestLastPause(t *testing.T) {
	h := newHarness()
	h.arrive("/send/1", key)
	for range 4 {
		if h.forward == nil {
			t.Fatal("refused although an upstream is left")
		}
		h.pause(2, h.forward.Upstream.Name)
		h.endAttempt(event.ForwardEnded{Outcome: model.Rejected, Status: 503})
	}
	d, _ := h.lastDecline()
	if d.Reason != model.UpstreamsPaused || d.Execution != model.NotRun || d.RetryAt.Before(startTime.Add(2*time.Second)) {
		t.Errorf("decline %+v; want UpstreamsPaused, not run, after 2 s", d)
	}
}

// TestPausedSource guards against copies of a KV cache from an engine that wants
// nothing, and against a request that fails for lack of it.
func TestPausedSource(t *testing.T) {
	h := newEngineHarness()
	h.arriveWithPrompt("/once/1")
	h.pause(2, h.forward.Upstream.Name)
	h.endAttempt(event.ForwardEnded{Outcome: model.Completed, Handle: "kv"})
	if h.forward == nil || h.forward.Step != model.StepRun || h.forward.Source != "" {
		t.Fatalf("forward %+v, want a run without the KV cache of an engine that wants nothing", h.forward)
	}
	u, _ := h.fleet.Get(h.forward.Upstream.Name)
	if u.Role == model.RolePrefill || u.PromptBacklog() == 0 {
		t.Errorf("the run is at %s, which has no prompt to compute", u.Name)
	}
}

// TestPausedDecoders guards against prompts that are computed although no engine can
// generate tokens, and against prompts that are refused because only those engines want a
// pause that compute prompts alone.
func TestPausedDecoders(t *testing.T) {
	h := newEngineHarness()
	h.pause(2, "p0", "p1", "p2")
	h.arriveWithPrompt("/once/1")
	if h.forward == nil || h.forward.Step != model.StepRun {
		t.Fatalf("forward %+v, want a run at an engine that also computes the prompt", h.forward)
	}
	h = newEngineHarness()
	h.pause(2, "p3", "p4", "p5")
	h.arriveWithPrompt("/once/1")
	if d, _ := h.lastDecline(); h.forward != nil || d.Reason != model.UpstreamsPaused {
		t.Errorf("forward %+v, decline %+v; want UpstreamsPaused", h.forward, d)
	}
}

// TestStreamReturn guards against a return after a pause that waits for the end of the
// first stream, and against one that counts a stream which failed as served.
func TestStreamReturn(t *testing.T) {
	for status, want := range map[int]int{200: 3, 500: 1} {
		h := newHarness()
		h.pause(1, "a", "b", "c")
		h.pause(0.5, "d")
		h.now = 600 * time.Millisecond
		h.arrive("/stream/1", key)
		h.apply(event.ForwardBegan{Ticket: 1, Attempt: 1, Status: status})
		for ticket := range model.Ticket(8) {
			h.apply(event.SiteArrived{Ticket: ticket + 2, Request: model.SiteRequest{
				ID: model.RequestID(fmt.Sprint(ticket)), Host: "h", Path: "/stream/1", HasKey: true, KeyHash: key,
				ArrivedAt: startTime.Add(h.now), CallerDeadline: startTime.Add(h.now + time.Second),
			}})
		}
		if h.sends != want {
			t.Errorf("status %d: %d requests in all, want %d", status, h.sends, want)
		}
	}
}
