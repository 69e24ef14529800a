// Package step defines the shape of every decision part: a pure function from
// a state and an event to the next state and a list of effects. Clocks, random
// numbers and I/O stay outside of it.
package step

import "time"

// Input is an event together with the readings that a reducer may not take by
// itself.
type Input[E any] struct {
	// At is the monotonic time at which the control goroutine took the event.
	At time.Time
	// Draw is a uniformly distributed random number for this event.
	Draw uint64
	// Event is what happened.
	Event E
}

// With returns the input with another event at the same time.
func (in Input[E]) With(event E) Input[E] {
	in.Event = event
	return in
}

// Machine is an immutable state that computes its successor.
type Machine[S, E, F any] interface {
	// Apply returns the next state and the effects to execute. It must not
	// change the receiver, block, or read a clock.
	Apply(in Input[E]) (S, []F)
	// Next returns when the machine needs a timer event, or the zero time.
	Next() time.Time
}

// Out collects what one part of a machine produces: effects for executors and
// events for the other parts of the same machine.
type Out[E, F any] struct {
	Effects []F
	Raised  []E
}

// Emit adds effects.
func (o *Out[E, F]) Emit(effects ...F) {
	o.Effects = append(o.Effects, effects...)
}

// Raise adds events that the other parts see within the same step.
func (o *Out[E, F]) Raise(events ...E) {
	o.Raised = append(o.Raised, events...)
}

// With returns the output followed by another part's. It may share slices with
// both, which must not be used any more.
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

// Earliest returns the earliest of the times that are not zero.
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
