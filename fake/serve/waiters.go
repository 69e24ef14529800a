package serve

import "sync"

// Waiters passes the effects of a machine to the goroutines that wait for them.
// Only one goroutine may call Deliver.
type Waiters[F any] struct {
	mu         sync.Mutex
	lastTicket uint64
	channels   map[uint64]chan F
	merge      func(old, next F) F
}

// NewWaiters returns a Waiters without tickets. Merge combines an effect that
// was not received yet with the next one, so that a slow receiver neither
// blocks Deliver nor needs a growing buffer.
func NewWaiters[F any](merge func(old, next F) F) *Waiters[F] {
	return &Waiters[F]{channels: map[uint64]chan F{}, merge: merge}
}

// Unregister removes a ticket. Later effects for it are dropped.
func (w *Waiters[F]) Unregister(ticket uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.channels, ticket)
}

// Deliver passes an effect to the ticket's channel. It drops the effect if the
// ticket is not registered.
func (w *Waiters[F]) Deliver(ticket uint64, effect F) {
	w.mu.Lock()
	effects, ok := w.channels[ticket]
	w.mu.Unlock()
	if !ok {
		return
	}
	select {
	case old := <-effects:
		effect = w.merge(old, effect)
	default:
	}
	effects <- effect
}

// Register returns a new ticket and the channel of its effects.
func (w *Waiters[F]) Register() (uint64, <-chan F) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastTicket++
	effects := make(chan F, 1)
	w.channels[w.lastTicket] = effects
	return w.lastTicket, effects
}
