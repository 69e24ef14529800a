package limit

import (
	"fmt"
	"testing"
	"time"

	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
)

// BenchmarkEvents measures the events per second of one node in a region of
// eight, with 100 accounts (the present number) and 11000 accounts (the number to
// design for). In "granted", each request gets a token. In "waiting", each
// request is queued and then dropped. In "lending", the node grants a loan, which
// is then returned.
func BenchmarkEvents(b *testing.B) {
	for _, count := range []int{100, 11000} {
		for _, kind := range []string{"granted", "waiting", "lending"} {
			b.Run(fmt.Sprintf("%s/accounts=%d", kind, count), func(b *testing.B) {
				rate := 1e6
				if kind == "waiting" {
					rate = 1e-6
				}
				state, now, names := benchState(count, rate)
				var ticket model.Ticket
				seq := uint64(1)
				fresh := View{Fresh: true}
				apply := func(e event.Event) {
					now = now.Add(5 * time.Microsecond)
					state, _ = state.Apply(step.Input[event.Event]{At: now, Random: seq * 0x9e3779b97f4a7c15, Event: e}, fresh)
					_ = state.Next()
				}
				b.ReportAllocs()
				b.ResetTimer()
				for i := 0; i < b.N; i++ {
					name := names[(i*7919)%len(names)]
					ticket++
					seq++
					switch kind {
					case "granted":
						apply(event.AdmissionAsked{Ticket: ticket, Account: name, AdmitBy: now.Add(time.Second)})
					case "waiting":
						if i%2 == 0 {
							apply(event.AdmissionAsked{Ticket: ticket, Account: name, AdmitBy: now.Add(time.Second)})
						} else {
							apply(event.AdmissionDropped{Ticket: ticket - 1})
						}
					case "lending":
						ask := event.BorrowAsked{Ticket: ticket, From: "vm-1", Account: name, Seq: seq, GivenBack: true}
						if (i/len(names))%2 == 0 {
							ask.Want = model.Allowance{Burst: 1, Level: 1}
						}
						apply(ask)
					}
				}
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "events/s")
			})
		}
	}
}

// benchState returns the state of a node whose shares are in effect and whose
// buckets are full.
func benchState(count int, rate float64) (State, time.Time, []model.AccountName) {
	r := newRegion(8, Hybrid(), DefaultOptions())
	n := r.nodes[0]
	r.roster(r.nodes...)
	var names []model.AccountName
	for i := range count {
		names = append(names, model.AccountName(fmt.Sprintf("account-%d", i)))
		r.template(names[i], rate, 800)
	}
	r.sync(n, false)
	r.settle(n, n.version)
	r.now = r.now.Add(3 * time.Second)
	return n.state, r.clock(n), names
}
