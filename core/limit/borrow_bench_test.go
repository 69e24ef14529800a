package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"caroblane/core/event"
	"caroblane/core/model"
)

// BenchmarkBorrowCalls reports the number of borrow calls, including returns,
// per admitted request of an account whose requests arrive at random nodes of a
// region. An iteration simulates 60 s. The results are used in docs/CAPACITY.md.
func BenchmarkBorrowCalls(b *testing.B) {
	for _, nodes := range []int{8, 55} {
		for _, limits := range []rateLimit{{0.5, 5}, {10, 20}, {200, 100}} {
			b.Run(fmt.Sprintf("nodes=%d/rate=%v/burst=%v", nodes, limits.rate, limits.burst), func(b *testing.B) {
				calls, admitted := uint64(0), 0
				for i := range b.N {
					r := newRegion(nodes, Hybrid(), DefaultOptions())
					sim := &simulation{region: r, random: rand.New(rand.NewPCG(1, uint64(i))), faulty: r.nodes[0], centralTokens: limits.burst, insideRate: map[model.Ticket]bool{}}
					r.granted = func(*node, model.Ticket) { admitted++ }
					r.refused = func(*node, event.AdmissionRefused) {}
					r.latency = 2 * time.Millisecond
					r.roster(r.nodes...)
					r.template(testAccount, limits.rate, limits.burst)
					r.stabilize()
					before := borrowCallCount(r)
					sim.run(limits)
					calls += borrowCallCount(r) - before
				}
				b.ReportMetric(float64(admitted)/float64(b.N), "admitted")
				b.ReportMetric(float64(calls)/float64(max(1, admitted)), "calls/request")
			})
		}
	}
}

// borrowCallCount returns a number that increases by one with each borrow call.
func borrowCallCount(r *region) uint64 {
	sum := uint64(0)
	for _, n := range r.nodes {
		sum += n.state.lastSeq
	}
	return sum
}
