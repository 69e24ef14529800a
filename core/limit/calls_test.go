package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"caroblane/core/event"
	"caroblane/core/model"
)

// BenchmarkBorrowCalls counts the borrow calls, returns included, for each
// admitted request of one account whose requests arrive at random nodes of a
// region. docs/CAPACITY.md uses it. An iteration is a trial of 60 s.
func BenchmarkBorrowCalls(b *testing.B) {
	for _, nodes := range []int{8, 55} {
		for _, limits := range []bounds{{0.5, 5}, {10, 20}, {200, 100}} {
			b.Run(fmt.Sprintf("nodes=%d/rate=%v/burst=%v", nodes, limits.rate, limits.burst), func(b *testing.B) {
				calls, admitted := uint64(0), 0
				for i := range b.N {
					r := newRegion(nodes, Mix(), DefaultOptions())
					tr := &trial{region: r, draws: rand.New(rand.NewPCG(1, uint64(i))), cut: r.nodes[0], central: limits.burst, inside: map[model.Ticket]bool{}}
					r.granted = func(*node, model.Ticket) { admitted++ }
					r.refused = func(*node, event.AdmissionRefused) {}
					r.latency = 2 * time.Millisecond
					r.roster(r.nodes...)
					r.template(acct, limits.rate, limits.burst)
					r.calm()
					before := sent(r)
					tr.run(limits)
					calls += sent(r) - before
				}
				b.ReportMetric(float64(admitted)/float64(b.N), "admitted")
				b.ReportMetric(float64(calls)/float64(max(1, admitted)), "calls/request")
			})
		}
	}
}

// sent returns a number that rises by one with each call.
func sent(r *region) uint64 {
	sum := uint64(0)
	for _, n := range r.nodes {
		sum += n.state.seq
	}
	return sum
}
