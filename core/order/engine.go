package order

import (
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/record"
	"caroblane/core/step"
)

// engines are the orders to engines. Each engine has at most one outstanding
// order.
type engines struct {
	settings Settings
	caller   caller
	// epoch is that of the authority, or zero without one.
	epoch model.Epoch
	// quietAt is when transmissions from before a gap in the authority have
	// arrived.
	quietAt time.Time
	// listed tells that the orders that earlier holders left are known.
	listed  bool
	listing model.Op
	retryAt time.Time
	tries   int
	targets *immutable.Map[model.UpstreamName, target]
	// calls has the target of each call in flight.
	calls *immutable.Map[uint64, model.UpstreamName]
	next  time.Time
}

// target is an engine that gets an order.
type target struct {
	name   model.UpstreamName
	checks bool
	copied record.Copy[model.Order]
	// wanted is the order that is not recorded yet; nonce identifies it.
	wants  bool
	wanted model.OrderIntent
	nonce  string
	// deadline is when the order is given up.
	deadline time.Time
	// sending is the call to the engine in flight.
	sending model.Op
	// notAfter bounds the transmission under way. With one whose answer was
	// lost, the order may arrive again until quietAt.
	notAfter time.Time
	quietAt  time.Time
	// result is the engine's answer to the recorded order.
	answered bool
	result   model.SendResult
	// lastSeq is the number of the last order that the engine accepted, once
	// lastRead is set.
	lastRead bool
	lastSeq  uint64
	failures int
	retryAt  time.Time
}

func newEngines(settings Settings, incarnation model.Incarnation) engines {
	return engines{
		settings: settings,
		caller:   caller{lane: laneEngine, incarnation: incarnation},
		targets:  immutable.NewMap[model.UpstreamName, target](nil),
		calls:    immutable.NewMap[uint64, model.UpstreamName](nil),
	}
}

func (s engines) apply(t *turn) engines {
	if epoch := t.epoch(); epoch != s.epoch {
		s = s.withoutOrders(epoch, t)
	}
	if asked, ok := t.in.Event.(event.OrderAsked); ok {
		return s.asked(asked, t).withNext(t)
	}
	if !t.authority.valid(t.in.At) {
		s.next = time.Time{}
		return s
	}
	if op, ok := answerTo(t.in.Event); ok {
		if op == s.listing {
			return s.inherited(t).withNext(t)
		}
		name, ok := s.calls.Get(op.Seq)
		if !ok {
			return s
		}
		s.calls = s.calls.Delete(op.Seq)
		if tg, ok := s.targets.Get(name); ok {
			s = s.advance(tg.taken(t, op, s.settings), t)
		}
		return s.withNext(t)
	}
	switch t.in.Event.(type) {
	case event.Tick, event.AuthorityChanged:
		return s.due(t).withNext(t)
	}
	return s
}

// withoutOrders forgets everything when the authority or the epoch changes.
// Recorded orders stay in the store for the holder of the next epoch.
func (s engines) withoutOrders(epoch model.Epoch, t *turn) engines {
	for itr := s.targets.Iterator(); !itr.Done(); {
		_, tg, _ := itr.Next()
		tg.drop(t)
	}
	next := newEngines(s.settings, s.caller.incarnation)
	next.caller = s.caller
	next.epoch = epoch
	next.quietAt = t.in.At.Add(s.settings.arrivalTerm())
	return next
}

// drop tells that the order is given up.
func (tg target) drop(t *turn) {
	intent := tg.wanted
	if !tg.wants {
		recorded, _ := tg.copied.Value()
		intent = recorded.Intent
	}
	t.out.Raise(event.OrderEnded{Upstream: tg.name, Intent: intent, Dropped: true})
}

func (s engines) asked(e event.OrderAsked, t *turn) engines {
	tg, ok := s.targets.Get(e.Upstream)
	if !t.authority.valid(t.in.At) || !ok && s.targets.Len() >= s.settings.MaxOrders {
		t.out.Raise(event.OrderEnded{Upstream: e.Upstream, Intent: e.Intent, Dropped: true})
		return s
	}
	if !ok {
		tg = newTarget(e.Upstream).withQuiet(s.quietAt)
	}
	if tg.wants {
		tg.drop(t)
	}
	s.caller, _ = s.caller.next()
	tg.nonce = s.caller.nonce()
	if e.ChecksEpoch && !tg.checks {
		// An inherited order waits as if the engine did not check epochs.
		tg.retryAt = time.Time{}
	}
	tg.wants, tg.wanted, tg.checks = true, e.Intent, e.ChecksEpoch
	tg.deadline = t.in.At.Add(s.settings.OrderTerm)
	return s.advance(tg, t)
}

