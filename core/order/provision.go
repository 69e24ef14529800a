package order

import (
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/record"
	"caroblane/core/step"
)

// provisions sends provisioning orders to the platform and tracks them until
// they end. The requester chooses the identifiers, and the platform executes
// each identifier at most once.
type provisions struct {
	outstanding[string, provision]
}

// provision is the state of one provisioning order.
type provision struct {
	id        string
	stored    record.Copy[model.Provision]
	requested model.ProvisionIntent
	deadline  time.Time
	sendOp    model.Op
	answered  bool
	result    model.SendResult
	failures  int
	retryAt   time.Time
}

func newProvisions(settings Settings, incarnation model.Incarnation) provisions {
	ids := opIDs{owner: ownerProvision, incarnation: incarnation}
	return provisions{newOutstanding[string, provision](settings, model.KindProvision, ids)}
}

func (s provisions) apply(sc *stepContext) provisions {
	if epoch := sc.epoch(); epoch != s.epoch {
		s = s.dropOrders(epoch, sc)
	}
	if request, ok := sc.in.Event.(event.ProvisionAsked); ok {
		return s.handleProvisionAsked(request, sc).withNextTimer(sc)
	}
	if s.epoch == 0 {
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
func (s provisions) handleResponse(op model.Op, sc *stepContext) provisions {
	if op == s.listOp {
		return s.handleObjectsListed(sc).withNextTimer(sc)
	}
	var p provision
	var found, answered bool
	if s.outstanding, p, found, answered = s.withoutCall(op); !answered {
		return s
	}
	if found {
		s = s.advance(p.handleResponse(sc, op, s.settings), sc)
	}
	return s.withNextTimer(sc)
}

// dropOrders drops all orders when the lease is lost or its epoch changes.
func (s provisions) dropOrders(epoch model.Epoch, sc *stepContext) provisions {
	for itr := s.orders.Iterator(); !itr.Done(); {
		id, _, _ := itr.Next()
		sc.out.Raise(event.ProvisionEnded{ID: id, Dropped: true})
	}
	s.outstanding = s.withEpoch(epoch)
	return s
}

func (s provisions) handleProvisionAsked(e event.ProvisionAsked, sc *stepContext) provisions {
	if _, ok := s.orders.Get(e.ID); ok {
		return s
	}
	if s.epoch == 0 || s.orders.Len() >= s.settings.MaxProvisions {
		sc.out.Raise(event.ProvisionEnded{ID: e.ID, Dropped: true})
		return s
	}
	p := newProvision(e.ID, sc.in.At.Add(s.settings.OrderTimeout))
	p.requested = e.Intent
	return s.advance(p, sc)
}

func newProvision(id string, deadline time.Time) provision {
	return provision{
		id: id, stored: record.New[model.Provision](model.KindProvision, id), deadline: deadline,
	}
}

// handleObjectsListed takes the list of recorded orders and resumes those of
// earlier lease holders that may have been sent.
func (s provisions) handleObjectsListed(sc *stepContext) provisions {
	var objects []model.Change
	s.outstanding, objects = s.withListed(sc)
	for _, object := range objects {
		recorded, ok := object.Value.(model.Provision)
		if _, known := s.orders.Get(object.Name); known || !ok || recorded.State != model.ProvisionRecorded {
			continue
		}
		if s.orders.Len() >= s.settings.MaxProvisions {
			break
		}
		p := newProvision(object.Name, sc.in.At.Add(s.settings.OrderTimeout))
		p.stored = p.stored.WithValue(object.Version, recorded)
		s = s.advance(p, sc)
	}
	return s
}

// advanceDue lists the recorded orders if that is still to be done, and
// advances every order that is not waiting for a retry.
func (s provisions) advanceDue(sc *stepContext) provisions {
	s.outstanding = s.withListCall(sc)
	for itr := s.orders.Iterator(); !itr.Done(); {
		_, p, _ := itr.Next()
		s = s.advance(p, sc)
	}
	return s
}

// handleResponse applies the response to a call for the order.
func (p provision) handleResponse(sc *stepContext, op model.Op, settings Settings) provision {
	failed := false
	if op == p.sendOp {
		p.sendOp = model.Op{}
		response, ok := sc.in.Event.(event.SendAnswered)
		p.answered, p.result, failed = ok, response.Result, !ok
	} else {
		var result record.Result
		p.stored, result = p.stored.ApplyResponse(sc.in.Event)
		failed = result == record.Failed || result == record.Ambiguous
	}
	if !failed {
		p.failures = 0
		return p
	}
	p.retryAt = sc.in.At.Add(settings.backoff(p.failures, sc.in.Random))
	p.failures++
	return p
}

// advance starts the next call for an order, or ends the order.
func (s provisions) advance(p provision, sc *stepContext) provisions {
	recorded, found := p.stored.Value()
	switch {
	case !sc.in.At.Before(p.deadline), p.answered && p.result == model.SendStale:
		sc.out.Raise(event.ProvisionEnded{ID: p.id, Dropped: true})
		s.orders = s.orders.Delete(p.id)
		return s
	case p.stored.InFlight(), p.sendOp != (model.Op{}), sc.in.At.Before(p.retryAt):
		s.orders = s.orders.Set(p.id, p)
		return s
	case found && p.stored.Valid() && recorded.State != model.ProvisionRecorded:
		sc.out.Raise(event.ProvisionEnded{ID: p.id, State: recorded.State})
		s.orders = s.orders.Delete(p.id)
		return s
	}
	var op model.Op
	s.outstanding, op = s.withCall(p.id)
	var call effect.Effect
	switch {
	case !p.stored.Valid():
		p.stored, call = p.stored.Read(op)
	case !found:
		nonce := s.opIDs.nonce()
		first := model.Provision{Epoch: s.epoch, Intent: p.requested, State: model.ProvisionRecorded, Nonce: nonce}
		p.stored, call = p.stored.Write(op, first, nonce)
	case !p.answered:
		p.sendOp = op
		call = effect.SendProvision{
			Op: op, ID: p.id, Epoch: s.epoch, Intent: recorded.Intent, NotAfter: sc.notAfter(s.settings),
		}
	default:
		recorded.State = model.ProvisionAccepted
		if p.result == model.SendRefused {
			recorded.State = model.ProvisionRefused
		}
		p.stored, call = p.stored.Write(op, recorded, recorded.Nonce)
	}
	sc.out.Emit(call)
	s.orders = s.orders.Set(p.id, p)
	return s
}

// withNextTimer computes when the next Tick is needed.
func (s provisions) withNextTimer(sc *stepContext) provisions {
	s.outstanding = s.withTimer(sc, func(p provision) time.Time {
		if p.stored.InFlight() || p.sendOp != (model.Op{}) {
			return p.deadline
		}
		return step.Earliest(p.deadline, p.retryAt)
	})
	return s
}
