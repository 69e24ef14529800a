package flow

import (
	"cmp"
	"time"

	"caroblane/core/fair"
	"caroblane/core/model"
	"caroblane/core/step"
)

const (
	// ageTerm is the wait that counts as much as one step of priority.
	ageTerm = 500 * time.Millisecond
	// fullTerm is how long an upstream that refused a request for lack of room
	// gets none: a few iterations of an engine.
	fullTerm = 100 * time.Millisecond
	// maxQueued bounds the requests of one account that wait for an upstream.
	maxQueued = 1024
	// assumedTokens is the length of an answer whose request names none.
	assumedTokens = 256
)

// deadline is when a waiting request is refused.
type deadline struct {
	at     time.Time
	ticket model.Ticket
}

type deadlineOrder struct{}

// Compare orders deadlines by time.
func (deadlineOrder) Compare(a, b deadline) int {
	return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.ticket, b.ticket))
}

// Next returns when waiting requests have to be looked at.
func (s State) Next() time.Time {
	itr := s.deadlines.Iterator()
	if itr.Done() {
		return s.crashes.Next()
	}
	first, _, _ := itr.Next()
	return step.Earliest(first.at, s.serveAt, s.crashes.Next())
}

// Waiting returns the number of requests that wait for an upstream.
func (s State) Waiting() int { return s.queue.Len() }

// queued makes a request wait for an upstream. Nothing of it was sent, or the
// upstreams refused it without running it.
func (s State) queued(ticket model.Ticket, c call, facts Facts, out *Out) State {
	full := s.queue.Lane(c.account) >= maxQueued
	if full || !facts.At.Before(c.request.AdmitBy) || !s.configured(c, facts) {
		return s.failed(ticket, c, refusal(model.NoUpstream, model.NotRun, 1), out)
	}
	c.phase = waiting
	// An upstream that was full may have room the next time.
	c.tried = nil
	s.open = s.open.Set(ticket, c)
	s.queue = s.queue.WithItem(c.account, fair.Item[model.Ticket]{
		Value: ticket, Cost: cost(c.request), Priority: c.priority, Since: facts.At,
	})
	s.deadlines = s.deadlines.Set(deadline{c.request.AdmitBy, ticket}, struct{}{})
	s.serveAt = facts.At.Add(fullTerm)
	return s
}

// configured tells whether any configured upstream could ever take the request.
func (s State) configured(c call, facts Facts) bool {
	if c.request.Kind == model.RequestChat {
		return len(facts.Conf.UpstreamsOf(c.request.Model)) > 0
	}
	return len(c.services) > 0
}

// served sends waiting requests to upstreams that have room.
func (s State) served(facts Facts, out *Out) State {
	if s.queue.Len() == 0 {
		return s
	}
	for {
		owner, item, ok := s.queue.Next(facts.At, func(ticket model.Ticket) bool {
			c, _ := s.open.Get(ticket)
			_, usable := s.place(c, facts)
			return usable
		})
		if !ok {
			break
		}
		c, _ := s.open.Get(item.Value)
		s.queue = s.queue.WithoutNext(owner)
		s.deadlines = s.deadlines.Delete(deadline{c.request.AdmitBy, item.Value})
		s = s.dispatched(item.Value, c, facts, out)
	}
	s.serveAt = time.Time{}
	if s.queue.Len() > 0 {
		s.serveAt = facts.At.Add(fullTerm)
	}
	return s
}

// expired refuses the requests that have waited too long and serves others.
func (s State) expired(facts Facts, out *Out) State {
	for itr := s.deadlines.Iterator(); !itr.Done(); {
		due, _, _ := itr.Next()
		if due.at.After(facts.At) {
			break
		}
		c, _ := s.open.Get(due.ticket)
		s = s.unqueued(due.ticket, c)
		s = s.failed(due.ticket, c, refusal(model.NoUpstream, model.NotRun, 1), out)
	}
	if s.serveAt.IsZero() || facts.At.Before(s.serveAt) {
		return s
	}
	return s.withoutUnused(facts.At).served(facts, out)
}

// unqueued takes a request out of the queue, if it is there.
func (s State) unqueued(ticket model.Ticket, c call) State {
	if c.phase != waiting {
		return s
	}
	s.queue = s.queue.Without(c.account, ticket)
	s.deadlines = s.deadlines.Delete(deadline{c.request.AdmitBy, ticket})
	return s
}

// cost estimates the service that a request takes, in tokens. Reading a token
// of the prompt takes about a tenth of the time of generating one.
func cost(request *model.Request) float64 {
	if request.Kind == model.RequestPlain {
		return 1
	}
	tokens := request.MaxTokens
	if tokens == 0 {
		tokens = assumedTokens
	}
	return float64(tokens) + float64(request.PromptTokens)/10 + 1
}
