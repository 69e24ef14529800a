package limit

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"caroblane/core/event"
	"caroblane/core/model"
)

// TestMain sets the seed and the sizes of the random tests, unless the command
// line sets them.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed": "20261204", "rapid.nofailfile": "true", "rapid.checks": "300", "rapid.steps": "100",
	} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}

// admissionChecker checks the admissions of a region against the limits in use at
// the time.
type admissionChecker struct {
	region   *region
	accounts map[model.Ticket]model.AccountName
	admitted map[model.AccountName][]time.Time
	// versionsInUse has the oldest version in use, with the time from which on
	// it was.
	versionsInUse []versionSample
	fail          func(string, ...any)
}

type versionSample struct {
	at      time.Time
	version model.Version
}

func newAdmissionChecker(r *region, fail func(string, ...any)) *admissionChecker {
	c := &admissionChecker{
		region: r, fail: fail,
		accounts: map[model.Ticket]model.AccountName{},
		admitted: map[model.AccountName][]time.Time{},
	}
	r.granted = c.granted
	r.refused = func(n *node, e event.AdmissionRefused) { c.takeAccount(n, e.Ticket) }
	return c
}

// recordVersion records the oldest version in use. It runs after each action.
func (c *admissionChecker) recordVersion() {
	low := c.region.oldestVersion()
	if n := len(c.versionsInUse); n == 0 || c.versionsInUse[n-1].version != low {
		c.versionsInUse = append(c.versionsInUse, versionSample{c.region.now, low})
	}
}

func (c *admissionChecker) takeAccount(n *node, ticket model.Ticket) model.AccountName {
	account, ok := c.accounts[ticket]
	if !ok {
		c.fail("ticket %d was answered by %s twice or without a request", ticket, n.name)
	}
	delete(c.accounts, ticket)
	return account
}

func (c *admissionChecker) granted(n *node, ticket model.Ticket) {
	r := c.region
	if !r.fresh(n) {
		c.fail("%s admitted ticket %d without being fresh", n.name, ticket)
	}
	account := c.takeAccount(n, ticket)
	c.admitted[account] = append(c.admitted[account], r.now)
	times := c.admitted[account]
	for i, from := range times {
		most := c.largestLimit(account, from)
		window := r.now.Sub(from).Seconds()
		if got := float64(len(times) - i); got > most.burst+most.rate*window+1e-6 {
			c.fail("%s: %v admissions in %vs, want at most %v + %v/s", account, got, window, most.burst, most.rate)
		}
	}
}

// largestLimit returns the largest limits in use since from. Loans that were
// granted at an older version remain in use for the duration of a loan.
func (c *admissionChecker) largestLimit(account model.AccountName, from time.Time) rateLimit {
	r := c.region
	low := model.Version(0)
	since := from.Add(-r.options.LoanDuration - 10*time.Millisecond)
	for _, m := range c.versionsInUse {
		if m.at.After(since) {
			break
		}
		low = m.version
	}
	var most, current rateLimit
	for i, w := range r.writes {
		if t, ok := w.(event.TemplateChanged); ok && t.Account == account {
			current = rateLimitOf(t.Template)
		}
		if model.Version(i+1) >= low {
			most.rate, most.burst = max(most.rate, current.rate), max(most.burst, current.burst)
		}
	}
	return most
}

