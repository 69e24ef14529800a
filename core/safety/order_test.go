package safety_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/lease"
	"caroblane/core/model"
	"caroblane/core/order"
	"caroblane/core/step"
)

// The clocks of any two nodes differ by at most 0.001 in rate.
var rates = []float64{0.9995, 1.0005, 1}

const (
	checkingEngine = model.UpstreamName("checking")
	plainEngine    = model.UpstreamName("plain")
)

// engineModel is an engine that takes orders.
type engineModel struct {
	checks   bool
	epoch    model.Epoch
	accepted []effect.SendOrder
}

func (e *engineModel) take(t *rapid.T, o effect.SendOrder) model.SendResult {
	if e.checks && o.Epoch < e.epoch {
		return model.SendStale
	}
	if len(e.accepted) > 0 {
		last := e.accepted[len(e.accepted)-1]
		switch {
		case e.checks && o.Epoch == last.Epoch && o.Seq < last.Seq:
			return model.SendStale
		case o.Seq < last.Seq, o.Epoch < last.Epoch:
			t.Fatalf("engine %s took order %d/%d after %d/%d", o.Upstream, o.Epoch, o.Seq, last.Epoch, last.Seq)
		case o.Seq == last.Seq && o.Intent != last.Intent:
			t.Fatalf("engine %s took conflicting orders: %+v and %+v", o.Upstream, last, o)
		}
	}
	e.epoch = max(e.epoch, o.Epoch)
	e.accepted = append(e.accepted, o)
	return model.SendAccepted
}

// orderNode is a process with its clock.
type orderNode struct {
	life int
	// paused nodes take no events. Calls of nodes that are cut off do not reach
	// the store while time runs.
	paused, cut bool
	lease       lease.State
	order       order.State
}

// send is a transmission that arrives after its sender gave up on it.
type send struct {
	order effect.SendOrder
	// until is the true time of its last arrival.
	until time.Duration
}

// orderWorld is a set of nodes that compete for a lease and give orders.
type orderWorld struct {
	wire       wire
	now        time.Duration // true time since the start
	nodes      []*orderNode
	engines    map[model.UpstreamName]*engineModel
	sends      []send
	provisions map[string]effect.SendProvision
	reports    map[model.Window]model.Usage
	intents    int
	// down tells that engines are slow to take orders.
	down bool
	// holds tells which calls stay under way during a run.
	holds func(call) bool
}

func newOrderWorld(t *rapid.T) *orderWorld {
	w := &orderWorld{
		wire:       wire{store: newStore()},
		engines:    map[model.UpstreamName]*engineModel{checkingEngine: {checks: true}, plainEngine: {}},
		provisions: map[string]effect.SendProvision{},
		reports:    map[model.Window]model.Usage{},
	}
	for node := range rates {
		w.nodes = append(w.nodes, &orderNode{})
		w.start(t, node)
	}
	return w
}

// clock returns the reading of a node's clock.
func (w *orderWorld) clock(node int) time.Time {
	offset := time.Duration(node) * 20 * time.Second
	return time.Unix(1_800_000_000, 0).Add(offset + time.Duration(float64(w.now)*rates[node]))
}

// trueTime returns the true time at which a node's clock has a reading.
func (w *orderWorld) trueTime(node int, reading time.Time) time.Duration {
	return w.now + time.Duration(float64(reading.Sub(w.clock(node)))/rates[node]) + time.Microsecond
}

func (w *orderWorld) start(t *rapid.T, node int) {
	n := w.nodes[node]
	n.life++
	n.paused, n.cut = false, false
	incarnation := model.Incarnation(node*1000 + n.life)
	name := model.NodeName(fmt.Sprintf("n%d", node))
	n.lease = lease.New(lease.DefaultSettings("r"), name, incarnation, w.clock(node))
	n.order = order.New(order.DefaultSettings(), name, incarnation)
	w.apply(t, node, event.Tick{})
}

// apply gives a node an event, passed through its parts.
func (w *orderWorld) apply(t *rapid.T, node int, e event.Event) {
	n := w.nodes[node]
	at := w.clock(node)
	if written, ok := e.(event.ObjectWritten); ok && *naive == "renew-from-answer" {
		written.SentAt = at
		e = written
	}
	draw := uint64(w.now) * 0x9e3779b97f4a7c15
	for pending := []event.Event{e}; len(pending) > 0; pending = pending[1:] {
		in := step.Input[event.Event]{At: at, Draw: draw, Event: pending[0]}
		var held, ordered step.Out[event.Event, effect.Effect]
		n.lease, held = n.lease.Apply(in)
		n.order, ordered = n.order.Apply(in)
		pending = append(pending, held.Raised...)
		for _, f := range append(held.Effects, ordered.Effects...) {
			w.wire.calls = append(w.wire.calls, call{node: node, effect: f, sentAt: at})
		}
	}
	w.checkHolders(t)
}

