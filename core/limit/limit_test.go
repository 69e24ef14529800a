package limit

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

const acct = model.AccountName("amber")

// answers records what a region answers, in order.
type answers struct {
	granted []model.Ticket
	refused []event.AdmissionRefused
}

// started returns a region in which every node may use its share of a template.
func started(size int, way Way, rate, burst float64) (*region, *answers) {
	options := DefaultOptions()
	options.MaxWaiting, options.MaxWaitingTotal = 4, 6
	r := newRegion(size, way, options)
	got := &answers{}
	r.granted = func(_ *node, ticket model.Ticket) { got.granted = append(got.granted, ticket) }
	r.refused = func(_ *node, e event.AdmissionRefused) { got.refused = append(got.refused, e) }
	r.roster(r.nodes...)
	r.template(acct, rate, burst)
	r.calm()
	return r, got
}

// pass lets time pass with a timer event every millisecond.
func (r *region) pass(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(time.Millisecond)
		r.tick()
	}
}

// post delivers all messages, and those that they cause.
func (r *region) post() {
	for len(r.mail) > 0 {
		m := r.mail[0]
		r.mail = r.mail[1:]
		r.deliver(m)
	}
}

func (r *region) askMany(n *node, count int, by time.Duration) {
	for range count {
		r.ask(n, acct, by)
	}
}

