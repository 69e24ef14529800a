package serve

import (
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

// failUnknown ends a request whose outcome is unknown.
func (s State) failUnknown(e event.ForwardEnded, req openRequest, out *Out) State {
	if req.responseBuffered {
		out.Emit(effect.PassFailure{Ticket: e.Ticket})
		return s.remove(e.Ticket, req, out)
	}
	reason := model.UpstreamLost
	switch {
	case e.Expired:
		reason = model.DeadlineExceeded
	case req.responseStarted:
		reason = model.StreamTruncated
	}
	out.Emit(
		effect.Decline{Ticket: e.Ticket, Reason: reason, Execution: model.OutcomeUnknown, Retry: req.retryCheck},
		effect.CountRefusal{Reason: reason},
	)
	return s.remove(e.Ticket, req, out)
}

// failExpired ends a request whose deadline has passed.
func (s State) failExpired(ticket model.Ticket, req openRequest, out *Out) State {
	return s.refuse(ticket, req, model.DeadlineExceeded, time.Time{}, out)
}

// fail ends a request that no upstream could take.
func (s State) fail(ticket model.Ticket, req openRequest, reason model.Reason, view View, out *Out) State {
	return s.refuse(ticket, req, reason, view.At.Add(refusedRetryDelay), out)
}

// refuseLate refuses a request that cannot be served in time. When the caller comes back,
// half of its target latency should be left of what makes it wait now.
func (s State) refuseLate(ticket model.Ticket, req openRequest, check model.WaitCheck, view View, out *Out) State {
	req.returnQuota(out)
	out.Emit(
		effect.Decline{
			Ticket: ticket, Reason: model.Overloaded, Execution: model.NotRun, Wait: check,
			RetryAt: view.At.Add(max(refusedRetryDelay, check.Queued-req.route.Objective/2)),
		},
		effect.CountRefusal{Reason: model.Overloaded},
	)
	return s.remove(ticket, req, out)
}

func (s State) refuse(ticket model.Ticket, req openRequest, reason model.Reason, retryAt time.Time, out *Out) State {
	if req.responseBuffered {
		out.Emit(effect.PassFailure{Ticket: ticket})
		return s.remove(ticket, req, out)
	}
	execution := model.NotRun
	if req.runs > 0 || req.responseStarted {
		execution = model.OutcomeUnknown
	} else if req.admitted {
		req.returnQuota(out)
	}
	out.Emit(
		effect.Decline{
			Ticket: ticket, Reason: reason, Execution: execution, RetryAt: retryAt, Retry: req.retryCheck, Part: req.heldPart,
		},
		effect.CountRefusal{Reason: reason},
	)
	return s.remove(ticket, req, out)
}

// returnQuota returns the units of a request that did not run to its client account.
func (req openRequest) returnQuota(out *Out) {
	if req.account.Limited() {
		out.Raise(event.QuotaReturned{Account: req.account.Name, Units: req.units})
	}
}

func (s State) finish(ticket model.Ticket, req openRequest, out *Out) State {
	out.Emit(effect.Finish{Ticket: ticket})
	req.kvHandle = ""
	return s.remove(ticket, req, out)
}

// remove deletes a request, returns what it did not use of the retry budget, notes that it
// was a trial without a result, and frees a KV cache that is no longer needed.
func (s State) remove(ticket model.Ticket, req openRequest, out *Out) State {
	s = s.withoutRetry(req.service.Name, req.retry)
	s, req = s.withoutReservation(req)
	if req.trial {
		s.poison = s.poison.WithVoidTrial(req.received.SharedParts())
	}
	if req.kvHandle != "" {
		out.Emit(effect.FreeHandle{Upstream: req.prefillEngine, Handle: req.kvHandle})
	}
	s.open = s.open.Delete(ticket)
	return s
}

// handleCallerGone ends a request whose caller disconnected between two
// attempts.
func (s State) handleCallerGone(ticket model.Ticket, out *Out) State {
	req, found := s.open.Get(ticket)
	if !found || req.running {
		return s
	}
	return s.abandon(ticket, req, out)
}

func (s State) abandon(ticket model.Ticket, req openRequest, out *Out) State {
	if req.step == model.StepRun && req.attempt > 0 {
		// The upstream of the run may already have taken the KV cache.
		req.kvHandle = ""
	}
	out.Emit(effect.Finish{Ticket: ticket})
	return s.remove(ticket, req, out)
}
