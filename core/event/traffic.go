package event

import "caroblane/core/model"

// AttemptEnded reports the end of an attempt at an upstream.
type AttemptEnded struct {
	Ticket  model.Ticket
	Attempt int
	Outcome model.Outcome
	// TokensPassed is the number of tokens forwarded to the caller.
	TokensPassed int
	// Crashed is set if the upstream process terminated during the attempt.
	Crashed bool
	// Response is the response to a request that must not be executed twice.
	Response model.Response
}

// CallerGone reports that the caller closed its connection while waiting.
type CallerGone struct{ Ticket model.Ticket }

// DrainAsked starts the graceful shutdown of this node.
type DrainAsked struct{}

// RequestArrived reports the arrival of a syntactically valid request.
type RequestArrived struct {
	Ticket  model.Ticket
	Request model.Request
}

func (AttemptEnded) isEvent()   {}
func (CallerGone) isEvent()     {}
func (DrainAsked) isEvent()     {}
func (RequestArrived) isEvent() {}
