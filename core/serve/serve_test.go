package serve_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/fleet"
	"caroblane/core/model"
	"caroblane/core/serve"
	"caroblane/core/site"
	"caroblane/core/step"
)

var (
	startTime = time.Unix(1_800_000_000, 0)
	bounds    = model.Bounds{RevocationDelay: 5 * time.Second, RetryRatio: 0.2, RetrySlack: 40, RetryWindow: 10 * time.Second}
	key       = model.KeyHash{1}
)

// newSite returns a site with a route for each kind of request.
func newSite() *model.Site {
	route := func(name string, repeat model.Repeat, stream bool, attempts int) model.SiteRoute {
		return model.SiteRoute{
			Name: model.RouteName(name), Host: "h", Prefix: "/" + name + "/", Repeat: repeat, Stream: stream,
			Services: []model.Share{{Service: "app", Weight: 1}}, Timeout: 2 * time.Second, Attempts: attempts,
		}
	}
	public := route("open", model.RepeatFreely, false, 2)
	public.Public = true
	return &model.Site{
		Revision: 3,
		Routes: []model.SiteRoute{
			route("read", model.RepeatFreely, false, 3), route("send", model.RepeatNever, false, 3),
			route("stream", model.RepeatNever, true, 3), route("resume", model.RepeatResumed, true, 2), public,
		},
		Services: map[model.ServiceName]model.Service{"app": {Name: "app"}},
		Accounts: map[model.AccountName]model.SiteAccount{"x": {Name: "x"}},
		Keys:     map[model.KeyHash]model.AccountName{key: "x"},
	}
}

// harness drives a state together with the components that it depends on.
type harness struct {
	serve serve.State
	site  site.State
	fleet fleet.State
	now   time.Duration
	// forward is the running attempt, and replies holds what the caller
	// received.
	forward *effect.Forward
	replies []effect.Reply
	sends   int
	// reports is the number of reports of silence, and abandoned is set once the
	// running attempt is to be given up.
	reports   int
	abandoned bool
	// effects are those of the last event.
	effects []effect.Effect
}

func newHarness() *harness {
	h := &harness{serve: serve.New(bounds), site: site.New(bounds), fleet: fleet.New()}
	var upstreams []model.Upstream
	for _, name := range []model.UpstreamName{"a", "b", "c", "d"} {
		upstreams = append(upstreams, model.Upstream{Name: name, Address: string(name), Slots: 6, Service: "app"})
	}
	h.site, _ = h.site.Apply(h.in(event.SiteRead{SentAt: startTime, Revision: 3, Site: newSite()}))
	h.fleet, _ = h.fleet.Apply(h.in(event.UpstreamsRead{Revision: 3, Upstreams: upstreams}))
	return h
}

func (h *harness) in(e event.Event) step.Input[event.Event] {
	return step.Input[event.Event]{At: startTime.Add(h.now), Event: e, Random: uint64(h.now)*0x9e3779b97f4a7c15 + 1}
}

func (h *harness) apply(e event.Event) {
	pending := []event.Event{e}
	h.effects = nil
	for len(pending) > 0 {
		in := h.in(pending[0])
		pending = pending[1:]
		if asked, ok := in.Event.(event.QuotaAsked); ok {
			pending = append(pending, event.QuotaGranted{Ticket: asked.Ticket})
			continue
		}
		h.fleet, _ = h.fleet.Apply(in)
		var out serve.Out
		h.serve, out = h.serve.Apply(in, serve.View{
			Site: h.site, Fleet: h.fleet, Nodes: 2, Zone: "z", Random: in.Random, At: in.At, Initialized: h.site.HasConfig(),
		})
		pending = append(pending, out.Raised...)
		h.effects = append(h.effects, out.Effects...)
		for _, f := range out.Effects {
			if forward, ok := f.(effect.Forward); ok {
				h.forward = &forward
				h.sends++
				h.reports, h.abandoned = 0, false
			} else if e, ok := f.(effect.AbandonAttempt); ok {
				h.abandoned = h.forward != nil && e.Attempt == h.forward.Attempt && e.Report == h.reports
			} else if reply, ok := f.(effect.Reply); ok {
				h.replies = append(h.replies, reply)
			}
		}
	}
}

