package flow

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"caroblane/core/conf"
	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
)

var startTime = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

var keyHash = model.KeyHash(sha256.Sum256([]byte("key")))

// addresses holds the IP address of each upstream's VM.
var addresses = map[model.UpstreamName]string{
	"p": "127.0.0.1", "e0": "127.0.0.2", "e1": "127.0.0.3", "e2": "127.0.0.4",
}

// record is what an outside observer knows about one request.
type record struct {
	needsClaim bool
	// cheap is set if the account's template allowed cheap upstreams.
	cheap   bool
	claimed bool
	// running is the number of the attempt in progress, or zero.
	running  int
	upstream model.UpstreamName
	// executed is set once an upstream may have run the request.
	executed bool
	replies  int
}

// resumes reports whether a dispatch to an upstream continues a stream there,
// which is not new work.
func (r *record) resumes(name model.UpstreamName) bool {
	return r.executed && !r.needsClaim && r.upstream == name
}

// history applies random events to the state and checks each effect.
type history struct {
	state      State
	conf       conf.State
	at         time.Time
	version    model.Version
	records    map[model.Ticket]*record
	lastTicket model.Ticket
	active     map[model.UpstreamName]bool
	leaving    model.UpstreamName
	stale      bool
	cheap      bool
}

func newHistory(t *rapid.T) *history {
	h := &history{
		state: New(1024), conf: conf.New(), at: startTime, records: map[model.Ticket]*record{},
		active: map[model.UpstreamName]bool{},
	}
	h.configure(t, model.KindModel, "m", model.Model{MaxTokens: 10})
	h.configure(t, model.KindTemplate, "a", model.Template{Rate: 1, Burst: 1})
	h.configure(t, model.KindKey, "k", model.Key{Account: "a", Hash: keyHash})
	h.configure(t, model.KindRoute, "send", model.Route{Prefix: "/send", Upstreams: []model.UpstreamName{"p"}})
	h.configure(t, model.KindUpstream, "p", h.newUpstream("p", model.UpstreamActive))
	for i := range 3 {
		name := model.UpstreamName(fmt.Sprintf("e%d", i))
		h.configure(t, model.KindUpstream, string(name), h.newUpstream(name, model.UpstreamActive))
	}
	return h
}

func (h *history) newUpstream(name model.UpstreamName, state model.UpstreamState) model.Upstream {
	h.active[name] = state == model.UpstreamActive
	return model.Upstream{Address: addresses[name] + ":1", Slots: 2, Models: []model.ModelName{"m"}, State: state, Cheap: name == "e2"}
}

// configure changes a configuration object and applies the events that the
// configuration component raises.
func (h *history) configure(t *rapid.T, kind model.Kind, name string, value any) {
	h.version++
	in := step.Input[event.Event]{At: h.at, Event: event.ConfigChanged{
		Changes: []model.Change{{Kind: kind, Name: name, Version: h.version, Generation: 1, Value: value}},
		Upto:    h.version,
	}}
	var out conf.Out
	h.conf, out = h.conf.Apply(in)
	for _, e := range out.Raised {
		h.apply(t, e)
	}
}

func (h *history) apply(t *rapid.T, e event.Event) {
	view := View{Conf: h.conf, Fresh: !h.stale, At: h.at, Random: rapid.Uint64().Draw(t, "random")}
	var out Out
	h.state, out = h.state.Apply(step.Input[event.Event]{At: h.at, Event: e}, view)
	for _, e := range out.Effects {
		h.checkEffect(t, e)
	}
	for _, raised := range out.Raised {
		h.answerRaised(t, raised)
	}
}

// answerRaised stands in for the admission limit and the claim components.
func (h *history) answerRaised(t *rapid.T, raised event.Event) {
	switch e := raised.(type) {
	case event.AdmissionAsked:
		if rapid.Bool().Draw(t, "admitted") {
			h.apply(t, event.AdmissionGranted{Ticket: e.Ticket})
		} else {
			h.apply(t, event.AdmissionRefused{Ticket: e.Ticket, Reason: model.RateLimited})
		}
	case event.ClaimAsked:
		if rapid.Bool().Draw(t, "claimed") {
			h.records[e.Ticket].claimed = true
			h.apply(t, event.ClaimWon{Ticket: e.Ticket})
		} else {
			h.apply(t, event.ClaimRefused{Ticket: e.Ticket, Reason: model.ClaimUnavailable})
		}
	case event.ClaimEnded:
		if e.NotRun && h.records[e.Ticket].executed {
			t.Fatalf("claim of ticket %d, which may have run, was recorded as not run", e.Ticket)
		}
		if e.Known {
			h.apply(t, event.ClaimRecorded{Ticket: e.Ticket})
		}
	}
}

func (h *history) checkEffect(t *rapid.T, e effect.Effect) {
	switch e := e.(type) {
	case effect.Dispatch:
		r := h.records[e.Ticket]
		switch {
		case (!h.active[e.Upstream.Name] || h.leaving == e.Upstream.Name) && !r.resumes(e.Upstream.Name):
			t.Fatalf("ticket %d was dispatched to %s, which is not active", e.Ticket, e.Upstream.Name)
		case e.Upstream.Cheap && (r.needsClaim || !r.cheap):
			t.Fatalf("ticket %d was dispatched to cheap upstream %s, which it must not use", e.Ticket, e.Upstream.Name)
		case h.stale && !r.resumes(e.Upstream.Name):
			t.Fatalf("ticket %d was dispatched by a node that is not fresh", e.Ticket)
		case r.running != 0:
			t.Fatalf("ticket %d was dispatched while an attempt was running", e.Ticket)
		case r.needsClaim && !r.claimed:
			t.Fatalf("ticket %d was dispatched without a claim", e.Ticket)
		case r.needsClaim && r.executed:
			t.Fatalf("ticket %d, which may have run, was dispatched again", e.Ticket)
		case r.replies > 0:
			t.Fatalf("ticket %d was dispatched after its reply", e.Ticket)
		}
		r.running, r.upstream = e.Attempt, e.Upstream.Name
		if n := h.runningOn(e.Upstream.Name); n > e.Upstream.Slots {
			t.Fatalf("%s runs %d requests but has %d slots", e.Upstream.Name, n, e.Upstream.Slots)
		}
	case effect.Refuse:
		if e.Refusal.Execution == model.NotRun && h.records[e.Ticket].executed {
			t.Fatalf("ticket %d, which may have run, was refused with NotRun", e.Ticket)
		}
		h.records[e.Ticket].replies++
	case effect.Finish:
		h.records[e.Ticket].replies++
	}
}

