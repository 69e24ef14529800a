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
	// retry is the retry that was counted for the run that follows the attempt, and next
	// is an upstream that could take it then.
	retry retry.Token
	next  model.Upstream
}

// withReserved returns the state with more or fewer slots kept at an upstream.
func (s State) withReserved(name model.UpstreamName, change int) State {
	kept, _ := s.reserved.Get(name)
	if kept += change; kept > 0 {
		s.reserved = s.reserved.Set(name, kept)
	} else {
		s.reserved = s.reserved.Delete(name)
	}
	return s
}

// reservedByOthers returns the number of slots at an upstream that are kept for runs of
// other requests.
func (v View) reservedByOthers(name model.UpstreamName, req openRequest) int {
	kept, _ := v.reserved.Get(name)
	if name == req.silence.next.Name {
		kept--
	}
	return kept
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
	if e.Ignored >= req.silence.abandons {
		s, req = s.withoutNext(req)
		view.reserved = s.reserved
	}
	s.open = s.open.Set(e.Ticket, req)
	if e.Ignored < req.silence.abandons || !s.mayAbandon(req, e, view) {
		return s
	}
	budget, token, allowed := s.budget(req.service.Name, view).WithRetry(view.At)
	if !allowed {
		return s
	}
	next, found := pickIdle(req.withoutUpstream(), view)
	if !found {
		return s
	}
	s.retries = s.retries.Set(req.service.Name, budget)
	req.silence.retry, req.silence.next = token, next
	s = s.withReserved(next.Name, 1)
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

// handleAbandonIgnored returns the retry of a run that does not follow, because the
// attempt before it goes on.
func (s State) handleAbandonIgnored(e event.AbandonIgnored) State {
	req, found := s.open.Get(e.Ticket)
	if !found || !req.running || e.Attempt != req.attempt || e.Ignored < req.silence.abandons {
		return s
	}
	s, req = s.withoutNext(req)
	s.open = s.open.Set(e.Ticket, req)
	return s
}

// withoutNext cancels the run that was to follow the running attempt.
func (s State) withoutNext(req openRequest) (State, openRequest) {
	s = s.withoutRetry(req.service.Name, req.silence.retry)
	req.silence.retry = retry.Token{}
	return s.withoutReservation(req)
}

// withoutReservation frees the slot that is kept for the run after a silent one.
func (s State) withoutReservation(req openRequest) (State, openRequest) {
	if req.silence.next.Name != "" {
		s = s.withReserved(req.silence.next.Name, -1)
	}
	req.silence.next = model.Upstream{}
	return s, req
}

// settleRetry accounts for the retries of an attempt that has ended and of the run that was
// to follow it. An attempt that did not reach its upstream leaves its retry to the next one,
// which needs no other.
func (s State) settleRetry(req openRequest, outcome model.Outcome) (State, openRequest) {
	if outcome == model.NotSent {
		s = s.withoutRetry(req.service.Name, req.silence.retry)
	} else {
		req.retry = req.silence.retry
	}
	req.silence.retry = retry.Token{}
	return s, req
}

// pickIdle selects an upstream that can start a run of the request at once: one that is
// not avoided and has a free slot.
func pickIdle(req openRequest, view View) (model.Upstream, bool) {
	u, found := pickUpstream(req, view)
	return u.Upstream, found && !u.Avoided(view.At) && u.RunningRequests()+view.reservedByOthers(u.Name, req) < max(1, u.Slots)
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

// freeHandle frees the KV cache of a run that was given up, unless its engine also got the
// run: an engine that is silent may go on with what it was sent.
func (req openRequest) freeHandle(out *Out) openRequest {
	if req.kvHandle != "" && req.prefillEngine.Name != req.upstream.Name {
		out.Emit(effect.FreeHandle{Upstream: req.prefillEngine, Handle: req.kvHandle})
	}
	req.kvHandle = ""
	return req
}

// withoutUpstream returns the request after a run at its upstream, which gets no other
// run of it. A KV handle can be used only once.
func (req openRequest) withoutUpstream() openRequest {
	req.kvHandle, req.skipPrefill = "", true
	req.tried = append(req.tried[:len(req.tried):len(req.tried)], req.upstream.Name)
	return req
}
