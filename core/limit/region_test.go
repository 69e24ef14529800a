package limit

import (
	"fmt"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
)

// freshnessTerm is the time for which a contact with the store lets a node
// admit requests (section 5 of the design page).
const freshnessTerm = 6 * time.Second

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// region steps the limit reducers of several nodes together. Tests decide when
// a message arrives.
type region struct {
	now     time.Time
	nodes   []*node
	writes  []any // event.TemplateChanged or event.RosterChanged, by version
	mail    []message
	tickets model.Ticket
	origin  map[model.Ticket]message
	draw    uint64
	latency time.Duration
	way     Way
	options Options
	// granted and refused are called for each answered request.
	granted func(n *node, ticket model.Ticket)
	refused func(n *node, e event.AdmissionRefused)
	// fault changes what the nodes see, to show that tests notice.
	fault string
}

// node is one address of a region, with the process that now holds it.
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

// message is a borrow request, or with answer set its answer.
type message struct {
	from, to    *node
	incarnation model.Incarnation
	borrow      effect.Borrow
	sentAt      time.Time
	answer      bool
	amount      model.Allowance
	at          time.Time
}

func newRegion(size int, way Way, options Options) *region {
	r := &region{now: epoch, way: way, options: options, origin: map[model.Ticket]message{}}
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
	if r.fault == "loan past its term" && n == r.nodes[0] {
		options.LoanTerm *= 2
	}
	n.state = New(n.name, r.way, options)
}

func (r *region) clock(n *node) time.Time {
	return epoch.Add(time.Duration(float64(r.now.Sub(epoch)) * n.clockRate))
}

func (r *region) fresh(n *node) bool { return n.up && !n.paused && r.now.Before(n.freshUntil) }

// apply steps one node and turns its effects into messages.
func (r *region) apply(n *node, e event.Event) {
	r.draw = r.draw*6364136223846793005 + 1442695040888963407
	in := step.Input[event.Event]{At: r.clock(n), Draw: r.draw ^ r.draw>>29, Event: e}
	var out Out
	n.state, out = n.state.Apply(in, Facts{Fresh: r.fresh(n)})
	for _, f := range out.Effects {
		switch f := f.(type) {
		case effect.Borrow:
			r.send(message{from: n, to: r.node(f.Peer), incarnation: n.incarnation, borrow: f, sentAt: r.clock(n)})
		case effect.Lend:
			m, ok := r.origin[f.Ticket]
			if !ok {
				panic(fmt.Sprintf("ticket %d was answered twice", f.Ticket))
			}
			delete(r.origin, f.Ticket)
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
	m.at = r.now.Add(r.latency)
	r.mail = append(r.mail, m)
}

func (r *region) node(name model.NodeName) *node {
	for _, n := range r.nodes {
		if n.name == name {
			return n
		}
	}
	panic("no node " + string(name))
}

// deliver hands a message over, if its receiver can take it.
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
	r.origin[ticket] = m
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
	r.tickets++
	return r.tickets
}

// ask lets a request arrive at a node.
func (r *region) ask(n *node, account model.AccountName, by time.Duration) {
	ticket := r.ticket()
	r.apply(n, event.AdmissionAsked{Ticket: ticket, Account: account, AdmitBy: r.clock(n).Add(by)})
}

// write stores a template or a roster.
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

// contact lets a node take all writes and makes it fresh. A coalesced fetch
// brings only the last write of each object.
func (r *region) contact(n *node, coalesced bool) {
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
	n.freshUntil = r.now.Add(freshnessTerm)
}

// objectOf returns the account of a template, or nothing for the roster.
func objectOf(w any) model.AccountName {
	t, _ := w.(event.TemplateChanged)
	return t.Account
}

// oldest returns the oldest version that a node may admit by.
func (r *region) oldest() model.Version {
	low := model.Version(len(r.writes))
	for _, n := range r.nodes {
		if n.up && r.now.Before(n.freshUntil) {
			low = min(low, n.version)
		}
	}
	return low
}

func (r *region) settle(n *node, low model.Version) {
	if r.fault == "raise before settling" {
		low = n.version
	}
	if low = min(low, n.version); low > 0 {
		r.apply(n, event.SettledChanged{Low: low})
	}
}

// tick hands due timers to the nodes.
func (r *region) tick() {
	for _, n := range r.nodes {
		if next := n.state.Next(); n.up && !n.paused && !next.IsZero() && !next.After(r.clock(n)) {
			r.apply(n, event.Tick{})
		}
	}
}

// calm lets every node that runs learn and settle the newest version, and
// waits until its share counts.
func (r *region) calm() {
	for range 2 {
		for _, n := range r.nodes {
			if n.up && !n.paused {
				r.contact(n, false)
			}
		}
		for _, n := range r.nodes {
			if n.up && !n.paused {
				r.settle(n, r.oldest())
			}
		}
		r.now = r.now.Add(r.options.LoanTerm + 10*time.Millisecond)
		r.tick()
	}
	for _, n := range r.nodes {
		if n.up && !n.paused {
			r.contact(n, false)
		}
	}
}
