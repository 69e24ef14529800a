package serve_test

import (
	"fmt"
	"math"
	"strings"
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

// pendingSend is an attempt between its placement and the end of its answer.
type pendingSend struct {
	forward  effect.Forward
	placedAt time.Duration
	sent     bool
	// process is the one that got the request, on a connection opened at sentAt.
	process model.UpstreamInstance
	sentAt  time.Duration
}

// pauseState is what a test knows of the pause of an instance: its end, and the requests
// placed and served since then.
type pauseState struct {
	until          time.Duration
	placed, served int
	// unlisted is set if the registry did not list the instance when it asked. The return
	// after such a pause may begin before the entry arrives.
	unlisted bool
}

// notices is a node with many requests at upstreams that ask for pauses, leave and come
// back as other processes. It counts what reaches an upstream against its word.
type notices struct {
	t       *rapid.T
	serve   serve.State
	site    site.State
	fleet   fleet.State
	now     time.Duration
	entries map[model.UpstreamName]model.Upstream
	// running has the processes, whose entries may not have been written yet.
	running map[model.UpstreamName]model.Upstream
	removed map[model.UpstreamName]bool
	// left has the instances that said that they are leaving.
	left map[model.UpstreamInstance]bool
	// pauses has the instances that asked for a pause.
	pauses   map[model.UpstreamInstance]*pauseState
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
		t: t, serve: h.serve, site: h.site, fleet: fleet.New(), revision: 9, entries: map[model.UpstreamName]model.Upstream{}, running: map[model.UpstreamName]model.Upstream{},
		removed: map[model.UpstreamName]bool{}, left: map[model.UpstreamInstance]bool{}, pauses: map[model.UpstreamInstance]*pauseState{},
		open: map[model.Ticket]*pendingSend{}, replies: map[model.Ticket]int{},
	}
	for _, u := range h.fleet.Upstreams(time.Time{}) {
		u.Incarnation = 1
		n.entries[u.Name] = u
	}
	for _, name := range []model.UpstreamName{"a", "b", "c", "d"} {
		n.entries[name] = model.Upstream{Name: name, Address: string(name), Kind: model.UpstreamPlain, Slots: 6, Service: "app", Incarnation: 1}
	}
	for name, u := range n.entries {
		u.StartedAt = startTime.Add(-time.Second)
		n.entries[name], n.running[name] = u, u
	}
	n.list()
	return n
}

