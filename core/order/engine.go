package order

import (
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/record"
	"caroblane/core/step"
)

// engineOrders sends orders to engines and tracks them until they end. Each
// engine has at most one outstanding order.
type engineOrders struct {
	outstanding[model.UpstreamName, engineOrder]
	// inFlightUntil is when transmissions that started before the last loss of
	// the lease or change of epoch can no longer arrive.
	inFlightUntil time.Time
}

// engineOrder is the state of the order of one engine.
type engineOrder struct {
	name        model.UpstreamName
	checksEpoch bool
	stored      record.Copy[model.Order]
	// requested is the order to record next, while pending is set. nonce
	// identifies its write.
	pending   bool
	requested model.OrderIntent
	nonce     string
	// deadline is when the order is abandoned.
	deadline time.Time
	// sendOp identifies the call to the engine in flight, if any.
	sendOp model.Op
	// notAfter is the deadline of the current transmission. If its response is
	// lost, the order may still arrive until inFlightUntil.
	notAfter      time.Time
	inFlightUntil time.Time
	// result is the engine's response to the recorded order, once answered is
	// set.
	answered bool
	result   model.SendResult
	// lastSeq is the sequence number of the last order that the engine
	// accepted. It is valid once lastSeqKnown is set.
	lastSeqKnown bool
	lastSeq      uint64
	failures     int
	retryAt      time.Time
}

func newEngineOrders(settings Settings, incarnation model.Incarnation) engineOrders {
	ids := opIDs{owner: ownerEngine, incarnation: incarnation}
	return engineOrders{outstanding: newOutstanding[model.UpstreamName, engineOrder](settings, model.KindOrder, ids)}
}

func (s engineOrders) apply(sc *stepContext) engineOrders {
	if epoch := sc.epoch(); epoch != s.epoch {
		s = s.dropOrders(epoch, sc)
	}
	if request, ok := sc.in.Event.(event.OrderAsked); ok {
		return s.handleOrderAsked(request, sc).withNextTimer(sc)
	}
	if !sc.authority.valid(sc.in.At) {
		s.nextTimerAt = time.Time{}
		return s
	}
	if op, ok := responseTo(sc.in.Event); ok {
		return s.handleResponse(op, sc)
	}
	switch sc.in.Event.(type) {
	case event.Tick, event.AuthorityChanged:
		return s.advanceDue(sc).withNextTimer(sc)
	}
	return s
}

// handleResponse applies the response to a call.
func (s engineOrders) handleResponse(op model.Op, sc *stepContext) engineOrders {
	if op == s.listOp {
		return s.handleObjectsListed(sc).withNextTimer(sc)
	}
	var o engineOrder
	var found, answered bool
	if s.outstanding, o, found, answered = s.withoutCall(op); !answered {
		return s
	}
	if found {
		s = s.advance(o.handleResponse(sc, op, s.settings), sc)
	}
	return s.withNextTimer(sc)
}

// dropOrders drops all orders when the lease is lost or its epoch changes.
func (s engineOrders) dropOrders(epoch model.Epoch, sc *stepContext) engineOrders {
	for itr := s.orders.Iterator(); !itr.Done(); {
		_, o, _ := itr.Next()
		o.drop(sc)
	}
	s.outstanding = s.withEpoch(epoch)
	s.inFlightUntil = sc.in.At.Add(s.settings.maxTransmissionTime())
	return s
}

// drop reports that the order was abandoned.
func (o engineOrder) drop(sc *stepContext) {
	intent := o.requested
	if !o.pending {
		recorded, _ := o.stored.Value()
		intent = recorded.Intent
	}
	sc.out.Raise(event.OrderEnded{Upstream: o.name, Intent: intent, Dropped: true})
}

func (s engineOrders) handleOrderAsked(e event.OrderAsked, sc *stepContext) engineOrders {
	o, ok := s.orders.Get(e.Upstream)
	if !sc.authority.valid(sc.in.At) || !ok && s.orders.Len() >= s.settings.MaxOrders {
		sc.out.Raise(event.OrderEnded{Upstream: e.Upstream, Intent: e.Intent, Dropped: true})
		return s
	}
	if !ok {
		o = newEngineOrder(e.Upstream).withInFlightUntil(s.inFlightUntil)
	}
	if o.pending {
		o.drop(sc)
	}
	s.opIDs, _ = s.opIDs.next()
	o.nonce = s.opIDs.nonce()
	if e.ChecksEpoch && !o.checksEpoch {
		// An order taken over from an earlier holder is held back as if the
		// engine did not check epochs. Now it is known that it does.
		o.retryAt = time.Time{}
	}
	o.pending, o.requested, o.checksEpoch = true, e.Intent, e.ChecksEpoch
	o.deadline = sc.in.At.Add(s.settings.OrderTimeout)
	return s.advance(o, sc)
}