func (w *orderWorld) checkHolders(t *rapid.T) {
	var holders []int
	for node, n := range w.nodes {
		if n.lease.Held(w.clock(node)) {
			holders = append(holders, node)
		}
	}
	if len(holders) > 1 {
		t.Fatalf("nodes %v hold the lease at %v", holders, w.now)
	}
}

// arrive executes a call at the store, the platform or an engine.
func (w *orderWorld) arrive(t *rapid.T, c call) event.Event {
	inTime := func(notAfter time.Time) bool { return w.clock(c.node).Before(notAfter) }
	switch e := c.effect.(type) {
	case effect.SendOrder:
		switch {
		case !inTime(e.NotAfter):
			return event.SendFailed{Op: e.Op}
		case w.down:
			w.sendLate(c.node, e)
			return event.SendFailed{Op: e.Op}
		}
		return event.SendAnswered{Op: e.Op, Result: w.engines[e.Upstream].take(t, e)}
	case effect.ReadOrder:
		answer := event.LastOrderRead{Op: e.Op}
		if accepted := w.engines[e.Upstream].accepted; len(accepted) > 0 {
			answer.Found, answer.Seq = true, accepted[len(accepted)-1].Seq
		}
		return answer
	case effect.SendProvision:
		if !inTime(e.NotAfter) {
			return event.SendFailed{Op: e.Op}
		}
		if first, ok := w.provisions[e.ID]; ok && first.Intent != e.Intent {
			t.Fatalf("provision %s was sent with %+v and %+v", e.ID, first.Intent, e.Intent)
		}
		w.provisions[e.ID] = e
		return event.SendAnswered{Op: e.Op}
	case effect.ReportUsage:
		if !inTime(e.NotAfter) {
			return event.SendFailed{Op: e.Op}
		}
		w.reported(t, e.Usage)
		return event.SendAnswered{Op: e.Op}
	default:
		return w.wire.arrive(c)
	}
}

func (w *orderWorld) reported(t *rapid.T, usage model.Usage) {
	if first, ok := w.reports[usage.Window]; ok {
		if diff := cmp.Diff(first.Lines, usage.Lines); diff != "" {
			t.Fatalf("window %s was reported with different figures: %s", usage.Window, diff)
		}
	}
	w.reports[usage.Window] = usage
	for window, other := range w.reports {
		for _, part := range other.Parts {
			if window != usage.Window && slices.Contains(usage.Parts, part) {
				t.Fatalf("part %s is in the windows %s and %s", part, window, usage.Window)
			}
		}
	}
}

// sendLate keeps a transmission that its sender gave up on. It may arrive at an
// engine that checks epochs at any time, at others within SendTerm.
func (w *orderWorld) sendLate(node int, o effect.SendOrder) {
	until := w.trueTime(node, o.NotAfter) + order.DefaultSettings().SendTerm
	if o.Upstream == checkingEngine {
		until += time.Hour
	}
	w.sends = append(w.sends, send{o, until})
}

// fail draws a fault for a call.
func (w *orderWorld) fail(t *rapid.T, c call) event.Event {
	switch e := c.effect.(type) {
	case effect.SendOrder:
		if w.clock(c.node).Before(e.NotAfter) && rapid.Bool().Draw(t, "late send") {
			w.sendLate(c.node, e)
		}
		return event.SendFailed{Op: e.Op}
	case effect.ReadOrder:
		return event.SendFailed{Op: e.Op}
	case effect.SendProvision:
		if rapid.Bool().Draw(t, "taken") {
			w.arrive(t, c)
		}
		return event.SendFailed{Op: e.Op}
	case effect.ReportUsage:
		if rapid.Bool().Draw(t, "taken") {
			w.arrive(t, c)
		}
		return event.SendFailed{Op: e.Op}
	default:
		return w.wire.fail(t, c)
	}
}

// take removes a call of a node that is not paused.
func (w *orderWorld) take(t *rapid.T) call {
	c := w.wire.take(t)
	if w.nodes[c.node].paused {
		w.wire.calls = append(w.wire.calls, c)
		t.Skip("node is paused")
	}
	return c
}

