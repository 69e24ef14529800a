package serve

import (
	"cmp"
	"time"

	"caroblane/core/effect"
	"caroblane/core/model"
	"caroblane/core/retry"
)

// waitInterval is the time after which a request that waits looks for an upstream again.
const waitInterval = 100 * time.Millisecond

// wait is a request that looks for an upstream at a time, unless it has ended.
type wait struct {
	at      time.Time
	ticket  model.Ticket
	attempt int
}

// waitComparer orders waits by time.
type waitComparer struct{}

func (waitComparer) Compare(a, b wait) int {
	return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.ticket, b.ticket), cmp.Compare(a.attempt, b.attempt))
}

// dueAttempt describes the attempt that is due for a request of which a run was given up.
type dueAttempt struct {
	reason model.RetryReason
	// needsRetry is set if the retry budget has yet to allow the attempt.
	needsRetry bool
}

// mayWait reports whether the request waits if no upstream can start it. It does if one of
// its runs was given up: that upstream may have been sound, so that the request would have
// been served without this node's decision.
func (req openRequest) mayWait() bool { return req.givenUp && !req.responseBuffered }

// canStart reports whether there is an upstream for the request that is not avoided. One
// without a free slot may start it: if the requests of other nodes and callers always took
// the slots, a request that waits for one would get none.
func canStart(req openRequest, view View) bool {
	u, found := pickUpstream(req, view)
	return found && !u.Avoided(view.At)
}

// startOrWait sends a request that may wait to an upstream that can start it, within the retry
// budget. If none can, or the budget is spent, the request waits.
func (s State) startOrWait(ticket model.Ticket, req openRequest, view View, out *Out) State {
	if !view.At.Before(req.deadline) {
		return s.failExpired(ticket, req, out)
	}
	if !canStart(req, view) {
		return s.await(ticket, req, view)
	}
	if req.due.needsRetry {
		budget, token, allowed := s.budget(req.service.Name, view).WithRetry(view.At)
		s.retries = s.retries.Set(req.service.Name, budget)
		if !allowed {
			return s.await(ticket, req, view)
		}
		req.retry, req.due.needsRetry = token, false
	}
	out.Emit(effect.CountRetry{Reason: req.due.reason})
	return s.dispatch(ticket, req, view, out)
}

// await makes a request look for an upstream again after waitInterval, and end at its
// deadline. It may get another attempt at upstreams that it was sent to before. Meanwhile
// it holds no retry that others could use.
func (s State) await(ticket model.Ticket, req openRequest, view View) State {
	req.tried = nil
	s, req = s.withoutReservation(req)
	if req.retry.Taken() {
		s = s.withoutRetry(req.service.Name, req.retry)
		req.retry, req.due.needsRetry = retry.Token{}, true
	}
	s.open = s.open.Set(ticket, req)
	at := view.At.Add(waitInterval)
	if req.deadline.Before(at) {
		at = req.deadline
	}
	s.waits = s.waits.Set(wait{at, ticket, req.attempt}, struct{}{})
	return s
}

// firstWait returns the wait that ends first.
func (s State) firstWait() (first wait, found bool) {
	if s.waits.Len() == 0 {
		return wait{}, false
	}
	first, _, found = s.waits.Iterator().Next()
	return first, found
}

// endWaits continues the requests that have waited long enough. Those that wait again do
// so until a later time.
func (s State) endWaits(view View, out *Out) State {
	for {
		first, found := s.firstWait()
		if !found || view.At.Before(first.at) {
			return s
		}
		s.waits = s.waits.Delete(first)
		if req, found := s.open.Get(first.ticket); found && !req.running && req.attempt == first.attempt {
			s = s.startOrWait(first.ticket, req, view, out)
		}
	}
}