func newEngineOrder(name model.UpstreamName) engineOrder {
	return engineOrder{name: name, stored: record.New[model.Order](model.KindOrder, string(name))}
}

// handleObjectsListed takes the list of recorded orders and resumes those of
// earlier lease holders that may have been sent.
func (s engineOrders) handleObjectsListed(sc *stepContext) engineOrders {
	var objects []model.Change
	s.outstanding, objects = s.withListed(sc)
	for _, object := range objects {
		order, ok := object.Value.(model.Order)
		name := model.UpstreamName(object.Name)
		if _, known := s.orders.Get(name); known || !ok || order.State != model.OrderRecorded {
			continue
		}
		if s.orders.Len() >= s.settings.MaxOrders {
			break
		}
		o := newEngineOrder(name).withInFlightUntil(s.inFlightUntil)
		o.stored = o.stored.WithValue(object.Version, order)
		// The record does not say whether the engine checks epochs, so the
		// order is held back as for an engine that does not.
		o.deadline = sc.in.At.Add(s.settings.takeoverDelay() + s.settings.OrderTimeout)
		s = s.advance(o, sc)
	}
	return s
}

// advanceDue lists the recorded orders if that is still to be done, and
// advances every order that is not waiting for a retry.
func (s engineOrders) advanceDue(sc *stepContext) engineOrders {
	s.outstanding = s.withListCall(sc)
	for itr := s.orders.Iterator(); !itr.Done(); {
		_, o, _ := itr.Next()
		s = s.advance(o, sc)
	}
	return s
}

// handleResponse applies the response to a call for the order.
func (o engineOrder) handleResponse(sc *stepContext, op model.Op, settings Settings) engineOrder {
	if op == o.sendOp {
		o.sendOp = model.Op{}
		switch e := sc.in.Event.(type) {
		case event.LastOrderRead:
			o.lastSeqKnown = true
			if e.Found {
				o.lastSeq = e.Seq
			}
			o.failures = 0
		case event.SendAnswered:
			o.answered, o.result = true, e.Result
			o.failures = 0
		default:
			o = o.withInFlightUntil(o.notAfter.Add(settings.maxTransmissionTime())).withBackoff(sc, settings)
		}
		return o
	}
	var result record.Result
	o.stored, result = o.stored.ApplyResponse(sc.in.Event)
	if result == record.Failed || result == record.Ambiguous {
		return o.withBackoff(sc, settings)
	}
	o.failures = 0
	return o
}

// withInFlightUntil extends the time during which a lost transmission may
// still arrive.
func (o engineOrder) withInFlightUntil(until time.Time) engineOrder {
	if until.After(o.inFlightUntil) {
		o.inFlightUntil = until
	}
	return o
}

func (o engineOrder) withBackoff(sc *stepContext, settings Settings) engineOrder {
	o.retryAt = sc.in.At.Add(settings.backoff(o.failures, sc.in.Random))
	o.failures++
	return o
}

// advance starts the next call for an order, or ends the order.
func (s engineOrders) advance(o engineOrder, sc *stepContext) engineOrders {
	at := sc.in.At
	if !at.Before(o.deadline) && !at.Before(o.inFlightUntil) && o.sendOp == (model.Op{}) {
		o.drop(sc)
		s.orders = s.orders.Delete(o.name)
		return s
	}
	if o.stored.InFlight() || o.sendOp != (model.Op{}) || at.Before(o.retryAt) {
		s.orders = s.orders.Set(o.name, o)
		return s
	}
	if !o.stored.Valid() {
		return s.startCall(o, sc, engineOrder.readStored)
	}
	recorded, found := o.stored.Value()
	if o.pending && found && recorded.Nonce == o.nonce {
		o.pending = false
	}
	switch {
	case found && recorded.Epoch > s.epoch, o.answered && o.result == model.SendStale:
		// Another process holds the lease.
		o.drop(sc)
		s.orders = s.orders.Delete(o.name)
		return s
	case found && recorded.State == model.OrderRecorded:
		return s.resume(o, recorded, sc)
	case !o.pending:
		sc.out.Raise(event.OrderEnded{Upstream: o.name, Intent: recorded.Intent, State: recorded.State})
		s.orders = s.orders.Delete(o.name)
		return s
	default:
		return s.begin(o, recorded, sc)
	}
}

