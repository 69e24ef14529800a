// Package node is the root reducer of the entry daemon. It folds each event,
// and the events that its parts raise, through all parts.
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

// Input is what the reducer takes.
type Input = step.Input[event.Event]

// State is the whole control state of an entry node.
type State struct {
	conf  conf.State
	peers peers.State
	limit limit.State
	claim claim.State
	lease lease.State
	order order.State
	flow  flow.State
	// departed tells that the roster no longer lists this process.
	departed bool
}

// Parts are the states that a node starts with.
type Parts struct {
	Peers peers.State
	Limit limit.State
	Claim claim.State
	Lease lease.State
	Order order.State
	Flow  flow.State
}

// New returns the state of a started node.
func New(parts Parts) State {
	return State{
		conf:  conf.New(),
		peers: parts.Peers,
		limit: parts.Limit,
		claim: parts.Claim,
		lease: parts.Lease,
		order: parts.Order,
		flow:  parts.Flow,
	}
}

// Apply returns the next state and the effects of one event.
func (s State) Apply(in Input) (State, []effect.Effect) {
	s, effects, _ := s.apply(in)
	return s.withDeparture(effects)
}

// withDeparture holds effect.Departed back until the usage of this node is in
// the store and its lease is released, or given up.
func (s State) withDeparture(effects []effect.Effect) (State, []effect.Effect) {
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

// Conf returns the configuration in force.
func (s State) Conf() conf.State { return s.conf }

// Flow returns the open requests.
func (s State) Flow() flow.State { return s.flow }

// Lease returns the control lease as this node knows it.
func (s State) Lease() lease.State { return s.lease }

// Limit returns the allowances of the node.
func (s State) Limit() limit.State { return s.limit }

// Next returns when the node needs a timer event.
func (s State) Next() time.Time {
	return step.Earliest(
		s.peers.Next(), s.limit.Next(), s.claim.Next(), s.lease.Next(), s.order.Next(), s.flow.Next())
}

// Peers returns the members and the freshness of the node.
func (s State) Peers() peers.State { return s.peers }

// foreign tells that an event is about another region's roster. The parts know
// only their own.
func (s State) foreign(e event.Event) bool {
	changed, ok := e.(event.RosterChanged)
	return ok && changed.Roster.Region != s.peers.Region()
}

// apply is Apply without the departure. Its third result is the number of
// events folded: the one from outside and those that the parts raised.
func (s State) apply(in Input) (State, []effect.Effect, int) {
	var effects []effect.Effect
	pending := []event.Event{in.Event}
	folded := 0
	for len(pending) > 0 {
		next := in.With(pending[0])
		pending = pending[1:]
		if s.foreign(next.Event) {
			continue
		}
		folded++
		var out step.Out[event.Event, effect.Effect]
		s, out = s.fold(next)
		effects = append(effects, out.Effects...)
		pending = append(pending, out.Raised...)
		if len(pending) == 0 && s.flow.Draining() && s.flow.Open() == 0 && !s.peers.Leaving() {
			pending = append(pending, event.LeaveAsked{}, event.UsageCloseAsked{})
		}
	}
	return s, effects, folded
}

// fold passes one event through the parts in order.
func (s State) fold(in Input) (State, step.Out[event.Event, effect.Effect]) {
	var all, out step.Out[event.Event, effect.Effect]
	collect := func() {
		all.Emit(out.Effects...)
		all.Raise(out.Raised...)
	}
	s.conf, out = s.conf.Apply(in)
	collect()
	s.peers, out = s.peers.Apply(in)
	collect()
	s.limit, out = s.limit.Apply(in, limit.Facts{Fresh: s.peers.Fresh(in.At)})
	collect()
	s.claim, out = s.claim.Apply(in)
	collect()
	s.lease, out = s.lease.Apply(in)
	collect()
	s.order, out = s.order.Apply(in)
	collect()
	s.flow, out = s.flow.Apply(in, flow.Facts{Conf: s.conf, Fresh: s.peers.Fresh(in.At), Draw: in.Draw, At: in.At})
	collect()
	return s, all
}
