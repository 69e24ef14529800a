// Package event defines all events that the reducer of an entry node processes.
// Events are plain values without behaviour. There is one file for each area.
package event

// Event is an input of the reducer: an occurrence outside of it, or one that a
// component raised.
type Event interface{ isEvent() }

// Tick is the timer event at the time that a state machine returned from Next.
type Tick struct{}

func (Tick) isEvent() {}
