// Package step defines the types shared by all reducers. A reducer is a pure
// function from a state and an event to the next state and a list of effects. It
// does not read clocks, generate random numbers or perform I/O.
//
// A root reducer, core/node or core/edge, consists of components. A component is
// a package with a State whose Apply method handles the events of one area.
// Events that a component raises are passed to all components that handle them,
// in the same step.
//
// In all reducers, a method named handleX processes the event, the response or
// the timer X, and may emit effects and raise events. A method named withX or
// withoutX returns a changed copy and does nothing else.
package step

import "time"

// Input is an event together with the time and the random number that a reducer
// needs but must not obtain by itself.
type Input[E any] struct {
	// At is the time of the node at which the control goroutine dequeued the event. It
	// never jumps.
	At time.Time
	// Wall is the time of day then, which may jump. If it is zero, At is also the time of
	// day.
	Wall time.Time
	// Suspended is how long the VM has been suspended since the process started.
	Suspended time.Duration
	// Random is a uniformly distributed random number for this event.
	Random uint64
	Event  E
}

// With returns the input with another event at the same time.
func (in Input[E]) With(event E) Input[E] {
	in.Event = event
	return in
}

// TimeOfDay returns the time of day, which may jump.
func (in Input[E]) TimeOfDay() time.Time {
	if in.Wall.IsZero() {
		return in.At.Round(0)
	}
	return in.Wall
}

// Machine is a state machine with an immutable state.
type Machine[S, E, F any] interface {
	// Apply returns the next state and the effects to execute. It must not modify
	// the receiver, block, or read a clock.
	Apply(in Input[E]) (S, []F)
	// Next returns when the machine needs a Tick, or the zero time if it needs
	// none.
	Next() time.Time
}

// Out collects the output of one component of a machine: effects for executors
// and events for the other components of the same machine.
type Out[E, F any] struct {
	Effects []F
	Raised  []E
}

// Emit adds effects.
func (o *Out[E, F]) Emit(effects ...F) {
	o.Effects = append(o.Effects, effects...)
}

// Raise adds events that the other components process within the same step.
func (o *Out[E, F]) Raise(events ...E) {
	o.Raised = append(o.Raised, events...)
}

// With returns the output followed by that of another component. The result may
// share slices with both operands, which must not be used afterwards.
func (o Out[E, F]) With(next Out[E, F]) Out[E, F] {
	if len(o.Effects) == 0 {
		o.Effects = next.Effects
	} else {
		o.Effects = append(o.Effects, next.Effects...)
	}
	if len(o.Raised) == 0 {
		o.Raised = next.Raised
	} else {
		o.Raised = append(o.Raised, next.Raised...)
	}
	return o
}

// Earliest returns the earliest non-zero time, or the zero time if there is none.
func Earliest(times ...time.Time) time.Time {
	var first time.Time
	for _, t := range times {
		if t.IsZero() {
			continue
		}
		if first.IsZero() || t.Before(first) {
			first = t
		}
	}
	return first
}
