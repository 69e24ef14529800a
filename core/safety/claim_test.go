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

// requestID identifies a request. Each run of a process numbers its tickets
// from 1.
type requestID struct {
	node, run int
	ticket    model.Ticket
}

// claimRequest is a request and the state that the test expects of it.
type claimRequest struct {
	id   requestID
	key  string
	body model.KeyHash
	// pending is set from when the claim is requested until its result is
	// known.
	pending, won, refused, ended bool
	notRun                       bool
}

// claimSimulation runs several nodes that make claims in one store.
type claimSimulation struct {
	network network
	now     time.Time
	nodes   []claim.State
	runs    []int
	byID    map[requestID]*claimRequest
	// requests are sorted by the time they were made.
	requests []*claimRequest
	// firstAnswers holds the first response given for each key.
	firstAnswers map[string]model.Response
	// uncertainKeys are the keys that a killed process may have claimed.
	uncertainKeys map[string]bool
	tickets       []model.Ticket
}

func newClaimSimulation(nodes int) *claimSimulation {
	sim := &claimSimulation{
		network:       network{store: newStore()},
		now:           time.Unix(1_800_000_000, 0),
		byID:          map[requestID]*claimRequest{},
		firstAnswers:  map[string]model.Response{},
		uncertainKeys: map[string]bool{},
	}
	for range nodes {
		sim.nodes = append(sim.nodes, claim.State{})
		sim.runs = append(sim.runs, 0)
		sim.tickets = append(sim.tickets, 0)
	}
	for node := range nodes {
		sim.start(node)
	}
	return sim
}

func (sim *claimSimulation) start(node int) {
	sim.runs[node]++
	sim.tickets[node] = 0
	incarnation := model.Incarnation(node*1000 + sim.runs[node])
	if *naive == "same-nonce" {
		incarnation = 0
	}
	sim.nodes[node] = claim.New(claim.DefaultSettings(), incarnation)
}

// apply delivers an event to a node and checks its decisions.
func (sim *claimSimulation) apply(t *rapid.T, node int, e event.Event) {
	if lost, ok := e.(event.ObjectAmbiguous); ok {
		switch *naive {
		case "lost-as-unsent":
			e = event.ObjectUnsent{Op: lost.Op}
		case "lost-as-written":
			e = event.ObjectWritten{Op: lost.Op, Version: sim.network.store.revision + 1}
		}
	}
	next, out := sim.nodes[node].Apply(step.Input[event.Event]{At: sim.now, Random: rapid.Uint64().Draw(t, "random"), Event: e})
	sim.nodes[node] = next
	for _, f := range out.Effects {
		sim.network.calls = append(sim.network.calls, call{node: node, effect: f, sentAt: sim.now})
	}
	for _, raised := range out.Raised {
		sim.checkDecision(t, node, raised)
	}
}

func (sim *claimSimulation) checkDecision(t *rapid.T, node int, raised event.Event) {
	switch e := raised.(type) {
	case event.ClaimWon:
		c := sim.byID[requestID{node, sim.runs[node], e.Ticket}]
		if !c.pending {
			t.Fatalf("%+v: won although its claim was no longer pending", *c)
		}
		for _, o := range sim.requests {
			if o.key == c.key && o.won && !o.notRun {
				t.Fatalf("key %q: %+v won the claim, but %+v had already won it", c.key, c.id, o.id)
			}
		}
		c.won, c.pending = true, false
	case event.ClaimRefused:
		c := sim.byID[requestID{node, sim.runs[node], e.Ticket}]
		if !c.pending {
			t.Fatalf("%+v: refused although its claim was no longer pending", *c)
		}
		c.refused, c.pending = true, false
		sim.checkRefusal(t, e, c)
	}
}

func (sim *claimSimulation) checkRefusal(t *rapid.T, e event.ClaimRefused, c *claimRequest) {
	answer, known := sim.firstAnswers[c.key]
	switch {
	case e.Replay:
		if diff := cmp.Diff(answer, e.Response); !known || diff != "" {
			t.Fatalf("key %q: replay differs from the first answer: %s", c.key, diff)
		}
		sim.checkSameBody(t, c, true)
	case e.Reason == model.IdempotencyMismatch:
		sim.checkSameBody(t, c, false)
	}
}

// checkSameBody checks whether the body equals that of the request that ran.
func (sim *claimSimulation) checkSameBody(t *rapid.T, c *claimRequest, want bool) {
	for _, o := range sim.requests {
		if o.key == c.key && o.won && !o.notRun && (o.body == c.body) != want {
			t.Fatalf("key %q: body equals that of the request that ran: %v, want %v", c.key, !want, want)
		}
	}
}

func (sim *claimSimulation) ask(t *rapid.T, node int, key string, body model.KeyHash) *claimRequest {
	sim.tickets[node]++
	ticket := sim.tickets[node]
	c := &claimRequest{id: requestID{node, sim.runs[node], ticket}, key: key, body: body, pending: true}
	sim.byID[c.id] = c
	sim.requests = append(sim.requests, c)
	sim.apply(t, node, event.ClaimAsked{
		Ticket: ticket, RequestID: "r", Account: "a", IdempotencyKey: key, BodyHash: body,
	})
	return c
}

func (sim *claimSimulation) end(t *rapid.T, c *claimRequest, notRun, known bool) {
	ended := event.ClaimEnded{Ticket: c.id.ticket, NotRun: notRun}
	c.ended = true
	c.notRun = notRun
	if c.pending {
		c.pending, c.refused = false, true
	}
	if known && !notRun {
		ended.Known = true
		ended.Response = model.Response{Status: 200, Body: fmt.Appendf(nil, "%+v", c.id)}
		want := ended.Response
		want.Length = len(want.Body)
		sim.firstAnswers[c.key] = want
	}
	sim.apply(t, c.id.node, ended)
}