// run passes time without faults, except for paused nodes.
func (w *orderWorld) run(t *rapid.T, length time.Duration) {
	for end := w.now + length; ; {
		progress := false
		for _, c := range w.wire.calls {
			w.wire.calls = w.wire.calls[1:]
			if n := w.nodes[c.node]; n.cut && toStore(c.effect) || w.holds != nil && w.holds(c) {
				w.wire.calls = append(w.wire.calls, c)
				continue
			}
			if c.answer == nil {
				c.answer = w.arrive(t, c)
			}
			if w.nodes[c.node].paused {
				w.wire.calls = append(w.wire.calls, c)
				continue
			}
			progress = true
			w.apply(t, c.node, c.answer)
		}
		if progress {
			continue
		}
		first, due := end, -1
		for node, n := range w.nodes {
			next := step.Earliest(n.lease.Next(), n.order.Next())
			if n.paused || next.IsZero() {
				continue
			}
			if at := w.trueTime(node, next); at < first {
				first, due = at, node
			}
		}
		w.now = max(w.now, first)
		if due < 0 {
			return
		}
		w.apply(t, due, event.Tick{})
	}
}

// holder returns the node that holds the lease.
func (w *orderWorld) holder(t *rapid.T) int {
	for node, n := range w.nodes {
		if n.lease.Held(w.clock(node)) && !n.paused && !n.cut {
			return node
		}
	}
	t.Skip("no node holds the lease")
	return 0
}

// takeOver cuts the holder off from the store while it sends an order that the
// engine does not answer, and lets its transmissions arrive after the orders of
// the next holder.
func (w *orderWorld) takeOver(t *rapid.T) {
	old := w.holder(t)
	w.down = true
	w.ask(t, old, plainEngine)
	w.run(t, time.Duration(rapid.IntRange(500, 3500).Draw(t, "ms"))*time.Millisecond)
	w.nodes[old].cut = true
	// Without a candidate that is awake, nobody takes over.
	for range 300 {
		w.run(t, 100*time.Millisecond)
		next := slices.IndexFunc(w.nodes, func(n *orderNode) bool {
			return n != w.nodes[old] && n.lease.Held(w.clock(slices.Index(w.nodes, n)))
		})
		if next >= 0 {
			w.down = false
			w.ask(t, next, plainEngine)
			break
		}
	}
	w.down = false
	w.run(t, 500*time.Millisecond)
	for _, late := range w.sends {
		if w.now <= late.until {
			w.engines[late.order.Upstream].take(t, late.order)
		}
	}
	w.sends = nil
	w.nodes[old].cut = false
}

// freezeLate lets a write of a holder to a usage record arrive at the store
// after the next holder has gone on, and starts all nodes anew.
func (w *orderWorld) freezeLate(t *rapid.T) {
	old := w.holder(t)
	for node, n := range w.nodes {
		if !n.paused {
			w.apply(t, node, event.UsageCounted{Line: model.UsageLine{Account: "a", Requests: 1}})
		}
	}
	state := rapid.SampledFrom([]model.UsageState{model.UsageFrozen, model.UsageReported}).Draw(t, "state")
	w.holds = func(c call) bool {
		write, ok := c.effect.(effect.WriteObject)
		usage, frozen := write.Value.(model.Usage)
		return ok && frozen && c.node == old && c.answer == nil && usage.State == state
	}
	w.run(t, 90*time.Second)
	w.holds = nil
	w.nodes[old].paused = true
	w.wire.abandon(old)
	w.run(t, time.Duration(rapid.IntRange(15, 90).Draw(t, "seconds"))*time.Second)
	for node := range w.nodes {
		w.wire.abandon(node)
	}
	for len(w.wire.late) > 0 {
		w.wire.arriveLate(t)
	}
	for node := range w.nodes {
		w.start(t, node)
	}
	w.run(t, 30*time.Second)
}

func toStore(f effect.Effect) bool {
	switch f.(type) {
	case effect.WriteObject, effect.ReadObject, effect.ListObjects:
		return true
	default:
		return false
	}
}

func (w *orderWorld) ask(t *rapid.T, node int, upstream model.UpstreamName) {
	w.intents++
	w.apply(t, node, event.OrderAsked{
		Upstream:    upstream,
		ChecksEpoch: upstream == checkingEngine || *naive == "no-takeover-wait",
		Intent:      model.OrderIntent{Action: model.OrderLoadAdapter, Adapter: fmt.Sprint(w.intents)},
	})
}

