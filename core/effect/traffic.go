package effect

import "caroblane/core/model"

// Reply is an effect that is delivered to the goroutine serving a request.
type Reply interface {
	Effect
	// To returns the ticket of the request.
	To() model.Ticket
}

// CountRefusal counts a refused request.
type CountRefusal struct{ Reason model.Reason }

// CountRetry counts a retry of a request.
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
	// Priority is that of the account; the highest number is served first.
	Priority int
	// MustRecord is set if the response is recorded, to be returned for repeated
	// requests.
	MustRecord bool
	// Regenerate is set if the upstream generates an interrupted response again.
	// The caller receives the continuation if the part that it already received is
	// reproduced identically.
	Regenerate bool
}

// Finish notifies the goroutine serving a request that the request has ended.
type Finish struct{ Ticket model.Ticket }

// MeasureWaits records how long a request waited until its response began.
type MeasureWaits struct {
	Route model.RouteName
	Waits model.Waits
}

// Refuse ends a request that has no complete response.
type Refuse struct {
	Ticket  model.Ticket
	Refusal model.Refusal
}

// Replay responds to a request with the recorded response to an earlier one.
type Replay struct {
	Ticket   model.Ticket
	Response model.Response
}

func (e Cut) To() model.Ticket { return e.Ticket }

func (e Dispatch) To() model.Ticket { return e.Ticket }

func (e Finish) To() model.Ticket { return e.Ticket }

func (e Refuse) To() model.Ticket { return e.Ticket }

func (e Replay) To() model.Ticket { return e.Ticket }

func (CountRefusal) isEffect() {}
func (CountRetry) isEffect()   {}
func (Cut) isEffect()          {}
func (Dispatch) isEffect()     {}
func (Finish) isEffect()       {}
func (MeasureWaits) isEffect() {}
func (Refuse) isEffect()       {}
func (Replay) isEffect()       {}
