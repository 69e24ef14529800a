package node

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"caroblane/core/claim"
	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/flow"
	"caroblane/core/lease"
	"caroblane/core/limit"
	"caroblane/core/model"
	"caroblane/core/order"
	"caroblane/core/peers"
	"caroblane/core/step"
)

// startAt is the start of the simulation. At laterAt, the loans of an earlier
// process have expired.
var (
	startAt = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	laterAt = startAt.Add(4 * time.Second)
	self    = model.Member{Name: "n", Address: "127.0.0.1:1", Incarnation: 1}
)

// newNode returns a node that has not contacted the store yet.
func newNode(member model.Member) State {
	return New(Components{
		Peers: peers.New(member, "r"),
		Limit: limit.New(member.Name, limit.Hybrid(), limit.DefaultOptions()),
		Claim: claim.New(claim.DefaultSettings(), member.Incarnation),
		Lease: lease.New(lease.DefaultSettings("r"), member.Name, member.Incarnation, startAt.Add(time.Hour)),
		Order: order.New(order.DefaultSettings(), member.Name, member.Incarnation),
		Flow:  flow.New(1024),
	})
}

func keyOf(account int) model.KeyHash {
	return sha256.Sum256(fmt.Appendf(nil, "key-%d", account))
}

// newConfiguredNode returns a fresh node with the given number of accounts and
// upstreams. The upstreams are distributed over 6 models.
func newConfiguredNode(accounts, upstreams int) State {
	var changes []model.Change
	add := func(kind model.Kind, name string, value any) {
		changes = append(changes, model.Change{
			Kind: kind, Name: name, Version: model.Version(len(changes) + 1), Generation: 1, Value: value,
		})
	}
	for i := range 6 {
		add(model.KindModel, fmt.Sprintf("model-%d", i), model.Model{MaxTokens: 4096})
	}
	for i := range accounts {
		name := fmt.Sprintf("account-%d", i)
		add(model.KindTemplate, name, model.Template{Rate: 1e6, Burst: 1e6})
		add(model.KindKey, name, model.Key{Account: model.AccountName(name), Hash: keyOf(i)})
	}
	for i := range upstreams {
		add(model.KindUpstream, fmt.Sprintf("engine-%d", i), model.Upstream{
			Address: "127.0.0.1:1", Slots: 64, Models: []model.ModelName{model.ModelName(fmt.Sprintf("model-%d", i%6))},
		})
	}
	s := newNode(self)
	add(model.KindRoster, "r", model.Roster{Region: "r", Members: []model.Member{self}})
	fromStore := event.ConfigChanged{
		Changes: changes, Upto: model.Version(len(changes)), SentAt: startAt, FromStore: true,
	}
	s, _ = s.Apply(Input{At: startAt, Random: 1 << 40, Event: fromStore})
	// The node may only use its base share after loans of an earlier process have
	// expired.
	fromStore.Changes, fromStore.SentAt = nil, laterAt
	s, _ = s.Apply(Input{At: laterAt, Event: fromStore})
	return s
}

// trafficResult is the result of a traffic simulation.
type trafficResult struct {
	// processed is the number of events passed to the components.
	processed int
	refused   int
	elapsed   time.Duration
}

// runTraffic applies n events: request arrivals and the ends of their attempts,
// with at most 64 open requests.
func runTraffic(s State, accounts, n int) trafficResult {
	random := rand.New(rand.NewPCG(1, 2))
	type running struct {
		ticket  model.Ticket
		attempt int
	}
	var open []running
	ticket := model.Ticket(0)
	var result trafficResult
	keys := make([]model.KeyHash, accounts)
	for i := range keys {
		keys[i] = keyOf(i)
	}
	models := make([]model.ModelName, 6)
	for i := range models {
		models[i] = model.ModelName(fmt.Sprintf("model-%d", i))
	}
	started := time.Now()
	for range n {
		in := Input{At: laterAt.Add(time.Millisecond), Random: random.Uint64()}
		if len(open) == 64 {
			i := random.IntN(len(open))
			in.Event = event.AttemptEnded{Ticket: open[i].ticket, Attempt: open[i].attempt, Outcome: model.Completed}
			open[i] = open[len(open)-1]
			open = open[:len(open)-1]
		} else {
			ticket++
			in.Event = event.RequestArrived{Ticket: ticket, Request: model.Request{
				ID: "r", HasKey: true, KeyHash: keys[random.IntN(accounts)],
				Model:   models[random.IntN(6)],
				AdmitBy: laterAt.Add(time.Minute),
			}}
		}
		var effects []effect.Effect
		var processed int
		s, effects, processed = s.apply(in)
		result.processed += processed
		for _, e := range effects {
			switch e := e.(type) {
			case effect.Dispatch:
				open = append(open, running{e.Ticket, e.Attempt})
			case effect.Refuse:
				result.refused++
			}
		}
	}
	result.elapsed = time.Since(started)
	return result
}

// BenchmarkEvents measures the throughput of the reducer. The cost at 11,000
// accounts must stay below twice the cost at 100. Traffic events are the external
// events: the arrival of a request or the end of its attempt. Reducer events
// include the events raised by components: an arrival causes three
// (RequestArrived, AdmissionAsked, AdmissionGranted), the end of an attempt one.
func BenchmarkEvents(b *testing.B) {
	for _, size := range []struct{ accounts, upstreams int }{{100, 20}, {100, 1900}, {11000, 1900}} {
		b.Run(fmt.Sprintf("accounts=%d/upstreams=%d", size.accounts, size.upstreams), func(b *testing.B) {
			s := newConfiguredNode(size.accounts, size.upstreams)
			b.ReportAllocs()
			b.ResetTimer()
			result := runTraffic(s, size.accounts, b.N)
			b.ReportMetric(float64(b.N)/result.elapsed.Seconds(), "traffic-events/s")
			b.ReportMetric(float64(result.processed)/result.elapsed.Seconds(), "reducer-events/s")
			b.ReportMetric(float64(result.refused), "refused")
		})
	}
}

// The event loop requires that State implements step.Machine.
var _ step.Machine[State, event.Event, effect.Effect] = State{}
