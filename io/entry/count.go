package entry

import (
	"context"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/io/meter"
)

// counted counts the events that executors and traffic post.
type counted struct {
	control
	meter *meter.Meter
}

// counter counts effects; it carries out none.
type counter struct{ meter *meter.Meter }

// Execute counts an effect by its type.
func (c counter) Execute(_ context.Context, e effect.Effect) { c.meter.CountEffect(e) }

// Offer queues an event unless the queue is full.
func (c counted) Offer(e event.Event) error {
	err := c.control.Offer(e)
	if err == nil {
		c.meter.CountEvent(e)
	}
	return err
}

// Post queues an event and waits for room.
func (c counted) Post(ctx context.Context, e event.Event) error {
	err := c.control.Post(ctx, e)
	if err == nil {
		c.meter.CountEvent(e)
	}
	return err
}