// TestAuthority guards against two holders of a lease at once (G3, G5), engines
// that take conflicting orders (G1), and usage that is reported twice with
// different figures or in two windows (G6).
func TestAuthority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newOrderWorld(t)
		draw := rapid.IntRange(0, len(w.nodes)-1)
		awake := func(t *rapid.T) int {
			node := draw.Draw(t, "node")
			if w.nodes[node].paused {
				t.Skip("node is paused")
			}
			return node
		}
		t.Repeat(map[string]func(*rapid.T){
			"answer": func(t *rapid.T) {
				c := w.take(t)
				if c.answer == nil {
					c.answer = w.arrive(t, c)
				}
				w.apply(t, c.node, c.answer)
			},
			"arrive": func(t *rapid.T) {
				c := w.wire.take(t)
				if c.answer == nil {
					c.answer = w.arrive(t, c)
				}
				w.wire.calls = append(w.wire.calls, c)
			},
			"fail": func(t *rapid.T) {
				c := w.take(t)
				if c.answer == nil {
					c.answer = w.fail(t, c)
				}
				w.apply(t, c.node, c.answer)
			},
			"late": func(t *rapid.T) { w.wire.arriveLate(t) },
			"late send": func(t *rapid.T) {
				if len(w.sends) == 0 {
					t.Skip("no late sends")
				}
				i := rapid.IntRange(0, len(w.sends)-1).Draw(t, "send")
				late := w.sends[i]
				w.sends = append(w.sends[:i:i], w.sends[i+1:]...)
				if w.now <= late.until {
					w.engines[late.order.Upstream].take(t, late.order)
				}
			},
			"order": func(t *rapid.T) {
				upstream := rapid.SampledFrom([]model.UpstreamName{checkingEngine, plainEngine}).Draw(t, "upstream")
				w.ask(t, awake(t), upstream)
			},
			"provision": func(t *rapid.T) {
				w.intents++
				w.apply(t, awake(t), event.ProvisionAsked{
					ID:     rapid.SampledFrom([]string{"p1", "p2"}).Draw(t, "id"),
					Intent: model.ProvisionIntent{Change: w.intents},
				})
			},
			"count": func(t *rapid.T) {
				w.apply(t, awake(t), event.UsageCounted{Line: model.UsageLine{Account: "a", Requests: 1}})
			},
			"pause": func(t *rapid.T) {
				n := w.nodes[draw.Draw(t, "node")]
				n.paused = !n.paused
			},
			"cut": func(t *rapid.T) {
				n := w.nodes[draw.Draw(t, "node")]
				n.cut = !n.cut
			},
			"down":        func(t *rapid.T) { w.down = !w.down },
			"take over":   w.takeOver,
			"freeze late": w.freezeLate,
			"kill": func(t *rapid.T) {
				node := draw.Draw(t, "node")
				w.wire.abandon(node)
				w.start(t, node)
			},
			"drain": func(t *rapid.T) { w.apply(t, awake(t), event.DrainAsked{}) },
			"wait": func(t *rapid.T) {
				w.now += time.Duration(rapid.IntRange(1, 12_000).Draw(t, "ms")) * time.Millisecond
				w.checkHolders(t)
				for node, n := range w.nodes {
					if !n.paused {
						w.apply(t, node, event.Tick{})
					}
				}
			},
			"run": func(t *rapid.T) {
				w.run(t, time.Duration(rapid.IntRange(1, 100).Draw(t, "seconds"))*time.Second)
			},
		})
		w.heal(t)
	})
}

// heal ends all faults and checks that everything is reported and taken.
func (w *orderWorld) heal(t *rapid.T) {
	w.sends, w.down = nil, false
	for len(w.wire.late) > 0 {
		w.wire.arriveLate(t)
	}
	for node := range w.nodes {
		w.wire.abandon(node)
		w.start(t, node)
	}
	for len(w.wire.late) > 0 {
		w.wire.arriveLate(t)
	}
	w.run(t, 4*time.Minute)
	for _, object := range w.wire.store.list(model.KindUsagePart) {
		found := false
		for _, report := range w.reports {
			found = found || slices.Contains(report.Parts, object.Name)
		}
		if !found {
			t.Fatalf("part %s was never reported", object.Name)
		}
	}
	for node, n := range w.nodes {
		if !n.lease.Held(w.clock(node)) {
			continue
		}
		w.ask(t, node, checkingEngine)
		w.ask(t, node, plainEngine)
		w.run(t, time.Minute)
		for name, engine := range w.engines {
			if len(engine.accepted) == 0 {
				t.Fatalf("engine %s got no order", name)
			}
			recorded, _ := w.wire.store.get(model.KindOrder, string(name))
			if got := recorded.Value.(model.Order); got.State != model.OrderDone {
				t.Fatalf("order %+v has not ended", got)
			}
		}
		return
	}
	t.Fatalf("no node holds the lease")
}