func newTarget(name model.UpstreamName) target {
	return target{name: name, copied: record.New[model.Order](model.KindOrder, string(name))}
}

// inherited takes the list of orders and resumes those that may have been sent.
func (s engines) inherited(t *turn) engines {
	s.listing = model.Op{}
	listed, ok := t.in.Event.(event.ObjectsListed)
	if !ok {
		s.retryAt = t.in.At.Add(s.settings.pause(s.tries, t.in.Draw))
		s.tries++
		return s
	}
	s.listed = true
	for _, object := range listed.Objects {
		order, ok := object.Value.(model.Order)
		name := model.UpstreamName(object.Name)
		if _, known := s.targets.Get(name); known || !ok || order.State != model.OrderRecorded {
			continue
		}
		if s.targets.Len() >= s.settings.MaxOrders {
			break
		}
		tg := newTarget(name).withQuiet(s.quietAt)
		tg.copied = tg.copied.WithValue(object.Version, order)
		// Whether the engine checks epochs is not recorded, so the order waits
		// as if it did not.
		tg.deadline = t.in.At.Add(s.settings.takeoverWait() + s.settings.OrderTerm)
		s = s.advance(tg, t)
	}
	return s
}

// due moves on every target whose pause is over.
func (s engines) due(t *turn) engines {
	if !s.listed && s.listing == (model.Op{}) && !t.in.At.Before(s.retryAt) {
		s.caller, s.listing = s.caller.next()
		t.out.Emit(effect.ListObjects{Op: s.listing, Kind: model.KindOrder})
	}
	for itr := s.targets.Iterator(); !itr.Done(); {
		_, tg, _ := itr.Next()
		s = s.advance(tg, t)
	}
	return s
}

// taken applies the answer to a call of the target.
func (tg target) taken(t *turn, op model.Op, settings Settings) target {
	if op == tg.sending {
		tg.sending = model.Op{}
		switch e := t.in.Event.(type) {
		case event.LastOrderRead:
			tg.lastRead = true
			if e.Found {
				tg.lastSeq = e.Seq
			}
			tg.failures = 0
		case event.SendAnswered:
			tg.answered, tg.result = true, e.Result
			tg.failures = 0
		default:
			tg = tg.withQuiet(tg.notAfter.Add(settings.arrivalTerm())).withPause(t, settings)
		}
		return tg
	}
	var result record.Result
	tg.copied, result = tg.copied.Take(t.in.Event)
	if result == record.Failed || result == record.Lost {
		return tg.withPause(t, settings)
	}
	tg.failures = 0
	return tg
}

// withQuiet extends the time in which a lost transmission may arrive.
func (tg target) withQuiet(until time.Time) target {
	if until.After(tg.quietAt) {
		tg.quietAt = until
	}
	return tg
}

func (tg target) withPause(t *turn, settings Settings) target {
	tg.retryAt = t.in.At.Add(settings.pause(tg.failures, t.in.Draw))
	tg.failures++
	return tg
}

// advance makes the next call for a target.
func (s engines) advance(tg target, t *turn) engines {
	at := t.in.At
	if !at.Before(tg.deadline) && !at.Before(tg.quietAt) && tg.sending == (model.Op{}) {
		tg.drop(t)
		s.targets = s.targets.Delete(tg.name)
		return s
	}
	if tg.copied.Busy() || tg.sending != (model.Op{}) || at.Before(tg.retryAt) {
		s.targets = s.targets.Set(tg.name, tg)
		return s
	}
	if !tg.copied.Known() {
		return s.withCall(tg, t, target.withRead)
	}
	recorded, found := tg.copied.Value()
	if tg.wants && found && recorded.Nonce == tg.nonce {
		tg.wants = false
	}
	switch {
	case found && recorded.Epoch > s.epoch, tg.answered && tg.result == model.SendStale:
		// Another process has the lease.
		tg.drop(t)
		s.targets = s.targets.Delete(tg.name)
		return s
	case found && recorded.State == model.OrderRecorded:
		return s.resume(tg, recorded, t)
	case !tg.wants:
		t.out.Raise(event.OrderEnded{Upstream: tg.name, Intent: recorded.Intent, State: recorded.State})
		s.targets = s.targets.Delete(tg.name)
		return s
	default:
		return s.begin(tg, recorded, t)
	}
}

