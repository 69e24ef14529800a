// Package order is the component for what the lease holder of a region sends:
// orders to engines, provisioning orders to the platform, and usage reports.
// Each of them is recorded in the platform's store before it is sent, so that
// the next lease holder sends the same.
package order

import (
	"fmt"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
)

// Out holds the effects and events that one Apply call produces.
type Out = step.Out[event.Event, effect.Effect]

// opOwner identifies which of the four states of this package made a call.
type opOwner uint64

const (
	ownerEngine opOwner = iota
	ownerProvision
	ownerReport
	ownerMeter
	ownerCount
)

// State holds the orders and reports in progress.
type State struct {
	authority    authority
	engineOrders engineOrders
	provisions   provisions
	usageReports usageReports
	meter        meter
}

// New returns a state without orders.
func New(settings Settings, node model.NodeName, incarnation model.Incarnation) State {
	return State{
		engineOrders: newEngineOrders(settings, incarnation),
		provisions:   newProvisions(settings, incarnation),
		usageReports: newUsageReports(settings, incarnation),
		meter:        newMeter(settings, node, incarnation),
	}
}

// Apply processes requests for orders, usage counts, changes of the lease, and
// the responses of the store, the upstreams and the platform.
func (s State) Apply(in step.Input[event.Event]) (State, Out) {
	var out Out
	sc := &stepContext{in: in, out: &out}
	if changed, ok := in.Event.(event.AuthorityChanged); ok {
		s.authority = s.authority.WithChange(changed, in.At)
	}
	sc.authority = s.authority
	s.engineOrders = s.engineOrders.apply(sc)
	s.provisions = s.provisions.apply(sc)
	s.usageReports = s.usageReports.apply(sc)
	s.meter = s.meter.apply(sc)
	return s, out
}

// Next returns when the component needs a Tick, or the zero time if it needs
// none.
func (s State) Next() time.Time {
	return step.Earliest(s.engineOrders.nextTimerAt, s.provisions.nextTimerAt, s.usageReports.nextTimerAt, s.meter.nextTimerAt)
}

// Unreported returns the number of usage parts of this node that are not yet
// in the store.
func (s State) Unreported() int { return len(s.meter.unwritten) }

// authority is the state of the lease as last announced.
type authority struct {
	held  bool
	epoch model.Epoch
	until time.Time
	// since is when this process first held the lease in this epoch.
	since time.Time
}

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

// valid reports whether the lease is held at the given time.
func (a authority) valid(at time.Time) bool { return a.held && at.Before(a.until) }

// stepContext is the context of one step.
type stepContext struct {
	in        step.Input[event.Event]
	authority authority
	out       *Out
}

// epoch returns the epoch of the lease, or zero if it is not held.
func (sc *stepContext) epoch() model.Epoch {
	if !sc.authority.valid(sc.in.At) {
		return 0
	}
	return sc.authority.epoch
}

// notAfter returns the deadline of a transmission that starts now.
func (sc *stepContext) notAfter(settings Settings) time.Time {
	return step.Earliest(sc.in.At.Add(settings.SendTimeout), sc.authority.until)
}

// opIDs allocates the operation identifiers of one owner.
type opIDs struct {
	owner       opOwner
	incarnation model.Incarnation
	count       uint64
}

// nonce returns a string that is unique over the writes of all processes.
func (c opIDs) nonce() string {
	return fmt.Sprintf("%x.%x.%x", uint64(c.incarnation), uint64(c.owner), c.count)
}

// next returns the updated allocator and the next identifier.
func (c opIDs) next() (opIDs, model.Op) {
	c.count++
	return c, model.Op{Part: model.PartOrder, Seq: c.count*uint64(ownerCount) + uint64(c.owner)}
}

// responseTo returns the operation that an event answers, and whether it belongs
// to this package.
func responseTo(e event.Event) (model.Op, bool) {
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
