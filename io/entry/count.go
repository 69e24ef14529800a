package entry

import (
	"context"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/io/meter"
)

// countingControl counts the events that executors and request handlers queue for
// the control loop.
type countingControl struct {
	control
	metrics *meter.Metrics
}

// effectCounter is an executor that counts effects without executing them.
type effectCounter struct{ metrics *meter.Metrics }

// Execute increments the counter for the type of the effect.
func (c effectCounter) Execute(_ context.Context, e effect.Effect) { c.metrics.CountEffect(e) }

// TryPost queues and counts an event. It fails if the queue is full.
func (c countingControl) TryPost(e event.Event) error {
	err := c.control.TryPost(e)
	if err == nil {
		c.metrics.CountEvent(e)
	}
	return err
}

// Post queues and counts an event. It waits until the queue has room.
func (c countingControl) Post(ctx context.Context, e event.Event) error {
	err := c.control.Post(ctx, e)
	if err == nil {
		c.metrics.CountEvent(e)
	}
	return err
}
