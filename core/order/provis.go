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

// provisions are the orders for upstreams. Their identifiers are given by the
// asker, and the platform executes each identifier once.
type provisions struct {
	settings Settings
	caller   caller
	// epoch is that of the authority, or zero without one.
	epoch model.Epoch
	// listed tells that the orders that earlier holders left are known.
	listed  bool
	listing model.Op
	retryAt time.Time
	tries   int
	open    *immutable.Map[string, provision]
	// calls has the order of each call in flight.
	calls *immutable.Map[uint64, string]
	next  time.Time
}

// provision is one order for upstreams.
type provision struct {
	id       string
	copied   record.Copy[model.Provision]
	wanted   model.ProvisionIntent
	deadline time.Time
	sending  model.Op
	answered bool
	result   model.SendResult
	failures int
	retryAt  time.Time
}

func newProvisions(settings Settings, incarnation model.Incarnation) provisions {
	return provisions{
		settings: settings,
		caller:   caller{lane: laneProvision, incarnation: incarnation},
		open:     immutable.NewMap[string, provision](nil),
		calls:    immutable.NewMap[uint64, string](nil),
	}
}

func (s provisions) apply(t *turn) provisions {
	if epoch := t.epoch(); epoch != s.epoch {
		s = s.withoutOrders(epoch, t)
	}
	if asked, ok := t.in.Event.(event.ProvisionAsked); ok {
		return s.asked(asked, t).withNext(t)
	}
	if s.epoch == 0 {
		s.next = time.Time{}
		return s
	}
	if op, ok := answerTo(t.in.Event); ok {
		if op == s.listing {
			return s.inherited(t).withNext(t)
		}
		id, ok := s.calls.Get(op.Seq)
		if !ok {
			return s
		}
		s.calls = s.calls.Delete(op.Seq)
		if p, ok := s.open.Get(id); ok {
			s = s.advance(p.taken(t, op, s.settings), t)
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
func (s provisions) withoutOrders(epoch model.Epoch, t *turn) provisions {
	for itr := s.open.Iterator(); !itr.Done(); {
		id, _, _ := itr.Next()
		t.out.Raise(event.ProvisionEnded{ID: id, Dropped: true})
	}
	next := newProvisions(s.settings, s.caller.incarnation)
	next.caller = s.caller
	next.epoch = epoch
	return next
}

func (s provisions) asked(e event.ProvisionAsked, t *turn) provisions {
	if _, ok := s.open.Get(e.ID); ok {
		return s
	}
	if s.epoch == 0 || s.open.Len() >= s.settings.MaxProvisions {
		t.out.Raise(event.ProvisionEnded{ID: e.ID, Dropped: true})
		return s
	}
	p := newProvision(e.ID, t.in.At.Add(s.settings.OrderTerm))
	p.wanted = e.Intent
	return s.advance(p, t)
}

func newProvision(id string, deadline time.Time) provision {
	return provision{
		id: id, copied: record.New[model.Provision](model.KindProvision, id), deadline: deadline,
	}
}

// inherited takes the list of orders and resumes those that may have been sent.
func (s provisions) inherited(t *turn) provisions {
	s.listing = model.Op{}
	listed, ok := t.in.Event.(event.ObjectsListed)
	if !ok {
		s.retryAt = t.in.At.Add(s.settings.pause(s.tries, t.in.Draw))
		s.tries++
		return s
	}
	s.listed = true
	for _, object := range listed.Objects {
		recorded, ok := object.Value.(model.Provision)
		if _, known := s.open.Get(object.Name); known || !ok || recorded.State != model.ProvisionRecorded {
			continue
		}
		if s.open.Len() >= s.settings.MaxProvisions {
			break
		}
		p := newProvision(object.Name, t.in.At.Add(s.settings.OrderTerm))
		p.copied = p.copied.WithValue(object.Version, recorded)
		s = s.advance(p, t)
	}
	return s
}

// due moves on every order whose pause is over.
func (s provisions) due(t *turn) provisions {
	if !s.listed && s.listing == (model.Op{}) && !t.in.At.Before(s.retryAt) {
		s.caller, s.listing = s.caller.next()
		t.out.Emit(effect.ListObjects{Op: s.listing, Kind: model.KindProvision})
	}
	for itr := s.open.Iterator(); !itr.Done(); {
		_, p, _ := itr.Next()
		s = s.advance(p, t)
	}
	return s
}

// taken applies the answer to a call of the order.
func (p provision) taken(t *turn, op model.Op, settings Settings) provision {
	failed := false
	if op == p.sending {
		p.sending = model.Op{}
		answer, ok := t.in.Event.(event.SendAnswered)
		p.answered, p.result, failed = ok, answer.Result, !ok
	} else {
		var result record.Result
		p.copied, result = p.copied.Take(t.in.Event)
		failed = result == record.Failed || result == record.Lost
	}
	if !failed {
		p.failures = 0
		return p
	}
	p.retryAt = t.in.At.Add(settings.pause(p.failures, t.in.Draw))
	p.failures++
	return p
}

// advance makes the next call for an order.
func (s provisions) advance(p provision, t *turn) provisions {
	recorded, found := p.copied.Value()
	switch {
	case !t.in.At.Before(p.deadline), p.answered && p.result == model.SendStale:
		t.out.Raise(event.ProvisionEnded{ID: p.id, Dropped: true})
		s.open = s.open.Delete(p.id)
		return s
	case p.copied.Busy(), p.sending != (model.Op{}), t.in.At.Before(p.retryAt):
		s.open = s.open.Set(p.id, p)
		return s
	case found && p.copied.Known() && recorded.State != model.ProvisionRecorded:
		t.out.Raise(event.ProvisionEnded{ID: p.id, State: recorded.State})
		s.open = s.open.Delete(p.id)
		return s
	}
	var op model.Op
	s.caller, op = s.caller.next()
	s.calls = s.calls.Set(op.Seq, p.id)
	var call effect.Effect
	switch {
	case !p.copied.Known():
		p.copied, call = p.copied.Read(op)
	case !found:
		nonce := s.caller.nonce()
		first := model.Provision{Epoch: s.epoch, Intent: p.wanted, State: model.ProvisionRecorded, Nonce: nonce}
		p.copied, call = p.copied.Write(op, first, nonce)
	case !p.answered:
		p.sending = op
		call = effect.SendProvision{
			Op: op, ID: p.id, Epoch: s.epoch, Intent: recorded.Intent, NotAfter: t.notAfter(s.settings),
		}
	default:
		recorded.State = model.ProvisionAccepted
		if p.result == model.SendRefused {
			recorded.State = model.ProvisionRefused
		}
		p.copied, call = p.copied.Write(op, recorded, recorded.Nonce)
	}
	t.out.Emit(call)
	s.open = s.open.Set(p.id, p)
	return s
}

// withNext notes when the part needs a timer event.
func (s provisions) withNext(t *turn) provisions {
	s.next = time.Time{}
	if s.epoch == 0 {
		return s
	}
	s.next = t.authority.until
	if !s.listed && s.listing == (model.Op{}) {
		s.next = step.Earliest(s.next, s.retryAt)
	}
	for itr := s.open.Iterator(); !itr.Done(); {
		_, p, _ := itr.Next()
		s.next = step.Earliest(s.next, p.deadline)
		if !p.copied.Busy() && p.sending == (model.Op{}) {
			s.next = step.Earliest(s.next, p.retryAt)
		}
	}
	return s
}
