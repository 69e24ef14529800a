package plat

import (
	"context"
	"time"
)

// SystemClock is the Clock of the operating system.
type SystemClock struct{}

func (SystemClock) Now() time.Time { return time.Now() }

// Wait returns after d, or early with an error if the context is cancelled.
func (SystemClock) Wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
