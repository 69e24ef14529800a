// Package claim is the decision part for requests that may not be repeated.
package claim

import (
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
)

// Out is what this part produces in a step.
type Out = step.Out[event.Event, effect.Effect]

// State holds the claims in progress.
type State struct{}

// New returns a state without claims.
func New() State { return State{} }

// Apply refuses every claim until claims are written to the store.
func (s State) Apply(in step.Input[event.Event]) (State, Out) {
	var out Out
	if asked, ok := in.Event.(event.ClaimAsked); ok {
		out.Raise(event.ClaimRefused{Ticket: asked.Ticket, Reason: model.ClaimUnavailable})
	}
	return s, out
}

// Next returns when the part needs a timer event.
func (s State) Next() time.Time { return time.Time{} }
