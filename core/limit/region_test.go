package limit

import (
	"fmt"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
)

// freshnessTTL is how long a node may admit requests after it was in contact
// with the store.
const freshnessTTL = 6 * time.Second

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// region simulates the rate limiters of several nodes, with a store and a network.
// Tests decide when a message arrives.
type region struct {
	now        time.Time
	nodes      []*node
	writes     []any // event.TemplateChanged or event.RosterChanged, by version
	messages   []message
	lastTicket model.Ticket
	// borrowCalls has the delivered borrow requests that are not answered yet.
	borrowCalls map[model.Ticket]message
	randomState uint64
	latency     time.Duration
	strategy    Strategy
	options     Options
	// granted and refused are called for each answered request.
	granted func(n *node, ticket model.Ticket)
	refused func(n *node, e event.AdmissionRefused)
	// fault injects an error, to check that the tests detect it.
	fault string
}

// node is a member of a region with its present process.
type node struct {
	name        model.NodeName
	incarnation model.Incarnation
	state       State
	up          bool
	paused      bool
	version     model.Version
	freshUntil  time.Time
	clockRate   float64
}

// message is a borrow request or, if answer is set, the response to it.
type message struct {
	from, to    *node
	incarnation model.Incarnation
	borrow      effect.Borrow
	sentAt      time.Time
	answer      bool
	amount      model.Allowance
	arrivesAt   time.Time
}

func newRegion(size int, strategy Strategy, options Options) *region {
	r := &region{now: epoch, strategy: strategy, options: options, borrowCalls: map[model.Ticket]message{}}
	r.granted = func(*node, model.Ticket) {}
	r.refused = func(*node, event.AdmissionRefused) {}
	for i := range size {
		r.nodes = append(r.nodes, &node{name: model.NodeName(fmt.Sprintf("vm-%d", i)), clockRate: 1})
	}
	for _, n := range r.nodes {
		r.start(n)
	}
	return r
}

func (r *region) start(n *node) {
	n.incarnation++
	n.up, n.paused, n.version, n.freshUntil = true, false, 0, time.Time{}
	options := r.options
	if r.fault == "loan used after it expired" && n == r.nodes[0] {
		options.LoanDuration *= 2
	}
	n.state = New(n.name, r.strategy, options)
}

func (r *region) clock(n *node) time.Time {
	return epoch.Add(time.Duration(float64(r.now.Sub(epoch)) * n.clockRate))
}

func (r *region) fresh(n *node) bool { return n.up && !n.paused && r.now.Before(n.freshUntil) }

// apply passes an event to a node and sends the messages that result.
func (r *region) apply(n *node, e event.Event) {
	r.randomState = r.randomState*6364136223846793005 + 1442695040888963407
	in := step.Input[event.Event]{At: r.clock(n), Random: r.randomState ^ r.randomState>>29, Event: e}
	var out Out
	n.state, out = n.state.Apply(in, View{Fresh: r.fresh(n)})
	for _, f := range out.Effects {
		switch f := f.(type) {
		case effect.Borrow:
			r.send(message{from: n, to: r.node(f.Peer), incarnation: n.incarnation, borrow: f, sentAt: r.clock(n)})
		case effect.Lend:
			m, ok := r.borrowCalls[f.Ticket]
			if !ok {
				panic(fmt.Sprintf("ticket %d was answered twice", f.Ticket))
			}
			delete(r.borrowCalls, f.Ticket)
			m.answer, m.amount = true, f.Amount
			r.send(m)
		}
	}
	for _, raised := range out.Raised {
		switch e := raised.(type) {
		case event.AdmissionGranted:
			r.granted(n, e.Ticket)
		case event.AdmissionRefused:
			r.refused(n, e)
		}
	}
}

func (r *region) send(m message) {
	m.arrivesAt = r.now.Add(r.latency)
	r.messages = append(r.messages, m)
}

func (r *region) node(name model.NodeName) *node {
	for _, n := range r.nodes {
		if n.name == name {
			return n
		}
	}
	panic("no node " + string(name))
}

// deliver delivers a message, unless its receiver is stopped, paused or
// restarted.
func (r *region) deliver(m message) {
	if m.answer {
		if !m.from.up || m.from.paused || m.from.incarnation != m.incarnation {
			return
		}
		r.apply(m.from, event.BorrowAnswered{
			Peer: m.to.name, Account: m.borrow.Account, Seq: m.borrow.Seq, SentAt: m.sentAt, Amount: m.amount,
		})
		return
	}
	if !m.to.up || m.to.paused {
		return
	}
	ticket := r.ticket()
	r.borrowCalls[ticket] = m
	r.apply(m.to, event.BorrowAsked{
		Ticket: ticket, From: m.from.name, FromIncarnation: m.incarnation, Account: m.borrow.Account,
		Seq: m.borrow.Seq, Want: m.borrow.Want, GivenBack: m.borrow.GivenBack, Returned: m.borrow.Returned,
	})
}