func (h *harness) arrive(path string, hash model.KeyHash) {
	h.apply(event.SiteArrived{Ticket: 1, Request: model.SiteRequest{
		ID: "r", Host: "h", Path: path, HasKey: hash != model.KeyHash{}, KeyHash: hash, Fingerprint: 9,
		ArrivedAt: startTime.Add(h.now), CallerDeadline: startTime.Add(h.now + time.Second),
	}})
}

func (h *harness) endAttempt(e event.ForwardEnded) {
	e.Ticket, e.Attempt = 1, h.forward.Attempt
	h.forward = nil
	h.apply(e)
}

// lastDecline returns the last refusal that the caller received.
func (h *harness) lastDecline() (effect.Decline, bool) {
	if len(h.replies) == 0 {
		return effect.Decline{}, false
	}
	d, ok := h.replies[len(h.replies)-1].(effect.Decline)
	return d, ok
}

// TestAdmission guards against running a request without a key or a route, with a key
// that was withdrawn, also on a route that requires none, and against a node with stale
// or missing configuration that reports a key or a route as unknown.
func TestAdmission(t *testing.T) {
	for name, c := range map[string]struct {
		path      string
		key       model.KeyHash
		after     time.Duration
		want      model.Reason
		forwarded bool
		account   model.AccountName
	}{
		"proper":                        {path: "/read/1", key: key, forwarded: true, account: "x"},
		"no key":                        {path: "/read/1", want: model.MissingKey},
		"unknown key":                   {path: "/read/1", key: model.KeyHash{2}, want: model.KeyUnknown},
		"unknown route":                 {path: "/none/1", key: key, want: model.UnknownRoute},
		"public route without key":      {path: "/open/1", forwarded: true},
		"public route with key":         {path: "/open/1", key: key, forwarded: true, account: "x"},
		"public route with unknown key": {path: "/open/1", key: model.KeyHash{2}, want: model.KeyUnknown},
		"stale":                         {path: "/read/1", key: key, after: 6 * time.Second, want: model.NotFresh},
		"stale, unknown key":            {path: "/read/1", key: model.KeyHash{2}, after: 6 * time.Second, want: model.NotFresh},
		"stale, public route":           {path: "/open/1", after: 6 * time.Second, forwarded: true},
		"stale, public route with key":  {path: "/open/1", key: key, after: 6 * time.Second, want: model.NotFresh},
		"stale, unknown route":          {path: "/none/1", key: key, after: 6 * time.Second, want: model.NotFresh},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			h.now = c.after
			h.arrive(c.path, c.key)
			if (h.forward != nil) != c.forwarded {
				t.Fatalf("forwarded: %v, want %v", h.forward != nil, c.forwarded)
			}
			if d, _ := h.lastDecline(); !c.forwarded && (d.Reason != c.want || d.Execution != model.NotRun) {
				t.Errorf("declined with reason %v, execution %v; want %v, NotRun", d.Reason, d.Execution, c.want)
			}
			if c.forwarded && h.forward.Account != c.account {
				t.Errorf("runs for account %q, want %q", h.forward.Account, c.account)
			}
		})
	}
	empty := &harness{serve: serve.New(bounds), site: site.New(bounds), fleet: fleet.New()}
	empty.arrive("/none/1", key)
	if d, _ := empty.lastDecline(); d.Reason != model.NotFresh {
		t.Errorf("a node without configuration declines with %v, want NotFresh", d.Reason)
	}
}

