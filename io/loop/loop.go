// Package loop implements an event loop for a state machine. A single goroutine
// owns the state, applies events from a bounded queue and passes the resulting
// effects to an executor.
package loop

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"caroblane/core/step"
	"caroblane/io/clock"
)

// minTimerDelay is the minimum delay of a timer event. It prevents a busy loop if
// a machine requests a time in the past.
const minTimerDelay = time.Millisecond

// Errors is the error namespace of this package.
var Errors = errorx.NewNamespace("loop")

// Error types returned by Post and TryPost. They omit the stack trace, because an
// overloaded node rejects many events.
var (
	Full    = Errors.NewType("full").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	Stopped = Errors.NewType("stopped").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
)

// Executor executes effects. Execute must not block.
type Executor[F any] interface {
	Execute(ctx context.Context, effect F)
}

// Clock tells the time to a loop.
type Clock interface{ Read() clock.Reading }

// Loop owns a state machine and applies events to it.
type Loop[S step.Machine[S, E, F], E, F any] struct {
	queue    chan E
	snapshot atomic.Pointer[S]
	executor Executor[F]
	tick     E
	random   *rand.Rand
	clock    Clock
	done     chan struct{}
}

// New returns a loop with the given initial state. Tick is the event that is
// applied when the timer of the machine expires.
func New[S step.Machine[S, E, F], E, F any](
	initial S, executor Executor[F], tick E, capacity int, random *rand.Rand, c Clock,
) *Loop[S, E, F] {
	l := &Loop[S, E, F]{
		queue:    make(chan E, capacity),
		executor: executor,
		tick:     tick,
		random:   random,
		clock:    c,
		done:     make(chan struct{}),
	}
	l.snapshot.Store(&initial)
	return l
}

// Done is closed when Run has returned.
func (l *Loop[S, E, F]) Done() <-chan struct{} { return l.done }

// TryPost queues an event. It returns an error of type Full if the queue is full.
func (l *Loop[S, E, F]) TryPost(event E) error {
	select {
	case <-l.done:
		return Stopped.New("control loop has stopped")
	default:
	}
	select {
	case l.queue <- event:
		return nil
	default:
		return Full.New("event queue is full with %d events", cap(l.queue))
	}
}

// Post queues an event. If the queue is full, it waits until there is room, the
// loop stops or the context is cancelled.
func (l *Loop[S, E, F]) Post(ctx context.Context, event E) error {
	select {
	case l.queue <- event:
		return nil
	case <-l.done:
		return Stopped.New("control loop has stopped")
	case <-ctx.Done():
		return Stopped.Wrap(ctx.Err(), "event not queued")
	}
}

// Queued returns the number of events in the queue.
func (l *Loop[S, E, F]) Queued() int { return len(l.queue) }

// Run applies events until the context is cancelled.
func (l *Loop[S, E, F]) Run(ctx context.Context) {
	defer close(l.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	state := *l.snapshot.Load()
	// requested is the time that the machine last requested for the timer event,
	// and due is when the timer expires. Both are zero if the timer is not set.
	var requested, due time.Time
	// suspended is how long the VM had been suspended when the timer was set.
	var suspended time.Duration
	read := l.clock.Read()
	for {
		if read.Suspended-suspended >= minTimerDelay {
			// The timer stood still meanwhile.
			suspended = read.Suspended
			requested, due = time.Time{}, time.Time{}
		}
		if next := state.Next(); !next.Equal(requested) {
			requested = next
			due = l.resetTimer(timer, next, due)
		}
		var event E
		select {
		case <-ctx.Done():
			return
		case event = <-l.queue:
		case <-timer.C:
			event = l.tick
			requested, due = time.Time{}, time.Time{}
		}
		var effects []F
		read = l.clock.Read()
		state, effects = state.Apply(step.Input[E]{
			At: read.At, Wall: read.Wall, Suspended: read.Suspended, Random: l.random.Uint64(), Event: event,
		})
		current := state
		l.snapshot.Store(&current)
		for _, effect := range effects {
			l.executor.Execute(ctx, effect)
		}
	}
}

// Snapshot returns the state after the last applied event. It may be called from
// any goroutine.
func (l *Loop[S, E, F]) Snapshot() S { return *l.snapshot.Load() }

// resetTimer sets the timer to the time requested by the machine, but at least
// minTimerDelay from now, and returns when it expires. It keeps a timer that
// already expires between the requested time and the end of that delay.
// Otherwise, if every event requests a different time in the past, the timer would
// be postponed forever.
func (l *Loop[S, E, F]) resetTimer(timer *time.Timer, next, due time.Time) time.Time {
	if next.IsZero() {
		timer.Stop()
		return time.Time{}
	}
	now := l.clock.Read().At
	at := next
	if earliest := now.Add(minTimerDelay); at.Before(earliest) {
		at = earliest
	}
	if !due.Before(next) && !due.After(at) {
		return due
	}
	timer.Reset(at.Sub(now))
	return at
}
