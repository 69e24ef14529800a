package edge_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"caroblane/core/edge"
	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

// maxPending is the limit of replies that a request has not read yet: a dispatch, and
// one that is no dispatch beside it. It is far below the capacity of a ticket's channel
// in io/ticket, so that no reply is dropped.
const maxPending = 2

// caller stands in for the goroutine that serves one request.
type caller struct {
	deadline time.Time
	// pending are the replies that it has not read yet.
	pending []effect.Reply
	// running is the attempt in progress, if any, and started is set once the caller
	// has a part of a response.
	running *effect.Forward
	started bool
	// failed is set once an attempt has ended with a response that may be passed on.
	failed bool
	left   bool
	// givenUp is set once a run was given up because its upstream was silent.
	givenUp bool
	// finals counts the replies that end the request, and ended is set once it has
	// read one.
	finals int
	ended  bool
}

// traffic applies events to a node and checks the replies to each request.
type traffic struct {
	state    edge.State
	at       time.Time
	revision model.Version
	site     *model.Site
	callers  map[model.Ticket]*caller
	last     model.Ticket
	seq      uint64
	upSeq    model.Version
}

// apply processes an event and records and checks the replies.
func (h *traffic) apply(t *rapid.T, e event.Event) {
	var effects []effect.Effect
	h.state, effects = h.state.Apply(edge.Input{At: h.at, Random: rapid.Uint64().Draw(t, "random"), Event: e})
	for _, e := range effects {
		reply, ok := e.(effect.Reply)
		if !ok {
			continue
		}
		c := h.callers[reply.To()]
		if c == nil {
			continue
		}
		c.pending = append(c.pending, reply)
		if c.finals > 0 {
			t.Fatalf("ticket %d got %T after a final reply", reply.To(), reply)
		}
		switch r := reply.(type) {
		case effect.Forward:
			if c.running != nil || c.dispatched() > 1 {
				t.Fatalf("ticket %d was dispatched while another attempt was running or dispatched", r.Ticket)
			}
			if r.NotAfter.After(c.deadline) {
				t.Fatalf("ticket %d may run until %v after its deadline", r.Ticket, r.NotAfter.Sub(c.deadline))
			}
		case effect.PassFailure:
			c.final(t, reply)
			if !c.failed || c.started {
				t.Fatalf("ticket %d is to pass on a response that it does not have", r.Ticket)
			}
		case effect.Decline, effect.Finish:
			c.final(t, reply)
		}
		if len(c.pending) > maxPending {
			t.Fatalf("ticket %d has %d unread replies, want at most %d", reply.To(), len(c.pending), maxPending)
		}
	}
	h.check(t)
}

// dispatched returns the number of dispatches that the request has not read.
func (c *caller) dispatched() int {
	n := 0
	for _, reply := range c.pending {
		if _, ok := reply.(effect.Forward); ok {
			n++
		}
	}
	return n
}

// final records a reply that ends the request.
func (c *caller) final(t *rapid.T, reply effect.Reply) {
	c.finals++
	if c.running != nil || c.dispatched() > 0 {
		t.Fatalf("ticket %d got %T while an attempt was running or dispatched", reply.To(), reply)
	}
}

// check verifies that no request is left without a reply or an attempt.
func (h *traffic) check(t *rapid.T) {
	open := 0
	for ticket, c := range h.callers {
		if c.finals == 0 {
			open++
			if c.running == nil && len(c.pending) == 0 && !h.waits(c) {
				t.Fatalf("ticket %d has no attempt and no reply", ticket)
			}
		}
	}
	if got := h.state.Serve().Open(); got != open {
		t.Fatalf("the node has %d open requests, want %d", got, open)
	}
}

// waits reports whether a request may wait for an upstream: one of its runs was given up,
// and the node looks for another one soon.
func (h *traffic) waits(c *caller) bool {
	const interval = 100 * time.Millisecond
	next := h.state.Serve().Next()
	return c.givenUp && !next.IsZero() && !next.After(h.at.Add(interval)) && !next.After(c.deadline)
}

// pick draws the ticket of a request that meets a condition.
func (h *traffic) pick(t *rapid.T, meets func(*caller) bool) (model.Ticket, *caller) {
	var tickets []model.Ticket
	for ticket, c := range h.callers {
		if meets(c) {
			tickets = append(tickets, ticket)
		}
	}
	if len(tickets) == 0 {
		t.Skip("no such request")
	}
	slices.Sort(tickets)
	ticket := rapid.SampledFrom(tickets).Draw(t, "ticket")
	return ticket, h.callers[ticket]
}

