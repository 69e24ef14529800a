package claim

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
)

// storeCall is a call on its way to the store or a response on its way back.
type storeCall struct {
	node   int
	effect effect.Effect
	answer event.Event
	at     time.Time
}

// region simulates nodes that acquire claims in one store. A store call takes
// callLatency.
type region struct {
	nodes   []State
	now     time.Time
	objects map[string]model.Change
	version model.Version
	calls   []storeCall
	ends    []storeCall
	random  *rand.Rand

	writes, conflicts, reads, won, refused, recorded int
	bytes                                            int
}

const (
	callLatency     = 4 * time.Millisecond
	requestDuration = 100 * time.Millisecond
)

func (r *region) apply(node int, e event.Event) {
	next, out := r.nodes[node].Apply(step.Input[event.Event]{At: r.now, Random: r.random.Uint64(), Event: e})
	r.nodes[node] = next
	for _, f := range out.Effects {
		r.calls = append(r.calls, storeCall{node: node, effect: f, at: r.now.Add(callLatency / 2)})
	}
	for _, raised := range out.Raised {
		switch e := raised.(type) {
		case event.ClaimWon:
			r.won++
			ended := event.ClaimEnded{Ticket: e.Ticket, Known: true, Response: model.Response{Status: 200, Body: make([]byte, 200), Length: 200}}
			r.ends = append(r.ends, storeCall{node: node, answer: ended, at: r.now.Add(requestDuration)})
		case event.ClaimRefused:
			r.refused++
		case event.ClaimRecorded:
			r.recorded++
		}
	}
}

// execute runs a call at the store and returns the response.
func (r *region) execute(f effect.Effect) event.Event {
	switch f := f.(type) {
	case effect.ReadObject:
		r.reads++
		object, ok := r.objects[f.Name]
		return event.ObjectRead{Op: f.Op, Found: ok, Object: object}
	case effect.WriteObject:
		r.writes++
		if r.objects[f.Name].Version != f.IfVersion {
			r.conflicts++
			return event.ObjectConflict{Op: f.Op}
		}
		r.version++
		r.objects[f.Name] = model.Change{Kind: f.Kind, Name: f.Name, Version: r.version, Value: f.Value}
		for _, entry := range f.Value.(model.Claim).Entries {
			r.bytes += sizeOf(entry)
		}
		return event.ObjectWritten{Op: f.Op, Version: r.version}
	default:
		return nil
	}
}

// takeDue removes the calls that are due from a list sorted by time.
func (r *region) takeDue(calls *[]storeCall) []storeCall {
	n := 0
	for n < len(*calls) && !(*calls)[n].at.After(r.now) {
		n++
	}
	taken := (*calls)[:n:n]
	*calls = (*calls)[n:]
	return taken
}

// BenchmarkRegion counts the store calls per claim, including the record of the
// outcome, in a region of several nodes that share the 256 Claim objects. Calls
// take 4 ms, requests run for 100 ms and return 200 bytes. The time of an
// iteration is that of the component on all nodes. docs/CAPACITY.md uses the
// results.
func BenchmarkRegion(b *testing.B) {
	const seconds = 5
	for _, size := range []struct{ nodes, rate int }{{1, 100}, {1, 1000}, {8, 20}, {8, 100}, {55, 100}, {55, 600}} {
		b.Run(fmt.Sprintf("nodes=%d/rate=%d", size.nodes, size.rate), func(b *testing.B) {
			for range b.N {
				r := &region{now: time.Unix(1_800_000_000, 0), objects: map[string]model.Change{}, random: rand.New(rand.NewPCG(1, 2))}
				for i := range size.nodes {
					r.nodes = append(r.nodes, New(DefaultSettings(), model.Incarnation(i+1)))
				}
				r.run(size.rate, seconds)
				claims := float64(r.won)
				b.ReportMetric(float64(r.writes)/claims, "writes/claim")
				b.ReportMetric(float64(r.conflicts)/claims, "conflicts/claim")
				b.ReportMetric(float64(r.reads)/claims, "reads/claim")
				b.ReportMetric(float64(r.bytes)/claims, "B/claim")
				b.ReportMetric(float64(r.refused), "refused")
				b.ReportMetric(float64(r.writes)/seconds, "writes/s")
				b.ReportMetric(float64(r.reads)/seconds, "reads/s")
			}
		})
	}
}

func (r *region) run(rate, seconds int) {
	var ticket model.Ticket
	for ms := range seconds * 1000 {
		r.now = r.now.Add(time.Millisecond)
		for range (ms+1)*rate/1000 - ms*rate/1000 {
			ticket++
			r.apply(r.random.IntN(len(r.nodes)), event.ClaimAsked{
				Ticket: ticket, RequestID: "r", Account: "account-1", IdempotencyKey: "order-" + strconv.Itoa(int(ticket)),
			})
		}
		for _, c := range r.takeDue(&r.calls) {
			if c.effect == nil {
				r.apply(c.node, c.answer)
				continue
			}
			r.calls = append(r.calls, storeCall{node: c.node, answer: r.execute(c.effect), at: r.now.Add(callLatency / 2)})
		}
		for _, c := range r.takeDue(&r.ends) {
			r.apply(c.node, c.answer)
		}
		for i := range r.nodes {
			if next := r.nodes[i].Next(); !next.IsZero() && !next.After(r.now) {
				r.apply(i, event.Tick{})
			}
		}
	}
}
