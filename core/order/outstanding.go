package order

import (
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
)

// outstanding is a container of the orders that a lease holder has not finished,
// by their names in the store.
type outstanding[K ~string, O any] struct {
	settings Settings
	kind     model.Kind
	opIDs    opIDs
	// epoch is the epoch of the held lease, or zero while the lease is not
	// held.
	epoch model.Epoch
	// listed is set once the orders left by earlier lease holders have been
	// listed.
	listed       bool
	listOp       model.Op
	retryAt      time.Time
	listFailures int
	orders       *immutable.Map[K, O]
	// calls maps the sequence number of each call in flight to its order.
	calls       *immutable.Map[uint64, K]
	nextTimerAt time.Time
}

func newOutstanding[K ~string, O any](settings Settings, kind model.Kind, ids opIDs) outstanding[K, O] {
	return outstanding[K, O]{
		settings: settings,
		kind:     kind,
		opIDs:    ids,
		orders:   immutable.NewMap[K, O](nil),
		calls:    immutable.NewMap[uint64, K](nil),
	}
}

// withEpoch returns a container without orders for another epoch. Recorded orders
// stay in the store for the next lease holder.
func (s outstanding[K, O]) withEpoch(epoch model.Epoch) outstanding[K, O] {
	next := newOutstanding[K, O](s.settings, s.kind, s.opIDs)
	next.epoch = epoch
	return next
}

// withCall returns the container with a new call for an order, and the call's
// identifier.
func (s outstanding[K, O]) withCall(name K) (outstanding[K, O], model.Op) {
	var op model.Op
	s.opIDs, op = s.opIDs.next()
	s.calls = s.calls.Set(op.Seq, name)
	return s, op
}

// withoutCall returns the container without a call that was answered, and the
// order for which it was made. The order may have ended since. Answered is false if
// the call is not known.
func (s outstanding[K, O]) withoutCall(op model.Op) (_ outstanding[K, O], order O, found, answered bool) {
	name, answered := s.calls.Get(op.Seq)
	if !answered {
		return s, order, false, false
	}
	s.calls = s.calls.Delete(op.Seq)
	order, found = s.orders.Get(name)
	return s, order, found, true
}

// withListCall lists the recorded orders if that is still to be done.
func (s outstanding[K, O]) withListCall(sc *stepContext) outstanding[K, O] {
	if s.listed || s.listOp != (model.Op{}) || sc.in.At.Before(s.retryAt) {
		return s
	}
	s.opIDs, s.listOp = s.opIDs.next()
	sc.out.Emit(effect.ListObjects{Op: s.listOp, Kind: s.kind})
	return s
}

// withListed returns the container after the response to the list call, and the
// recorded orders in it. A failed call is repeated later.
func (s outstanding[K, O]) withListed(sc *stepContext) (outstanding[K, O], []model.Change) {
	s.listOp = model.Op{}
	listed, ok := sc.in.Event.(event.ObjectsListed)
	if !ok {
		s.retryAt = sc.in.At.Add(s.settings.backoff(s.listFailures, sc.in.Random))
		s.listFailures++
		return s, nil
	}
	s.listed = true
	return s, listed.Objects
}

// withTimer returns the container with the time of the next Tick, which is the
// earliest of the end of the lease, the next list call and what the orders need.
func (s outstanding[K, O]) withTimer(sc *stepContext, next func(O) time.Time) outstanding[K, O] {
	s.nextTimerAt = time.Time{}
	if !sc.authority.valid(sc.in.At) {
		return s
	}
	s.nextTimerAt = sc.authority.until
	if !s.listed && s.listOp == (model.Op{}) {
		s.nextTimerAt = step.Earliest(s.nextTimerAt, s.retryAt)
	}
	for itr := s.orders.Iterator(); !itr.Done(); {
		_, o, _ := itr.Next()
		s.nextTimerAt = step.Earliest(s.nextTimerAt, next(o))
	}
	return s
}
