package serve

import (
	"caroblane/core/crash"
	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/fleet"
	"caroblane/core/model"
	"caroblane/core/retry"
)

// silence is what is known of the silence of the upstream of the running attempt.
type silence struct {
	// reports is the number of the last report, and abandons counts the replies
	// effect.AbandonAttempt to the attempt.
	reports  int
	abandons int
	// retryTaken is set once the retry budget has allowed the run that follows the
	// attempt, and next is an upstream that could take it then.
	retryTaken bool
	next       model.Upstream
}

// handleForwardSilent decides whether an attempt whose upstream is silent is given up
// for another run. It goes on unless that run can start at once. Otherwise a retry
// budget that is spent, or the lack of another upstream, would end the requests of all
// upstreams that are silent for a moment.
func (s State) handleForwardSilent(e event.ForwardSilent, view View, out *Out) State {
	req, found := s.open.Get(e.Ticket)
	if !found || !req.running || e.Attempt != req.attempt || e.Report <= req.silence.reports {
		return s
	}
	req.silence.reports = e.Report
	s.open = s.open.Set(e.Ticket, req)
	if e.Ignored < req.silence.abandons || !s.mayAbandon(req, e, view) {
		return s
	}
	budget, allowed := s.takeRetry(req, view)
	if !allowed {
		return s
	}
	next, found := pickIdle(req.withoutUpstream(), view)
	if !found {
		return s
	}
	s.retries = s.retries.Set(req.service.Name, budget)
	req.silence.retryTaken, req.silence.next = true, next
	req.silence.abandons++
	s.open = s.open.Set(e.Ticket, req)
	out.Emit(effect.AbandonAttempt{Ticket: e.Ticket, Attempt: e.Attempt, Report: e.Report, Next: next})
	return s
}

// mayAbandon reports whether the rules allow giving up a silent attempt: its route
// allows another run, and if the response has begun, the upstream is unreachable and
// the response can be resumed.
func (s State) mayAbandon(req openRequest, e event.ForwardSilent, view View) bool {
	if req.step != model.StepRun || !req.canAbandonRun() || !view.At.Before(req.deadline) {
		return false
	}
	if e.Begun || req.responseStarted {
		resumable := req.route.Repeat == model.RepeatResumed && (e.LastEvent != "" || req.lastEvent != "")
		if e.Reachable || !resumable {
			return false
		}
	}
	return s.crashes.Verdict(req.received.Fingerprint, view.At) == crash.Normal
}

// takeRetry returns the retry budget after the run that follows the running attempt,
// and whether the budget allows that run.
func (s State) takeRetry(req openRequest, view View) (retry.Budget, bool) {
	budget := s.budget(req.service.Name, view)
	if req.silence.retryTaken {
		return budget, true
	}
	return budget.WithRetry(view.At)
}

// pickIdle selects an upstream that can start a run of the request at once: one that is
// not avoided and has a free slot.
func pickIdle(req openRequest, view View) (model.Upstream, bool) {
	u, found := pickUpstream(req, view)
	return u.Upstream, found && !u.Avoided(view.At) && u.RunningRequests() < max(1, u.Slots)
}

// pickUpstream selects an upstream for a run of the request.
func pickUpstream(req openRequest, view View) (fleet.Upstream, bool) {
	var picked model.Upstream
	var found bool
	if req.service.Engine {
		var choice engineChoice
		choice, found = pickEngine(req, view)
		picked = choice.upstream
	} else {
		picked, found = pickService(req, view)
	}
	if !found {
		return fleet.Upstream{}, false
	}
	return view.Fleet.Get(picked.Name)
}

// withoutUpstream returns the request after a run at its upstream, which gets no other
// run of it. A KV handle can be used only once.
func (req openRequest) withoutUpstream() openRequest {
	req.kvHandle, req.skipPrefill = "", true
	req.tried = append(req.tried[:len(req.tried):len(req.tried)], req.upstream.Name)
	return req
}