// TestRepeat guards against running a request twice and against refusals with a
// wrong reason or execution, for each way that an attempt can end.
func TestRepeat(t *testing.T) {
	for name, c := range map[string]struct {
		path  string
		ended event.ForwardEnded
		// retried is set if the request goes to another upstream. Otherwise
		// reason and execution are those of the refusal.
		retried   bool
		reason    model.Reason
		execution model.Execution
	}{
		"send, not sent":              {path: "/send/1", ended: event.ForwardEnded{Outcome: model.NotSent}, retried: true},
		"send, rejected":              {path: "/send/1", ended: event.ForwardEnded{Outcome: model.Rejected, Status: 503}, retried: true},
		"send, broken":                {path: "/send/1", ended: event.ForwardEnded{Outcome: model.Broken}, reason: model.UpstreamLost, execution: model.OutcomeUnknown},
		"send, expired":               {path: "/send/1", ended: event.ForwardEnded{Outcome: model.Broken, Expired: true}, reason: model.DeadlineExceeded, execution: model.OutcomeUnknown},
		"send, unconfirmed":           {path: "/send/1", ended: event.ForwardEnded{Outcome: model.Unconfirmed, Status: 503}, reason: model.UpstreamLost, execution: model.OutcomeUnknown},
		"read, unconfirmed":           {path: "/read/1", ended: event.ForwardEnded{Outcome: model.Unconfirmed, Status: 429}, retried: true},
		"stream, unconfirmed":         {path: "/stream/1", ended: event.ForwardEnded{Outcome: model.Unconfirmed, Status: 408}, reason: model.UpstreamLost, execution: model.OutcomeUnknown},
		"resumable, unconfirmed":      {path: "/resume/1", ended: event.ForwardEnded{Outcome: model.Unconfirmed, Status: 503}, retried: true},
		"read, broken":                {path: "/read/1", ended: event.ForwardEnded{Outcome: model.Broken}, retried: true},
		"read, failed":                {path: "/read/1", ended: event.ForwardEnded{Outcome: model.Failed, Status: 500}, retried: true},
		"stream, broken":              {path: "/stream/1", ended: event.ForwardEnded{Outcome: model.Broken}, reason: model.UpstreamLost, execution: model.OutcomeUnknown},
		"stream, broken midway":       {path: "/stream/1", ended: event.ForwardEnded{Outcome: model.Broken, Passed: true, LastEvent: "4"}, reason: model.StreamTruncated, execution: model.OutcomeUnknown},
		"resumable, broken midway":    {path: "/resume/1", ended: event.ForwardEnded{Outcome: model.Broken, Passed: true, LastEvent: "4"}, retried: true},
		"resumable, no event known":   {path: "/resume/1", ended: event.ForwardEnded{Outcome: model.Broken, Passed: true}, reason: model.StreamTruncated, execution: model.OutcomeUnknown},
		"resumable, broken at start":  {path: "/resume/1", ended: event.ForwardEnded{Outcome: model.Broken}, retried: true},
		"resumable, deadline reached": {path: "/resume/1", ended: event.ForwardEnded{Outcome: model.Broken, Expired: true}, reason: model.DeadlineExceeded, execution: model.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			h.arrive(c.path, key)
			first := h.forward.Upstream.Name
			h.endAttempt(c.ended)
			if (h.forward != nil) != c.retried {
				t.Fatalf("retried: %v, want %v", h.forward != nil, c.retried)
			}
			if c.retried && h.forward.Upstream.Name == first {
				t.Errorf("forwarded to %q twice", first)
			}
			if c.retried && h.forward.LastEvent != c.ended.LastEvent {
				t.Errorf("resumes after event %q, want %q", h.forward.LastEvent, c.ended.LastEvent)
			}
			if d, _ := h.lastDecline(); !c.retried && (d.Reason != c.reason || d.Execution != c.execution) {
				t.Errorf("declined with reason %v, execution %v; want %v, %v", d.Reason, d.Execution, c.reason, c.execution)
			}
		})
	}
}