// read makes a request read its next reply.
func (h *traffic) read(c *caller) {
	reply := c.pending[0]
	c.pending = c.pending[1:]
	switch r := reply.(type) {
	case effect.Forward:
		c.running = &r
	case effect.PassFailure, effect.Decline, effect.Finish:
		c.ended = true
	}
}

// end ends the running attempt of a request with an outcome.
func (h *traffic) end(t *rapid.T, ticket model.Ticket, c *caller, outcome model.Outcome) {
	f := *c.running
	ended := event.ForwardEnded{Ticket: ticket, Attempt: f.Attempt, Outcome: outcome, Passed: c.started}
	isRun := f.Step == model.StepRun
	switch outcome {
	case model.Completed:
		ended.Status = 200
		if !isRun {
			ended.Handle = "kv"
		}
		c.started = c.started || isRun
	case model.Failed:
		ended.Status = 500
		if isRun && (!f.Retry || c.started) {
			// The executor passes such a response on, or cannot.
			ended.Outcome = model.Broken
		}
	case model.Broken:
		ended.Expired = !h.at.Before(f.NotAfter)
		ended.Stalled = !ended.Expired && rapid.Bool().Draw(t, "stalled")
		ended.Crashed = !ended.Expired && !usually(t, "no crash")
		if isRun && f.Stream && rapid.Bool().Draw(t, "passed") {
			c.started, ended.LastEvent = true, "7"
		}
	case model.Rejected:
		ended.Status, ended.Misdirected = 503, rapid.Bool().Draw(t, "misdirected")
	case model.Unconfirmed:
		ended.Status = 429
	case model.NotSent, model.CallerLeft:
	}
	ended.Passed = c.started
	c.failed = c.failed || isRun && ended.Outcome == model.Failed
	c.running = nil
	c.givenUp = c.givenUp || isRun && ended.Stalled
	h.apply(t, ended)
}

// usually draws true most of the time. Rapid prefers small numbers.
func usually(t *rapid.T, label string) bool { return rapid.IntRange(0, 9).Draw(t, label) < 9 }

// mostly draws the first value most of the time.
func mostly[V any](t *rapid.T, label string, first V, others ...V) V {
	if usually(t, label) {
		return first
	}
	return rapid.SampledFrom(others).Draw(t, "other "+label)
}

// newSite draws a configuration.
func (h *traffic) newSite(t *rapid.T) *model.Site {
	h.revision++
	site := &model.Site{
		Revision: h.revision, Services: map[model.ServiceName]model.Service{},
		Accounts: map[model.AccountName]model.SiteAccount{}, Keys: map[model.KeyHash]model.AccountName{},
	}
	for _, service := range []model.Service{{Name: "app"}, {Name: "llm", Engine: true, TokenBytes: 18432, LinkMbps: 140000}} {
		if usually(t, "keep service") {
			site.Services[service.Name] = service
		}
	}
	for i := range 3 {
		if !usually(t, "keep route") {
			continue
		}
		repeat := rapid.SampledFrom([]model.Repeat{model.RepeatNever, model.RepeatFreely, model.RepeatResumed}).Draw(t, "repeat")
		site.Routes = append(site.Routes, model.SiteRoute{
			Name: model.RouteName(fmt.Sprint(i)), Host: "h", Prefix: fmt.Sprintf("/%d/", i), Repeat: repeat, Stream: repeat == model.RepeatResumed,
			Public: rapid.Bool().Draw(t, "public"), Attempts: 4 - rapid.IntRange(1, 3).Draw(t, "attempts"),
			Timeout:   mostly(t, "timeout", 5*time.Second, time.Millisecond),
			Objective: rapid.SampledFrom([]time.Duration{300 * time.Millisecond, 0}).Draw(t, "objective"),
			Services:  []model.Share{{Service: mostly(t, "service", []model.ServiceName{"app", "llm"}[i%2], "gone"), Weight: 1}},
		})
	}
	for i := range byte(2) {
		name := model.AccountName(fmt.Sprint("account ", i))
		if usually(t, "keep account") {
			site.Accounts[name] = model.SiteAccount{Name: name, Rate: mostly(t, "rate", 1000, 0, 1.0), Burst: 2}
		}
		if usually(t, "keep key") {
			site.Keys[model.KeyHash{i}] = name
		}
	}
	return site
}

