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

// TestMain fixes the seed of the random tests unless the command line sets one.
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

// audit checks the admissions of a region against the limits that were in use.
type audit struct {
	region   *region
	accounts map[model.Ticket]model.AccountName
	admitted map[model.AccountName][]time.Time
	// oldest is the oldest version in use over time.
	oldest []mark
	fail   func(string, ...any)
}

type mark struct {
	at      time.Time
	version model.Version
}

func newAudit(r *region, fail func(string, ...any)) *audit {
	a := &audit{
		region: r, fail: fail,
		accounts: map[model.Ticket]model.AccountName{},
		admitted: map[model.AccountName][]time.Time{},
	}
	r.granted = a.granted
	r.refused = func(n *node, e event.AdmissionRefused) { a.answered(n, e.Ticket) }
	return a
}

// observe notes which versions are in use. It runs after each action.
func (a *audit) observe() {
	low := a.region.oldest()
	if n := len(a.oldest); n == 0 || a.oldest[n-1].version != low {
		a.oldest = append(a.oldest, mark{a.region.now, low})
	}
}

func (a *audit) answered(n *node, ticket model.Ticket) model.AccountName {
	account, ok := a.accounts[ticket]
	if !ok {
		a.fail("ticket %d of %s was answered without being asked, or twice", ticket, n.name)
	}
	delete(a.accounts, ticket)
	return account
}

func (a *audit) granted(n *node, ticket model.Ticket) {
	r := a.region
	if !r.fresh(n) {
		a.fail("%s admitted ticket %d although it is not fresh", n.name, ticket)
	}
	account := a.answered(n, ticket)
	a.admitted[account] = append(a.admitted[account], r.now)
	times := a.admitted[account]
	for i, from := range times {
		most := a.largest(account, from)
		window := r.now.Sub(from).Seconds()
		if got := float64(len(times) - i); got > most.burst+most.rate*window+1e-6 {
			a.fail("%s: %v admissions in %vs, allowed %v + %v/s", account, got, window, most.burst, most.rate)
		}
	}
}

// largest returns the largest limits that were in use since from. Loans of an
// older version are in use for a loan's term after it.
func (a *audit) largest(account model.AccountName, from time.Time) bounds {
	r := a.region
	low := model.Version(0)
	since := from.Add(-r.options.LoanTerm - 10*time.Millisecond)
	for _, m := range a.oldest {
		if m.at.After(since) {
			break
		}
		low = m.version
	}
	var most, current bounds
	for i, w := range r.writes {
		if t, ok := w.(event.TemplateChanged); ok && t.Account == account {
			current = boundsOf(t.Template)
		}
		if model.Version(i+1) >= low {
			most.rate, most.burst = max(most.rate, current.rate), max(most.burst, current.burst)
		}
	}
	return most
}

