package flow

import (
	"caroblane/core/crash"
	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

// dispatched sends the request to an upstream that was not tried yet. A node
// that is not fresh may have missed the withdrawal of the request's key since
// its arrival.
func (s State) dispatched(ticket model.Ticket, c call, facts Facts, out *Out) State {
	if !facts.Fresh {
		return s.failed(ticket, c, refusal(model.NotFresh, model.NotRun, retryAfter(model.NotFresh)), out)
	}
	if s.crashes.Verdict(c.request.Fingerprint, facts.At) == crash.Refuse {
		return s.failed(ticket, c, refusal(model.CrashSuspect, model.NotRun, retryAfter(model.CrashSuspect)), out)
	}
	if c.upstream != "" {
		c.tried = append(c.tried[:len(c.tried):len(c.tried)], c.upstream)
		c.upstream = ""
	}
	upstream, ok := s.place(c, facts)
	if !ok {
		return s.queued(ticket, c, facts, out)
	}
	return s.sent(ticket, c, upstream, facts, out)
}

// sent starts the next attempt of a request at an upstream.
func (s State) sent(ticket model.Ticket, c call, upstream model.Upstream, facts Facts, out *Out) State {
	c.phase = running
	c.attempt++
	c.crashCounted = false
	c.upstream = upstream.Name
	s.open = s.open.Set(ticket, c)
	u, _ := s.uses.Get(upstream.Name)
	u.running++
	if s.crashes.Verdict(c.request.Fingerprint, facts.At) == crash.Alone {
		u.alone, u.suspect = true, ticket
	}
	s.uses = s.uses.Set(upstream.Name, u)
	if c.cheapShare > 0 {
		s.shares = s.shares.WithWork(c.account, facts.At, cost(c.request), upstream.Cheap)
	}
	out.Emit(effect.Dispatch{
		Ticket:     ticket,
		Attempt:    c.attempt,
		Upstream:   upstream,
		Priority:   c.priority,
		MustRecord: c.mustClaim,
		Regenerate: c.regenerate,
	})
	return s
}

func (s State) attemptEnded(e event.AttemptEnded, facts Facts, out *Out) State {
	c, ok := s.open.Get(e.Ticket)
	if !ok || c.phase != running || e.Attempt != c.attempt {
		return s
	}
	if e.Crashed && !c.crashCounted && !s.expected(c.upstream, facts.Conf) {
		s = s.crashed(c.upstream, facts, out)
	}
	u, _ := s.uses.Get(c.upstream)
	u.running--
	if u.alone && u.suspect == e.Ticket {
		u.alone = false
	}
	if e.Outcome == model.Rejected {
		u.fullUntil = facts.At.Add(fullTerm)
	}
	s = s.withUse(c.upstream, u, facts.At)
	s = s.ended(e, c, facts, out)
	return s.served(facts, out)
}

// ended decides what follows the end of an attempt.
func (s State) ended(e event.AttemptEnded, c call, facts Facts, out *Out) State {
	c.mayHaveRun = c.mayHaveRun || e.Outcome == model.Broken || e.Outcome == model.CallerLeft
	if e.Outcome == model.Completed {
		return s.completed(e, c, out)
	}
	if e.Outcome == model.CallerLeft {
		return s.failed(e.Ticket, c, refusal(model.UpstreamLost, model.OutcomeUnknown, 0), out)
	}
	if c.resumed > 0 || e.TokensPassed > 0 {
		return s.resume(e, c, facts, out)
	}
	notRun := e.Outcome == model.NotSent || e.Outcome == model.Rejected
	mayRepeat := notRun || !c.mustClaim
	if mayRepeat && c.attempt < maxAttempts {
		var ok bool
		if s.retries, ok = s.retries.WithRetry(facts.At); !ok {
			return s.failed(e.Ticket, c, refusal(model.RetryBudgetSpent, model.NotRun, 1), out)
		}
		out.Emit(effect.CountRetry{Reason: retryReason(e.Outcome)})
		return s.dispatched(e.Ticket, c, facts, out)
	}
	if notRun {
		return s.failed(e.Ticket, c, refusal(model.UpstreamLost, model.NotRun, 1), out)
	}
	return s.failed(e.Ticket, c, refusal(model.UpstreamLost, model.OutcomeUnknown, 0), out)
}

// resume continues a stream of which the caller has a part. The engine that
// generated it may still hold the tokens. If it does not, another engine
// generates the answer again, and the caller gets the rest if the part that it
// has is the same.
func (s State) resume(e event.AttemptEnded, c call, facts Facts, out *Out) State {
	if c.mustClaim || !c.request.Stream || c.attempt >= maxAttempts {
		return s.failed(e.Ticket, c, refusal(model.StreamTruncated, model.OutcomeUnknown, 0), out)
	}
	var ok bool
	if s.retries, ok = s.retries.WithRetry(facts.At); !ok {
		return s.failed(e.Ticket, c, refusal(model.RetryBudgetSpent, model.OutcomeUnknown, 1), out)
	}
	c.resumed = e.TokensPassed
	upstream, ok := facts.Conf.Upstream(c.upstream)
	if !ok || e.Crashed || e.Outcome == model.Rejected || e.Outcome == model.NotSent || c.regenerate {
		c.regenerate = true
		out.Emit(effect.CountRetry{Reason: model.RetryRegenerated})
		return s.dispatched(e.Ticket, c, facts, out)
	}
	out.Emit(effect.CountRetry{Reason: model.RetryResumed})
	return s.sent(e.Ticket, c, upstream, facts, out)
}

func (s State) completed(e event.AttemptEnded, c call, out *Out) State {
	if c.account != "" {
		out.Raise(event.UsageCounted{Line: model.UsageLine{
			Account:      c.account,
			Requests:     1,
			PromptTokens: int64(c.request.PromptTokens),
			OutputTokens: int64(e.TokensPassed),
		}})
	}
	if !c.mustClaim {
		return s.finished(e.Ticket, out)
	}
	c.phase = recording
	s.open = s.open.Set(e.Ticket, c)
	out.Raise(event.ClaimEnded{Ticket: e.Ticket, Known: true, Answer: e.Answer})
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