func (h *traffic) newUpstream(t *rapid.T) model.Upstream {
	u := model.Upstream{
		Name:  model.UpstreamName(rapid.SampledFrom([]string{"u", "v", "w", "p", "d"}).Draw(t, "upstream")),
		Slots: rapid.IntRange(0, 4).Draw(t, "slots"), Service: "app",
		State: rapid.SampledFrom([]model.UpstreamState{model.UpstreamActive, model.UpstreamDraining}).Draw(t, "state"),
	}
	if rapid.Bool().Draw(t, "engine") {
		u.Service, u.Kind = "llm", model.UpstreamEngine
		u.Role = rapid.SampledFrom([]model.Role{model.RoleBoth, model.RolePrefill, model.RoleDecode}).Draw(t, "role")
	}
	return u
}

func (h *traffic) newReport(t *rapid.T) model.Report {
	h.seq++
	return model.Report{
		Member: model.Member{Name: "peer", Incarnation: 2}, Seq: h.seq, Site: h.revision, Confirmed: true,
		Leaving:     rapid.Bool().Draw(t, "leaving"),
		Admitted:    []model.AccountTotal{{Account: "account 0", Units: float64(h.seq), Recent: 1}},
		Crashes:     []model.CrashRecord{{Fingerprint: uint64(rapid.IntRange(1, 40).Draw(t, "fingerprint")), Crashes: []uint64{rapid.Uint64().Draw(t, "crash")}}},
		Unreachable: []model.UpstreamName{"u"},
	}
}

// advance moves the time and ends the attempts whose deadline has passed.
func (h *traffic) advance(t *rapid.T, d time.Duration) {
	h.at = h.at.Add(d)
	if usually(t, "store answers") {
		h.apply(t, event.SiteRead{SentAt: h.at, Revision: h.revision})
	}
	h.apply(t, event.Tick{})
	for ticket := range h.last {
		c := h.callers[ticket+1]
		for c.finals == 0 && !h.at.Before(c.deadline) {
			if c.running == nil {
				h.read(c)
				continue
			}
			h.end(t, ticket+1, c, model.Broken)
		}
	}
}

