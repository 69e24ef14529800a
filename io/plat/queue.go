package plat

import (
	"context"
	"sync"
)

// unboundedQueue is a queue whose add never blocks. It holds results of calls, and
// the reducer limits the number of open calls, so it needs no limit of its own.
type unboundedQueue[T any] struct {
	mu    sync.Mutex
	items []T
	added chan struct{}
}

func newUnboundedQueue[T any]() *unboundedQueue[T] {
	return &unboundedQueue[T]{added: make(chan struct{}, 1)}
}

func (q *unboundedQueue[T]) add(item T) {
	q.mu.Lock()
	q.items = append(q.items, item)
	q.mu.Unlock()
	select {
	case q.added <- struct{}{}:
	default:
	}
}

// take waits for items and returns all of them. It reports false if the context
// is cancelled.
func (q *unboundedQueue[T]) take(ctx context.Context) ([]T, bool) {
	select {
	case <-q.added:
	case <-ctx.Done():
		return nil, false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.items = nil
	return items, true
}
