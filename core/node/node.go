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

// Out is what the parts produce from one event.
type Out = step.Out[event.Event, effect.Effect]

// State is the whole control state of an entry node. The loop copies it for
// each event, so it points to the parts that the events of most requests do not
// change; what they point to is never changed.
type State struct {
	conf  *conf.State
	peers *peers.State
	limit limit.State
	claim *claim.State
	lease *lease.State
	order *order.State
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
	config := conf.New()
	return State{
		conf:  &config,
		peers: &parts.Peers,
		limit: parts.Limit,
		claim: &parts.Claim,
		lease: &parts.Lease,
		order: &parts.Order,
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
func (s State) Conf() conf.State { return *s.conf }

// Flow returns the open requests.
func (s State) Flow() flow.State { return s.flow }

// Lease returns the control lease as this node knows it.
func (s State) Lease() lease.State { return *s.lease }

// Limit returns the allowances of the node.
func (s State) Limit() limit.State { return s.limit }

// Next returns when the node needs a timer event.
func (s State) Next() time.Time {
	return step.Earliest(
		s.peers.Next(), s.limit.Next(), s.claim.Next(), s.lease.Next(), s.order.Next(), s.flow.Next())
}

// Peers returns the members and the freshness of the node.
func (s State) Peers() peers.State { return *s.peers }

// foreign tells that an event is about another region's roster. The parts know
// only their own.
func (s State) foreign(e event.Event) bool {
	changed, ok := e.(event.RosterChanged)
	return ok && changed.Roster.Region != s.peers.Region()
}

// regional returns an event with the limits that the account has in this
// region.
func (s State) regional(e event.Event) event.Event {
	if changed, ok := e.(event.TemplateChanged); ok {
		changed.Template = changed.Template.In(s.peers.Region())
		return changed
	}
	return e
}

// apply is Apply without the departure. Its third result is the number of
// events folded: the one from outside and those that the parts raised.
func (s State) apply(in Input) (State, []effect.Effect, int) {
	var effects []effect.Effect
	// Most steps fold at most three events, so that no slice is allocated.
	pending := append(make([]event.Event, 0, 4), in.Event)
	folded := 0
	for ; folded < len(pending); folded++ {
		if s.foreign(pending[folded]) {
			continue
		}
		pending[folded] = s.regional(pending[folded])
		var out Out
		s, out = s.fold(in.With(pending[folded]))
		if effects == nil {
			effects = out.Effects
		} else {
			effects = append(effects, out.Effects...)
		}
		pending = append(pending, out.Raised...)
		last := folded+1 == len(pending)
		if last && s.flow.Draining() && s.flow.Open() == 0 && !s.peers.Leaving() {
			pending = append(pending, event.LeaveAsked{}, event.UsageCloseAsked{})
		}
	}
	return s, effects, folded
}

// fold passes one event through the parts that take it, in order.
func (s State) fold(in Input) (State, Out) {
	var all, out Out
	to := takersOf(in.Event)
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
		s.limit, out = s.limit.Apply(in, limit.Facts{Fresh: s.peers.Fresh(in.At)})
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
		s.flow, out = s.flow.Apply(in, flow.Facts{Conf: *s.conf, Fresh: s.peers.Fresh(in.At), Draw: in.Draw, At: in.At})
		all = all.With(out)
	}
	return s, all
}
