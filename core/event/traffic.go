package event

import "caroblane/core/model"

// AttemptEnded reports the end of an attempt at an upstream.
type AttemptEnded struct {
	Ticket  model.Ticket
	Attempt int
	Outcome model.Outcome
	// TokensPassed counts the tokens that the caller has received.
	TokensPassed int
	// Crashed tells that the upstream process ended during the attempt.
	Crashed bool
	// Answer is the answer to a request that may not be repeated.
	Answer model.Answer
}

// CallerGone reports that the caller closed its connection while it waited.
type CallerGone struct{ Ticket model.Ticket }

// DrainAsked starts the graceful shutdown of this node.
type DrainAsked struct{}

// RequestArrived reports a request whose syntax is valid.
type RequestArrived struct {
	Ticket  model.Ticket
	Request model.Request
}

func (AttemptEnded) isEvent()   {}
func (CallerGone) isEvent()     {}
func (DrainAsked) isEvent()     {}
func (RequestArrived) isEvent() {}