// TestEnds guards, over random sequences of attempts, against running a
// non-repeatable request more than once, reporting NotRun after a run,
// exceeding the attempts of the route, replying twice and never ending.
func TestEnds(t *testing.T) {
	outcomes := []model.Outcome{
		model.Completed, model.NotSent, model.Rejected, model.Broken, model.Failed, model.Unconfirmed,
	}
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness()
		path := rapid.SampledFrom([]string{"/send/1", "/read/1", "/stream/1", "/resume/1"}).Draw(t, "path")
		attempts := map[string]int{"/send/1": 1, "/read/1": 3, "/stream/1": 1, "/resume/1": 2}[path]
		h.arrive(path, key)
		runs := 0
		for range 20 {
			if h.forward == nil {
				break
			}
			h.now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			e := event.ForwardEnded{Outcome: rapid.SampledFrom(outcomes).Draw(t, "outcome")}
			if e.Outcome == model.Failed && !h.forward.Retry {
				e.Outcome = model.Completed
			}
			if e.Outcome != model.NotSent && e.Outcome != model.Rejected {
				runs++
			}
			if e.Outcome == model.Broken && h.forward.Stream {
				e.Passed = rapid.Bool().Draw(t, "passed")
			}
			h.endAttempt(e)
		}
		if h.forward != nil || h.serve.Open() != 0 {
			t.Fatal("the request has not ended")
		}
		if runs > attempts {
			t.Fatalf("%s ran %d times, want at most %d", path, runs, attempts)
		}
		if len(h.replies) != 1 {
			t.Fatalf("the caller received %d replies, want 1: %v", len(h.replies), h.replies)
		}
		if d, ok := h.lastDecline(); ok && d.Execution == model.NotRun && runs > 0 {
			t.Fatalf("declined with NotRun after %d runs", runs)
		}
	})
}

// TestCrashingRequest guards against a request that crashes one upstream after
// another.
func TestCrashingRequest(t *testing.T) {
	h := newHarness()
	sent := 0
	for range 6 {
		h.now += 100 * time.Millisecond
		h.arrive("/send/1", key)
		if h.forward == nil {
			break
		}
		sent++
		h.endAttempt(event.ForwardEnded{Outcome: model.Broken, Crashed: true})
	}
	if sent > 3 {
		t.Errorf("request crashed %d upstreams, want at most 3", sent)
	}
	if d, _ := h.lastDecline(); d.Reason != model.CrashSuspect {
		t.Errorf("declined with %v, want CrashSuspect", d.Reason)
	}
}

// TestCrashingRequestIsNotInvitedBack guards against a Retry-After of a fraction of a
// second in the refusal to repeat a request that crashed two upstreams.
func TestCrashingRequestIsNotInvitedBack(t *testing.T) {
	h := newHarness()
	h.arrive("/read/1", key)
	for range 2 {
		h.endAttempt(event.ForwardEnded{Outcome: model.Broken, Crashed: true})
	}
	d, _ := h.lastDecline()
	if d.Reason != model.CrashSuspect || d.Execution != model.OutcomeUnknown || !d.RetryAt.IsZero() {
		t.Errorf("declined with %v, %v, and retry after %v; want CrashSuspect, OutcomeUnknown, and none", d.Reason, d.Execution, d.RetryAt.Sub(startTime))
	}
}

