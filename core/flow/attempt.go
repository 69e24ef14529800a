package flow

import (
	"caroblane/core/crash"
	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

// dispatch sends the request to an upstream that has not been tried yet, or
// queues it. It checks freshness again, because a node that is not fresh may
// have missed that the request's key was withdrawn after the request arrived.
func (s State) dispatch(ticket model.Ticket, req openRequest, view View, out *Out) State {
	if !view.Fresh {
		return s.fail(ticket, req, newRefusal(model.NotFresh, model.NotRun, retryAfterSeconds(model.NotFresh)), out)
	}
	if s.crashes.Verdict(req.received.Fingerprint, view.At) == crash.Refuse {
		return s.fail(ticket, req, newRefusal(model.CrashSuspect, model.NotRun, retryAfterSeconds(model.CrashSuspect)), out)
	}
	if req.upstream != "" {
		req.tried = append(req.tried[:len(req.tried):len(req.tried)], req.upstream)
		req.upstream = ""
	}
	upstream, ok := s.place(req, view)
	if !ok {
		return s.enqueue(ticket, req, view, out)
	}
	return s.startAttempt(ticket, req, upstream, view, out)
}

// startAttempt starts the next attempt of a request at an upstream.
func (s State) startAttempt(ticket model.Ticket, req openRequest, upstream model.Upstream, view View, out *Out) State {
	req.phase = running
	req.attempt++
	req.crashCounted = false
	req.upstream = upstream.Name
	s.open = s.open.Set(ticket, req)
	load, _ := s.loads.Get(upstream.Name)
	load.running++
	if s.crashes.Verdict(req.received.Fingerprint, view.At) == crash.Alone {
		load.exclusive, load.exclusiveTicket = true, ticket
	}
	s.loads = s.loads.Set(upstream.Name, load)
	if req.cheapShare > 0 {
		s.shares = s.shares.WithWork(req.account, view.At, estimateCost(req.received), upstream.Cheap)
	}
	out.Emit(effect.Dispatch{
		Ticket:     ticket,
		Attempt:    req.attempt,
		Upstream:   upstream,
		Priority:   req.priority,
		MustRecord: req.needsClaim,
		Regenerate: req.regenerate,
	})
	return s
}

func (s State) handleAttemptEnded(e event.AttemptEnded, view View, out *Out) State {
	req, ok := s.open.Get(e.Ticket)
	if !ok || req.phase != running || e.Attempt != req.attempt {
		return s
	}
	// An engine that breaks a stream and then accepts no connection has terminated, even
	// if it still accepted the one that followed the broken stream.
	crashed := e.Crashed || req.resumed && e.Outcome == model.NotSent
	if crashed && !req.crashCounted && !s.expectedExit(req.upstream, view.Conf) {
		s = s.countCrash(req.upstream, view, out)
	}
	load, _ := s.loads.Get(req.upstream)
	load.running--
	if load.exclusive && load.exclusiveTicket == e.Ticket {
		load.exclusive = false
	}
	if e.Outcome == model.Rejected {
		load.fullUntil = view.At.Add(fullBackoff)
	}
	s = s.withLoad(req.upstream, load, view.At)
	s = s.afterAttempt(e, req, view, out)
	return s.dispatchQueued(view, out)
}

// afterAttempt completes, retries, resumes or fails a request whose attempt has
// ended.
func (s State) afterAttempt(e event.AttemptEnded, req openRequest, view View, out *Out) State {
	req.mayHaveRun = req.mayHaveRun || e.Outcome == model.Broken || e.Outcome == model.CallerLeft
	if e.Outcome == model.Completed {
		return s.complete(e, req, out)
	}
	if e.Outcome == model.CallerLeft {
		return s.fail(e.Ticket, req, newRefusal(model.UpstreamLost, model.OutcomeUnknown, 0), out)
	}
	if req.resumedTokens > 0 || e.TokensPassed > 0 {
		return s.resumeStream(e, req, view, out)
	}
	notRun := e.Outcome == model.NotSent || e.Outcome == model.Rejected
	mayRepeat := notRun || !req.needsClaim
	if mayRepeat && req.attempt < maxAttempts {
		var ok bool
		if s.retries, _, ok = s.retries.WithRetry(view.At); !ok {
			return s.fail(e.Ticket, req, newRefusal(model.RetryBudgetSpent, model.NotRun, 1), out)
		}
		out.Emit(effect.CountRetry{Reason: retryReason(e.Outcome)})
		return s.dispatch(e.Ticket, req, view, out)
	}
	if notRun {
		return s.fail(e.Ticket, req, newRefusal(model.UpstreamLost, model.NotRun, 1), out)
	}
	return s.fail(e.Ticket, req, newRefusal(model.UpstreamLost, model.OutcomeUnknown, 0), out)
}

// resumeStream continues a stream that the caller has received in part. The
// engine that generated it may still hold the tokens. Otherwise another engine
// generates the response again, and the caller receives the remainder if the
// regenerated beginning matches what it already has.
func (s State) resumeStream(e event.AttemptEnded, req openRequest, view View, out *Out) State {
	if req.needsClaim || !req.received.Stream || req.attempt >= maxAttempts {
		return s.fail(e.Ticket, req, newRefusal(model.StreamTruncated, model.OutcomeUnknown, 0), out)
	}
	var ok bool
	if s.retries, _, ok = s.retries.WithRetry(view.At); !ok {
		return s.fail(e.Ticket, req, newRefusal(model.RetryBudgetSpent, model.OutcomeUnknown, 1), out)
	}
	progress := e.TokensPassed > req.resumedTokens
	req.resumedTokens = e.TokensPassed
	upstream, ok := view.Conf.Upstream(req.upstream)
	gone := !ok || e.Crashed || e.Outcome == model.Rejected || e.Outcome == model.NotSent ||
		req.resumed && !progress || s.onReclaimedVM(upstream.Address) ||
		s.crashes.Verdict(req.received.Fingerprint, view.At) == crash.Refuse
	if gone || req.regenerate {
		req.regenerate, req.resumed = true, false
		out.Emit(effect.CountRetry{Reason: model.RetryRegenerated})
		return s.dispatch(e.Ticket, req, view, out)
	}
	req.resumed = true
	out.Emit(effect.CountRetry{Reason: model.RetryResumed})
	return s.startAttempt(e.Ticket, req, upstream, view, out)
}

func (s State) complete(e event.AttemptEnded, req openRequest, out *Out) State {
	if req.account != "" {
		out.Raise(event.UsageCounted{Line: model.UsageLine{
			Account:      req.account,
			Requests:     1,
			PromptTokens: int64(req.received.PromptTokens),
			OutputTokens: int64(e.TokensPassed),
		}})
	}
	if !req.needsClaim {
		return s.finish(e.Ticket, out)
	}
	req.phase = recording
	s.open = s.open.Set(e.Ticket, req)
	out.Raise(event.ClaimEnded{Ticket: e.Ticket, Known: true, Response: e.Response})
	return s
}

func retryReason(outcome model.Outcome) model.RetryReason {
	switch outcome {
	case model.NotSent:
		return model.RetryNotSent
	case model.Rejected:
		return model.RetryRejected
	default:
		return model.RetryBroken
	}
}
