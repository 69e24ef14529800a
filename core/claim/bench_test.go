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

// benchCall is a call under way to the store or back.
type benchCall struct {
	node   int
	effect effect.Effect
	answer event.Event
	at     time.Time
}

// region simulates nodes that claim in one store whose calls take callTerm.
type region struct {
	nodes   []State
	now     time.Time
	objects map[string]model.Change
	version model.Version
	calls   []benchCall
	ends    []benchCall
	draw    *rand.Rand

	writes, conflicts, reads, won, refused, recorded int
	bytes                                            int
}

const (
	callTerm = 4 * time.Millisecond
	runTerm  = 100 * time.Millisecond
)

func (r *region) apply(node int, e event.Event) {
	next, out := r.nodes[node].Apply(step.Input[event.Event]{At: r.now, Draw: r.draw.Uint64(), Event: e})
	r.nodes[node] = next
	for _, f := range out.Effects {
		r.calls = append(r.calls, benchCall{node: node, effect: f, at: r.now.Add(callTerm / 2)})
	}
	for _, raised := range out.Raised {
		switch e := raised.(type) {
		case event.ClaimWon:
			r.won++
			ended := event.ClaimEnded{Ticket: e.Ticket, Known: true, Answer: model.Answer{Status: 200, Body: make([]byte, 200), Length: 200}}
			r.ends = append(r.ends, benchCall{node: node, answer: ended, at: r.now.Add(runTerm)})
		case event.ClaimRefused:
			r.refused++
		case event.ClaimRecorded:
			r.recorded++
		}
	}
}

// answer executes a call at the store.
func (r *region) answer(f effect.Effect) event.Event {
	switch f := f.(type) {
	case effect.ReadObject:
		r.reads++
		held, ok := r.objects[f.Name]
		return event.ObjectRead{Op: f.Op, Found: ok, Object: held}
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

// due takes the calls that are due out of a list in order of time.
func (r *region) due(calls *[]benchCall) []benchCall {
	n := 0
	for n < len(*calls) && !(*calls)[n].at.After(r.now) {
		n++
	}
	taken := (*calls)[:n:n]
	*calls = (*calls)[n:]
	return taken
}

// BenchmarkRegion counts the store calls of one claim, its end included, in a
// region of several nodes that share the 256 objects. Calls take 4 ms, requests
// run for 100 ms and answer 200 bytes. The time of an iteration is that of all
// nodes' reducers. docs/CAPACITY.md uses it.
func BenchmarkRegion(b *testing.B) {
	const seconds = 5
	for _, size := range []struct{ nodes, rate int }{{1, 100}, {1, 1000}, {8, 20}, {8, 100}, {55, 100}, {55, 600}} {
		b.Run(fmt.Sprintf("nodes=%d/rate=%d", size.nodes, size.rate), func(b *testing.B) {
			for range b.N {
				r := &region{now: time.Unix(1_800_000_000, 0), objects: map[string]model.Change{}, draw: rand.New(rand.NewPCG(1, 2))}
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
			r.apply(r.draw.IntN(len(r.nodes)), event.ClaimAsked{
				Ticket: ticket, RequestID: "r", Account: "account-1", IdempotencyKey: "order-" + strconv.Itoa(int(ticket)),
			})
		}
		for _, c := range r.due(&r.calls) {
			if c.effect == nil {
				r.apply(c.node, c.answer)
				continue
			}
			r.calls = append(r.calls, benchCall{node: c.node, answer: r.answer(c.effect), at: r.now.Add(callTerm / 2)})
		}
		for _, c := range r.due(&r.ends) {
			r.apply(c.node, c.answer)
		}
		for i := range r.nodes {
			if next := r.nodes[i].Next(); !next.IsZero() && !next.After(r.now) {
				r.apply(i, event.Tick{})
			}
		}
	}
}
