package flow

import (
	"caroblane/core/conf"
	"caroblane/core/crash"
	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

func (s State) arrived(e event.RequestArrived, facts Facts, out *Out) State {
	c, reason, ok := s.check(&e.Request, facts)
	if !ok {
		refuse(e.Ticket, refusal(reason, model.NotRun, retryAfter(reason)), out)
		return s
	}
	s.retries = s.retries.WithRequest(facts.At)
	if c.account == "" {
		return s.admitted(e.Ticket, c, facts, out)
	}
	s.entering = &entering{call: c, ticket: e.Ticket}
	out.Raise(event.AdmissionAsked{
		Ticket:   e.Ticket,
		Account:  c.account,
		Priority: c.priority,
		AdmitBy:  e.Request.AdmitBy,
	})
	return s
}

// check decides whether a request may enter.
func (s State) check(request *model.Request, facts Facts) (call, model.Reason, bool) {
	c := call{request: request}
	switch {
	case s.draining:
		return c, model.Draining, false
	case !facts.Fresh:
		return c, model.NotFresh, false
	case s.open.Len() >= s.maxOpen:
		return c, model.Overloaded, false
	}
	open := false
	if request.Kind == model.RequestPlain {
		route, ok := facts.Conf.Route(request.Path)
		if !ok {
			return c, model.UnknownRoute, false
		}
		c.mustClaim = !route.Repeatable
		c.services = route.Upstreams
		open = route.Open
	}
	if !open {
		reason, ok := c.authorize(request, facts.Conf)
		if !ok {
			return c, reason, false
		}
	}
	if request.Kind == model.RequestChat {
		if _, ok := facts.Conf.Model(request.Model); !ok {
			return c, model.UnknownModel, false
		}
	}
	if c.mustClaim && request.IdempotencyKey == "" {
		return c, model.MissingIdempotencyKey, false
	}
	if s.crashes.Verdict(request.Fingerprint, facts.At) == crash.Refuse {
		return c, model.CrashSuspect, false
	}
	return c, 0, true
}

// authorize sets the account that the request's key belongs to.
func (c *call) authorize(request *model.Request, config conf.State) (model.Reason, bool) {
	if !request.HasKey {
		return model.MissingKey, false
	}
	key, ok := config.Key(request.KeyHash)
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
	if request.Kind == model.RequestChat && !template.Allows(request.Model) {
		return model.ModelNotAllowed, false
	}
	c.account = key.Account
	c.priority = template.Priority
	c.cheapShare = template.CheapShare
	return 0, true
}

func (s State) granted(ticket model.Ticket, facts Facts, out *Out) State {
	c, ok := s.open.Get(ticket)
	if !ok {
		return s
	}
	return s.admitted(ticket, c, facts, out)
}

func (s State) claimWon(ticket model.Ticket, facts Facts, out *Out) State {
	c, ok := s.open.Get(ticket)
	if !ok {
		return s
	}
	return s.dispatched(ticket, c, facts, out)
}

func (s State) claimRefused(e event.ClaimRefused, out *Out) State {
	if _, ok := s.open.Get(e.Ticket); !ok {
		return s
	}
	if e.Replay {
		s.open = s.open.Delete(e.Ticket)
		out.Emit(effect.Replay{Ticket: e.Ticket, Answer: e.Answer})
		return s
	}
	execution := model.NotRun
	if e.Reason == model.EarlierOutcomeUnknown {
		execution = model.OutcomeUnknown
	}
	return s.refused(e.Ticket, refusal(e.Reason, execution, retryAfter(e.Reason)), out)
}

// entered writes the request that is entering to the open ones.
func (s State) entered() State {
	if s.entering != nil {
		s.open = s.open.Set(s.entering.ticket, s.entering.call)
		s.entering = nil
	}
	return s
}

// admitted goes on with a request that has its token or needs none. The
// request need not be among the open ones yet.
func (s State) admitted(ticket model.Ticket, c call, facts Facts, out *Out) State {
	if !c.mustClaim {
		return s.dispatched(ticket, c, facts, out)
	}
	c.phase = claiming
	s.open = s.open.Set(ticket, c)
	out.Raise(event.ClaimAsked{
		Ticket:         ticket,
		RequestID:      c.request.ID,
		Account:        c.account,
		IdempotencyKey: c.request.IdempotencyKey,
		BodyHash:       c.request.BodyHash,
	})
	return s
}
