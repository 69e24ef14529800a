// Package clock reads the clocks of a VM and tells the control loop one time that all
// parts of a node share.
package clock

import (
	"context"
	"time"
)

// Sources are the clocks of an operating system.
type Sources struct {
	// Wall returns the time of day, which may jump.
	Wall func() time.Time
	// Steady returns the time since a fixed moment, without the time for which the VM was
	// suspended.
	Steady func() time.Duration
	// Boot returns the time since a fixed moment, including the time for which the VM was
	// suspended.
	Boot func() time.Duration
}

// Reading is what the clocks of a VM show at one moment.
type Reading struct {
	// At is the time of the node.
	At time.Time
	// Wall is the time of day. It may jump.
	Wall time.Time
	// Suspended is how long the VM has been suspended since the clock was created.
	Suspended time.Duration
}

// Clock is the clock of a node. It starts at the time of day, advances steadily, also
// while the VM is suspended, and never jumps otherwise. The steady clock of the Go runtime
// stands still during a suspension, so that what is old would pass for recent. Its times
// have no monotonic reading, so connections and contexts need their deadlines from
// ToRuntime.
type Clock struct {
	sources Sources
	startAt time.Time
	// steadyStart and bootStart are what the sources showed at the start.
	steadyStart, bootStart time.Duration
}

// New returns a clock that starts now.
func New(sources Sources) Clock {
	return Clock{
		sources: sources, startAt: sources.Wall().Round(0), steadyStart: sources.Steady(), bootStart: sources.Boot(),
	}
}

// System returns a clock that reads the clocks of the operating system.
func System() Clock {
	startedAt := time.Now()
	return New(Sources{Wall: time.Now, Steady: func() time.Duration { return time.Since(startedAt) }, Boot: bootTime})
}

// Now returns the time of the node.
func (c Clock) Now() time.Time { return c.startAt.Add(c.sources.Boot() - c.bootStart) }

// Read returns a reading of all clocks. Boot is read before Steady, so that a goroutine
// that is interrupted in between does not take that time for a suspension.
func (c Clock) Read() Reading {
	boot := c.sources.Boot() - c.bootStart
	steady := c.sources.Steady() - c.steadyStart
	return Reading{At: c.startAt.Add(boot), Wall: c.Wall(), Suspended: max(0, boot-steady)}
}

// Wait returns after d, or early with an error if the context is cancelled.
func (Clock) Wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Wall returns the time of day, without a monotonic reading.
func (c Clock) Wall() time.Time { return c.sources.Wall().Round(0) }

// Func is a clock of a VM that is never suspended and whose time of day never jumps.
type Func func() time.Time

// Read returns a reading.
func (f Func) Read() Reading {
	now := f()
	return Reading{At: now, Wall: now.Round(0)}
}

// ToRuntime converts a time of a clock that shows now to the clock of the Go runtime,
// with which connections and contexts compare their deadlines. The zero time, which
// means no deadline, stays as it is.
func ToRuntime(t, now time.Time) time.Time {
	if t.IsZero() {
		return t
	}
	return RuntimeDeadline(t.Sub(now))
}

// RuntimeDeadline returns the end of a timeout that begins now, by the clock of the Go
// runtime.
func RuntimeDeadline(timeout time.Duration) time.Time { return time.Now().Add(timeout) }
