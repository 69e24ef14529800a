package serve_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/fleet"
	"caroblane/core/model"
	"caroblane/core/serve"
	"caroblane/core/site"
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

// pendingSend is an attempt between its placement and the end of its answer.
type pendingSend struct {
	forward effect.Forward
	sent    bool
}

// notices is a node with many requests at upstreams that leave and come back as other
// processes. It counts what reaches an upstream against its word.
type notices struct {
	t       *rapid.T
	serve   serve.State
	site    site.State
	fleet   fleet.State
	now     time.Duration
	entries map[model.UpstreamName]model.Upstream
	removed map[model.UpstreamName]bool
	// left has the instances that said that they are leaving.
	left     map[model.UpstreamInstance]bool
	revision model.Version
	tickets  model.Ticket
	open     map[model.Ticket]*pendingSend
	replies  map[model.Ticket]int
	sends    int
	seq      uint64
}

func newNotices(t *rapid.T) *notices {
	h := newEngineHarness()
	n := &notices{
		t: t, serve: h.serve, site: h.site, fleet: fleet.New(), revision: 9, entries: map[model.UpstreamName]model.Upstream{},
		removed: map[model.UpstreamName]bool{}, left: map[model.UpstreamInstance]bool{},
		open: map[model.Ticket]*pendingSend{}, replies: map[model.Ticket]int{},
	}
	for _, u := range h.fleet.Upstreams() {
		u.Incarnation = 1
		n.entries[u.Name] = u
	}
	for _, name := range []model.UpstreamName{"a", "b", "c", "d"} {
		n.entries[name] = model.Upstream{Name: name, Address: string(name), Kind: model.UpstreamPlain, Slots: 6, Service: "app", Incarnation: 1}
	}
	n.list()
	return n
}

// list lets the node read the registry.
func (n *notices) list() {
	n.revision++
	read := event.UpstreamsRead{Revision: n.revision}
	for _, name := range n.names() {
		if !n.removed[name] {
			read.Upstreams = append(read.Upstreams, n.entries[name])
		}
	}
	n.apply(read)
}

func (n *notices) names() []model.UpstreamName {
	return []model.UpstreamName{"a", "b", "c", "d", "p0", "p1", "p2", "p3", "p4", "p5"}
}

func (n *notices) apply(e event.Event) {
	pending := []event.Event{e}
	for len(pending) > 0 {
		in := (&harness{now: n.now}).in(pending[0])
		pending = pending[1:]
		if asked, ok := in.Event.(event.QuotaAsked); ok {
			pending = append(pending, event.QuotaGranted{Ticket: asked.Ticket})
			continue
		}
		n.fleet, _ = n.fleet.Apply(in)
		var out serve.Out
		n.serve, out = n.serve.Apply(in, serve.Facts{
			Site: n.site, Fleet: n.fleet, Nodes: 2, Zone: "z", Random: in.Random, At: in.At, Initialized: true,
		})
		pending = append(pending, out.Raised...)
		for _, f := range out.Effects {
			n.handle(f)
		}
	}
}

func (n *notices) handle(f effect.Effect) {
	switch f := f.(type) {
	case effect.Forward:
		n.open[f.Ticket] = &pendingSend{forward: f}
		n.check(f.Upstream, "placed")
	case effect.Reply:
		n.replies[f.To()]++
	}
}

// check fails if an upstream gets something that it said it does not want.
func (n *notices) check(u model.Upstream, what string) {
	if n.left[instanceOf(u)] {
		n.t.Fatalf("%s at %s/%d, which is leaving", what, u.Name, u.Incarnation)
	}
}

// end ends an attempt, and applies first what its answer said of the upstream.
func (n *notices) end(ticket model.Ticket, e event.ForwardEnded) {
	e.Ticket, e.Attempt = ticket, n.open[ticket].forward.Attempt
	delete(n.open, ticket)
	n.apply(e)
}

// pick draws one of the open attempts that are sent, or not.
func (n *notices) pick(sent bool) (model.Ticket, bool) {
	for ticket := model.Ticket(1); ticket <= n.tickets; ticket++ {
		if p, found := n.open[ticket]; found && p.sent == sent && rapid.IntRange(0, 2).Draw(n.t, "skip") > 0 {
			return ticket, true
		}
	}
	return 0, false
}

func (n *notices) arrive() {
	n.tickets++
	path := rapid.SampledFrom([]string{"/send/", "/read/", "/resume/", "/once/", "/twice/"}).Draw(n.t, "path")
	n.apply(event.SiteArrived{Ticket: n.tickets, Request: model.SiteRequest{
		ID: model.RequestID(fmt.Sprint(n.tickets)), Host: "h", Path: path + "1", HasKey: true, KeyHash: key, PromptTokens: 4000,
		HasTokenCounts: true, Fingerprint: uint64(n.tickets), Parts: []model.PromptPart{{Hash: 5, Tokens: 3000}, {Hash: uint64(n.tickets), Tokens: 1000}},
		ArrivedAt: startTime.Add(n.now), CallerDeadline: startTime.Add(n.now + 5*time.Second),
	}})
}

