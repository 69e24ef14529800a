package serve_test

import (
	"testing"
	"time"

	"caroblane/core/event"
	"caroblane/core/model"
)

func instanceOf(u model.Upstream) model.UpstreamInstance {
	return model.UpstreamInstance{Name: u.Name, Incarnation: u.Incarnation}
}

// arriveWithPrompt lets a request with a long prompt arrive.
func (h *harness) arriveWithPrompt(path string) {
	h.apply(event.SiteArrived{Ticket: 1, Request: model.SiteRequest{
		ID: "r", Host: "h", Path: path, HasKey: true, KeyHash: key, PromptTokens: 9000, HasTokenCounts: true,
		ArrivedAt: startTime.Add(h.now), CallerDeadline: startTime.Add(h.now + 5*time.Second),
	}})
}

// TestWithheldRun guards against a request whose prompt step is done and that loses its
// only attempt, its KV cache or its caller, because the engine that was to run it said
// meanwhile that it is leaving.
func TestWithheldRun(t *testing.T) {
	h := newEngineHarness()
	h.arriveWithPrompt("/once/1")
	h.endAttempt(event.ForwardEnded{Outcome: model.Completed, Handle: "kv"})
	if h.forward == nil || h.forward.Step != model.StepRun || h.forward.Source == "" {
		t.Fatalf("second attempt %+v, want a run with the KV cache of the prompt", h.forward)
	}
	first, source := h.forward.Upstream, h.forward.Source
	h.apply(event.UpstreamLeaving{Instance: instanceOf(first)})
	h.endAttempt(event.ForwardEnded{Outcome: model.NotSent, Withheld: true})
	if h.forward == nil || h.forward.Upstream.Name == first.Name || h.forward.Source != source {
		t.Fatalf("after the withheld run: %+v, want a run with the same KV cache at another engine", h.forward)
	}
	if u, _ := h.fleet.Get(first.Name); u.RunningRequests() != 0 || u.Avoided(startTime.Add(h.now)) {
		t.Errorf("%d runs are counted at the engine, avoided: %v", u.RunningRequests(), u.Avoided(startTime.Add(h.now)))
	}
	h.endAttempt(event.ForwardEnded{Outcome: model.Completed})
	if _, declined := h.lastDecline(); declined || len(h.replies) == 0 || h.serve.Open() != 0 {
		t.Errorf("replies %+v, want the end of the request", h.replies)
	}
}

// TestWithheldEnds guards against a request that is placed again without end, and
// against one that is refused as if it had run.
func TestWithheldEnds(t *testing.T) {
	h := newHarness()
	h.arrive("/send/1", key)
	for range 4 {
		if h.forward == nil {
			t.Fatal("refused although an upstream is left")
		}
		h.apply(event.UpstreamLeaving{Instance: instanceOf(h.forward.Upstream)})
		h.endAttempt(event.ForwardEnded{Outcome: model.NotSent, Withheld: true})
	}
	if d, _ := h.lastDecline(); h.forward != nil || d.Reason != model.NoUpstream || d.Execution != model.NotRun {
		t.Errorf("forward %+v, decline %+v; want NoUpstream, not run", h.forward, d)
	}
}

// TestLeavingEngines guards against prompts, runs and repeats at engines that are
// leaving, and against recomputing a KV cache that a leaving engine can still provide.
func TestLeavingEngines(t *testing.T) {
	h := newEngineHarness()
	for _, name := range []model.UpstreamName{"p0", "p1", "p3", "p4"} {
		h.apply(event.UpstreamLeaving{Instance: model.UpstreamInstance{Name: name}})
	}
	h.arriveWithPrompt("/twice/1")
	if h.forward == nil || h.forward.Upstream.Name != "p2" {
		t.Fatalf("prompt step %+v, want one at p2", h.forward)
	}
	h.apply(event.UpstreamLeaving{Instance: model.UpstreamInstance{Name: "p2"}})
	h.endAttempt(event.ForwardEnded{Outcome: model.Completed, Handle: "kv"})
	if h.forward == nil || h.forward.Upstream.Name != "p5" || h.forward.Source != "p2/kv" {
		t.Fatalf("run %+v, want one at p5 with the KV cache of p2", h.forward)
	}
	h.apply(event.UpstreamLeaving{Instance: model.UpstreamInstance{Name: "p5"}})
	if h.forward == nil {
		t.Fatal("the running request was ended")
	}
	h.endAttempt(event.ForwardEnded{Outcome: model.Broken})
	if d, _ := h.lastDecline(); h.forward != nil || d.Reason != model.NoUpstream || d.Execution != model.OutcomeUnknown {
		t.Errorf("forward %+v, decline %+v; want no repeat at a leaving engine", h.forward, d)
	}
}

// TestLeavingHint guards against a report of a peer that takes an upstream out, that
// makes requests be refused, or that is ignored.
func TestLeavingHint(t *testing.T) {
	hint := func(seq uint64, names ...model.UpstreamName) event.Event {
		report := model.Report{Member: model.Member{Name: "n", Incarnation: 1}, Seq: seq}
		for _, name := range names {
			report.LeavingUpstreams = append(report.LeavingUpstreams, model.UpstreamInstance{Name: name})
		}
		return event.AnnounceArrived{Report: report}
	}
	for name, c := range map[string]struct {
		hinted  []model.UpstreamName
		allowed map[model.UpstreamName]bool
	}{
		"some": {[]model.UpstreamName{"a", "b", "c"}, map[model.UpstreamName]bool{"d": true}},
		"all":  {[]model.UpstreamName{"a", "b", "c", "d"}, map[model.UpstreamName]bool{"a": true, "b": true, "c": true, "d": true}},
	} {
		h := newHarness()
		h.apply(hint(1, c.hinted...))
		for i := range 8 {
			h.now += time.Millisecond
			h.arrive("/read/1", key)
			if h.forward == nil || !c.allowed[h.forward.Upstream.Name] {
				t.Fatalf("%s: request %d: forward %+v, want one of %v", name, i, h.forward, c.allowed)
			}
			h.endAttempt(event.ForwardEnded{Outcome: model.Completed})
		}
	}
	h := newEngineHarness()
	h.apply(hint(1, "p0", "p1", "p2", "p3", "p4", "p5"))
	h.arriveWithPrompt("/twice/1")
	if h.forward == nil {
		t.Errorf("declined %+v on the word of one peer", h.replies)
	}
}
