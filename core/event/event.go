// Package event holds every event that the reducer of an entry node takes, a
// file for each area. Events are values; they carry no behaviour.
package event

// Event is something that happened.
type Event interface{ isEvent() }

// Tick is the timer event that a machine asked for with Next.
type Tick struct{}

func (Tick) isEvent() {}
