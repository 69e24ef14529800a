package serve

import (
	"net/http"
	"time"

	"caroblane/core/crash"
	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

const (
	// prefillSlack is added to twice the expected time of a prefill step to form
	// its deadline. A prefill step that does not answer can be repeated
	// elsewhere.
	prefillSlack = 250 * time.Millisecond
	// prefillOverhead is the part of the time of a prefill step that does not depend
	// on the length of the prompt.
	prefillOverhead = 10 * time.Millisecond
	// stallFactor is the multiple of the route's latency objective after which the
	// upstream of a repeatable run is reported as silent. gapStallFactor is the
	// multiple of the route's target for the longest gap between stream events, after
	// which it is so too. minStallTimeout limits how often silence is reported on
	// routes with very short targets.
	stallFactor     = 2.5
	gapStallFactor  = 4
	minStallTimeout = 100 * time.Millisecond
)

// dispatch sends a request to the next upstream.
func (s State) dispatch(ticket model.Ticket, req openRequest, view View, out *Out) State {
	if !view.At.Before(req.deadline) {
		return s.failExpired(ticket, req, out)
	}
	if s.crashes.Verdict(req.received.Fingerprint, view.At) != crash.Normal {
		return s.refuse(ticket, req, model.CrashSuspect, time.Time{}, out)
	}
	if verdict := s.verdict(req.received, view); verdict.Part != 0 && !req.trial {
		return s.dispatchHeld(ticket, req, verdict, view, out)
	}
	if req.service.Engine {
		return s.dispatchToEngine(ticket, req, view, out)
	}
	u, found := pickService(req, view)
	if !found && req.silence.next.Name != "" {
		u, found = req.silence.next, true
	}
	if !found {
		return s.failUnplaced(ticket, req, model.NoUpstream, view, out)
	}
	return s.startAttempt(ticket, req, model.StepRun, u, model.UpstreamUse{Runs: 1}, req.deadline, view, out)
}

// dispatchToEngine sends a request to an engine: for prefill only, for decoding
// with a transferred KV cache, or for both.
func (s State) dispatchToEngine(ticket model.Ticket, req openRequest, view View, out *Out) State {
	req = req.withUsableHandle(view)
	if req.kvHandle != "" {
		if u, found := pickDecoder(req, view); found {
			req.placed = placement{added: req.received.PromptTokens}
			return s.startAttempt(ticket, req, model.StepRun, u, model.UpstreamUse{Runs: 1}, req.deadline, view, out)
		}
		return s.failUnplaced(ticket, req, model.NoUpstream, view, out)
	}
	choice, found := pickEngine(req, view)
	if !found && req.silence.next.Name != "" {
		choice = engineChoice{
			upstream: req.silence.next, tokens: promptWork(req.received.PromptTokens), added: req.received.PromptTokens,
		}
		found = true
	}
	if found && req.attempt == 0 {
		check, inTime := choice.waitCheck(req, view)
		if !inTime {
			choice, inTime = req.pickSlower(choice, view)
		}
		if !inTime {
			return s.refuseLate(ticket, req, check, view, out)
		}
	}
	req.placed = placement{added: choice.added, copyFrom: choice.copyFrom, wait: choice.wait}
	switch {
	case !found:
		return s.failUnplaced(ticket, req, model.NoUpstream, view, out)
	case choice.prefillOnly:
		deadline := view.At.Add(prefillSlack + 2*choice.wait)
		if req.deadline.Before(deadline) {
			deadline = req.deadline
		}
		return s.startAttempt(ticket, req, model.StepPrompt, choice.upstream, model.UpstreamUse{Prompt: choice.tokens}, deadline, view, out)
	default:
		return s.startAttempt(ticket, req, model.StepRun, choice.upstream, model.UpstreamUse{Prompt: choice.tokens, Runs: 1}, req.deadline, view, out)
	}
}

// startAttempt starts the next attempt of a request.
func (s State) startAttempt(
	ticket model.Ticket, req openRequest, step model.Step, u model.Upstream, load model.UpstreamUse, deadline time.Time,
	view View, out *Out,
) State {
	req.attempt++
	req.running, req.step, req.upstream, req.load = true, step, u, load
	use := event.UseChanged{Upstream: u.Name, Prompt: load.Prompt, Runs: load.Runs}
	if req.service.Engine {
		use.Parts, use.Cached = req.received.SharedParts(), req.placed.added
	}
	out.Raise(use)
	if load.Prompt > 0 {
		out.Raise(event.DemandArrived{Demand: model.ServiceDemand{
			Service: req.service.Name, Prompt: load.Prompt, Output: float64(req.received.OutputTokens),
		}})
	}
	s, req = s.withoutReservation(req)
	req.sentAt, req.silence, req.settled = view.At, silence{}, false
	if upstream, found := view.Fleet.Get(u.Name); found {
		req.placed.ahead = upstream.PromptBacklog()
	}
	s.open = s.open.Set(ticket, req)
	forward := effect.Forward{
		Ticket:         ticket,
		Attempt:        req.attempt,
		Upstream:       u,
		Step:           step,
		Route:          req.route.Name,
		Stream:         req.route.Stream,
		Account:        req.account.Name,
		Units:          req.units,
		Proof:          req.proof,
		Rank:           req.priority(),
		LastEvent:      req.lastEvent,
		NotAfter:       deadline,
		CallerDeadline: req.deadline,
		Retry:          step == model.StepRun && req.route.Repeat == model.RepeatFreely && req.attemptsLeft() > 1,
	}
	if upstream, found := view.Fleet.Get(u.Name); found {
		forward.Backlog, forward.Runs = upstream.PromptBacklog(), upstream.RunningRequests()
	}
	if step == model.StepRun && forward.Runs <= u.Slots && req.canAbandonRun() {
		stall := max(time.Duration(stallFactor*float64(req.route.Objective)), prefillSlack+2*req.placed.wait)
		forward.StallDeadline = view.At.Add(stall)
		forward.StallTimeout = max(minStallTimeout, gapStallFactor*req.route.MaxTokenGap, time.Duration(stallFactor*float64(req.route.Objective)))
	}
	if req.kvHandle == "" {
		forward.CopyFrom = req.placed.copyFrom
	}
	if step == model.StepRun && req.kvHandle != "" {
		forward.Source = req.prefillEngine.Address + "/" + req.kvHandle
	}
	out.Emit(forward)
	return s
}

// canAbandonRun reports whether a silent run may be given up for another one.
func (req openRequest) canAbandonRun() bool {
	return req.route.Repeat != model.RepeatNever && req.route.Objective > 0 && req.attemptsLeft() > 1
}

// priority returns the priority of a request. A priority set for the client
// account overrides that of the route.
func (req openRequest) priority() int {
	if req.account.HasPriority {
		return req.account.Priority
	}
	return req.route.Priority
}

// handleForwardBegan records that an upstream has begun to run a request. Its
// prompt no longer counts as pending there.
func (s State) handleForwardBegan(e event.ForwardBegan, view View, out *Out) State {
	req, found := s.open.Get(e.Ticket)
	if !found || !req.running || e.Attempt != req.attempt || req.step != model.StepRun {
		return s
	}
	if req.load.Prompt > 0 {
		out.Raise(event.UseChanged{Upstream: req.upstream.Name, Prompt: -req.load.Prompt})
		req.load.Prompt = 0
	}
	s, req = s.withStart(e.Ticket, req, view.At)
	if e.Status < http.StatusInternalServerError {
		req = req.measure(view.At, out)
	}
	if req.route.Stream && e.Status < http.StatusInternalServerError {
		req = req.settle(true, out)
	}
	s.open = s.open.Set(e.Ticket, s.countRun(req, out))
	return s
}

// countRun counts the first run of a request as usage.
func (s State) countRun(req openRequest, out *Out) openRequest {
	if !req.usageCounted && req.account.Name != "" {
		out.Raise(event.RunBegan{Account: req.account.Name})
	}
	req.usageCounted = true
	return req
}

// handleForwardEnded accounts for the end of an attempt and continues the
// request.
func (s State) handleForwardEnded(e event.ForwardEnded, view View, out *Out) State {
	req, found := s.open.Get(e.Ticket)
	if !found || !req.running || e.Attempt != req.attempt {
		return s
	}
	req.running = false
	out.Raise(event.UseChanged{Upstream: req.upstream.Name, Prompt: -req.load.Prompt, Runs: -req.load.Runs})
	req = req.settle(e.Outcome == model.Completed && e.Status < http.StatusInternalServerError, out)
	s, req = s.settleRetry(req, e.Outcome)
	if e.Withheld && e.Outcome == model.NotSent {
		return s.placeAgain(e.Ticket, req, view, out)
	}
	if e.Outcome != model.CallerLeft {
		out.Raise(judge(req, e))
	}
	if e.Outcome == model.Completed && e.LongestPause > 0 {
		out.Raise(event.PauseMeasured{Pause: model.StreamPause{
			Upstream: model.UpstreamInstance{Name: req.upstream.Name, Incarnation: req.upstream.Incarnation}, Longest: e.LongestPause,
		}})
	}
	if e.Crashed {
		s.crashes = s.crashes.WithCrash(crashID(req.upstream), []uint64{req.received.Fingerprint}, view.At)
	}
	s, req = s.withRunEnd(req, e, view.At)
	req.responseStarted = req.responseStarted || e.Passed
	if e.LastEvent != "" {
		req.lastEvent = e.LastEvent
	}
	s.open = s.open.Set(e.Ticket, req)
	if e.Outcome == model.CallerLeft {
		return s.abandon(e.Ticket, req, out)
	}
	if req.step == model.StepPrompt && e.Outcome != model.Unconfirmed {
		return s.afterPrefill(e, req, view, out)
	}
	if req.step == model.StepPrompt {
		// The engine may have run the request instead of computing its prompt only.
		req.skipPrefill = true
	}
	return s.afterRun(e, req, view, out)
}

// judge returns what the end of an attempt says about the health of the
// upstream. A rejection by an engine that was to fetch a KV cache does not
// count against it, because the cache may have been gone at its source.
func judge(req openRequest, e event.ForwardEnded) event.AttemptJudged {
	return event.AttemptJudged{
		Upstream:    req.upstream.Name,
		Unreachable: e.Outcome == model.NotSent || e.Crashed || e.Unreachable,
		Misdirected: e.Misdirected,
		Rejected:    e.Outcome == model.Rejected && (req.step == model.StepPrompt || req.kvHandle == ""),
		Failed: e.Outcome == model.Broken || e.Outcome == model.Failed || e.Outcome == model.Unconfirmed || e.Expired ||
			e.Status >= http.StatusInternalServerError,
	}
}

// afterPrefill continues a request after its prefill step. If that step failed,
// another engine repeats it, or the decoding engine computes the prompt itself.
func (s State) afterPrefill(e event.ForwardEnded, req openRequest, view View, out *Out) State {
	if e.Outcome == model.Completed && e.Handle != "" {
		out.Raise(event.PromptMeasured{
			Upstream: req.upstream.Name, Work: req.placed.ahead + req.load.Prompt, Took: view.At.Sub(req.sentAt) - prefillOverhead,
		})
		req.prefillEngine, req.kvHandle, req.prefillTime = req.upstream, e.Handle, view.At.Sub(req.sentAt)
		return s.dispatch(e.Ticket, req, view, out)
	}
	req.tried = append(req.tried[:len(req.tried):len(req.tried)], req.upstream.Name)
	if e.Outcome != model.NotSent {
		req.repeatedPrefills++
	}
	// The run needs an attempt too. Without one left for another prefill step, the
	// decoding engine computes the prompt itself, which delays its other requests.
	req.skipPrefill = req.attemptsLeft() < 1
	if req.skipPrefill && e.Outcome != model.NotSent {
		req.repeatedPrefills--
	}
	return s.retryElsewhere(e, req, view, out)
}

// attemptsLeft returns how many attempts the route still allows.
func (req openRequest) attemptsLeft() int {
	return req.route.Attempts - req.runs - req.repeatedPrefills
}

// afterRun completes, retries or fails a request after a run.
func (s State) afterRun(e event.ForwardEnded, req openRequest, view View, out *Out) State {
	notRun := e.Outcome == model.NotSent || e.Outcome == model.Rejected
	if !notRun {
		req.runs++
		req.responseBuffered = e.Outcome == model.Failed
		if e.Outcome != model.Broken || !req.route.Stream {
			req = s.countRun(req, out)
		}
	}
	if e.Outcome == model.Completed {
		return s.finish(e.Ticket, req, out)
	}
	if e.Stalled {
		req = req.freeHandle(out)
		req.givenUp = true
	}
	req = req.withoutUpstream()
	if notRun {
		req.rejections++
		if req.rejections > maxRejections && !req.mayWait() {
			return s.failUnplaced(e.Ticket, req, model.NoUpstream, view, out)
		}
		return s.retryElsewhere(e, req, view, out)
	}
	// A stream that has begun is resumed only after a known event. Otherwise the caller
	// would receive its begin once more.
	mayRepeat := req.route.Repeat == model.RepeatFreely && !req.responseStarted ||
		req.route.Repeat == model.RepeatResumed && (!req.responseStarted || req.lastEvent != "")
	if !mayRepeat || e.Expired || req.attemptsLeft() < 1 {
		return s.failUnknown(e, req, out)
	}
	return s.retryElsewhere(e, req, view, out)
}

// retryElsewhere sends a request to another upstream, within the retry budget
// of its service. An attempt that did not reach its upstream does not consume
// the budget, and for the run after a given-up one it has been asked already.
func (s State) retryElsewhere(e event.ForwardEnded, req openRequest, view View, out *Out) State {
	if req.mayWait() && !e.Stalled {
		req.due = dueAttempt{reason: retryReason(e, req), needsRetry: e.Outcome != model.NotSent && !req.retry.Taken()}
		return s.startOrWait(e.Ticket, req, view, out)
	}
	if e.Outcome != model.NotSent && !req.retry.Taken() {
		budget, token, ok := s.budget(req.service.Name, view).WithRetry(view.At)
		s.retries = s.retries.Set(req.service.Name, budget)
		req.retry = token
		if !ok {
			requests, retries, limit := budget.Usage(view.At)
			req.retryCheck = model.RetryCheck{Service: req.service.Name, Requests: requests, Retries: retries, Limit: limit}
			if req.runs > 0 {
				return s.failUnknown(e, req, out)
			}
			return s.failUnplaced(e.Ticket, req, model.RetryBudgetSpent, view, out)
		}
	}
	out.Emit(effect.CountRetry{Reason: retryReason(e, req)})
	return s.dispatch(e.Ticket, req, view, out)
}

func retryReason(e event.ForwardEnded, req openRequest) model.RetryReason {
	switch {
	case e.Outcome == model.NotSent:
		return model.RetryNotSent
	case e.Outcome == model.Rejected:
		return model.RetryRejected
	case e.Stalled:
		return model.RetryStalled
	case req.responseStarted:
		return model.RetryResumed
	case e.Outcome == model.Unconfirmed:
		return model.RetryUnconfirmed
	default:
		return model.RetryBroken
	}
}
