// Package limit is the decision part for rate and burst of client accounts.
package limit

import (
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/step"
)

// Out is what this part produces in a step.
type Out = step.Out[event.Event, effect.Effect]

// State holds the allowances of this node.
type State struct{}

// New returns a state without allowances.
func New() State { return State{} }

// Apply grants every request.
func (s State) Apply(in step.Input[event.Event]) (State, Out) {
	var out Out
	if asked, ok := in.Event.(event.AdmissionAsked); ok {
		out.Raise(event.AdmissionGranted{Ticket: asked.Ticket})
	}
	return s, out
}

// Next returns when the part needs a timer event.
func (s State) Next() time.Time { return time.Time{} }