// resume moves on an order that is recorded and not known to have ended.
func (s engines) resume(tg target, recorded model.Order, t *turn) engines {
	next := recorded
	next.Epoch = s.epoch
	switch {
	case tg.answered && !tg.checks && t.in.At.Before(tg.quietAt):
		// The order stays outstanding while a lost transmission of it may
		// arrive, because the engine would take it after the next order.
		tg.retryAt = tg.quietAt
		s.targets = s.targets.Set(tg.name, tg)
		return s
	case tg.answered && tg.result == model.SendRefused:
		next.State = model.OrderRefused
	case tg.answered:
		next.State = model.OrderDone
	case recorded.Epoch == s.epoch:
		return s.withCall(tg, t, func(tg target, op model.Op, t *turn) (target, effect.Effect) {
			return tg.withSend(op, recorded, t, s.settings)
		})
	case !s.mayBegin(tg, t):
		return s.withPreparation(tg, t)
	case tg.lastRead && tg.lastSeq >= recorded.Seq:
		next.State = model.OrderDone
	}
	return s.withWrite(tg, next, t)
}

// begin records the wanted order.
func (s engines) begin(tg target, recorded model.Order, t *turn) engines {
	if recorded.Epoch != s.epoch && !s.mayBegin(tg, t) {
		return s.withPreparation(tg, t)
	}
	tg.answered = false
	return s.withWrite(tg, model.Order{
		Seq:    max(recorded.Seq, tg.lastSeq) + 1,
		Epoch:  s.epoch,
		Intent: tg.wanted,
		State:  model.OrderRecorded,
		Nonce:  tg.nonce,
	}, t)
}

// mayBegin tells whether the first order of this epoch may go to an engine.
func (s engines) mayBegin(tg target, t *turn) bool {
	return tg.checks || tg.lastRead && !t.in.At.Before(s.beginAt(t))
}

func (s engines) beginAt(t *turn) time.Time { return t.authority.since.Add(s.settings.takeoverWait()) }

// withPreparation waits until the orders of earlier holders have arrived, and
// then reads the engine's last order.
func (s engines) withPreparation(tg target, t *turn) engines {
	if begin := s.beginAt(t); t.in.At.Before(begin) {
		tg.retryAt = begin
		s.targets = s.targets.Set(tg.name, tg)
		return s
	}
	return s.withCall(tg, t, target.withLastRead)
}

func (s engines) withWrite(tg target, next model.Order, t *turn) engines {
	return s.withCall(tg, t, func(tg target, op model.Op, _ *turn) (target, effect.Effect) {
		var write effect.Effect
		tg.copied, write = tg.copied.Write(op, next, next.Nonce)
		return tg, write
	})
}

// withCall makes one call for a target.
func (s engines) withCall(tg target, t *turn, call func(target, model.Op, *turn) (target, effect.Effect)) engines {
	var op model.Op
	s.caller, op = s.caller.next()
	s.calls = s.calls.Set(op.Seq, tg.name)
	tg, asked := call(tg, op, t)
	t.out.Emit(asked)
	s.targets = s.targets.Set(tg.name, tg)
	return s
}

func (tg target) withRead(op model.Op, _ *turn) (target, effect.Effect) {
	var read effect.Effect
	tg.copied, read = tg.copied.Read(op)
	return tg, read
}

func (tg target) withLastRead(op model.Op, _ *turn) (target, effect.Effect) {
	tg.sending = op
	return tg, effect.ReadOrder{Op: op, Upstream: tg.name}
}

func (tg target) withSend(op model.Op, recorded model.Order, t *turn, settings Settings) (target, effect.Effect) {
	tg.sending = op
	tg.notAfter = t.notAfter(settings)
	return tg, effect.SendOrder{
		Op:       op,
		Upstream: tg.name,
		Seq:      recorded.Seq,
		Epoch:    recorded.Epoch,
		Intent:   recorded.Intent,
		NotAfter: tg.notAfter,
	}
}

// withNext notes when the part needs a timer event.
func (s engines) withNext(t *turn) engines {
	s.next = time.Time{}
	if !t.authority.valid(t.in.At) {
		return s
	}
	s.next = t.authority.until
	if !s.listed && s.listing == (model.Op{}) {
		s.next = step.Earliest(s.next, s.retryAt)
	}
	for itr := s.targets.Iterator(); !itr.Done(); {
		_, tg, _ := itr.Next()
		if t.in.At.Before(tg.deadline) {
			s.next = step.Earliest(s.next, tg.deadline)
		} else if t.in.At.Before(tg.quietAt) {
			s.next = step.Earliest(s.next, tg.quietAt)
		}
		if !tg.copied.Busy() && tg.sending == (model.Op{}) {
			s.next = step.Earliest(s.next, tg.retryAt)
		}
	}
	return s
}