// TestNamedCases guards the rules of section 6 one by one.
func TestNamedCases(t *testing.T) {
	for _, c := range []struct {
		name string
		size int
		way  Way
		// rate and burst of the account
		rate, burst float64
		run         func(r *region)
		granted     []model.Ticket
		refused     []event.AdmissionRefused
	}{
		{
			name: "bucket holds no more than the burst", size: 1, way: Mix(), rate: 1, burst: 2,
			run:     func(r *region) { r.pass(5 * time.Second); r.askMany(r.nodes[0], 3, time.Millisecond) },
			granted: []model.Ticket{1, 2},
		},
		{
			name: "waiters are served in order", size: 1, way: Mix(), rate: 10, burst: 1,
			run: func(r *region) {
				r.pass(time.Second)
				r.askMany(r.nodes[0], 3, time.Second)
				r.pass(150 * time.Millisecond)
			},
			granted: []model.Ticket{1, 2},
		},
		{
			name: "deadline ends the wait", size: 1, way: Mix(), rate: 0.2, burst: 1,
			run: func(r *region) {
				r.pass(7 * time.Second)
				r.contact(r.nodes[0], false)
				r.askMany(r.nodes[0], 2, 100*time.Millisecond)
				r.pass(time.Second)
			},
			granted: []model.Ticket{1},
			refused: []event.AdmissionRefused{{Ticket: 2, Reason: model.RateLimited, RetryAfterSeconds: 5}},
		},
		{
			name: "full queue refuses at once", size: 1, way: Mix(), rate: 1, burst: 1,
			run:     func(r *region) { r.askMany(r.nodes[0], 6, time.Minute) },
			granted: []model.Ticket{1},
			refused: []event.AdmissionRefused{{Ticket: 6, Reason: model.RateLimited, RetryAfterSeconds: 5}},
		},
		{
			name: "full node refuses at once", size: 1, way: Mix(), rate: 1, burst: 1,
			run: func(r *region) {
				r.template("birch", 0, 1)
				r.contact(r.nodes[0], false)
				r.askMany(r.nodes[0], 5, time.Minute)
				for range 3 {
					r.ask(r.nodes[0], "birch", time.Minute)
				}
			},
			granted: []model.Ticket{1},
			refused: []event.AdmissionRefused{{Ticket: 8, Reason: model.Overloaded, RetryAfterSeconds: 1}},
		},
		{
			name: "dropped request leaves its place", size: 1, way: Mix(), rate: 10, burst: 1,
			run: func(r *region) {
				r.askMany(r.nodes[0], 3, time.Second)
				r.apply(r.nodes[0], event.AdmissionDropped{Ticket: 2})
				r.pass(110 * time.Millisecond)
			},
			granted: []model.Ticket{1, 3},
		},
		{
			name: "deleted account refuses its waiters", size: 1, way: Mix(), rate: 1, burst: 1,
			run: func(r *region) {
				r.askMany(r.nodes[0], 2, time.Minute)
				r.write(event.TemplateChanged{Account: acct, Deleted: true})
				r.contact(r.nodes[0], false)
				r.askMany(r.nodes[0], 1, time.Minute)
			},
			granted: []model.Ticket{1},
			refused: []event.AdmissionRefused{
				{Ticket: 2, Reason: model.KeyUnknown}, {Ticket: 3, Reason: model.KeyUnknown},
			},
		},
		{
			name: "lower burst counts at once", size: 1, way: Mix(), rate: 100, burst: 8,
			run: func(r *region) {
				r.pass(time.Second)
				r.template(acct, 100, 2)
				r.contact(r.nodes[0], false)
				r.askMany(r.nodes[0], 3, time.Microsecond)
			},
			granted: []model.Ticket{1, 2},
		},
		{
			name: "higher burst waits until it is settled", size: 1, way: Mix(), rate: 100, burst: 2,
			run: func(r *region) {
				r.template(acct, 100, 8)
				r.contact(r.nodes[0], false)
				r.pass(3 * time.Second)
				r.askMany(r.nodes[0], 3, time.Microsecond)
				r.settle(r.nodes[0], r.oldest())
				r.pass(2100 * time.Millisecond)
				r.askMany(r.nodes[0], 4, time.Microsecond)
			},
			granted: []model.Ticket{1, 2, 4, 5, 6, 7},
			refused: []event.AdmissionRefused{{Ticket: 3, Reason: model.RateLimited, RetryAfterSeconds: 1}},
		},
		{
			name: "missed write counts as zero until it is settled", size: 1, way: Mix(), rate: 100, burst: 2,
			run: func(r *region) {
				r.template(acct, 0.01, 1)
				r.template(acct, 100, 2)
				r.contact(r.nodes[0], true)
				r.askMany(r.nodes[0], 1, time.Second)
				r.pass(1100 * time.Millisecond)
				r.settle(r.nodes[0], r.oldest())
				r.pass(2100 * time.Millisecond)
				r.askMany(r.nodes[0], 1, time.Second)
			},
			granted: []model.Ticket{2},
			refused: []event.AdmissionRefused{{Ticket: 1, Reason: model.RateLimited, RetryAfterSeconds: 1}},
		},
		{
			name: "restarted node waits the term of a loan and starts empty", size: 1, way: Mix(), rate: 0.5, burst: 4,
			run: func(r *region) {
				r.start(r.nodes[0])
				r.contact(r.nodes[0], false)
				r.settle(r.nodes[0], r.oldest())
				r.askMany(r.nodes[0], 1, 1990*time.Millisecond)
				r.pass(2 * time.Second)
				r.askMany(r.nodes[0], 1, 1990*time.Millisecond)
				r.pass(1900 * time.Millisecond)
				r.askMany(r.nodes[0], 1, 500*time.Millisecond)
				r.pass(500 * time.Millisecond)
			},
			refused: []event.AdmissionRefused{
				{Ticket: 1, Reason: model.RateLimited, RetryAfterSeconds: 2},
				{Ticket: 2, Reason: model.RateLimited, RetryAfterSeconds: 4},
			},
			granted: []model.Ticket{3},
		},
		{
			name: "stale node keeps its waiters waiting", size: 1, way: Mix(), rate: 10, burst: 1,
			run: func(r *region) {
				r.nodes[0].freshUntil = r.now
				r.askMany(r.nodes[0], 1, 10*time.Second)
				r.pass(time.Second)
				if r.nodes[0].state.Waiting() != 1 {
					panic("the waiter is gone")
				}
				r.contact(r.nodes[0], false)
				r.pass(200 * time.Millisecond)
			},
			granted: []model.Ticket{1},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, got := started(c.size, c.way, c.rate, c.burst)
			c.run(r)
			want := &answers{granted: c.granted, refused: c.refused}
			if diff := cmp.Diff(want, got, cmp.AllowUnexported(answers{})); diff != "" {
				t.Errorf("answers differ (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLoanCases guards the rules of loans between two nodes, with all of the
// account's share at the lender.
func TestLoanCases(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(t *testing.T, r *region, borrower, lender *node)
		// granted is the number of admissions.
		granted int
	}{
		{
			name: "borrowed tokens admit the waiters",
			run: func(_ *testing.T, r *region, borrower, _ *node) {
				r.askMany(borrower, 3, time.Second)
				r.post()
			},
			granted: 3,
		},
		{
			name: "repeated request is subtracted once",
			run: func(t *testing.T, r *region, borrower, lender *node) {
				r.askMany(borrower, 1, time.Second)
				m := r.mail[0]
				r.deliver(m)
				before := level(lender)
				r.deliver(m)
				if after := level(lender); after != before {
					t.Errorf("lender has %v tokens after the repeat, want %v", after, before)
				}
				if first, second := r.mail[1].amount, r.mail[2].amount; first != second || first.Level < 1 {
					t.Errorf("answers differ: %+v and %+v", first, second)
				}
				r.post()
			},
			granted: 1,
		},
		{
			name: "repeated answer counts once",
			run: func(t *testing.T, r *region, borrower, _ *node) {
				r.askMany(borrower, 1, time.Second)
				r.deliver(r.mail[0])
				answer := r.mail[1]
				r.deliver(answer)
				r.deliver(answer)
				if got := level(borrower); got >= 1 {
					t.Errorf("borrower has %v tokens left", got)
				}
			},
			granted: 1,
		},
		{
			name: "answer after the term brings nothing",
			run: func(_ *testing.T, r *region, borrower, _ *node) {
				r.askMany(borrower, 1, 3*time.Second)
				r.deliver(r.mail[0])
				answer := r.mail[1]
				r.mail = nil
				r.pass(r.options.LoanTerm)
				r.deliver(answer)
			},
		},
		{
			name: "lost loan is back after its term on any clock",
			run: func(t *testing.T, r *region, borrower, lender *node) {
				r.askMany(borrower, 4, time.Second)
				r.deliver(r.mail[0])
				r.mail = nil
				r.pass(r.options.LoanTerm)
				if got := r.capacity(lender); got >= 4 {
					t.Errorf("lender has capacity %v at the end of the term", got)
				}
				r.pass(3 * time.Millisecond)
				if got := r.capacity(lender); got != 4 {
					t.Errorf("lender has capacity %v after the term, want 4", got)
				}
			},
		},
		{
			name: "used permit is given back at once",
			run: func(t *testing.T, r *region, borrower, lender *node) {
				r.askMany(borrower, 1, time.Second)
				r.post()
				if got := r.capacity(lender); got != 4 {
					t.Errorf("lender has capacity %v, want 4", got)
				}
			},
			granted: 1,
		},
		{
			name: "request older than a given back loan is refused",
			run: func(t *testing.T, r *region, borrower, lender *node) {
				r.askMany(borrower, 1, time.Second)
				late := r.mail[0]
				r.post()
				r.deliver(late)
				if got := r.mail[len(r.mail)-1].amount; got != (model.Allowance{}) {
					t.Errorf("late request got %+v", got)
				}
				if got := r.capacity(lender); got != 4 {
					t.Errorf("lender has capacity %v, want 4", got)
				}
			},
			granted: 1,
		},
		{
			name: "late give back of an earlier process leaves the loan",
			run: func(t *testing.T, r *region, borrower, lender *node) {
				late := message{
					from: borrower, to: lender, incarnation: borrower.incarnation,
					borrow: effect.Borrow{Account: acct, Seq: math.MaxUint64, GivenBack: true, Returned: 4},
				}
				r.start(borrower)
				r.contact(borrower, false)
				r.askMany(borrower, 1, time.Second)
				r.deliver(r.mail[0])
				r.deliver(late)
				if got := r.capacity(lender); got != 3 {
					t.Errorf("lender has capacity %v, want 3", got)
				}
			},
		},
		{
			name: "withdrawn request gives its token back",
			run: func(t *testing.T, r *region, borrower, lender *node) {
				r.askMany(borrower, 1, time.Second)
				ticket := r.tickets
				asked := r.mail[0]
				r.mail = nil
				r.deliver(asked)
				answer := r.mail[0]
				r.mail = nil
				r.apply(borrower, event.AdmissionDropped{Ticket: ticket})
				r.deliver(answer)
				r.post()
				if got := r.capacity(lender); got != 4 || level(borrower) != 0 {
					t.Errorf("lender has capacity %v, want 4; borrower has level %v", got, level(borrower))
				}
			},
		},
		{
			name: "returned tokens count once",
			run: func(t *testing.T, r *region, borrower, lender *node) {
				r.askMany(borrower, 2, time.Second)
				asked := r.mail[0]
				r.mail = nil
				r.deliver(asked)
				answer := r.mail[0]
				r.mail = nil
				r.apply(borrower, event.AdmissionDropped{Ticket: 2})
				r.deliver(answer)
				back := r.mail[0]
				for range 3 {
					r.deliver(back)
				}
				if got := level(lender); got > 3 {
					t.Errorf("lender has %v tokens, want 3", got)
				}
			},
			granted: 1,
		},
		{
			name: "stale lender lends nothing",
			run: func(_ *testing.T, r *region, borrower, lender *node) {
				lender.freshUntil = r.now
				r.askMany(borrower, 1, 50*time.Millisecond)
				r.post()
			},
		},
		{
			name: "borrow request waits in turn",
			run: func(t *testing.T, r *region, borrower, lender *node) {
				r.askMany(lender, 5, time.Second)
				r.askMany(borrower, 1, time.Second)
				r.askMany(lender, 1, time.Second)
				r.post()
				r.pass(110 * time.Millisecond)
				r.post()
				if lender.state.Waiting() != 2 {
					t.Errorf("%d wait at the lender, want the borrow request and a request", lender.state.Waiting())
				}
				r.pass(100 * time.Millisecond)
				r.post()
			},
			granted: 6,
		},
		{
			name: "failed request avoids the lender",
			run: func(t *testing.T, r *region, borrower, _ *node) {
				r.askMany(borrower, 1, 500*time.Millisecond)
				m := r.mail[0]
				r.mail = nil
				r.fail(m)
				r.pass(400 * time.Millisecond)
				if len(r.mail) != 0 {
					t.Errorf("borrower sent %+v", r.mail)
				}
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, got := started(2, Home(), 10, 4)
			lender, borrower := r.nodes[0], r.nodes[1]
			if r.capacity(lender) == 0 {
				lender, borrower = borrower, lender
			}
			c.run(t, r, borrower, lender)
			if len(got.granted) != c.granted {
				t.Errorf("%d admissions, want %d", len(got.granted), c.granted)
			}
		})
	}
}

// TestReserved guards against lending to others what a borrower may still use
// while a further loan is on its way to it.
func TestReserved(t *testing.T) {
	loan := func(rate, burst, level float64) lentLoan {
		return lentLoan{amount: model.Allowance{Rate: rate, Burst: burst, Level: level}}
	}
	for _, c := range []struct {
		name  string
		loans []lentLoan
		want  model.Allowance
	}{
		{"no loan", nil, model.Allowance{}},
		{"one loan", []lentLoan{loan(3, 2, 1)}, model.Allowance{Rate: 3, Burst: 2}},
		{"tokens on top of an earlier loan", []lentLoan{loan(3, 2, 1), loan(1, 1, 1)}, model.Allowance{Rate: 3, Burst: 3}},
		{"larger renewal", []lentLoan{loan(1, 1, 1), loan(3, 5, 1)}, model.Allowance{Rate: 3, Burst: 5}},
	} {
		if got := (debt{loans: c.loans}).reserved(); got != c.want {
			t.Errorf("%s: reserved %+v, want %+v", c.name, got, c.want)
		}
	}
}

// TestUnneeded guards against giving a loan back while an answer of the same
// lender is on its way: the lender would take both as given back, and this
// node would use the second one.
func TestUnneeded(t *testing.T) {
	permit := heldLoan{lender: "vm-1", amount: model.Allowance{Burst: 1, Level: 1}}
	rate := heldLoan{lender: "vm-1", amount: model.Allowance{Rate: 1, Burst: 1}}
	asksRate := ask{lender: "vm-1", seq: 7, want: model.Allowance{Rate: 1}}
	asksPermit := ask{lender: "vm-1", seq: 7, want: model.Allowance{Level: 1}}
	for _, c := range []struct {
		name    string
		account account
		back    int
		held    int
		open    bool
	}{
		{"unused permit", account{held: []heldLoan{permit}, level: 1}, 1, 0, false},
		{"permit with waiters and a token", account{held: []heldLoan{permit}, level: 1, callers: 1}, 0, 1, false},
		{"used permit with waiters", account{held: []heldLoan{permit}, callers: 1}, 1, 0, false},
		{"rate", account{held: []heldLoan{rate}}, 0, 1, false},
		{"permit, rate on its way", account{held: []heldLoan{permit}, asks: []ask{asksRate}}, 0, 1, true},
		{"permit on its way", account{asks: []ask{asksPermit}}, 1, 0, false},
		{"permit on its way with waiters", account{asks: []ask{asksPermit}, callers: 1}, 0, 0, true},
		{"rate, permit on its way", account{held: []heldLoan{rate}, asks: []ask{asksPermit}}, 0, 1, true},
	} {
		a, back := c.account.withoutUnneeded()
		if len(back) != c.back || len(a.held) != c.held || (a.askOf("vm-1").seq != 0) != c.open {
			t.Errorf("%s: gives back %+v, holds %+v, asks %+v", c.name, back, a.held, a.asks)
		}
	}
}

// capacity returns how many tokens a node's bucket holds now.
func (r *region) capacity(n *node) float64 {
	a, _ := n.state.accounts.Get(acct)
	return n.state.current(a, turn{at: r.clock(n)}).capacity()
}

// level returns the tokens of a node's bucket as last used.
func level(n *node) float64 {
	a, _ := n.state.accounts.Get(acct)
	return a.level
}

// TestSharesSum guards against shares of a roster that add up to more than the
// limits, or that leave a part unused.
func TestSharesSum(t *testing.T) {
	for name, way := range map[string]Way{"split": Split(), "home": Home(), "mix": Mix()} {
		for size := 1; size <= 9; size++ {
			for _, burst := range []float64{0.5, 1, 2, 3.5, 8, 100} {
				var members []model.NodeName
				for i := range size {
					members = append(members, model.NodeName(fmt.Sprintf("vm-%d", i)))
				}
				var sum model.Allowance
				owners := way.owners(acct, bounds{10, burst}, members)
				for _, m := range members {
					share := way.share(m, acct, bounds{10, burst}, members)
					sum.Rate += share.Rate
					sum.Burst += share.Burst
				}
				if math.Abs(sum.Rate-10) > 1e-9 || math.Abs(sum.Burst-burst) > 1e-9 {
					t.Errorf("%s of %d members, burst %v: shares add up to %+v", name, size, burst, sum)
				}
				for _, m := range owners {
					if way.share(m, acct, bounds{10, burst}, members).Rate == 0 {
						t.Errorf("%s of %d members, burst %v: owner %s has no share", name, size, burst, m)
					}
				}
			}
		}
	}
}
