package safety_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"caroblane/core/claim"
	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
)

// callerID identifies a request: processes number their tickets from 1.
type callerID struct {
	node, life int
	ticket     model.Ticket
}

// caller is a request as the test knows it.
type caller struct {
	id   callerID
	key  string
	body model.KeyHash
	// waits is true from the claim's request to its result.
	waits, won, refused, ended bool
	notRun                     bool
}

// claimWorld is a set of nodes that claim in one store.
type claimWorld struct {
	wire    wire
	now     time.Time
	nodes   []claim.State
	lives   []int
	callers map[callerID]*caller
	// order lists the requests as they were asked.
	order []*caller
	// answers has the answer given first for each key.
	answers map[string]model.Answer
	// orphans are the keys that a killed process may have claimed.
	orphans map[string]bool
	tickets []model.Ticket
}

func newClaimWorld(nodes int) *claimWorld {
	w := &claimWorld{
		wire:    wire{store: newStore()},
		now:     time.Unix(1_800_000_000, 0),
		callers: map[callerID]*caller{},
		answers: map[string]model.Answer{},
		orphans: map[string]bool{},
	}
	for range nodes {
		w.nodes = append(w.nodes, claim.State{})
		w.lives = append(w.lives, 0)
		w.tickets = append(w.tickets, 0)
	}
	for node := range nodes {
		w.start(node)
	}
	return w
}

func (w *claimWorld) start(node int) {
	w.lives[node]++
	w.tickets[node] = 0
	incarnation := model.Incarnation(node*1000 + w.lives[node])
	if *naive == "same-nonce" {
		incarnation = 0
	}
	w.nodes[node] = claim.New(claim.DefaultSettings(), incarnation)
}

// apply gives a node an event and checks what it decides.
func (w *claimWorld) apply(t *rapid.T, node int, e event.Event) {
	if lost, ok := e.(event.ObjectAmbiguous); ok {
		switch *naive {
		case "lost-as-unsent":
			e = event.ObjectUnsent{Op: lost.Op}
		case "lost-as-written":
			e = event.ObjectWritten{Op: lost.Op, Version: w.wire.store.revision + 1}
		}
	}
	next, out := w.nodes[node].Apply(step.Input[event.Event]{At: w.now, Draw: rapid.Uint64().Draw(t, "draw"), Event: e})
	w.nodes[node] = next
	for _, f := range out.Effects {
		w.wire.calls = append(w.wire.calls, call{node: node, effect: f, sentAt: w.now})
	}
	for _, raised := range out.Raised {
		w.decided(t, node, raised)
	}
}

func (w *claimWorld) decided(t *rapid.T, node int, raised event.Event) {
	switch e := raised.(type) {
	case event.ClaimWon:
		c := w.callers[callerID{node, w.lives[node], e.Ticket}]
		if !c.waits {
			t.Fatalf("%+v: won after it had stopped waiting", *c)
		}
		for _, o := range w.order {
			if o.key == c.key && o.won && !o.notRun {
				t.Fatalf("key %q: %+v won, and %+v had won before", c.key, c.id, o.id)
			}
		}
		c.won, c.waits = true, false
	case event.ClaimRefused:
		c := w.callers[callerID{node, w.lives[node], e.Ticket}]
		if !c.waits {
			t.Fatalf("%+v: refused twice or after it was won", *c)
		}
		c.refused, c.waits = true, false
		w.refused(t, e, c)
	}
}

func (w *claimWorld) refused(t *rapid.T, e event.ClaimRefused, c *caller) {
	answer, known := w.answers[c.key]
	switch {
	case e.Replay:
		if diff := cmp.Diff(answer, e.Answer); !known || diff != "" {
			t.Fatalf("key %q: replay differs from the answer: %s", c.key, diff)
		}
		w.sameBody(t, c, true)
	case e.Reason == model.IdempotencyMismatch:
		w.sameBody(t, c, false)
	}
}

// sameBody checks the body against that of the request that ran.
func (w *claimWorld) sameBody(t *rapid.T, c *caller, want bool) {
	for _, o := range w.order {
		if o.key == c.key && o.won && !o.notRun && (o.body == c.body) != want {
			t.Fatalf("key %q: same body as the first request: %v, want %v", c.key, !want, want)
		}
	}
}

func (w *claimWorld) ask(t *rapid.T, node int, key string, body model.KeyHash) *caller {
	w.tickets[node]++
	ticket := w.tickets[node]
	c := &caller{id: callerID{node, w.lives[node], ticket}, key: key, body: body, waits: true}
	w.callers[c.id] = c
	w.order = append(w.order, c)
	w.apply(t, node, event.ClaimAsked{
		Ticket: ticket, RequestID: "r", Account: "a", IdempotencyKey: key, BodyHash: body,
	})
	return c
}

func (w *claimWorld) end(t *rapid.T, c *caller, notRun, known bool) {
	ended := event.ClaimEnded{Ticket: c.id.ticket, NotRun: notRun}
	c.ended = true
	c.notRun = notRun
	if c.waits {
		c.waits, c.refused = false, true
	}
	if known && !notRun {
		ended.Known = true
		ended.Answer = model.Answer{Status: 200, Body: fmt.Appendf(nil, "%+v", c.id)}
		want := ended.Answer
		want.Length = len(want.Body)
		w.answers[c.key] = want
	}
	w.apply(t, c.id.node, ended)
}

// open returns the requests of live processes that wait for their claim, or
// that won it, and have not ended.
func (w *claimWorld) open(waiting bool) []*caller {
	var open []*caller
	for _, c := range w.order {
		if c.id.life == w.lives[c.id.node] && !c.ended && (c.waits && waiting || c.won && !waiting) {
			open = append(open, c)
		}
	}
	return open
}

