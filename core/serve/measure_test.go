package serve_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

// TestWaits guards against waits that are counted under another reason, waits of an
// attempt that failed that are counted as those of the step that served the request, and
// waits that are counted twice.
func TestWaits(t *testing.T) {
	const ms = time.Millisecond
	waits := func(times map[model.WaitReason]time.Duration) model.Waits {
		var w model.Waits
		for reason, wait := range times {
			w = w.With(reason, wait)
		}
		return w
	}
	prefilled := event.ForwardEnded{Outcome: model.Completed, Handle: "h"}
	for name, c := range map[string]struct {
		path   string
		engine bool
		// ended are the ends of the attempts before the one whose response begins, each
		// after 100 ms. That response begins after another 30 ms.
		ended  []event.ForwardEnded
		status int
		want   []effect.MeasureWaits
	}{
		"plain": {
			"/read/1", false, nil, 200,
			[]effect.MeasureWaits{{Route: "read", Waits: waits(map[model.WaitReason]time.Duration{model.WaitQueue: 5 * ms, model.WaitFirstToken: 35 * ms})}},
		},
		"plain, not sent at first": {
			"/read/1", false,
			[]event.ForwardEnded{{Outcome: model.NotSent}},
			200,
			[]effect.MeasureWaits{{Route: "read", Waits: waits(map[model.WaitReason]time.Duration{model.WaitQueue: 105 * ms, model.WaitFirstToken: 135 * ms})}},
		},
		"response that fails": {"/read/1", false, nil, 500, nil},
		"separate prefill": {
			"/twice/1", true,
			[]event.ForwardEnded{prefilled},
			200,
			[]effect.MeasureWaits{{Route: "twice", Waits: waits(map[model.WaitReason]time.Duration{
				model.WaitQueue: 5 * ms, model.WaitPrompt: 100 * ms, model.WaitTransfer: 30 * ms, model.WaitFirstToken: 135 * ms,
			})}},
		},
		"prefill that failed at first": {
			"/twice/1", true,
			[]event.ForwardEnded{{Outcome: model.Broken}, prefilled},
			200,
			[]effect.MeasureWaits{{Route: "twice", Waits: waits(map[model.WaitReason]time.Duration{
				model.WaitQueue: 105 * ms, model.WaitPrompt: 100 * ms, model.WaitTransfer: 30 * ms, model.WaitFirstToken: 235 * ms,
			})}},
		},
		"prompt at the engine that generates": {
			"/once/1", true,
			[]event.ForwardEnded{{Outcome: model.Broken}},
			200,
			[]effect.MeasureWaits{{Route: "once", Waits: waits(map[model.WaitReason]time.Duration{
				model.WaitQueue: 105 * ms, model.WaitPrompt: 30 * ms, model.WaitFirstToken: 135 * ms,
			})}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			if c.engine {
				h = newEngineHarness()
			}
			h.now = 5 * ms
			h.apply(event.SiteArrived{Ticket: 1, Request: model.SiteRequest{
				ID: "r", Host: "h", Path: c.path, HasKey: true, KeyHash: key, PromptTokens: 9000, HasTokenCounts: true,
				ArrivedAt: startTime, CallerDeadline: startTime.Add(5 * time.Second),
			}})
			for _, ended := range c.ended {
				h.now += 100 * ms
				h.endAttempt(ended)
			}
			h.now += 30 * ms
			if h.forward == nil || h.forward.Route == "" {
				t.Fatalf("attempt %+v, want one with its route", h.forward)
			}
			attempt := h.forward.Attempt
			h.apply(event.ForwardBegan{Ticket: 1, Attempt: attempt, Status: c.status})
			got := measured(h.effects)
			h.now += 30 * ms
			h.apply(event.ForwardBegan{Ticket: 1, Attempt: attempt, Status: c.status})
			got = append(got, measured(h.effects)...)
			if diff := cmp.Diff(c.want, got, cmp.AllowUnexported(model.Waits{})); diff != "" {
				t.Errorf("waits (-want +got):\n%s", diff)
			}
		})
	}
}

func measured(effects []effect.Effect) (all []effect.MeasureWaits) {
	for _, e := range effects {
		if waits, ok := e.(effect.MeasureWaits); ok {
			all = append(all, waits)
		}
	}
	return all
}