// resume continues an order that is recorded and not known to have ended.
func (s engineOrders) resume(o engineOrder, recorded model.Order, sc *stepContext) engineOrders {
	next := recorded
	next.Epoch = s.epoch
	switch {
	case o.answered && !o.checksEpoch && sc.in.At.Before(o.inFlightUntil):
		// An engine that does not check epochs would accept a late
		// transmission of this order after the next one. Keep the order
		// outstanding until none can arrive.
		o.retryAt = o.inFlightUntil
		s.orders = s.orders.Set(o.name, o)
		return s
	case o.answered && o.result == model.SendRefused:
		next.State = model.OrderRefused
	case o.answered:
		next.State = model.OrderDone
	case recorded.Epoch == s.epoch:
		return s.startCall(o, sc, func(o engineOrder, op model.Op, sc *stepContext) (engineOrder, effect.Effect) {
			return o.sendOrder(op, recorded, sc, s.settings)
		})
	case !s.mayBegin(o, sc):
		return s.awaitTakeover(o, sc)
	case o.lastSeqKnown && o.lastSeq >= recorded.Seq:
		next.State = model.OrderDone
	}
	return s.writeStored(o, next, sc)
}

// begin records the requested order.
func (s engineOrders) begin(o engineOrder, recorded model.Order, sc *stepContext) engineOrders {
	if recorded.Epoch != s.epoch && !s.mayBegin(o, sc) {
		return s.awaitTakeover(o, sc)
	}
	o.answered = false
	return s.writeStored(o, model.Order{
		Seq:    max(recorded.Seq, o.lastSeq) + 1,
		Epoch:  s.epoch,
		Intent: o.requested,
		State:  model.OrderRecorded,
		Nonce:  o.nonce,
	}, sc)
}

// mayBegin reports whether the first order of this epoch may be sent to the
// engine.
func (s engineOrders) mayBegin(o engineOrder, sc *stepContext) bool {
	return o.checksEpoch || o.lastSeqKnown && !sc.in.At.Before(s.beginAt(sc))
}

func (s engineOrders) beginAt(sc *stepContext) time.Time {
	return sc.authority.since.Add(s.settings.takeoverDelay())
}

// awaitTakeover waits until orders of earlier lease holders can no longer
// arrive, and then reads the last order that the engine accepted.
func (s engineOrders) awaitTakeover(o engineOrder, sc *stepContext) engineOrders {
	if begin := s.beginAt(sc); sc.in.At.Before(begin) {
		o.retryAt = begin
		s.orders = s.orders.Set(o.name, o)
		return s
	}
	return s.startCall(o, sc, engineOrder.readLastOrder)
}

func (s engineOrders) writeStored(o engineOrder, next model.Order, sc *stepContext) engineOrders {
	return s.startCall(o, sc, func(o engineOrder, op model.Op, _ *stepContext) (engineOrder, effect.Effect) {
		var write effect.Effect
		o.stored, write = o.stored.Write(op, next, next.Nonce)
		return o, write
	})
}

// startCall allocates an operation for the order and emits its effect.
func (s engineOrders) startCall(o engineOrder, sc *stepContext, call func(engineOrder, model.Op, *stepContext) (engineOrder, effect.Effect)) engineOrders {
	var op model.Op
	s.outstanding, op = s.withCall(o.name)
	o, eff := call(o, op, sc)
	sc.out.Emit(eff)
	s.orders = s.orders.Set(o.name, o)
	return s
}

func (o engineOrder) readStored(op model.Op, _ *stepContext) (engineOrder, effect.Effect) {
	var read effect.Effect
	o.stored, read = o.stored.Read(op)
	return o, read
}

func (o engineOrder) readLastOrder(op model.Op, _ *stepContext) (engineOrder, effect.Effect) {
	o.sendOp = op
	return o, effect.ReadOrder{Op: op, Upstream: o.name}
}

func (o engineOrder) sendOrder(op model.Op, recorded model.Order, sc *stepContext, settings Settings) (engineOrder, effect.Effect) {
	o.sendOp = op
	o.notAfter = sc.notAfter(settings)
	return o, effect.SendOrder{
		Op:       op,
		Upstream: o.name,
		Seq:      recorded.Seq,
		Epoch:    recorded.Epoch,
		Intent:   recorded.Intent,
		NotAfter: o.notAfter,
	}
}

// withNextTimer computes when the next Tick is needed.
func (s engineOrders) withNextTimer(sc *stepContext) engineOrders {
	s.outstanding = s.withTimer(sc, func(o engineOrder) time.Time {
		var next time.Time
		switch {
		case sc.in.At.Before(o.deadline):
			next = o.deadline
		case sc.in.At.Before(o.inFlightUntil):
			next = o.inFlightUntil
		}
		if o.stored.InFlight() || o.sendOp != (model.Op{}) {
			return next
		}
		return step.Earliest(next, o.retryAt)
	})
	return s
}