// openRequests returns the requests of live processes that have not ended:
// those whose claim is pending if waiting is set, otherwise those that won it.
func (sim *claimSimulation) openRequests(waiting bool) []*claimRequest {
	var open []*claimRequest
	for _, c := range sim.requests {
		if c.id.run == sim.runs[c.id.node] && !c.ended && (c.pending && waiting || c.won && !waiting) {
			open = append(open, c)
		}
	}
	return open
}

func (sim *claimSimulation) restart(node int) {
	for _, c := range sim.requests {
		if c.id.node == node && c.id.run == sim.runs[node] {
			sim.uncertainKeys[c.key] = true
			c.pending = false
		}
	}
	sim.network.abandon(node)
	sim.start(node)
}

// completeCalls lets every call succeed until there are none left.
func (sim *claimSimulation) completeCalls(t *rapid.T) {
	for round := 0; ; round++ {
		if round > 10_000 {
			t.Fatalf("nodes still active after 10000 rounds, with %d calls in flight", len(sim.network.calls))
		}
		if len(sim.network.calls) > 0 {
			c := sim.network.calls[0]
			sim.network.calls = sim.network.calls[1:]
			if c.response == nil {
				c.response = sim.network.deliver(c)
			}
			sim.apply(t, c.node, c.response)
			continue
		}
		resting := true
		for node, s := range sim.nodes {
			if next := s.Next(); !next.IsZero() {
				resting = false
				if next.After(sim.now) {
					sim.now = next
				}
				sim.apply(t, node, event.Tick{})
			}
		}
		if resting && len(sim.network.calls) == 0 {
			return
		}
	}
}

// TestClaims guards against a request that runs twice, a request that runs
// after it was refused as NotRun, a replay that differs from the recorded
// response, and a key that remains blocked although no request ran.
func TestClaims(t *testing.T) {
	keys := []string{"k1", "k2"}
	bodies := []model.KeyHash{{1}, {2}}
	rapid.Check(t, func(t *rapid.T) {
		sim := newClaimSimulation(3)
		node := rapid.IntRange(0, len(sim.nodes)-1)
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				sim.ask(t, node.Draw(t, "node"), rapid.SampledFrom(keys).Draw(t, "key"), rapid.SampledFrom(bodies).Draw(t, "body"))
			},
			"answer": func(t *rapid.T) {
				c := sim.network.take(t)
				if c.response == nil {
					c.response = sim.network.deliver(c)
				}
				sim.apply(t, c.node, c.response)
			},
			"arrive": func(t *rapid.T) {
				c := sim.network.take(t)
				if c.response == nil {
					c.response = sim.network.deliver(c)
				}
				sim.network.calls = append(sim.network.calls, c)
			},
			"fail": func(t *rapid.T) {
				c := sim.network.take(t)
				if c.response == nil {
					c.response = sim.network.injectFault(t, c)
				}
				sim.apply(t, c.node, c.response)
			},
			"late": func(t *rapid.T) { sim.network.deliverLate(t) },
			"end": func(t *rapid.T) {
				open := sim.openRequests(false)
				if len(open) == 0 {
					t.Skip("no open requests")
				}
				c := open[rapid.IntRange(0, len(open)-1).Draw(t, "request")]
				sim.end(t, c, rapid.Bool().Draw(t, "not run"), rapid.Bool().Draw(t, "known"))
			},
			"leave": func(t *rapid.T) {
				open := sim.openRequests(true)
				if len(open) == 0 {
					t.Skip("no waiting requests")
				}
				sim.end(t, open[rapid.IntRange(0, len(open)-1).Draw(t, "request")], true, false)
			},
			"kill": func(t *rapid.T) { sim.restart(node.Draw(t, "node")) },
			"wait": func(t *rapid.T) {
				sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
				sim.apply(t, node.Draw(t, "node"), event.Tick{})
			},
		})
		for len(sim.network.lateWrites) > 0 {
			sim.network.deliverLate(t)
		}
		sim.completeCalls(t)
		for _, key := range keys {
			sim.checkNotBlocked(t, key)
		}
	})
}

// checkNotBlocked makes another request for a key. It must win the claim if no
// earlier request ran.
func (sim *claimSimulation) checkNotBlocked(t *rapid.T, key string) {
	ran := sim.uncertainKeys[key]
	for _, c := range sim.requests {
		if c.pending {
			t.Fatalf("%+v: claim is still pending", *c)
		}
		ran = ran || c.key == key && c.won && !c.notRun
	}
	if ran {
		return
	}
	c := sim.ask(t, 0, key, model.KeyHash{1})
	sim.completeCalls(t)
	if !c.won {
		t.Fatalf("key %q is blocked although no request ran", key)
	}
}

// BenchmarkClaims measures the number of claims per write when requests arrive
// faster than the store responds.
func BenchmarkClaims(b *testing.B) {
	for _, perAnswer := range []int{1, 16, 256, 4096} {
		b.Run(fmt.Sprintf("asked-per-answer=%d", perAnswer), func(b *testing.B) { benchmarkClaims(b, perAnswer) })
	}
}

func benchmarkClaims(b *testing.B, perAnswer int) {
	net := network{store: newStore()}
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
			apply(net.deliver(c))
		}
		if i > 0 && i%100_000 < perAnswer {
			// Start a new day so that the shards do not fill up.
			now = now.Add(26 * time.Hour)
		}
	}
	b.ReportMetric(float64(won)/float64(max(writes, 1)), "claims/write")
}
