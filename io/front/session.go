package front

import (
	"context"
	"net/http"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/io/relay"
)

// session carries one request from its arrival to its end.
type session struct {
	server   *Server
	request  model.Request
	template relay.Attempt
	ticket   model.Ticket
	sink     *sink
	// ended gets the result of the running attempt.
	ended  chan relay.Result
	number int
	cancel context.CancelFunc
	// once marks a request that may not be repeated: its attempt goes on when
	// the caller leaves, so that its outcome is recorded.
	once bool
	cut  *model.Refusal
}

// serve asks the reducer what to do with a request and does it.
func (s *Server) serve(ctx context.Context, w http.ResponseWriter, request model.Request, template relay.Attempt) {
	ticket, replies := s.desk.Open()
	defer s.desk.Close(ticket)
	run := &session{
		server:   s,
		request:  request,
		template: template,
		ticket:   ticket,
		sink:     newSink(w, s.observer, s.now),
		ended:    make(chan relay.Result, 1),
	}
	run.sink.setRequestID(request.ID)
	if err := s.control.Offer(event.RequestArrived{Ticket: ticket, Request: request}); err != nil {
		s.reject(w, request.ID, model.Overloaded, "the node's event queue is full")
		return
	}
	run.run(ctx, replies)
}

// run handles replies until the request has ended.
func (r *session) run(ctx context.Context, replies <-chan effect.Reply) {
	left := ctx.Done()
	deadline := time.NewTimer(r.server.options.RequestWithin)
	defer deadline.Stop()
	for {
		select {
		case reply := <-replies:
			if r.handle(ctx, reply) {
				return
			}
		case result := <-r.ended:
			r.cancel()
			r.cancel = nil
			r.post(ctx, r.attemptEnded(result))
		case <-left:
			left = nil
			r.leave(ctx)
		case <-deadline.C:
			r.expire()
		}
	}
}

// handle carries out one reply and tells whether the request has ended.
func (r *session) handle(ctx context.Context, reply effect.Reply) bool {
	switch e := reply.(type) {
	case effect.Dispatch:
		r.start(ctx, e)
		return false
	case effect.Cut:
		r.cut = &e.Refusal
		if r.cancel != nil {
			r.cancel()
		}
		return false
	case effect.Refuse:
		refusal := e.Refusal
		if r.cut != nil {
			refusal = *r.cut
		}
		r.sink.refuse(r.request, refusal)
	case effect.Replay:
		r.sink.replay(e.Answer)
	case effect.Finish:
		r.sink.finish()
	}
	return true
}

// start sends an attempt on a goroutine that reports its end on r.ended.
func (r *session) start(ctx context.Context, dispatch effect.Dispatch) {
	attempt := r.template
	attempt.Number = dispatch.Attempt
	attempt.Upstream = dispatch.Upstream
	attempt.Priority = dispatch.Priority
	attempt.Once = dispatch.MustRecord
	attempt.Resume, attempt.Seen = r.sink.tokens, r.sink.seen
	attempt.Regenerate = dispatch.Regenerate
	r.number = dispatch.Attempt
	r.once = dispatch.MustRecord
	if r.once {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, r.cancel = context.WithCancel(ctx)
	sink := r.sink
	if r.once {
		sink = sink.holding()
	}
	go func() { r.ended <- r.server.relay.Run(ctx, attempt, sink) }()
}

func (r *session) attemptEnded(result relay.Result) event.Event {
	r.sink.tokens, r.sink.seen = result.TokensPassed, result.Seen
	if r.cut != nil && result.Outcome != model.Completed {
		result.Outcome = model.CallerLeft
	}
	return event.AttemptEnded{
		Ticket:       r.ticket,
		Attempt:      r.number,
		Outcome:      result.Outcome,
		TokensPassed: result.TokensPassed,
		Crashed:      result.Crashed,
		Answer:       result.Answer,
	}
}

// leave handles a caller that closed its connection.
func (r *session) leave(ctx context.Context) {
	switch {
	case r.cancel == nil:
		r.post(ctx, event.CallerGone{Ticket: r.ticket})
	case !r.once:
		r.cancel()
	}
}

// expire ends a request that runs longer than allowed.
func (r *session) expire() {
	r.cut = &model.Refusal{
		Reason:    model.DeadlineExceeded,
		Execution: model.OutcomeUnknown,
		Message:   "the request ran longer than the node allows",
	}
	if r.cancel != nil {
		r.cancel()
	}
}

// post hands an event to the control loop. It waits for room, also when the
// caller has left: the end of an attempt must reach the reducer.
func (r *session) post(ctx context.Context, e event.Event) {
	if err := r.server.control.Post(context.WithoutCancel(ctx), e); err != nil {
		r.sink.refuse(r.request, model.Refusal{
			Reason:    model.Internal,
			Execution: model.OutcomeUnknown,
			Message:   "the node has stopped",
		})
	}
}
