package front

import (
	"context"
	"net/http"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/io/clock"
	"caroblane/io/relay"
)

// proxiedRequest handles one request from its arrival to its end.
type proxiedRequest struct {
	server      *Server
	request     model.Request
	baseAttempt relay.Attempt
	ticket      model.Ticket
	response    *responseWriter
	// attemptResult receives the result of the running attempt.
	attemptResult chan relay.Result
	attemptNumber int
	cancel        context.CancelFunc
	// mustRecord marks a request that must not be sent twice. Its attempt
	// continues when the caller disconnects, so that its outcome is recorded.
	mustRecord bool
	// earlyRefusal is the refusal with which the request was ended early, if it
	// was. It replaces the refusal that the reducer sends later.
	earlyRefusal *model.Refusal
}

// serve posts a request to the control loop and executes its replies.
func (s *Server) serve(ctx context.Context, w http.ResponseWriter, request model.Request, baseAttempt relay.Attempt) {
	ticket, replies := s.tickets.Open()
	defer s.tickets.Close(ticket)
	proxied := &proxiedRequest{
		server:        s,
		request:       request,
		baseAttempt:   baseAttempt,
		ticket:        ticket,
		response:      newResponseWriter(w, s.observer, s.now),
		attemptResult: make(chan relay.Result, 1),
	}
	proxied.response.setRequestID(request.ID)
	if err := s.control.TryPost(event.RequestArrived{Ticket: ticket, Request: request}); err != nil {
		s.reject(w, request.ID, model.Overloaded, "the node's event queue is full")
		return
	}
	proxied.run(ctx, replies)
}

// run handles replies, results and timeouts until the request has ended.
func (r *proxiedRequest) run(ctx context.Context, replies <-chan effect.Reply) {
	disconnected := ctx.Done()
	limited, end := clock.WithDeadline(context.WithoutCancel(ctx), r.server.now, r.server.now().Add(r.server.options.RequestTimeout))
	defer end()
	expired := limited.Done()
	for {
		select {
		case reply := <-replies:
			if r.handleReply(ctx, reply) {
				return
			}
		case result := <-r.attemptResult:
			r.cancel()
			r.cancel = nil
			r.post(ctx, r.attemptEnded(result))
		case <-disconnected:
			disconnected = nil
			r.handleDisconnect(ctx)
		case <-expired:
			expired = nil
			r.handleTimeout()
		}
	}
}

// handleReply executes a reply and reports whether the request has ended.
func (r *proxiedRequest) handleReply(ctx context.Context, reply effect.Reply) bool {
	switch e := reply.(type) {
	case effect.Dispatch:
		r.startAttempt(ctx, e)
		return false
	case effect.Cut:
		r.earlyRefusal = &e.Refusal
		if r.cancel != nil {
			r.cancel()
		}
		return false
	case effect.Refuse:
		refusal := e.Refusal
		if r.earlyRefusal != nil {
			refusal = *r.earlyRefusal
		}
		r.response.endWithRefusal(r.request, refusal)
	case effect.Replay:
		r.response.replay(e.Response)
	case effect.Finish:
		r.response.finish()
	}
	return true
}

// startAttempt runs an attempt in a goroutine that sends the result to
// r.attemptResult.
func (r *proxiedRequest) startAttempt(ctx context.Context, dispatch effect.Dispatch) {
	attempt := r.baseAttempt
	attempt.Number = dispatch.Attempt
	attempt.Upstream = dispatch.Upstream
	attempt.Priority = dispatch.Priority
	attempt.NoResend = dispatch.MustRecord
	attempt.ReceivedTokens, attempt.Digest = r.response.tokensSent, r.response.tokenDigest
	attempt.Regenerate, attempt.Begun = dispatch.Regenerate, r.response.headerWritten
	r.attemptNumber = dispatch.Attempt
	r.mustRecord = dispatch.MustRecord
	if r.mustRecord {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, r.cancel = context.WithCancel(ctx)
	sink := r.response
	if r.mustRecord {
		sink = sink.bufferUntilFinish()
	}
	go func() { r.attemptResult <- r.server.relay.Run(ctx, attempt, sink) }()
}

func (r *proxiedRequest) attemptEnded(result relay.Result) event.Event {
	r.response.tokensSent, r.response.tokenDigest = result.TokensPassed, result.Digest
	if r.earlyRefusal != nil && result.Outcome != model.Completed {
		result.Outcome = model.CallerLeft
	}
	return event.AttemptEnded{
		Ticket:       r.ticket,
		Attempt:      r.attemptNumber,
		Outcome:      result.Outcome,
		TokensPassed: result.TokensPassed,
		Crashed:      result.Crashed,
		Response:     result.Response,
	}
}

// handleDisconnect handles the disconnection of the caller.
func (r *proxiedRequest) handleDisconnect(ctx context.Context) {
	switch {
	case r.cancel == nil:
		r.post(ctx, event.CallerGone{Ticket: r.ticket})
	case !r.mustRecord:
		r.cancel()
	}
}

// handleTimeout ends a request that exceeds the maximum duration.
func (r *proxiedRequest) handleTimeout() {
	r.earlyRefusal = &model.Refusal{
		Reason:    model.DeadlineExceeded,
		Execution: model.OutcomeUnknown,
		Message:   "the request ran longer than the node allows",
	}
	if r.cancel != nil {
		r.cancel()
	}
}

// post sends an event to the control loop. It blocks while the queue is full,
// even if the caller has disconnected, because the end of an attempt must reach
// the reducer.
func (r *proxiedRequest) post(ctx context.Context, e event.Event) {
	if err := r.server.control.Post(context.WithoutCancel(ctx), e); err != nil {
		r.response.endWithRefusal(r.request, model.Refusal{
			Reason:    model.Internal,
			Execution: model.OutcomeUnknown,
			Message:   "the node has stopped",
		})
	}
}