// TestEndOfLeaving guards against requests and parts of prompts that are taken for the cause
// of crashes because the upstreams that ran them had said that they are leaving, and ended.
func TestEndOfLeaving(t *testing.T) {
	for _, leaving := range []bool{true, false} {
		h := newHarness()
		parts := []model.PromptPart{{Hash: 1, ID: 1, Tokens: 10}, {Hash: 2, ID: 2, Tokens: 10}}
		for i := range 3 {
			h.now += 100 * time.Millisecond
			h.forward = nil
			h.apply(event.SiteArrived{Ticket: 1, Request: model.SiteRequest{
				ID: "r", Host: "h", Path: "/send/1", HasKey: true, KeyHash: key, Fingerprint: 9, Parts: parts,
				ArrivedAt: startTime.Add(h.now), CallerDeadline: startTime.Add(h.now + time.Second),
			}})
			if sent, want := h.forward != nil, leaving || i < 2; sent != want {
				t.Errorf("leaving %v, %d ends: request sent %v, want %v", leaving, i, sent, want)
			}
			if h.forward == nil {
				break
			}
			if leaving {
				h.apply(event.UpstreamLeaving{Instance: model.UpstreamInstance{Name: h.forward.Upstream.Name}})
			}
			h.endAttempt(event.ForwardEnded{Outcome: model.Broken, Crashed: true})
		}
		if crashes := h.serve.Crashes(startTime.Add(h.now)); len(crashes) > 0 == leaving {
			t.Errorf("leaving %v: crashes counted %v", leaving, crashes)
		}
	}
}

// TestCallerGone guards against work that continues after the caller has
// disconnected.
func TestCallerGone(t *testing.T) {
	h := newHarness()
	h.arrive("/read/1", key)
	h.endAttempt(event.ForwardEnded{Outcome: model.CallerLeft})
	if h.forward != nil || h.serve.Open() != 0 {
		t.Error("the request continues after its caller disconnected")
	}
	for _, name := range []model.UpstreamName{"a", "b", "c", "d"} {
		if u, _ := h.fleet.Get(name); u.RunningRequests() != 0 {
			t.Errorf("upstream %q still counts %d runs", name, u.RunningRequests())
		}
	}
}

// TestNodesSpread guards against several nodes placing prompts on the same
// engine at the same moment while other engines are idle.
func TestNodesSpread(t *testing.T) {
	const nodes = 9
	h := newHarness()
	var upstreams []model.Upstream
	for i := range 24 {
		u := model.Upstream{
			Name: model.UpstreamName('a' + rune(i)), Kind: model.UpstreamEngine, Slots: 64, Service: "llm", Zone: "z",
			Role: model.RolePrefill,
		}
		if i%3 == 2 {
			u.Role = model.RoleDecode
		}
		upstreams = append(upstreams, u)
	}
	config := newSite()
	config.Services["llm"] = model.Service{Name: "llm", Engine: true}
	config.Routes[2].Services = []model.Share{{Service: "llm", Weight: 1}}
	siteState, _ := site.New(bounds).Apply(h.in(event.SiteRead{SentAt: startTime, Revision: 3, Site: config}))
	fleetState, _ := fleet.New().Apply(h.in(event.UpstreamsRead{Revision: 4, Upstreams: upstreams}))
	prompts := map[model.UpstreamName]int{}
	for rank := range nodes {
		state := serve.New(bounds)
		view := serve.View{Site: siteState, Fleet: fleetState, Nodes: nodes, CellNodes: nodes, Rank: rank, ZoneNodes: nodes, ZoneRank: rank, Zone: "z", Random: 7, At: startTime, Initialized: true}
		state, _ = state.Apply(h.in(event.SiteArrived{Ticket: 1, Request: model.SiteRequest{
			Host: "h", Path: "/stream/1", HasKey: true, KeyHash: key, PromptTokens: 9000, ArrivedAt: startTime,
			CallerDeadline: startTime.Add(time.Second),
		}}), view)
		_, out := state.Apply(h.in(event.QuotaGranted{Ticket: 1}), view)
		for _, f := range out.Effects {
			if forward, ok := f.(effect.Forward); ok {
				prompts[forward.Upstream.Name]++
			}
		}
	}
	if len(prompts) != nodes {
		t.Errorf("%d engines received prompts from %d nodes, want one engine per node: %v", len(prompts), nodes, prompts)
	}
}