// drawHistory draws a history of events over a region and audits it.
func drawHistory(t *rapid.T, fault string) {
	options := DefaultOptions()
	options.MaxWaiting, options.MaxWaitingTotal = 8, 12
	ways := map[string]Way{"split": Split(), "home": Home(), "mix": Mix(), "greedy": greedy()}
	way := ways[rapid.SampledFrom([]string{"greedy", "home", "mix", "split"}).Draw(t, "way")]
	r := newRegion(4, way, options)
	r.fault = fault
	for _, n := range r.nodes {
		n.clockRate = 1 + rapid.SampledFrom([]float64{0, -0.0005, 0.0005}).Draw(t, "clock rate")
		r.start(n)
	}
	a := newAudit(r, t.Fatalf)
	accounts := []model.AccountName{"amber", "birch"}
	rates := rapid.SampledFrom([]float64{2, 0, 0.5, 10, 50})
	bursts := rapid.SampledFrom([]float64{4, 0.5, 1, 2, 3, 8, 20})
	pick := func(t *rapid.T) *node { return rapid.SampledFrom(r.nodes).Draw(t, "node") }
	account := func(t *rapid.T) model.AccountName { return rapid.SampledFrom(accounts).Draw(t, "account") }
	r.roster(r.nodes...)
	for _, name := range accounts {
		r.template(name, rates.Draw(t, "rate"), bursts.Draw(t, "burst"))
	}
	r.calm()
	a.observe()
	ask := func(t *rapid.T) {
		n, name := pick(t), account(t)
		for range rapid.IntRange(1, 8).Draw(t, "requests") {
			if !r.fresh(n) {
				return
			}
			a.accounts[r.tickets+1] = name
			if fault == "grant without debit" && n == r.nodes[0] {
				r.granted(n, r.ticket())
				continue
			}
			r.ask(n, name, time.Duration(rapid.IntRange(-10, 8000).Draw(t, "wait"))*time.Millisecond)
		}
	}
	fill := func(n *node) {
		for range 24 {
			if r.fresh(n) {
				a.accounts[r.tickets+1] = accounts[0]
				r.ask(n, accounts[0], time.Second)
			}
		}
	}
	saturate := func(*rapid.T) {
		for _, n := range r.nodes {
			fill(n)
		}
	}
	advance := func(t *rapid.T) {
		steps := []time.Duration{time.Millisecond, 20 * time.Millisecond, 300 * time.Millisecond, 1100 * time.Millisecond, 1900 * time.Millisecond}
		r.now = r.now.Add(rapid.SampledFrom(steps).Draw(t, "time"))
		r.tick()
	}
	deliver := func(t *rapid.T) {
		if len(r.mail) == 0 {
			return
		}
		i := rapid.IntRange(0, len(r.mail)-1).Draw(t, "message")
		m := r.mail[i]
		if rapid.IntRange(0, 9).Draw(t, "duplicate") != 0 {
			r.mail = slices.Delete(r.mail, i, i+1)
		}
		r.deliver(m)
	}
	learn := func(n *node) {
		if n.up && !n.paused {
			r.contact(n, false)
			r.settle(n, r.oldest())
		}
	}
	spread := func(t *rapid.T) {
		for _, n := range r.nodes {
			if rapid.Bool().Draw(t, "learns") {
				learn(n)
			}
		}
	}
	editRoster := func(t *rapid.T) {
		r.roster(rapid.SliceOfNDistinct(rapid.SampledFrom(r.nodes), 1, 4, rapid.ID[*node]).Draw(t, "members")...)
		spread(t)
	}
	deliverAll := func(t *rapid.T) {
		for range 40 {
			deliver(t)
		}
	}
	calm := func(*rapid.T) {
		for _, n := range r.nodes {
			if n.paused = false; !n.up {
				r.start(n)
			}
		}
		r.calm()
	}
	actions := map[string]func(*rapid.T){
		"ask": ask, "ask more": ask, "advance": advance, "advance more": advance,
		"deliver": deliver, "deliver more": deliver,
		"deliver all": deliverAll,
		"lose": func(t *rapid.T) {
			if len(r.mail) > 0 {
				m := r.mail[0]
				r.mail = r.mail[1:]
				r.fail(m)
			}
		},
		"contact": func(t *rapid.T) {
			if n := pick(t); n.up && !n.paused {
				r.contact(n, rapid.Bool().Draw(t, "coalesced"))
			}
		},
		"settle": func(t *rapid.T) {
			if n := pick(t); n.up && !n.paused {
				past := rapid.IntRange(0, len(a.oldest)-1).Draw(t, "delay")
				r.settle(n, a.oldest[max(0, len(a.oldest)-1-past/2)].version)
			}
		},
		"learn": spread,
		"outage": func(t *rapid.T) {
			r.now = r.now.Add(7 * time.Second)
			r.tick()
		},
		"saturate": saturate, "saturate more": saturate,
		"calm": calm,
		// Between two full loads, loans are taken and the limits may change.
		"episode": func(t *rapid.T) {
			calm(t)
			if rapid.Bool().Draw(t, "loans") {
				fill(pick(t))
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
			spread(t)
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
				return model.Ticket(rapid.Uint64Range(1, uint64(r.tickets)+1).Draw(t, "ticket"))
			}).Draw(t, "dropped")})
		},
		"": func(*rapid.T) { a.observe() },
	}
	t.Repeat(actions)
}

// greedyPolicy asks everyone for everything and proposes to lend more than
// there is.
type greedyPolicy struct{}

func greedy() Way { return Way{Owners: mixOwners, Lending: true, Policy: greedyPolicy{}} }

func (greedyPolicy) Wants(Need) bool { return true }

func (greedyPolicy) Ask(_ Need, candidates []Lender) []Request[Lender] {
	var all []Request[Lender]
	for _, c := range candidates {
		all = append(all, Request[Lender]{Lender: c, Want: model.Allowance{Rate: 100, Burst: 100, Level: 100}})
	}
	return all
}

func (greedyPolicy) Lend(_ Need, _, want model.Allowance) model.Allowance { return want }

// TestAdmissionsStayWithinLimits guards against any history of faults in which
// an account gets more than its rate and burst over all nodes.
func TestAdmissionsStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { drawHistory(t, "") })
}

// TestPropertyFindsFaults guards against a property that holds for anything:
// each of these known faults must violate it.
func TestPropertyFindsFaults(t *testing.T) {
	for name, value := range map[string]string{"rapid.checks": "4000", "rapid.shrinktime": "0s"} {
		old := flag.Lookup(name).Value.String()
		defer func() { _ = flag.Set(name, old) }()
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	for _, fault := range []string{"grant without debit", "raise before settling", "loan past its term"} {
		t.Run(fault, func(t *testing.T) {
			recorder := &recorder{TB: t}
			done := make(chan struct{})
			go func() {
				defer close(done)
				rapid.Check(recorder, func(t *rapid.T) { drawHistory(t, fault) })
			}()
			<-done
			if !recorder.failed {
				t.Fatalf("no history violated the limits")
			}
			t.Log(recorder.message)
		})
	}
}

// recorder keeps a failure that is expected.
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
