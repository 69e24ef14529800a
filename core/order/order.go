// Package order is the decision part for what a region's lease holder sends:
// orders to engines, orders for upstreams to the platform, and usage reports.
// Each is recorded in the platform's store before it is sent, so that a
// successor sends the same.
package order

import (
	"fmt"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
)

// Out is what this part produces in a step.
type Out = step.Out[event.Event, effect.Effect]

// lane tells the calls of the sub-parts apart.
type lane uint64

const (
	laneEngine lane = iota
	laneProvision
	laneReport
	laneMeter
	lanes
)

// State holds the orders and reports in progress.
type State struct {
	authority  authority
	engines    engines
	provisions provisions
	reports    reports
	meter      meter
}

// New returns a state without orders.
func New(settings Settings, node model.NodeName, incarnation model.Incarnation) State {
	return State{
		engines:    newEngines(settings, incarnation),
		provisions: newProvisions(settings, incarnation),
		reports:    newReports(settings, incarnation),
		meter:      newMeter(settings, node, incarnation),
	}
}

// Apply takes what is to be ordered, and the answers of the store, the
// upstreams and the platform.
func (s State) Apply(in step.Input[event.Event]) (State, Out) {
	var out Out
	t := &turn{in: in, out: &out}
	if changed, ok := in.Event.(event.AuthorityChanged); ok {
		s.authority = s.authority.WithChange(changed, in.At)
	}
	t.authority = s.authority
	s.engines = s.engines.apply(t)
	s.provisions = s.provisions.apply(t)
	s.reports = s.reports.apply(t)
	s.meter = s.meter.apply(t)
	return s, out
}

// Next returns when the part needs a timer event.
func (s State) Next() time.Time {
	return step.Earliest(s.engines.next, s.provisions.next, s.reports.next, s.meter.next)
}

// Unreported returns the number of usage parts of this node that are not yet in
// the store.
func (s State) Unreported() int { return len(s.meter.closed) }

// authority is the lease as this part knows it.
type authority struct {
	held  bool
	epoch model.Epoch
	until time.Time
	// since is when this process first held the epoch.
	since time.Time
}

// WithChange returns the authority after a change of the lease.
func (a authority) WithChange(e event.AuthorityChanged, at time.Time) authority {
	if !e.Held {
		a.held = false
		return a
	}
	if e.Epoch != a.epoch {
		a.since = at
	}
	a.held, a.epoch, a.until = true, e.Epoch, e.Until
	return a
}

// valid tells whether this process may act at a time.
func (a authority) valid(at time.Time) bool { return a.held && at.Before(a.until) }

// turn is the context of one step.
type turn struct {
	in        step.Input[event.Event]
	authority authority
	out       *Out
}

// epoch returns the epoch under which this process may act, or zero.
func (t *turn) epoch() model.Epoch {
	if !t.authority.valid(t.in.At) {
		return 0
	}
	return t.authority.epoch
}

// notAfter returns when a transmission that starts now must have ended.
func (t *turn) notAfter(settings Settings) time.Time {
	return step.Earliest(t.in.At.Add(settings.SendTerm), t.authority.until)
}

// caller numbers the calls of one lane.
type caller struct {
	lane        lane
	incarnation model.Incarnation
	calls       uint64
}

// nonce returns a text that no other write of any process has.
func (c caller) nonce() string {
	return fmt.Sprintf("%x.%x.%x", uint64(c.incarnation), uint64(c.lane), c.calls)
}

// next returns the caller and the identifier of its next call.
func (c caller) next() (caller, model.Op) {
	c.calls++
	return c, model.Op{Part: model.PartOrder, Seq: c.calls*uint64(lanes) + uint64(c.lane)}
}

// answerTo returns which call an event answers.
func answerTo(e event.Event) (model.Op, bool) {
	var op model.Op
	switch e := e.(type) {
	case event.LastOrderRead:
		op = e.Op
	case event.ObjectAmbiguous:
		op = e.Op
	case event.ObjectConflict:
		op = e.Op
	case event.ObjectRead:
		op = e.Op
	case event.ObjectReadFailed:
		op = e.Op
	case event.ObjectUnsent:
		op = e.Op
	case event.ObjectWritten:
		op = e.Op
	case event.ObjectsListed:
		op = e.Op
	case event.SendAnswered:
		op = e.Op
	case event.SendFailed:
		op = e.Op
	default:
		return op, false
	}
	return op, op.Part == model.PartOrder
}