// checkRandomHistory applies random events to a region and checks its admissions.
func checkRandomHistory(t *rapid.T, fault string) {
	options := DefaultOptions()
	options.MaxWaiting, options.MaxWaitingTotal = 8, 12
	strategies := map[string]Strategy{"equal": EqualShares(), "single": SingleOwner(), "hybrid": Hybrid(), "greedy": greedyStrategy()}
	strategy := strategies[rapid.SampledFrom([]string{"greedy", "single", "hybrid", "equal"}).Draw(t, "strategy")]
	r := newRegion(4, strategy, options)
	r.fault = fault
	for _, n := range r.nodes {
		n.clockRate = 1 + rapid.SampledFrom([]float64{0, -0.0005, 0.0005}).Draw(t, "clock rate")
		r.start(n)
	}
	c := newAdmissionChecker(r, t.Fatalf)
	accounts := []model.AccountName{"amber", "birch"}
	rates := rapid.SampledFrom([]float64{2, 0, 0.5, 10, 50})
	bursts := rapid.SampledFrom([]float64{4, 0.5, 1, 2, 3, 8, 20})
	pick := func(t *rapid.T) *node { return rapid.SampledFrom(r.nodes).Draw(t, "node") }
	account := func(t *rapid.T) model.AccountName { return rapid.SampledFrom(accounts).Draw(t, "account") }
	r.roster(r.nodes...)
	for _, name := range accounts {
		r.template(name, rates.Draw(t, "rate"), bursts.Draw(t, "burst"))
	}
	r.stabilize()
	c.recordVersion()
	request := func(t *rapid.T) {
		n, name := pick(t), account(t)
		for range rapid.IntRange(1, 8).Draw(t, "requests") {
			if !r.fresh(n) {
				return
			}
			c.accounts[r.lastTicket+1] = name
			if fault == "granted without taking a token" && n == r.nodes[0] {
				r.granted(n, r.ticket())
				continue
			}
			r.request(n, name, time.Duration(rapid.IntRange(-10, 8000).Draw(t, "wait"))*time.Millisecond)
		}
	}
	saturateNode := func(n *node) {
		for range 24 {
			if r.fresh(n) {
				c.accounts[r.lastTicket+1] = accounts[0]
				r.request(n, accounts[0], time.Second)
			}
		}
	}
	saturate := func(*rapid.T) {
		for _, n := range r.nodes {
			saturateNode(n)
		}
	}
	advance := func(t *rapid.T) {
		steps := []time.Duration{time.Millisecond, 20 * time.Millisecond, 300 * time.Millisecond, 1100 * time.Millisecond, 1900 * time.Millisecond}
		r.now = r.now.Add(rapid.SampledFrom(steps).Draw(t, "time"))
		r.runTimers()
	}
	deliver := func(t *rapid.T) {
		if len(r.messages) == 0 {
			return
		}
		i := rapid.IntRange(0, len(r.messages)-1).Draw(t, "message")
		m := r.messages[i]
		if rapid.IntRange(0, 9).Draw(t, "duplicate") != 0 {
			r.messages = slices.Delete(r.messages, i, i+1)
		}
		r.deliver(m)
	}
	learn := func(n *node) {
		if n.up && !n.paused {
			r.sync(n, false)
			r.settle(n, r.oldestVersion())
		}
	}
	learnSome := func(t *rapid.T) {
		for _, n := range r.nodes {
			if rapid.Bool().Draw(t, "learns") {
				learn(n)
			}
		}
	}
	editRoster := func(t *rapid.T) {
		r.roster(rapid.SliceOfNDistinct(rapid.SampledFrom(r.nodes), 1, 4, rapid.ID[*node]).Draw(t, "members")...)
		learnSome(t)
	}
	deliverAll := func(t *rapid.T) {
		for range 40 {
			deliver(t)
		}
	}
	stabilize := func(*rapid.T) {
		for _, n := range r.nodes {
			if n.paused = false; !n.up {
				r.start(n)
			}
		}
		r.stabilize()
	}
	// Actions are drawn by the order of their names, so renaming one changes the
	// histories that a seed gives.
	actions := map[string]func(*rapid.T){
		"ask": request, "ask more": request, "advance": advance, "advance more": advance,
		"deliver": deliver, "deliver more": deliver,
		"deliver all": deliverAll,
		"lose": func(t *rapid.T) {
			if len(r.messages) > 0 {
				m := r.messages[0]
				r.messages = r.messages[1:]
				r.fail(m)
			}
		},
		"contact": func(t *rapid.T) {
			if n := pick(t); n.up && !n.paused {
				r.sync(n, rapid.Bool().Draw(t, "coalesced"))
			}
		},
		"settle": func(t *rapid.T) {
			if n := pick(t); n.up && !n.paused {
				past := rapid.IntRange(0, len(c.versionsInUse)-1).Draw(t, "delay")
				r.settle(n, c.versionsInUse[max(0, len(c.versionsInUse)-1-past/2)].version)
			}
		},
		"learn": learnSome,
		"outage": func(t *rapid.T) {
			r.now = r.now.Add(7 * time.Second)
			r.runTimers()
		},
		"saturate": saturate, "saturate more": saturate,
		"calm": stabilize,
		// Saturates the region before and after loans and a possible change of the
		// roster.
		"episode": func(t *rapid.T) {
			stabilize(t)
			if rapid.Bool().Draw(t, "loans") {
				saturateNode(pick(t))
				deliverAll(t)
			}
			if rapid.Bool().Draw(t, "edit") {
				editRoster(t)
			}
			advance(t)
			advance(t)
			saturate(t)
			deliverAll(t)
		},
		"template": func(t *rapid.T) {
			r.template(account(t), rates.Draw(t, "rate"), bursts.Draw(t, "burst"))
			learnSome(t)
		},
		"delete": func(t *rapid.T) {
			r.write(event.TemplateChanged{Account: account(t), Deleted: true})
		},
		"roster": editRoster,
		"pause": func(t *rapid.T) {
			n := pick(t)
			n.paused = !n.paused
		},
		"kill": func(t *rapid.T) { pick(t).up = false },
		"restart": func(t *rapid.T) {
			r.start(pick(t))
		},
		"drop": func(t *rapid.T) {
			r.apply(pick(t), event.AdmissionDropped{Ticket: rapid.Custom(func(t *rapid.T) model.Ticket {
				return model.Ticket(rapid.Uint64Range(1, uint64(r.lastTicket)+1).Draw(t, "ticket"))
			}).Draw(t, "dropped")})
		},
		"": func(*rapid.T) { c.recordVersion() },
	}
	t.Repeat(actions)
}