func (w *claimWorld) kill(node int) {
	for _, c := range w.order {
		if c.id.node == node && c.id.life == w.lives[node] {
			w.orphans[c.key] = true
			c.waits = false
		}
	}
	w.wire.abandon(node)
	w.start(node)
}

// heal lets every call succeed until nothing is left to do.
func (w *claimWorld) heal(t *rapid.T) {
	for round := 0; ; round++ {
		if round > 10_000 {
			t.Fatalf("nodes do not come to rest: %d calls", len(w.wire.calls))
		}
		if len(w.wire.calls) > 0 {
			c := w.wire.calls[0]
			w.wire.calls = w.wire.calls[1:]
			if c.answer == nil {
				c.answer = w.wire.arrive(c)
			}
			w.apply(t, c.node, c.answer)
			continue
		}
		resting := true
		for node, s := range w.nodes {
			if next := s.Next(); !next.IsZero() {
				resting = false
				if next.After(w.now) {
					w.now = next
				}
				w.apply(t, node, event.Tick{})
			}
		}
		if resting && len(w.wire.calls) == 0 {
			return
		}
	}
}

// TestClaims guards against a request that runs twice (G10), a refusal that
// says NotRun of a request that runs later (G9), a replay that is not the
// recorded answer (G8), and a key that stays blocked though nothing ran.
func TestClaims(t *testing.T) {
	keys := []string{"k1", "k2"}
	bodies := []model.KeyHash{{1}, {2}}
	rapid.Check(t, func(t *rapid.T) {
		w := newClaimWorld(3)
		node := rapid.IntRange(0, len(w.nodes)-1)
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				w.ask(t, node.Draw(t, "node"), rapid.SampledFrom(keys).Draw(t, "key"), rapid.SampledFrom(bodies).Draw(t, "body"))
			},
			"answer": func(t *rapid.T) {
				c := w.wire.take(t)
				if c.answer == nil {
					c.answer = w.wire.arrive(c)
				}
				w.apply(t, c.node, c.answer)
			},
			"arrive": func(t *rapid.T) {
				c := w.wire.take(t)
				if c.answer == nil {
					c.answer = w.wire.arrive(c)
				}
				w.wire.calls = append(w.wire.calls, c)
			},
			"fail": func(t *rapid.T) {
				c := w.wire.take(t)
				if c.answer == nil {
					c.answer = w.wire.fail(t, c)
				}
				w.apply(t, c.node, c.answer)
			},
			"late": func(t *rapid.T) { w.wire.arriveLate(t) },
			"end": func(t *rapid.T) {
				open := w.open(false)
				if len(open) == 0 {
					t.Skip("no open requests")
				}
				c := open[rapid.IntRange(0, len(open)-1).Draw(t, "request")]
				w.end(t, c, rapid.Bool().Draw(t, "not run"), rapid.Bool().Draw(t, "known"))
			},
			"leave": func(t *rapid.T) {
				open := w.open(true)
				if len(open) == 0 {
					t.Skip("no waiting requests")
				}
				w.end(t, open[rapid.IntRange(0, len(open)-1).Draw(t, "request")], true, false)
			},
			"kill": func(t *rapid.T) { w.kill(node.Draw(t, "node")) },
			"wait": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
				w.apply(t, node.Draw(t, "node"), event.Tick{})
			},
		})
		for len(w.wire.late) > 0 {
			w.wire.arriveLate(t)
		}
		w.heal(t)
		for _, key := range keys {
			w.checkFree(t, key)
		}
	})
}

// checkFree asks for a key once more. It must be won if no request ran.
func (w *claimWorld) checkFree(t *rapid.T, key string) {
	ran := w.orphans[key]
	for _, c := range w.order {
		if c.waits {
			t.Fatalf("%+v still waits", *c)
		}
		ran = ran || c.key == key && c.won && !c.notRun
	}
	if ran {
		return
	}
	c := w.ask(t, 0, key, model.KeyHash{1})
	w.heal(t)
	if !c.won {
		t.Fatalf("key %q is blocked though no request ran", key)
	}
}

// BenchmarkClaims measures the claims per write when requests arrive faster
// than the store answers.
func BenchmarkClaims(b *testing.B) {
	for _, perAnswer := range []int{1, 16, 256, 4096} {
		b.Run(fmt.Sprintf("asked-per-answer=%d", perAnswer), func(b *testing.B) { benchmarkClaims(b, perAnswer) })
	}
}

func benchmarkClaims(b *testing.B, perAnswer int) {
	net := wire{store: newStore()}
	s := claim.New(claim.DefaultSettings(), 1)
	now := time.Unix(1_800_000_000, 0)
	writes, won := 0, 0
	apply := func(e event.Event) {
		var out claim.Out
		s, out = s.Apply(step.Input[event.Event]{At: now, Event: e})
		for _, f := range out.Effects {
			if _, ok := f.(effect.WriteObject); ok {
				writes++
			}
			net.calls = append(net.calls, call{effect: f, sentAt: now})
		}
		for _, r := range out.Raised {
			if _, ok := r.(event.ClaimWon); ok {
				won++
			}
		}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		apply(event.ClaimAsked{Ticket: model.Ticket(i + 1), Account: "a", IdempotencyKey: fmt.Sprint(i)})
		if (i+1)%perAnswer != 0 {
			continue
		}
		now = now.Add(time.Millisecond)
		for _, c := range net.calls {
			net.calls = net.calls[1:]
			apply(net.arrive(c))
		}
		if i > 0 && i%100_000 < perAnswer {
			// Starts a new day, so that the shards do not fill up.
			now = now.Add(26 * time.Hour)
		}
	}
	b.ReportMetric(float64(won)/float64(max(writes, 1)), "claims/write")
}
