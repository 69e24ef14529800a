package serve_test

import (
	"testing"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

// suspectHarness sends requests with parts of prompts, each of its own content.
type suspectHarness struct {
	*harness
	sent uint64
}

// arriveWith sends a request whose prompt has the given parts.
func (h *suspectHarness) arriveWith(path string, ids ...uint64) {
	h.sent++
	h.now += time.Second / 2
	h.forward, h.replies = nil, nil
	h.site, _ = h.site.Apply(h.in(event.SiteRead{SentAt: startTime.Add(h.now), Revision: 3}))
	request := model.SiteRequest{
		ID: "r", Host: "h", Path: path, HasKey: true, KeyHash: key, Fingerprint: 1000 + h.sent,
		ArrivedAt: startTime.Add(h.now), CallerDeadline: startTime.Add(h.now + 2*time.Second),
	}
	for _, id := range ids {
		request.Parts = append(request.Parts, model.PromptPart{Hash: h.sent, ID: id, Tokens: 100})
	}
	h.apply(event.SiteArrived{Ticket: 1, Request: request})
}

// crash ends the attempt by a crash of its upstream, which then has another process.
func (h *suspectHarness) crash() {
	u := h.forward.Upstream
	u.Incarnation++
	h.endAttempt(event.ForwardEnded{Outcome: model.Broken, Crashed: true})
	h.apply(event.UpstreamRegistered{Upstream: u, Revision: model.Version(h.sent) + 10})
}

// answer lets the answer begin and completes it.
func (h *suspectHarness) answer() {
	h.apply(event.ForwardBegan{Ticket: 1, Attempt: h.forward.Attempt})
	h.endAttempt(event.ForwardEnded{Outcome: model.Completed, Status: 200})
}

// requireHeld checks that the request was refused because the part 2 is held.
func (h *suspectHarness) requireHeld(t *testing.T, execution model.Execution) {
	t.Helper()
	d, ok := h.lastDecline()
	if !ok || h.forward != nil || d.Reason != model.CrashingPart || d.Execution != execution || d.Part != 2 {
		t.Fatalf("forwarded %v, declined %v with %v, %v, part %d; want CrashingPart, %v, part 2",
			h.forward != nil, ok, d.Reason, d.Execution, d.Part, execution)
	}
	if wait := d.RetryAt.Sub(startTime.Add(h.now)); wait < time.Second {
		t.Errorf("the caller may come again after %v, want at least 1 s", wait)
	}
}

// TestCrashingPart guards against a part of prompts that crashes one upstream after
// another in requests of which no two are alike, and against a refusal of requests
// that only share other parts with them.
func TestCrashingPart(t *testing.T) {
	h := &suspectHarness{harness: newHarness()}
	h.arriveWith("/send/1", 1, 3, 100)
	h.answer()
	for range 2 {
		h.arriveWith("/send/1", 1, 2, 200+h.sent)
		if h.forward == nil {
			t.Fatal("refused after less than two crashes")
		}
		h.crash()
	}
	h.arriveWith("/send/1", 1, 2, 300)
	h.requireHeld(t, model.NotRun)
	for _, ids := range [][]uint64{{1, 3, 301}, {1, 302}, {4, 303}, {2}} {
		h.arriveWith("/send/1", ids...)
		if h.forward == nil {
			t.Errorf("request with the parts %v was refused", ids)
			continue
		}
		h.answer()
	}
}

// TestLastPartIsNotCounted guards against a request that is refused for a part that
// belongs to it alone, by mistake of a caller who sends the same one again.
func TestLastPartIsNotCounted(t *testing.T) {
	h := &suspectHarness{harness: newHarness()}
	for range 4 {
		h.arriveWith("/send/1", 7)
		if h.forward == nil {
			t.Fatal("refused for its last part")
		}
		h.crash()
	}
}

// TestRepeatOfHeldPart guards against the repeat of a request whose part has just been
// held, and against a refusal that says that it has not run.
func TestRepeatOfHeldPart(t *testing.T) {
	h := &suspectHarness{harness: newHarness()}
	h.arriveWith("/send/1", 2, 100)
	h.crash()
	h.arriveWith("/read/1", 2, 101)
	h.crash()
	h.requireHeld(t, model.OutcomeUnknown)
}

// TestTrialOfHeldPart guards against a part that is never tried again, and against
// several trials at once or after one that failed.
func TestTrialOfHeldPart(t *testing.T) {
	h := &suspectHarness{harness: newHarness()}
	for range 2 {
		h.arriveWith("/send/1", 2, 100+h.sent)
		h.crash()
	}
	failed := false
	for range 2 {
		trial := h.waitForTrial(t)
		h.arriveSecond()
		if h.forward.Ticket != trial.Ticket {
			t.Fatal("a second request runs during the trial")
		}
		if !failed {
			failed = true
			h.crash()
			h.arriveWith("/send/1", 2, 300)
			h.requireHeld(t, model.NotRun)
			continue
		}
		h.answer()
	}
	h.arriveWith("/send/1", 2, 400)
	if h.forward == nil {
		t.Error("refused after a sound trial")
	}
}

// waitForTrial sends requests with the part 2 until one is let through.
func (h *suspectHarness) waitForTrial(t *testing.T) effect.Forward {
	t.Helper()
	for range 100 {
		h.arriveWith("/send/1", 2, 200+h.sent)
		if h.forward != nil {
			return *h.forward
		}
		h.requireHeld(t, model.NotRun)
	}
	t.Fatal("no trial within 50 s")
	return effect.Forward{}
}

// arriveSecond sends another request with the part 2 while one is running.
func (h *suspectHarness) arriveSecond() {
	h.apply(event.SiteArrived{Ticket: 2, Request: model.SiteRequest{
		ID: "s", Host: "h", Path: "/send/1", HasKey: true, KeyHash: key, Fingerprint: 5,
		Parts:     []model.PromptPart{{ID: 2, Tokens: 100}, {ID: 9, Tokens: 10}},
		ArrivedAt: startTime.Add(h.now), CallerDeadline: startTime.Add(h.now + time.Second),
	}})
}

// TestStartedAnswer guards against blaming a request whose answer was under way when
// its upstream crashed.
func TestStartedAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration
		want  bool
	}{
		"at the start":   {10 * time.Millisecond, true},
		"past the start": {time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := &suspectHarness{harness: newHarness()}
			for range 3 {
				h.arriveWith("/stream/1", 2, 100+h.sent)
				if h.forward == nil {
					break
				}
				h.apply(event.ForwardBegan{Ticket: 1, Attempt: h.forward.Attempt})
				h.now += c.after
				h.crash()
			}
			h.arriveWith("/stream/1", 2, 300)
			if held := h.forward == nil; held != c.want {
				t.Errorf("held: %v, want %v", held, c.want)
			}
		})
	}
}
