package serve

import "slices"

// fifo is an immutable queue. Its operations take constant time on average.
type fifo[T any] struct {
	// front has the first items, and is empty only if the queue is. back has the others,
	// last first.
	front []T
	back  *fifoItem[T]
	size  int
}

type fifoItem[T any] struct {
	value T
	next  *fifoItem[T]
}

// With returns the queue with another item at its end.
func (q fifo[T]) With(value T) fifo[T] {
	if q.size == 0 {
		q.front = []T{value}
	} else {
		q.back = &fifoItem[T]{value, q.back}
	}
	q.size++
	return q
}

// First returns the first item.
func (q fifo[T]) First() (T, bool) {
	if q.size == 0 {
		var none T
		return none, false
	}
	return q.front[0], true
}

// WithoutFirst returns a queue that is not empty without its first item.
func (q fifo[T]) WithoutFirst() fifo[T] {
	q.front = q.front[1:]
	q.size--
	if len(q.front) > 0 || q.size == 0 {
		return q
	}
	q.front = make([]T, 0, q.size)
	for item := q.back; item != nil; item = item.next {
		q.front = append(q.front, item.value)
	}
	slices.Reverse(q.front)
	q.back = nil
	return q
}