func (r *region) fail(m message) {
	if m.from.up && !m.from.paused && m.from.incarnation == m.incarnation {
		r.apply(m.from, event.BorrowFailed{Peer: m.to.name, Account: m.borrow.Account, Seq: m.borrow.Seq})
	}
}

func (r *region) ticket() model.Ticket {
	r.lastTicket++
	return r.lastTicket
}

// request sends a request to a node, which must admit it within by.
func (r *region) request(n *node, account model.AccountName, by time.Duration) {
	ticket := r.ticket()
	r.apply(n, event.AdmissionAsked{Ticket: ticket, Account: account, AdmitBy: r.clock(n).Add(by)})
}

// write stores a template or a roster under the next version.
func (r *region) write(value any) {
	version := model.Version(len(r.writes) + 1)
	switch v := value.(type) {
	case event.TemplateChanged:
		v.Version, v.Contiguous = version, true
		value = v
	case event.RosterChanged:
		v.Version, v.Contiguous = version, true
		value = v
	}
	r.writes = append(r.writes, value)
}

func (r *region) template(account model.AccountName, rate, burst float64) {
	r.write(event.TemplateChanged{Account: account, Template: model.Template{Rate: rate, Burst: burst}})
}

func (r *region) roster(nodes ...*node) {
	var roster model.Roster
	for _, n := range nodes {
		roster.Members = append(roster.Members, model.Member{Name: n.name})
	}
	r.write(event.RosterChanged{Roster: roster})
}

// sync delivers all missed writes to a node and makes it fresh. If coalesced, only
// the last write of each object is delivered.
func (r *region) sync(n *node, coalesced bool) {
	missed := r.writes[n.version:]
	count, seen := map[model.AccountName]int{}, map[model.AccountName]int{}
	for _, w := range missed {
		count[objectOf(w)]++
	}
	for _, w := range missed {
		id := objectOf(w)
		seen[id]++
		if coalesced && seen[id] < count[id] {
			continue
		}
		switch e := w.(type) {
		case event.TemplateChanged:
			e.Contiguous = !coalesced || count[id] == 1
			r.apply(n, e)
		case event.RosterChanged:
			e.Contiguous = !coalesced || count[id] == 1
			r.apply(n, e)
		}
	}
	if upto := model.Version(len(r.writes)); upto > n.version {
		n.version = upto
		r.apply(n, event.VersionChanged{Version: upto})
	}
	n.freshUntil = r.now.Add(freshnessTTL)
}

// objectOf returns the account of a template, or an empty name for the roster.
func objectOf(w any) model.AccountName {
	t, _ := w.(event.TemplateChanged)
	return t.Account
}

// oldestVersion returns the oldest version by which a node may still admit
// requests.
func (r *region) oldestVersion() model.Version {
	oldest := model.Version(len(r.writes))
	for _, n := range r.nodes {
		if n.up && r.now.Before(n.freshUntil) {
			oldest = min(oldest, n.version)
		}
	}
	return oldest
}

func (r *region) settle(n *node, version model.Version) {
	if r.fault == "settled too early" {
		version = n.version
	}
	if version = min(version, n.version); version > 0 {
		r.apply(n, event.SettledChanged{Version: version})
	}
}

// runTimers applies a Tick to the nodes whose timer is due.
func (r *region) runTimers() {
	for _, n := range r.nodes {
		if next := n.state.Next(); n.up && !n.paused && !next.IsZero() && !next.After(r.clock(n)) {
			r.apply(n, event.Tick{})
		}
	}
}

// stabilize syncs and settles the newest version on all running nodes, and
// advances the time until their shares are in effect.
func (r *region) stabilize() {
	for range 2 {
		for _, n := range r.nodes {
			if n.up && !n.paused {
				r.sync(n, false)
			}
		}
		for _, n := range r.nodes {
			if n.up && !n.paused {
				r.settle(n, r.oldestVersion())
			}
		}
		r.now = r.now.Add(r.options.LoanDuration + 10*time.Millisecond)
		r.runTimers()
	}
	for _, n := range r.nodes {
		if n.up && !n.paused {
			r.sync(n, false)
		}
	}
}