// greedyPolicy requests more than there is from all candidates and lends whatever
// is requested.
type greedyPolicy struct{}

func greedyStrategy() Strategy {
	return Strategy{Owners: hybridOwners, Lending: true, Policy: greedyPolicy{}}
}

func (greedyPolicy) NeedsLoan(AccountLoad) bool { return true }

func (greedyPolicy) RequestLoans(_ AccountLoad, candidates []Lender) []LoanRequest[Lender] {
	var all []LoanRequest[Lender]
	for _, c := range candidates {
		all = append(all, LoanRequest[Lender]{Lender: c, Want: model.Allowance{Rate: 100, Burst: 100, Level: 100}})
	}
	return all
}

func (greedyPolicy) Lend(_ AccountLoad, _, want model.Allowance) model.Allowance { return want }

// TestAdmissionsStayWithinLimits checks that under random faults no account gets
// more than its rate and burst over all nodes.
func TestAdmissionsStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkRandomHistory(t, "") })
}

// TestPropertyDetectsFaults checks that the property above is not vacuous: each
// of these injected faults must violate it.
func TestPropertyDetectsFaults(t *testing.T) {
	for name, value := range map[string]string{"rapid.checks": "4000", "rapid.shrinktime": "0s"} {
		old := flag.Lookup(name).Value.String()
		defer func() { _ = flag.Set(name, old) }()
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	for _, fault := range []string{"granted without taking a token", "settled too early", "loan used after it expired"} {
		t.Run(fault, func(t *testing.T) {
			recorder := &recorder{TB: t}
			done := make(chan struct{})
			go func() {
				defer close(done)
				rapid.Check(recorder, func(t *rapid.T) { checkRandomHistory(t, fault) })
			}()
			<-done
			if !recorder.failed {
				t.Fatalf("no history violated the limits with this fault")
			}
			t.Log(recorder.message)
		})
	}
}

// recorder records an expected failure instead of failing the test.
type recorder struct {
	rapid.TB
	failed  bool
	message string
}

func (r *recorder) Errorf(format string, args ...any) {
	r.failed, r.message = true, fmt.Sprintf(format, args...)
}

func (r *recorder) Fatalf(format string, args ...any) {
	r.Errorf(format, args...)
	runtime.Goexit()
}

func (r *recorder) FailNow() {
	r.failed = true
	runtime.Goexit()
}
func (r *recorder) Fail()               { r.failed = true }
func (r *recorder) Failed() bool        { return r.failed }
func (r *recorder) Logf(string, ...any) {}