// TestFinalReply guards against a request that gets two final replies or none, against
// two attempts of a request at the same time, and against replies that fill its channel,
// whatever happens to the configuration, the upstreams and the peers meanwhile.
func TestFinalReply(t *testing.T) {
	started := newNode(t)
	outcomes := []model.Outcome{
		model.Completed, model.NotSent, model.Rejected, model.Broken, model.CallerLeft, model.Failed, model.Unconfirmed,
	}
	var finals, attempts int
	rapid.Check(t, func(t *rapid.T) {
		h := &traffic{state: started, at: startTime, revision: 1, upSeq: 2, callers: map[model.Ticket]*caller{}}
		h.site = h.newSite(t)
		h.apply(t, event.SiteRead{SentAt: h.at, Revision: h.revision, Site: h.site})
		for _, u := range []model.Upstream{
			{Name: "u", Service: "app", Slots: 6},
			{Name: "v", Service: "app", Slots: 6},
			{Name: "p", Service: "llm", Slots: 6, Kind: model.UpstreamEngine, Role: model.RolePrefill},
			{Name: "d", Service: "llm", Slots: 6, Kind: model.UpstreamEngine, Role: model.RoleDecode},
			{Name: "w", Service: "llm", Slots: 6, Kind: model.UpstreamEngine},
		} {
			h.upSeq++
			h.apply(t, event.UpstreamRegistered{Revision: h.upSeq, Upstream: u})
		}
		isRunning := func(c *caller) bool { return c.running != nil }
		actions := map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				h.last++
				wait := mostly(t, "deadline", time.Minute, time.Second, 0)
				h.callers[h.last] = &caller{deadline: h.at.Add(wait)}
				h.apply(t, event.SiteArrived{Ticket: h.last, Request: model.SiteRequest{
					ID: model.RequestID(fmt.Sprint(h.last)), Host: "h", Path: fmt.Sprintf("/%d/x", mostly(t, "path", int(h.last%3), 3)),
					ArrivedAt: h.at, CallerDeadline: h.at.Add(wait), HasKey: usually(t, "has key"),
					KeyHash: model.KeyHash{mostly(t, "key", byte(h.last%2), 2)}, PromptTokens: rapid.IntRange(0, 9000).Draw(t, "prompt"),
					OutputTokens: 20, Fingerprint: uint64(h.last%10) + 1,
				}})
			},
			"edit": func(t *rapid.T) {
				h.site = h.newSite(t)
				h.apply(t, event.SiteRead{SentAt: h.at, Revision: h.revision, Site: h.site, ByPeer: rapid.Bool().Draw(t, "by a relay")})
			},
			"old edit": func(t *rapid.T) {
				h.apply(t, event.SiteRead{SentAt: h.at, Revision: h.revision - 1, Site: &model.Site{Revision: h.revision - 1}, ByPeer: true})
			},
			"confirm":   func(t *rapid.T) { h.apply(t, event.SiteRead{SentAt: h.at, Revision: h.revision}) },
			"settings":  func(t *rapid.T) { h.apply(t, event.SettingsChanged{Bounds: drawBounds(t)}) },
			"report":    func(t *rapid.T) { h.apply(t, event.AnnounceArrived{Report: h.newReport(t)}) },
			"sync":      func(t *rapid.T) { h.apply(t, event.SyncArrived{Report: h.newReport(t)}) },
			"answer":    func(t *rapid.T) { h.apply(t, event.SyncAnswered{SentAt: h.at, Report: h.newReport(t)}) },
			"peer ends": func(t *rapid.T) { h.apply(t, event.SyncFailed{Peer: "peer", Stopped: true}) },
			"drain": func(t *rapid.T) {
				if usually(t, "no drain") {
					t.Skip("drains are rare")
				}
				h.apply(t, event.DrainAsked{})
			},
			"register": func(t *rapid.T) {
				h.upSeq++
				h.apply(t, event.UpstreamRegistered{Revision: h.upSeq, Upstream: h.newUpstream(t)})
			},
			"remove": func(t *rapid.T) {
				h.upSeq++
				h.apply(t, event.UpstreamRemoved{Revision: h.upSeq, Name: h.newUpstream(t).Name})
			},
			"read": func(t *rapid.T) {
				_, c := h.pick(t, func(c *caller) bool { return len(c.pending) > 0 })
				h.read(c)
			},
			"begin": func(t *rapid.T) {
				ticket, c := h.pick(t, isRunning)
				h.apply(t, event.ForwardBegan{Ticket: ticket, Attempt: c.running.Attempt})
			},
			"end": func(t *rapid.T) {
				ticket, c := h.pick(t, func(c *caller) bool { return c.running != nil || len(c.pending) > 0 })
				if c.running == nil {
					h.read(c)
				}
				if c.running == nil {
					return
				}
				attempts++
				h.end(t, ticket, c, rapid.SampledFrom(outcomes).Draw(t, "outcome"))
			},
			"end again": func(t *rapid.T) {
				ticket, c := h.pick(t, isRunning)
				attempts++
				h.end(t, ticket, c, model.Broken)
			},
			"late end": func(t *rapid.T) {
				ticket, c := h.pick(t, isRunning)
				h.apply(t, event.ForwardEnded{Ticket: ticket, Attempt: c.running.Attempt - 1, Outcome: model.Broken})
			},
			"leave": func(t *rapid.T) {
				ticket, c := h.pick(t, func(c *caller) bool { return !c.left && !c.ended })
				c.left = true
				if c.running == nil {
					h.apply(t, event.CallerGone{Ticket: ticket})
				}
			},
			"time": func(t *rapid.T) {
				h.advance(t, time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms"))*time.Millisecond)
			},
		}
		// Arrivals and ends are drawn more often than the rest.
		for _, name := range []string{"arrive", "end"} {
			actions[name+", second"], actions[name+", third"] = actions[name], actions[name]
		}
		t.Repeat(actions)
		h.advance(t, time.Hour)
		for ticket, c := range h.callers {
			if c.finals != 1 {
				t.Fatalf("ticket %d got %d final replies, want 1", ticket, c.finals)
			}
			finals++
		}
	})
	if finals == 0 || attempts == 0 {
		t.Errorf("%d requests and %d attempts were drawn, want some of each", finals, attempts)
	}
}

// drawBounds draws the bounds of a settings file.
func drawBounds(t *rapid.T) model.Bounds {
	return model.Bounds{
		RevocationDelay: rapid.SampledFrom([]time.Duration{5 * time.Second, time.Millisecond}).Draw(t, "revocation delay"),
		QuotaWindow:     rapid.SampledFrom([]time.Duration{time.Second, 8 * time.Second}).Draw(t, "quota window"),
		UsageWindow:     5 * time.Second, UsageReportDelay: 10 * time.Second,
		RetrySlack: rapid.Float64Range(0, 40).Draw(t, "retry slack"), RetryWindow: 10 * time.Second,
	}
}