// restart lets another process start under the name and the address of an upstream. It takes
// longer than clocks differ, so that connections to the one before can be told from its own.
func (n *notices) restart(name model.UpstreamName) {
	n.now += 1100 * time.Millisecond
	u := n.running[name]
	u.Incarnation, u.StartedAt = u.Incarnation+1, startTime.Add(n.now)
	n.running[name] = u
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
		n.fleet, _ = n.fleet.WithWallTime(in.At).Apply(in)
		var out serve.Out
		n.serve, out = n.serve.Apply(in, serve.View{
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
		n.open[f.Ticket] = &pendingSend{forward: f, placedAt: n.now}
		n.check(f.Upstream, "placed")
		source, _, _ := strings.Cut(f.Source, "/")
		for _, address := range []string{source, f.CopyFrom} {
			for _, holder := range []model.Upstream{n.entries[model.UpstreamName(address)], n.running[model.UpstreamName(address)]} {
				if p := n.pauses[instanceOf(holder)]; p != nil && n.now < p.until {
					n.t.Fatalf("copy from %s, which wants nothing for %v", holder.Name, p.until-n.now)
				}
			}
		}
		isRunning := instanceOf(f.Upstream) == instanceOf(n.running[f.Upstream.Name])
		if p := n.pauses[instanceOf(f.Upstream)]; p != nil && isRunning && !p.unlisted && p.served < 16 {
			if p.placed++; p.placed > 1+2*p.served {
				n.t.Fatalf("%d requests placed at %s after its pause, which served %d", p.placed, f.Upstream.Name, p.served)
			}
		}
	case effect.Reply:
		n.replies[f.To()]++
	}
}

// check fails if an upstream gets something that it said it does not want.
func (n *notices) check(u model.Upstream, what string) {
	for _, instance := range []model.UpstreamInstance{instanceOf(u), instanceOf(n.running[u.Name])} {
		if n.left[instance] {
			n.t.Fatalf("%s at %v, sent as %d, which is leaving", what, instance, u.Incarnation)
		}
		if p := n.pauses[instance]; p != nil && n.now < p.until {
			n.t.Fatalf("%s at %v, sent as %d, which wants nothing for %v", what, instance, u.Incarnation, p.until-n.now)
		}
	}
}

// end ends an attempt.
func (n *notices) end(ticket model.Ticket, e event.ForwardEnded) {
	attempt := n.open[ticket]
	e.Ticket, e.Attempt = ticket, attempt.forward.Attempt
	delete(n.open, ticket)
	if p := n.pauses[instanceOf(attempt.forward.Upstream)]; p != nil && attempt.placedAt >= p.until {
		if e.Outcome == model.Completed {
			p.served++
		} else {
			p.placed--
		}
	}
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
	if n.fleet.Withheld(p.forward.Upstream, startTime.Add(n.now)) {
		n.end(ticket, event.ForwardEnded{Outcome: model.NotSent, Withheld: true})
		return
	}
	n.check(p.forward.Upstream, "sent")
	p.sent, p.sentAt, p.process = true, n.now, instanceOf(n.running[p.forward.Upstream.Name])
	n.sends++
}

func (n *notices) answer() {
	ticket, found := n.pick(true)
	if !found {
		return
	}
	p := n.open[ticket]
	u := p.forward.Upstream
	conn := model.UpstreamConn{Address: u.Address, OpenedAt: startTime.Add(p.sentAt)}
	e := event.ForwardEnded{Outcome: rapid.SampledFrom([]model.Outcome{
		model.Completed, model.Rejected, model.Broken, model.CallerLeft, model.Unconfirmed,
	}).Draw(n.t, "outcome"), Handle: "kv"}
	if e.Outcome != model.Broken && rapid.IntRange(0, 5).Draw(n.t, "leaving") == 0 {
		n.left[p.process] = true
		n.apply(event.UpstreamLeaving{Instance: instanceOf(u), Conn: conn})
	}
	if e.Outcome == model.Rejected && rapid.Bool().Draw(n.t, "pause") {
		n.askPause(p.process, instanceOf(u), conn)
	}
	n.end(ticket, e)
}

// askPause lets an instance ask for a pause, whose number of seconds may be any, in an answer
// to a request that was sent to another one.
func (n *notices) askPause(instance, sentTo model.UpstreamInstance, conn model.UpstreamConn) {
	seconds := rapid.SampledFrom([]float64{
		0.05, 0.1, 0.3, 0.3, 1, 2, 0, -1, math.NaN(), math.Inf(1), 1e12,
	}).Draw(n.t, "seconds")
	n.apply(event.PauseAsked{Instance: sentTo, Conn: conn, ReceivedAt: startTime.Add(n.now), Seconds: seconds})
	until := n.now
	switch {
	case seconds > 3600:
		until += time.Hour
	case seconds > 0:
		until += time.Duration(seconds * float64(time.Second))
	default:
		return
	}
	if p := n.pauses[instance]; p == nil || until > p.until {
		listed := !n.removed[instance.Name] && instanceOf(n.entries[instance.Name]) == instance
		n.pauses[instance] = &pauseState{until: until, unlisted: !listed}
	}
}

func (n *notices) changeRegistry() {
	name := rapid.SampledFrom(n.names()).Draw(n.t, "name")
	u := n.entries[name]
	switch rapid.IntRange(0, 6).Draw(n.t, "change") {
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
		if instanceOf(n.running[name]) == instanceOf(u) {
			n.restart(name)
		}
		n.revision++
		n.entries[name], n.removed[name] = n.running[name], false
		n.apply(event.UpstreamRegistered{Revision: n.revision, Upstream: n.running[name]})
	case 5:
		// A peer relays a list that is older than what the node knows.
		n.apply(event.UpstreamsRead{Revision: n.revision - 1, Upstreams: []model.Upstream{u}})
	case 6:
		n.restart(name)
	}
}

// TestNotices guards, over random series of answers, registry changes, reloads and ends
// of processes, against requests to an upstream after it said that it is leaving or
// while it wants a pause, against a return of all requests at once after a pause, against
// requests without an answer, and against upstreams that get nothing because of what an
// earlier process said.
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
			case n.fleet.Withheld(p.forward.Upstream, startTime.Add(n.now)) && !p.sent:
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
		n.restart(name)
		n.entries[name], n.removed[name] = n.running[name], false
	}
	n.now += 10 * time.Second
	n.list()
	for _, name := range n.names() {
		if u, _ := n.fleet.Get(name); !u.Usable(startTime.Add(n.now)) {
			n.t.Fatalf("the new process of %s gets no requests", name)
		}
	}
}
