// Package fair implements a fair queue with priorities and aging.
package fair

import (
	"cmp"
	"time"

	"github.com/benbjohnson/immutable"
)

// pruneThreshold is the number of flows above which idle flows are removed.
const pruneThreshold = 64

// Item is a queued piece of work.
type Item[T any] struct {
	Value T
	// Cost is the amount of service that the item takes, in any unit. It is
	// above zero.
	Cost     float64
	Priority int
	// QueuedAt is when the item was queued.
	QueuedAt time.Time
}

// Queue is an immutable queue with one flow of items per owner. Within a
// priority, owners with queued items get equal amounts of service, however many
// items they queue (start-time fair queueing). The priority of an owner's first
// item increases by one for each aging interval that it waits, so that low
// priorities do not starve.
type Queue[K cmp.Ordered, T comparable] struct {
	agingInterval time.Duration
	flows         *immutable.SortedMap[K, flow[T]]
	virtualTime   float64
	length        int
}

// flow holds the items of one owner.
type flow[T any] struct {
	items *immutable.List[Item[T]]
	// startTag is the virtual time at which the first item may start.
	startTag float64
}

// New returns an empty queue with the given aging interval.
func New[K cmp.Ordered, T comparable](agingInterval time.Duration) Queue[K, T] {
	return Queue[K, T]{agingInterval: agingInterval, flows: immutable.NewSortedMap[K, flow[T]](nil)}
}

// Len returns the number of items of all owners.
func (q Queue[K, T]) Len() int { return q.length }

// LenOf returns the number of items of an owner.
func (q Queue[K, T]) LenOf(owner K) int {
	f, ok := q.flows.Get(owner)
	if !ok {
		return 0
	}
	return f.items.Len()
}

// First returns the first item of an owner, and false if there is none.
func (q Queue[K, T]) First(owner K) (Item[T], bool) {
	f, ok := q.flows.Get(owner)
	if !ok || f.items.Len() == 0 {
		return Item[T]{}, false
	}
	return f.items.Get(0), true
}

// WithItem returns the queue with an item appended for an owner.
func (q Queue[K, T]) WithItem(owner K, item Item[T]) Queue[K, T] {
	f, ok := q.flows.Get(owner)
	if !ok {
		f = flow[T]{items: immutable.NewList[Item[T]](), startTag: q.virtualTime}
	}
	f.items = f.items.Append(item)
	q.flows = q.flows.Set(owner, f)
	q.length++
	return q
}

// Next returns the item to serve at a time, and false if there is none. Owners
// whose first item is not eligible are skipped.
func (q Queue[K, T]) Next(at time.Time, eligible func(T) bool) (K, Item[T], bool) {
	var best K
	var bestItem Item[T]
	bestPriority, bestTag, found := 0, 0.0, false
	for itr := q.flows.Iterator(); !itr.Done(); {
		owner, f, _ := itr.Next()
		if f.items.Len() == 0 {
			continue
		}
		item := f.items.Get(0)
		priority := item.Priority + int(at.Sub(item.QueuedAt)/q.agingInterval)
		if found && (priority < bestPriority || priority == bestPriority && f.startTag >= bestTag) {
			continue
		}
		if !eligible(item.Value) {
			continue
		}
		best, bestItem, bestPriority, bestTag, found = owner, item, priority, f.startTag, true
	}
	return best, bestItem, found
}

// WithServed returns the queue after the first item of an owner was served, and
// charges its cost to the owner.
func (q Queue[K, T]) WithServed(owner K) Queue[K, T] {
	f, ok := q.flows.Get(owner)
	if !ok || f.items.Len() == 0 {
		return q
	}
	item := f.items.Get(0)
	q.virtualTime = max(q.virtualTime, f.startTag)
	f.startTag = max(f.startTag, q.virtualTime) + item.Cost
	return q.withItems(owner, f, f.items.Slice(1, f.items.Len()))
}

// WithoutItem returns the queue without an item that will not be served. The
// owner is not charged for it.
func (q Queue[K, T]) WithoutItem(owner K, value T) Queue[K, T] {
	f, ok := q.flows.Get(owner)
	if !ok {
		return q
	}
	kept := immutable.NewListBuilder[Item[T]]()
	for itr := f.items.Iterator(); !itr.Done(); {
		_, item := itr.Next()
		if item.Value != value {
			kept.Append(item)
		}
	}
	return q.withItems(owner, f, kept.List())
}

// withItems replaces the items of an owner. An empty flow is kept until the
// virtual time reaches its start tag. Otherwise an owner that queues one
// expensive item after another would get a new start tag each time and exceed its
// share. If the whole queue is empty, all flows are removed and the virtual time
// restarts.
func (q Queue[K, T]) withItems(owner K, f flow[T], items *immutable.List[Item[T]]) Queue[K, T] {
	q.length += items.Len() - f.items.Len()
	if q.length == 0 {
		return New[K, T](q.agingInterval)
	}
	f.items = items
	q.flows = q.flows.Set(owner, f)
	if q.flows.Len() > pruneThreshold {
		q.flows = q.activeFlows()
	}
	return q
}

// activeFlows returns the flows that have items, or whose start tag is ahead of the
// virtual time.
func (q Queue[K, T]) activeFlows() *immutable.SortedMap[K, flow[T]] {
	flows := q.flows
	for itr := q.flows.Iterator(); !itr.Done(); {
		owner, f, _ := itr.Next()
		if f.items.Len() == 0 && f.startTag <= q.virtualTime {
			flows = flows.Delete(owner)
		}
	}
	return flows
}
