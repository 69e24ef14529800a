// Package loop runs a machine: one goroutine owns the state, takes events from
// a bounded queue and hands effects to an executor.
package loop

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"caroblane/core/step"
)

// minWait keeps a machine that asks for a time in the past from spinning.
const minWait = time.Millisecond

// Errors is the namespace of this layer's errors.
var Errors = errorx.NewNamespace("loop")

// The types of errors that Post and Offer return. They carry no stack trace,
// because a loaded node refuses many events.
var (
	Full    = Errors.NewType("full").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	Stopped = Errors.NewType("stopped").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
)

// Executor carries out effects. Execute must not block.
type Executor[F any] interface {
	Execute(ctx context.Context, effect F)
}

// Loop is the only holder of a machine.
type Loop[S step.Machine[S, E, F], E, F any] struct {
	queue    chan E
	snapshot atomic.Pointer[S]
	executor Executor[F]
	tick     E
	draw     *rand.Rand
	now      func() time.Time
	done     chan struct{}
}

// New returns a loop that starts at the given state. Tick is the event posted
// when the machine's timer is due.
func New[S step.Machine[S, E, F], E, F any](
	initial S, executor Executor[F], tick E, capacity int, draw *rand.Rand, now func() time.Time,
) *Loop[S, E, F] {
	l := &Loop[S, E, F]{
		queue:    make(chan E, capacity),
		executor: executor,
		tick:     tick,
		draw:     draw,
		now:      now,
		done:     make(chan struct{}),
	}
	l.snapshot.Store(&initial)
	return l
}

// Done is closed when Run has returned.
func (l *Loop[S, E, F]) Done() <-chan struct{} { return l.done }

// Offer queues an event unless the queue is full.
func (l *Loop[S, E, F]) Offer(event E) error {
	select {
	case <-l.done:
		return Stopped.New("control loop has stopped")
	default:
	}
	select {
	case l.queue <- event:
		return nil
	default:
		return Full.New("event queue holds %d events", cap(l.queue))
	}
}

// Post queues an event and waits for room.
func (l *Loop[S, E, F]) Post(ctx context.Context, event E) error {
	select {
	case l.queue <- event:
		return nil
	case <-l.done:
		return Stopped.New("control loop has stopped")
	case <-ctx.Done():
		return Stopped.Wrap(ctx.Err(), "event was not queued")
	}
}

// Queued returns the number of events that wait.
func (l *Loop[S, E, F]) Queued() int { return len(l.queue) }

// Run applies events until the context ends.
func (l *Loop[S, E, F]) Run(ctx context.Context) {
	defer close(l.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	state := *l.snapshot.Load()
	// Asked is the time that the machine asked for last, due is when the timer
	// fires; both are zero if it is not armed.
	var asked, due time.Time
	for {
		if next := state.Next(); !next.Equal(asked) {
			asked = next
			due = l.arm(timer, next, due)
		}
		var event E
		select {
		case <-ctx.Done():
			return
		case event = <-l.queue:
		case <-timer.C:
			event = l.tick
			asked, due = time.Time{}, time.Time{}
		}
		var effects []F
		state, effects = state.Apply(step.Input[E]{At: l.now(), Draw: l.draw.Uint64(), Event: event})
		current := state
		l.snapshot.Store(&current)
		for _, effect := range effects {
			l.executor.Execute(ctx, effect)
		}
	}
}

// Snapshot returns the state after the last applied event.
func (l *Loop[S, E, F]) Snapshot() S { return *l.snapshot.Load() }

// arm sets the timer to the time that the machine asks for, at least minWait
// from now, and returns when it fires. A timer that fires within that wait is
// left alone, or events that each ask for another time in the past would put
// it off without end.
func (l *Loop[S, E, F]) arm(timer *time.Timer, next, due time.Time) time.Time {
	if next.IsZero() {
		timer.Stop()
		return time.Time{}
	}
	now := l.now()
	at := next
	if earliest := now.Add(minWait); at.Before(earliest) {
		at = earliest
	}
	if !due.Before(next) && !due.After(at) {
		return due
	}
	timer.Reset(at.Sub(now))
	return at
}
