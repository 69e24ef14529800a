package flow

import (
	"caroblane/core/conf"
	"caroblane/core/crash"
	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

func (s State) handleRequestArrived(e event.RequestArrived, view View, out *Out) State {
	req, reason, ok := s.validate(&e.Request, view)
	if !ok {
		emitRefusal(e.Ticket, newRefusal(reason, model.NotRun, retryAfterSeconds(reason)), out)
		return s
	}
	s.retries = s.retries.WithRequest(view.At)
	if req.account == "" {
		return s.continueAdmitted(e.Ticket, req, view, out)
	}
	s.arrival = &arrival{request: req, ticket: e.Ticket}
	out.Raise(event.AdmissionAsked{
		Ticket:   e.Ticket,
		Account:  req.account,
		Priority: req.priority,
		AdmitBy:  e.Request.AdmitBy,
	})
	return s
}

// validate decides whether a request is accepted, and resolves its route,
// account and priority.
func (s State) validate(received *model.Request, view View) (openRequest, model.Reason, bool) {
	req := openRequest{received: received}
	switch {
	case s.draining:
		return req, model.Draining, false
	case !view.Fresh:
		return req, model.NotFresh, false
	case s.open.Len() >= s.maxOpen:
		return req, model.Overloaded, false
	}
	open := false
	if received.Kind == model.RequestPlain {
		route, ok := view.Conf.Route(received.Path)
		if !ok {
			return req, model.UnknownRoute, false
		}
		req.needsClaim = !route.Repeatable
		req.routeUpstreams = route.Upstreams
		open = route.Open
	}
	if !open {
		reason, ok := req.authorize(received, view.Conf)
		if !ok {
			return req, reason, false
		}
	}
	if received.Kind == model.RequestChat {
		if _, ok := view.Conf.Model(received.Model); !ok {
			return req, model.UnknownModel, false
		}
	}
	if req.needsClaim && received.IdempotencyKey == "" {
		return req, model.MissingIdempotencyKey, false
	}
	if s.crashes.Verdict(received.Fingerprint, view.At) == crash.Refuse {
		return req, model.CrashSuspect, false
	}
	return req, 0, true
}

// authorize checks the API key of a request and sets the client account that
// the key belongs to.
func (req *openRequest) authorize(received *model.Request, config conf.State) (model.Reason, bool) {
	if !received.HasKey {
		return model.MissingKey, false
	}
	key, ok := config.Key(received.KeyHash)
	if !ok {
		return model.KeyUnknown, false
	}
	if key.State == model.KeyWithdrawn {
		return model.KeyWasWithdrawn, false
	}
	template, ok := config.Template(key.Account)
	if !ok {
		return model.KeyUnknown, false
	}
	if received.Kind == model.RequestChat && !template.Allows(received.Model) {
		return model.ModelNotAllowed, false
	}
	req.account = key.Account
	req.priority = template.Priority
	req.cheapShare = template.CheapShare
	return 0, true
}

func (s State) handleAdmissionGranted(ticket model.Ticket, view View, out *Out) State {
	req, ok := s.open.Get(ticket)
	if !ok {
		return s
	}
	return s.continueAdmitted(ticket, req, view, out)
}

func (s State) handleClaimWon(ticket model.Ticket, view View, out *Out) State {
	req, ok := s.open.Get(ticket)
	if !ok {
		return s
	}
	return s.dispatch(ticket, req, view, out)
}

func (s State) handleClaimRefused(e event.ClaimRefused, out *Out) State {
	if _, ok := s.open.Get(e.Ticket); !ok {
		return s
	}
	if e.Replay {
		s.open = s.open.Delete(e.Ticket)
		out.Emit(effect.Replay{Ticket: e.Ticket, Response: e.Response})
		return s
	}
	execution := model.NotRun
	if e.Reason == model.EarlierOutcomeUnknown {
		execution = model.OutcomeUnknown
	}
	return s.refuse(e.Ticket, newRefusal(e.Reason, execution, retryAfterSeconds(e.Reason)), out)
}

// withArrivalStored moves the last arrival into the map of open requests.
func (s State) withArrivalStored() State {
	if s.arrival != nil {
		s.open = s.open.Set(s.arrival.ticket, s.arrival.request)
		s.arrival = nil
	}
	return s
}

// continueAdmitted continues a request that was admitted or needs no admission.
// The request may not be in the map of open requests yet.
func (s State) continueAdmitted(ticket model.Ticket, req openRequest, view View, out *Out) State {
	if !req.needsClaim {
		return s.dispatch(ticket, req, view, out)
	}
	req.phase = claiming
	s.open = s.open.Set(ticket, req)
	out.Raise(event.ClaimAsked{
		Ticket:         ticket,
		RequestID:      req.received.ID,
		Account:        req.account,
		IdempotencyKey: req.received.IdempotencyKey,
		BodyHash:       req.received.BodyHash,
	})
	return s
}