// send does what the node does before it sends a request: it asks once more whether
// the upstream wants it.
func (n *notices) send() {
	ticket, found := n.pick(false)
	if !found {
		return
	}
	p := n.open[ticket]
	if n.fleet.Withheld(p.forward.Upstream) {
		n.end(ticket, event.ForwardEnded{Outcome: model.NotSent, Withheld: true})
		return
	}
	n.check(p.forward.Upstream, "sent")
	p.sent = true
	n.sends++
}

func (n *notices) answer() {
	ticket, found := n.pick(true)
	if !found {
		return
	}
	u := n.open[ticket].forward.Upstream
	e := event.ForwardEnded{Outcome: rapid.SampledFrom([]model.Outcome{
		model.Completed, model.Rejected, model.Broken, model.CallerLeft,
	}).Draw(n.t, "outcome"), Handle: "kv"}
	if e.Outcome != model.Broken && rapid.IntRange(0, 5).Draw(n.t, "leaving") == 0 {
		n.left[instanceOf(u)] = true
		n.apply(event.UpstreamLeaving{Instance: instanceOf(u)})
	}
	n.end(ticket, e)
}

func (n *notices) changeRegistry() {
	name := rapid.SampledFrom(n.names()).Draw(n.t, "name")
	u := n.entries[name]
	switch rapid.IntRange(0, 5).Draw(n.t, "change") {
	case 0:
		n.list()
	case 1:
		n.apply(event.RegistryFailed{})
	case 2:
		n.revision++
		n.removed[name] = true
		n.apply(event.UpstreamRemoved{Revision: n.revision, Name: name})
	case 3:
		n.revision++
		n.removed[name] = false
		n.apply(event.UpstreamRegistered{Revision: n.revision, Upstream: u})
	case 4:
		n.revision++
		u.Incarnation++
		n.entries[name], n.removed[name] = u, false
		n.apply(event.UpstreamRegistered{Revision: n.revision, Upstream: u})
	case 5:
		// A peer relays a list that is older than what the node knows.
		n.apply(event.UpstreamsRead{Revision: n.revision - 1, Upstreams: []model.Upstream{u}})
	}
}

// TestNotices guards, over random series of answers, registry changes, reloads and ends
// of processes, against requests to an upstream after it said that it is leaving,
// against requests without an answer, and against upstreams that get nothing because
// of what an earlier process said.
func TestNotices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNotices(t)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			n.now += time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond
			if next := n.fleet.Next(); !next.IsZero() && !startTime.Add(n.now).Before(next) {
				n.apply(event.Tick{})
			}
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0, 1, 2:
				n.arrive()
			case 3, 4:
				n.send()
			case 5, 6, 7:
				n.answer()
			case 8:
				n.changeRegistry()
			case 9:
				n.seq++
				n.apply(event.AnnounceArrived{Report: model.Report{
					Member: model.Member{Name: "n", Incarnation: 1}, Seq: n.seq,
					LeavingUpstreams: []model.UpstreamInstance{instanceOf(n.entries[rapid.SampledFrom(n.names()).Draw(t, "hinted")])},
				}})
				n.apply(event.SettingsChanged{Bounds: bounds})
			}
		}
		n.finish()
	})
}

// finish answers all open requests, and checks that new processes get requests.
func (n *notices) finish() {
	for range 200 {
		for ticket := model.Ticket(1); ticket <= n.tickets; ticket++ {
			p, found := n.open[ticket]
			switch {
			case !found:
			case n.fleet.Withheld(p.forward.Upstream) && !p.sent:
				n.end(ticket, event.ForwardEnded{Outcome: model.NotSent, Withheld: true})
			default:
				n.end(ticket, event.ForwardEnded{Outcome: model.Completed, Handle: "kv"})
			}
		}
	}
	for ticket := model.Ticket(1); ticket <= n.tickets; ticket++ {
		if n.replies[ticket] == 0 {
			n.t.Fatalf("request %d got no reply", ticket)
		}
	}
	for _, name := range n.names() {
		u := n.entries[name]
		u.Incarnation++
		n.entries[name], n.removed[name] = u, false
	}
	n.now += 10 * time.Second
	n.list()
	for _, name := range n.names() {
		if u, _ := n.fleet.Get(name); !u.Usable(startTime.Add(n.now)) {
			n.t.Fatalf("the new process of %s gets no requests", name)
		}
	}
}
