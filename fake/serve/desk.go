package serve

import "sync"

// Desk hands the answers of a machine to the goroutines that wait for them.
// One goroutine delivers.
type Desk[A any] struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan A
	merge   func(old, next A) A
}

// NewDesk returns a desk. Merge combines an answer that was not taken yet with
// the next one, so that a slow reader holds up nobody and needs no memory.
func NewDesk[A any](merge func(old, next A) A) *Desk[A] {
	return &Desk[A]{waiting: map[uint64]chan A{}, merge: merge}
}

// Close forgets a ticket; answers that come later are dropped.
func (d *Desk[A]) Close(ticket uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, ticket)
}

// Deliver hands over an answer. An answer for a closed ticket is dropped.
func (d *Desk[A]) Deliver(ticket uint64, answer A) {
	d.mu.Lock()
	answers, ok := d.waiting[ticket]
	d.mu.Unlock()
	if !ok {
		return
	}
	select {
	case old := <-answers:
		answer = d.merge(old, answer)
	default:
	}
	answers <- answer
}

// Open returns a new ticket and the channel of its answers.
func (d *Desk[A]) Open() (uint64, <-chan A) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.last++
	answers := make(chan A, 1)
	d.waiting[d.last] = answers
	return d.last, answers
}
