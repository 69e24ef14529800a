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

// at is the start of the benchmark's time.
var (
	at    = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	later = at.Add(4 * time.Second)
	self  = model.Member{Name: "n", Address: "127.0.0.1:1", Incarnation: 1}
)

// started returns a node that has not heard of the store yet.
func started(member model.Member) State {
	return New(Parts{
		Peers: peers.New(member, "r"),
		Limit: limit.New(member.Name, limit.Mix(), limit.DefaultOptions()),
		Claim: claim.New(claim.DefaultSettings(), member.Incarnation),
		Lease: lease.New(lease.DefaultSettings("r"), member.Name, member.Incarnation, at.Add(time.Hour)),
		Order: order.New(order.DefaultSettings(), member.Name, member.Incarnation),
		Flow:  flow.New(1024),
	})
}

func keyOf(account int) model.KeyHash {
	return sha256.Sum256(fmt.Appendf(nil, "key-%d", account))
}

// configured returns a fresh node that holds the given number of accounts and
// upstreams, the latter spread over 6 models.
func configured(accounts, upstreams int) State {
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
	s := started(self)
	add(model.KindRoster, "r", model.Roster{Region: "r", Members: []model.Member{self}})
	contact := event.ConfigChanged{
		Changes: changes, Upto: model.Version(len(changes)), SentAt: at, FromStore: true,
	}
	s, _ = s.Apply(Input{At: at, Draw: 1 << 40, Event: contact})
	// The base shares count after the term of loans of an earlier process.
	contact.Changes, contact.SentAt = nil, later
	s, _ = s.Apply(Input{At: later, Event: contact})
	return s
}

// load is what a run of traffic did.
type load struct {
	// folded is the number of events that the parts saw.
	folded int
	// refused is the number of requests refused.
	refused int
	took    time.Duration
}

// traffic applies n events: arrivals of requests and ends of their attempts,
// with up to 64 requests open.
func traffic(s State, accounts, n int) load {
	draw := rand.New(rand.NewPCG(1, 2))
	type running struct {
		ticket  model.Ticket
		attempt int
	}
	var open []running
	ticket := model.Ticket(0)
	var done load
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
		in := Input{At: later.Add(time.Millisecond), Draw: draw.Uint64()}
		if len(open) == 64 {
			i := draw.IntN(len(open))
			in.Event = event.AttemptEnded{Ticket: open[i].ticket, Attempt: open[i].attempt, Outcome: model.Completed}
			open[i] = open[len(open)-1]
			open = open[:len(open)-1]
		} else {
			ticket++
			in.Event = event.RequestArrived{Ticket: ticket, Request: model.Request{
				ID: "r", HasKey: true, KeyHash: keys[draw.IntN(accounts)],
				Model:   models[draw.IntN(6)],
				AdmitBy: later.Add(time.Minute),
			}}
		}
		var effects []effect.Effect
		var folded int
		s, effects, folded = s.apply(in)
		done.folded += folded
		for _, e := range effects {
			switch e := e.(type) {
			case effect.Dispatch:
				open = append(open, running{e.Ticket, e.Attempt})
			case effect.Refuse:
				done.refused++
			}
		}
	}
	done.took = time.Since(started)
	return done
}

// BenchmarkEvents measures the reducer; the cost at 11,000 accounts must stay
// below twice the cost at 100. A traffic event comes from outside: a request
// that arrives, or the end of its attempt. Reducer events are these and the
// ones that the parts raise, each folded through the parts: an arrival takes
// three (RequestArrived, AdmissionAsked, AdmissionGranted), an end one.
func BenchmarkEvents(b *testing.B) {
	for _, size := range []struct{ accounts, upstreams int }{{100, 20}, {100, 1900}, {11000, 1900}} {
		b.Run(fmt.Sprintf("accounts=%d/upstreams=%d", size.accounts, size.upstreams), func(b *testing.B) {
			s := configured(size.accounts, size.upstreams)
			b.ReportAllocs()
			b.ResetTimer()
			done := traffic(s, size.accounts, b.N)
			b.ReportMetric(float64(b.N)/done.took.Seconds(), "traffic-events/s")
			b.ReportMetric(float64(done.folded)/done.took.Seconds(), "reducer-events/s")
			b.ReportMetric(float64(done.refused), "refused")
		})
	}
}

// Guards against a machine whose state or effects do not fit the loop.
var _ step.Machine[State, event.Event, effect.Effect] = State{}
