package effect

import "caroblane/core/model"

// Reply is an effect for the traffic goroutine that holds a ticket.
type Reply interface {
	Effect
	// To returns the ticket.
	To() model.Ticket
}

// CountRefusal counts a refused request.
type CountRefusal struct{ Reason model.Reason }

// CountRetry counts a further attempt.
type CountRetry struct{ Reason model.RetryReason }

// Cut ends a running request early.
type Cut struct {
	Ticket  model.Ticket
	Refusal model.Refusal
}

// Dispatch sends a request to an upstream.
type Dispatch struct {
	Ticket   model.Ticket
	Attempt  int
	Upstream model.Upstream
	Priority int
	// MustRecord tells that the answer is kept for repeats of the request.
	MustRecord bool
	// Regenerate tells that the upstream generates a broken answer again. The
	// caller gets what follows the part that it has, if that part is the same.
	Regenerate bool
}

// Finish tells the traffic goroutine that its request has ended.
type Finish struct{ Ticket model.Ticket }

// Refuse ends a request without a whole answer.
type Refuse struct {
	Ticket  model.Ticket
	Refusal model.Refusal
}

// Replay answers a request with the recorded answer of an earlier one.
type Replay struct {
	Ticket model.Ticket
	Answer model.Answer
}

// To returns the ticket.
func (e Cut) To() model.Ticket { return e.Ticket }

// To returns the ticket.
func (e Dispatch) To() model.Ticket { return e.Ticket }

// To returns the ticket.
func (e Finish) To() model.Ticket { return e.Ticket }

// To returns the ticket.
func (e Refuse) To() model.Ticket { return e.Ticket }

// To returns the ticket.
func (e Replay) To() model.Ticket { return e.Ticket }

func (CountRefusal) isEffect() {}
func (CountRetry) isEffect()   {}
func (Cut) isEffect()          {}
func (Dispatch) isEffect()     {}
func (Finish) isEffect()       {}
func (Refuse) isEffect()       {}
func (Replay) isEffect()       {}
