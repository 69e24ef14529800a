package serve

import (
	"time"

	"caroblane/core/crash"
	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

// handleSiteArrived looks up the route and the client account of a request, and
// asks for its quota.
func (s State) handleSiteArrived(e event.SiteArrived, view View, out *Out) State {
	if s.open.Len() >= maxOpen {
		return s.decline(e.Ticket, model.Overloaded, view.At.Add(refusedRetryDelay), out)
	}
	if view.RefusesRequests {
		return s.decline(e.Ticket, model.Draining, view.At, out)
	}
	request := e.Request
	req, reason, ok := s.lookup(&request, view)
	if !ok && reason == model.NotFresh {
		return s.declineNotFresh(e.Ticket, view, out)
	}
	if !ok {
		return s.decline(e.Ticket, reason, time.Time{}, out)
	}
	if s.crashes.Verdict(request.Fingerprint, view.At) != crash.Normal {
		return s.decline(e.Ticket, model.CrashSuspect, time.Time{}, out)
	}
	if verdict := s.verdict(&request, view); verdict.Part != 0 && !verdict.TrialDue {
		return s.declineHeld(e.Ticket, verdict, out)
	}
	req.units = req.account.Cost(request)
	s.retries = s.retries.Set(req.service.Name, s.budget(req.service.Name, view).WithRequest(view.At))
	s.open = s.open.Set(e.Ticket, req)
	out.Raise(event.QuotaAsked{Ticket: e.Ticket, Account: req.account, Units: req.units})
	return s
}

// lookup resolves the route, service and client account of a request, or
// returns the reason to decline it. A node whose configuration may be out of
// date reports NotFresh instead of an unknown route or key. A key that a request
// has must be valid, also on a route that requires none.
func (s State) lookup(request *model.SiteRequest, view View) (openRequest, model.Reason, bool) {
	config, fresh := view.Site.Site(), view.Site.Fresh(view.At)
	if !view.Initialized {
		return openRequest{}, model.NotFresh, false
	}
	reasonIfFresh := func(reason model.Reason) model.Reason {
		if !fresh {
			return model.NotFresh
		}
		return reason
	}
	route, found := config.Route(request.Host, request.Path)
	if !found {
		return openRequest{}, reasonIfFresh(model.UnknownRoute), false
	}
	req := openRequest{
		received: request, route: route, deadline: request.ArrivedAt.Add(route.Timeout), proof: configProof(view),
	}
	if request.CallerDeadline.Before(req.deadline) {
		req.deadline = request.CallerDeadline
	}
	if name, found := route.PickService(view.Random); found {
		req.service = config.Services[name]
	}
	req.skipPrefill = !req.service.Engine
	account, known := config.Keys[request.KeyHash]
	switch {
	case !request.HasKey && route.Public:
	case !fresh:
		return openRequest{}, model.NotFresh, false
	case !request.HasKey:
		return openRequest{}, model.MissingKey, false
	case !known:
		return openRequest{}, model.KeyUnknown, false
	default:
		req.account = config.Accounts[account]
	}
	return req, 0, true
}

// configProof returns what is known of the configuration.
func configProof(view View) model.ConfigProof {
	version, age, confirmed := view.Site.Confirmation(view.At)
	if !confirmed {
		return model.ConfigProof{}
	}
	return model.ConfigProof{Version: version, Age: age}
}

// handleQuotaGranted dispatches a request that is within the quota of its
// client account.
func (s State) handleQuotaGranted(ticket model.Ticket, view View, out *Out) State {
	req, found := s.open.Get(ticket)
	if !found {
		return s
	}
	req.admitted = true
	return s.dispatch(ticket, req, view, out)
}

func (s State) handleQuotaRefused(e event.QuotaRefused, out *Out) State {
	if _, found := s.open.Get(e.Ticket); !found {
		return s
	}
	s.open = s.open.Delete(e.Ticket)
	out.Emit(
		effect.Decline{
			Ticket: e.Ticket, Reason: model.RateLimited, Execution: model.NotRun, RetryAt: e.RetryAt, Quota: e.Check,
		},
		effect.CountRefusal{Reason: model.RateLimited},
	)
	return s
}

// declineNotFresh ends a request whose key may have been withdrawn without this node
// knowing it.
func (s State) declineNotFresh(ticket model.Ticket, view View, out *Out) State {
	out.Emit(
		effect.Decline{
			Ticket: ticket, Reason: model.NotFresh, Execution: model.NotRun, RetryAt: view.At.Add(staleRetryDelay),
			Proof: configProof(view),
		},
		effect.CountRefusal{Reason: model.NotFresh},
	)
	return s
}

// decline ends a request that has not run.
func (s State) decline(ticket model.Ticket, reason model.Reason, retryAt time.Time, out *Out) State {
	out.Emit(
		effect.Decline{Ticket: ticket, Reason: reason, Execution: model.NotRun, RetryAt: retryAt},
		effect.CountRefusal{Reason: reason},
	)
	return s
}