func (h *history) runningOn(name model.UpstreamName) int {
	n := 0
	for _, r := range h.records {
		if r.running != 0 && r.upstream == name {
			n++
		}
	}
	return n
}

// pick returns the ticket of an unanswered request that has a running attempt,
// or of one that has none.
func (h *history) pickTicket(t *rapid.T, running bool) (model.Ticket, bool) {
	var tickets []model.Ticket
	for ticket, r := range h.records {
		if r.replies == 0 && (r.running != 0) == running {
			tickets = append(tickets, ticket)
		}
	}
	if len(tickets) == 0 {
		return 0, false
	}
	slices.Sort(tickets)
	return rapid.SampledFrom(tickets).Draw(t, "ticket"), true
}

func (h *history) arrive(t *rapid.T) {
	h.lastTicket++
	needsClaim := rapid.Bool().Draw(t, "once")
	request := model.Request{
		ID: "r", Model: "m", HasKey: true, KeyHash: keyHash, Stream: rapid.Bool().Draw(t, "stream"),
		AdmitBy: h.at.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "wait")) * time.Millisecond),
	}
	if needsClaim {
		request.Kind, request.Path, request.IdempotencyKey = model.RequestPlain, "/send", "i"
	}
	h.records[h.lastTicket] = &record{needsClaim: needsClaim, cheap: h.cheap}
	h.apply(t, event.RequestArrived{Ticket: h.lastTicket, Request: request})
}

func (h *history) endAttempt(t *rapid.T) {
	ticket, ok := h.pickTicket(t, true)
	if !ok {
		return
	}
	r := h.records[ticket]
	ended := event.AttemptEnded{Ticket: ticket, Attempt: r.running}
	ended.Outcome = rapid.SampledFrom([]model.Outcome{
		model.Completed, model.NotSent, model.Rejected, model.Broken, model.CallerLeft,
	}).Draw(t, "outcome")
	if ended.Outcome == model.Broken {
		ended.TokensPassed = rapid.IntRange(0, 2).Draw(t, "tokens")
		ended.Crashed = rapid.Bool().Draw(t, "crashed")
	}
	r.running = 0
	r.executed = r.executed || ended.Outcome == model.Completed || ended.Outcome == model.Broken ||
		ended.Outcome == model.CallerLeft
	h.apply(t, ended)
}

// TestHistories guards against running a claimed request twice, reporting
// NotRun for a request that may have run, sending work to a draining upstream
// or beyond its slots, and requests that are never answered.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": h.arrive,
			"end":    h.endAttempt,
			"leave": func(t *rapid.T) {
				if ticket, ok := h.pickTicket(t, false); ok {
					h.apply(t, event.CallerGone{Ticket: ticket})
				}
			},
			"pass": func(t *rapid.T) {
				h.at = h.at.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
				h.apply(t, event.Tick{})
			},
			"share": func(t *rapid.T) {
				h.cheap = rapid.Bool().Draw(t, "cheap")
				template := model.Template{Rate: 1, Burst: 1}
				if h.cheap {
					template.CheapShare = 0.5
				}
				h.configure(t, model.KindTemplate, "a", template)
			},
			"lapse": func(t *rapid.T) { h.stale = rapid.Bool().Draw(t, "stale") },
			"reclaim": func(t *rapid.T) {
				h.leaving = rapid.SampledFrom([]model.UpstreamName{"", "e0", "e2", "p"}).Draw(t, "leaving")
				var listed event.VMsListed
				if h.leaving != "" {
					listed.Leaving = []string{addresses[h.leaving]}
				}
				h.apply(t, listed)
			},
			"drain": func(t *rapid.T) {
				name := rapid.SampledFrom([]model.UpstreamName{"e0", "e1", "p"}).Draw(t, "upstream")
				state := rapid.SampledFrom([]model.UpstreamState{model.UpstreamActive, model.UpstreamDraining}).Draw(t, "state")
				h.configure(t, model.KindUpstream, string(name), h.newUpstream(name, state))
			},
		})
		h.finish(t)
	})
}

// finish ends every attempt and passes all deadlines, and then checks that each
// request was answered exactly once.
func (h *history) finish(t *rapid.T) {
	h.at = h.at.Add(time.Minute)
	h.stale = false
	h.apply(t, event.Tick{})
	for {
		ticket, ok := h.pickTicket(t, true)
		if !ok {
			break
		}
		r := h.records[ticket]
		attempt := r.running
		r.running, r.executed = 0, true
		h.apply(t, event.AttemptEnded{Ticket: ticket, Attempt: attempt, Outcome: model.Completed})
	}
	for ticket, r := range h.records {
		if r.replies != 1 {
			t.Fatalf("ticket %d got %d replies, want 1", ticket, r.replies)
		}
	}
	if h.state.Open() != 0 || h.state.Queued() != 0 {
		t.Fatalf("%d requests are open and %d queued after all replies", h.state.Open(), h.state.Queued())
	}
}
