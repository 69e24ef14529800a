package flow

import (
	"cmp"
	"time"

	"caroblane/core/fair"
	"caroblane/core/model"
	"caroblane/core/step"
)

const (
	// priorityAging is the waiting time that raises a queued request by one
	// priority level.
	priorityAging = 500 * time.Millisecond
	// fullBackoff is how long an upstream that rejected a request for lack of
	// capacity receives none. It spans a few iterations of an engine.
	fullBackoff = 100 * time.Millisecond
	// maxQueuedPerAccount limits the queued requests of one client account.
	maxQueuedPerAccount = 1024
	// defaultOutputTokens is the assumed length of a response whose request sets
	// no limit.
	defaultOutputTokens = 256
)

// deadline is the time at which a queued request is refused.
type deadline struct {
	at     time.Time
	ticket model.Ticket
}

type deadlineComparer struct{}

// Compare orders deadlines by time and then by ticket.
func (deadlineComparer) Compare(a, b deadline) int {
	return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.ticket, b.ticket))
}

// Next returns when the component needs a Tick, or the zero time if it needs
// none: for a deadline, for the queue or for expiring crash records.
func (s State) Next() time.Time {
	itr := s.deadlines.Iterator()
	if itr.Done() {
		return s.crashes.Next()
	}
	first, _, _ := itr.Next()
	return step.Earliest(first.at, s.queueRetryAt, s.crashes.Next())
}

// Queued returns the number of queued requests.
func (s State) Queued() int { return s.queue.Len() }

// enqueue queues a request until an upstream has room. No upstream has run any
// part of it: it was not sent, or it was rejected.
func (s State) enqueue(ticket model.Ticket, req openRequest, view View, out *Out) State {
	full := s.queue.LenOf(req.account) >= maxQueuedPerAccount
	if full || !view.At.Before(req.received.AdmitBy) || !s.hasUpstreams(req, view) {
		return s.fail(ticket, req, newRefusal(model.NoUpstream, model.NotRun, 1), out)
	}
	req.phase = waiting
	// Upstreams that were full may have room at the next attempt.
	req.tried = nil
	s.open = s.open.Set(ticket, req)
	s.queue = s.queue.WithItem(req.account, fair.Item[model.Ticket]{
		Value: ticket, Cost: estimateCost(req.received), Priority: req.priority, QueuedAt: view.At,
	})
	s.deadlines = s.deadlines.Set(deadline{req.received.AdmitBy, ticket}, struct{}{})
	s.queueRetryAt = view.At.Add(fullBackoff)
	return s
}

// hasUpstreams reports whether any upstream is configured for the request,
// whether or not it has room now.
func (s State) hasUpstreams(req openRequest, view View) bool {
	if req.received.Kind == model.RequestChat {
		return len(view.Conf.UpstreamsOf(req.received.Model)) > 0
	}
	return len(req.routeUpstreams) > 0
}

// dispatchQueued sends queued requests to upstreams that have room.
func (s State) dispatchQueued(view View, out *Out) State {
	if s.queue.Len() == 0 {
		return s
	}
	for {
		owner, item, ok := s.queue.Next(view.At, func(ticket model.Ticket) bool {
			req, _ := s.open.Get(ticket)
			_, usable := s.place(req, view)
			return usable
		})
		if !ok {
			break
		}
		req, _ := s.open.Get(item.Value)
		s.queue = s.queue.WithServed(owner)
		s.deadlines = s.deadlines.Delete(deadline{req.received.AdmitBy, item.Value})
		s = s.dispatch(item.Value, req, view, out)
	}
	s.queueRetryAt = time.Time{}
	if s.queue.Len() > 0 {
		s.queueRetryAt = view.At.Add(fullBackoff)
	}
	return s
}

// refuseOverdue refuses the queued requests whose deadline has passed, and
// processes the queue if it is due.
func (s State) refuseOverdue(view View, out *Out) State {
	for itr := s.deadlines.Iterator(); !itr.Done(); {
		due, _, _ := itr.Next()
		if due.at.After(view.At) {
			break
		}
		req, _ := s.open.Get(due.ticket)
		s = s.dequeue(due.ticket, req)
		s = s.fail(due.ticket, req, newRefusal(model.NoUpstream, model.NotRun, 1), out)
	}
	if s.queueRetryAt.IsZero() || view.At.Before(s.queueRetryAt) {
		return s
	}
	return s.withoutIdle(view.At).dispatchQueued(view, out)
}

// dequeue removes a request from the queue if it is waiting.
func (s State) dequeue(ticket model.Ticket, req openRequest) State {
	if req.phase != waiting {
		return s
	}
	s.queue = s.queue.WithoutItem(req.account, ticket)
	s.deadlines = s.deadlines.Delete(deadline{req.received.AdmitBy, ticket})
	return s
}

// estimateCost estimates the work of a request in output tokens. Processing a
// prompt token takes about a tenth of the time of generating a token.
func estimateCost(request *model.Request) float64 {
	if request.Kind == model.RequestPlain {
		return 1
	}
	tokens := request.MaxTokens
	if tokens == 0 {
		tokens = defaultOutputTokens
	}
	return float64(tokens) + float64(request.PromptTokens)/10 + 1
}
