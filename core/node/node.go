// Package node is the root reducer of the entry daemon. It passes each external
// event, and the events that its components raise, to the components that handle
// them.
package node

import (
	"time"

	"caroblane/core/claim"
	"caroblane/core/conf"
	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/flow"
	"caroblane/core/lease"
	"caroblane/core/limit"
	"caroblane/core/order"
	"caroblane/core/peers"
	"caroblane/core/step"
)

// Input is an event with its time and random number.
type Input = step.Input[event.Event]

// Out holds the effects and events that one Apply call of a component produces.
type Out = step.Out[event.Event, effect.Effect]

// State is the complete control state of an entry node. The loop copies it for
// each event, so components that most request events leave unchanged are held by
// pointer. The values behind the pointers are immutable.
type State struct {
	conf  *conf.State
	peers *peers.State
	limit limit.State
	claim *claim.State
	lease *lease.State
	order *order.State
	flow  flow.State
	// departed is set if the roster no longer lists this process.
	departed    bool
	suspensions step.Suspensions
}

// Components are the initial states of the components of a node.
type Components struct {
	Peers peers.State
	Limit limit.State
	Claim claim.State
	Lease lease.State
	Order order.State
	Flow  flow.State
}

// New returns the state of a node that has just started.
func New(components Components) State {
	config := conf.New()
	return State{
		conf:  &config,
		peers: &components.Peers,
		limit: components.Limit,
		claim: &components.Claim,
		lease: &components.Lease,
		order: &components.Order,
		flow:  components.Flow,
	}
}

// Apply processes an event and all events that follow from it, and returns the
// next state and the effects.
func (s State) Apply(in Input) (State, []effect.Effect) {
	s, effects, _ := s.apply(in)
	var suspended time.Duration
	if s.suspensions, suspended = s.suspensions.With(in.Suspended); suspended > 0 {
		effects = append(effects, effect.ReportSuspension{For: suspended, Total: in.Suspended})
	}
	return s.delayDeparture(effects)
}

// delayDeparture delays effect.Departed until the usage of this node is stored
// and its lease is released or abandoned.
func (s State) delayDeparture(effects []effect.Effect) (State, []effect.Effect) {
	kept := effects[:0]
	for _, e := range effects {
		if _, ok := e.(effect.Departed); ok {
			s.departed = true
			continue
		}
		kept = append(kept, e)
	}
	if s.departed && s.order.Unreported() == 0 && s.lease.Stopped() {
		s.departed = false
		kept = append(kept, effect.Departed{})
	}
	return s, kept
}

// Conf returns the active configuration.
func (s State) Conf() conf.State { return *s.conf }

// Flow returns the state of the open requests.
func (s State) Flow() flow.State { return s.flow }

// Lease returns this node's view of the control lease.
func (s State) Lease() lease.State { return *s.lease }

// Limit returns the rate-limit allowances of the node.
func (s State) Limit() limit.State { return s.limit }

// Next returns when the node needs a Tick, or the zero time if it needs none.
func (s State) Next() time.Time {
	return step.Earliest(
		s.peers.Next(), s.limit.Next(), s.claim.Next(), s.lease.Next(), s.order.Next(), s.flow.Next())
}

// Peers returns the state of the members and of the node's freshness.
func (s State) Peers() peers.State { return *s.peers }

// forOtherRegion reports whether an event concerns the roster of another region.
// The components only handle the roster of their own region.
func (s State) forOtherRegion(e event.Event) bool {
	changed, ok := e.(event.RosterChanged)
	return ok && changed.Roster.Region != s.peers.Region()
}

// limitToRegion returns the event with the limits of a template reduced to the
// share of this region.
func (s State) limitToRegion(e event.Event) event.Event {
	if changed, ok := e.(event.TemplateChanged); ok {
		changed.Template = changed.Template.In(s.peers.Region())
		return changed
	}
	return e
}

// apply implements Apply except for delayDeparture. The third result is the
// number of events processed: the external one and those that the components
// raised.
func (s State) apply(in Input) (State, []effect.Effect, int) {
	var effects []effect.Effect
	// Most steps process at most three events. The capacity avoids a reallocation
	// for these.
	pending := append(make([]event.Event, 0, 4), in.Event)
	processed := 0
	for ; processed < len(pending); processed++ {
		if s.forOtherRegion(pending[processed]) {
			continue
		}
		pending[processed] = s.limitToRegion(pending[processed])
		var out Out
		s, out = s.applyOne(in.With(pending[processed]))
		if effects == nil {
			effects = out.Effects
		} else {
			effects = append(effects, out.Effects...)
		}
		pending = append(pending, out.Raised...)
		last := processed+1 == len(pending)
		if last && s.flow.Draining() && s.flow.Open() == 0 && !s.peers.Leaving() {
			pending = append(pending, event.LeaveAsked{}, event.UsageCloseAsked{})
		}
	}
	return s, effects, processed
}

// applyOne passes one event to the components that handle it, in a fixed order.
func (s State) applyOne(in Input) (State, Out) {
	var all, out Out
	to := receiversOf(in.Event)
	if to.has(toConf) {
		var next conf.State
		next, all = s.conf.Apply(in)
		s.conf = &next
	}
	if to.has(toPeers) {
		var next peers.State
		next, out = s.peers.Apply(in)
		s.peers = &next
		all = all.With(out)
	}
	if to.has(toLimit) {
		s.limit, out = s.limit.Apply(in, limit.View{Fresh: s.peers.Fresh(in.At)})
		all = all.With(out)
	}
	if to.has(toClaim) {
		var next claim.State
		next, out = s.claim.Apply(in)
		s.claim = &next
		all = all.With(out)
	}
	if to.has(toLease) {
		var next lease.State
		next, out = s.lease.Apply(in)
		s.lease = &next
		all = all.With(out)
	}
	if to.has(toOrder) {
		var next order.State
		next, out = s.order.Apply(in)
		s.order = &next
		all = all.With(out)
	}
	if to.has(toFlow) {
		s.flow, out = s.flow.Apply(in, flow.View{Conf: *s.conf, Fresh: s.peers.Fresh(in.At), Random: in.Random, At: in.At})
		all = all.With(out)
	}
	return s, all
}
