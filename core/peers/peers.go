// Package peers is the decision part for members of the region and the
// freshness of this node.
package peers

import (
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/step"
)

// FreshnessTerm bounds how long a node admits requests without news of the
// store.
const FreshnessTerm = 6 * time.Second

// Out is what this part produces in a step.
type Out = step.Out[event.Event, effect.Effect]

// State is what this node knows of its freshness.
type State struct {
	freshUntil time.Time
}

// New returns the state of a node that is not fresh.
func New() State { return State{} }

// Apply takes contacts with the store.
func (s State) Apply(in step.Input[event.Event]) (State, Out) {
	var out Out
	if changed, ok := in.Event.(event.ConfigChanged); ok && changed.FromStore {
		if until := changed.SentAt.Add(FreshnessTerm); until.After(s.freshUntil) {
			s.freshUntil = until
		}
	}
	return s, out
}

// Fresh tells whether this node may admit requests.
func (s State) Fresh(at time.Time) bool { return at.Before(s.freshUntil) }

// Next returns when the part needs a timer event.
func (s State) Next() time.Time { return time.Time{} }
