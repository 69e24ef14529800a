package clock

import (
	"context"
	"sync"
	"time"
)

// recheckInterval is how long a context with a deadline relies on the timers of the Go
// runtime, which stand still while the VM is suspended.
const recheckInterval = time.Second

// deadlineTimer cancels a context at a time of the clock of the node.
type deadlineTimer struct {
	now      func() time.Time
	deadline time.Time
	cancel   context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	ended bool
}

// WithDeadline returns a context that is cancelled at a time of the clock that now reads,
// with the cause context.DeadlineExceeded. After a suspension of the VM that may be up to a
// second late. The caller must call the returned function when the context is no longer
// used.
func WithDeadline(ctx context.Context, now func() time.Time, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &deadlineTimer{now: now, deadline: deadline, cancel: cancel}
	t.check()
	return ctx, t.end
}

// check cancels the context if the deadline has passed, and otherwise sets the timer for
// the next check.
func (t *deadlineTimer) check() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return
	}
	left := t.deadline.Sub(t.now())
	if left <= 0 {
		t.cancel(context.DeadlineExceeded)
		return
	}
	t.timer = time.AfterFunc(min(left, recheckInterval), t.check)
}

// end releases the timer and cancels the context.
func (t *deadlineTimer) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	if t.timer != nil {
		t.timer.Stop()
	}
	t.cancel(context.Canceled)
}
