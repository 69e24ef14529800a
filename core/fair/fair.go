// Package fair holds a queue that shares service between owners of work, with
// priorities that rise with age.
package fair

import (
	"cmp"
	"time"

	"github.com/benbjohnson/immutable"
)

// maxIdle is the number of lanes above which idle ones are looked for.
const maxIdle = 64

// Item is a piece of waiting work.
type Item[T any] struct {
	Value T
	// Cost is the service that the item takes, in any unit above zero.
	Cost     float64
	Priority int
	// Since is when the item was queued.
	Since time.Time
}

// Queue is an immutable queue of items by owner. Within a priority, owners get
// service in proportion to time, however much they queue (start-time fair
// queueing). The oldest item of each owner gains one priority for each Age
// that it waits, so that no priority starves.
type Queue[K cmp.Ordered, T comparable] struct {
	age     time.Duration
	lanes   *immutable.SortedMap[K, lane[T]]
	virtual float64
	length  int
}

// lane holds the items of one owner.
type lane[T any] struct {
	items *immutable.List[Item[T]]
	// start is the virtual time at which the first item may begin.
	start float64
}

// New returns an empty queue.
func New[K cmp.Ordered, T comparable](age time.Duration) Queue[K, T] {
	return Queue[K, T]{age: age, lanes: immutable.NewSortedMap[K, lane[T]](nil)}
}

// Len returns the number of items.
func (q Queue[K, T]) Len() int { return q.length }

// Lane returns the number of items of an owner.
func (q Queue[K, T]) Lane(owner K) int {
	l, ok := q.lanes.Get(owner)
	if !ok {
		return 0
	}
	return l.items.Len()
}

// First returns the oldest item of an owner.
func (q Queue[K, T]) First(owner K) (Item[T], bool) {
	l, ok := q.lanes.Get(owner)
	if !ok || l.items.Len() == 0 {
		return Item[T]{}, false
	}
	return l.items.Get(0), true
}

// WithItem returns the queue with one more item of an owner.
func (q Queue[K, T]) WithItem(owner K, item Item[T]) Queue[K, T] {
	l, ok := q.lanes.Get(owner)
	if !ok {
		l = lane[T]{items: immutable.NewList[Item[T]](), start: q.virtual}
	}
	l.items = l.items.Append(item)
	q.lanes = q.lanes.Set(owner, l)
	q.length++
	return q
}

// Next returns the item to serve at a time. Usable tells whether an item can
// be served at all; an owner whose first item cannot is passed over.
func (q Queue[K, T]) Next(at time.Time, usable func(T) bool) (K, Item[T], bool) {
	var best K
	var bestItem Item[T]
	bestLevel, bestStart, found := 0, 0.0, false
	for itr := q.lanes.Iterator(); !itr.Done(); {
		owner, l, _ := itr.Next()
		if l.items.Len() == 0 {
			continue
		}
		item := l.items.Get(0)
		level := item.Priority + int(at.Sub(item.Since)/q.age)
		if found && (level < bestLevel || level == bestLevel && l.start >= bestStart) {
			continue
		}
		if !usable(item.Value) {
			continue
		}
		best, bestItem, bestLevel, bestStart, found = owner, item, level, l.start, true
	}
	return best, bestItem, found
}

// WithoutNext returns the queue after the first item of an owner was served.
func (q Queue[K, T]) WithoutNext(owner K) Queue[K, T] {
	l, ok := q.lanes.Get(owner)
	if !ok || l.items.Len() == 0 {
		return q
	}
	item := l.items.Get(0)
	q.virtual = max(q.virtual, l.start)
	l.start = max(l.start, q.virtual) + item.Cost
	return q.withItems(owner, l, l.items.Slice(1, l.items.Len()))
}

// Without returns the queue without an item that will not be served.
func (q Queue[K, T]) Without(owner K, value T) Queue[K, T] {
	l, ok := q.lanes.Get(owner)
	if !ok {
		return q
	}
	kept := immutable.NewListBuilder[Item[T]]()
	for itr := l.items.Iterator(); !itr.Done(); {
		_, item := itr.Next()
		if item.Value != value {
			kept.Append(item)
		}
	}
	return q.withItems(owner, l, kept.List())
}

// withItems replaces the items of an owner. An owner whose items are all
// served keeps its lane until the virtual time has reached its start: else an
// owner that queues one long item after the other would begin anew each time.
func (q Queue[K, T]) withItems(owner K, l lane[T], items *immutable.List[Item[T]]) Queue[K, T] {
	q.length += items.Len() - l.items.Len()
	if q.length == 0 {
		return New[K, T](q.age)
	}
	l.items = items
	q.lanes = q.lanes.Set(owner, l)
	if q.lanes.Len() > maxIdle {
		q.lanes = q.busy()
	}
	return q
}

// busy returns the lanes that have items or an unused start.
func (q Queue[K, T]) busy() *immutable.SortedMap[K, lane[T]] {
	lanes := q.lanes
	for itr := q.lanes.Iterator(); !itr.Done(); {
		owner, l, _ := itr.Next()
		if l.items.Len() == 0 && l.start <= q.virtual {
			lanes = lanes.Delete(owner)
		}
	}
	return lanes
}
