package plat

import (
	"context"
	"sync"
)

// backlog takes items without waiting. It has no bound of its own: it is for
// answers to calls, of which the decision parts have a bounded number open.
type backlog[T any] struct {
	mu    sync.Mutex
	items []T
	added chan struct{}
}

func newBacklog[T any]() *backlog[T] { return &backlog[T]{added: make(chan struct{}, 1)} }

func (b *backlog[T]) add(item T) {
	b.mu.Lock()
	b.items = append(b.items, item)
	b.mu.Unlock()
	select {
	case b.added <- struct{}{}:
	default:
	}
}

// take waits for items and returns all of them. It reports false when the
// context ends.
func (b *backlog[T]) take(ctx context.Context) ([]T, bool) {
	select {
	case <-b.added:
	case <-ctx.Done():
		return nil, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	items := b.items
	b.items = nil
	return items, true
}
