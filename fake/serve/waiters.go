package serve

import "sync"

// Waiters passes the answers of a machine to the goroutines that wait for them.
// Only one goroutine may call Deliver.
type Waiters[A any] struct {
	mu         sync.Mutex
	lastTicket uint64
	channels   map[uint64]chan A
	merge      func(old, next A) A
}

// NewWaiters returns a Waiters without tickets. Merge combines an answer that
// was not received yet with the next one, so that a slow receiver neither
// blocks Deliver nor needs a growing buffer.
func NewWaiters[A any](merge func(old, next A) A) *Waiters[A] {
	return &Waiters[A]{channels: map[uint64]chan A{}, merge: merge}
}

// Unregister removes a ticket. Later answers for it are dropped.
func (w *Waiters[A]) Unregister(ticket uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.channels, ticket)
}

// Deliver passes an answer to the ticket's channel. It drops the answer if the
// ticket is not registered.
func (w *Waiters[A]) Deliver(ticket uint64, answer A) {
	w.mu.Lock()
	answers, ok := w.channels[ticket]
	w.mu.Unlock()
	if !ok {
		return
	}
	select {
	case old := <-answers:
		answer = w.merge(old, answer)
	default:
	}
	answers <- answer
}

// Register returns a new ticket and the channel of its answers.
func (w *Waiters[A]) Register() (uint64, <-chan A) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastTicket++
	answers := make(chan A, 1)
	w.channels[w.lastTicket] = answers
	return w.lastTicket, answers
}
