package event

import "caroblane/core/model"

// ClaimAsked is raised when a request that must not be executed twice needs a
// claim.
type ClaimAsked struct {
	Ticket         model.Ticket
	RequestID      model.RequestID
	Account        model.AccountName
	IdempotencyKey string
	BodyHash       model.KeyHash
}

// ClaimEnded is raised when a claimed request has ended.
type ClaimEnded struct {
	Ticket model.Ticket
	// Known is set if Answer is the response to the request. Otherwise the request
	// was not executed if NotRun is set, and its outcome is unknown if not.
	Known    bool
	NotRun   bool
	Response model.Response
}

// ClaimRecorded is raised when the outcome of a claimed request was stored, or
// could not be stored.
type ClaimRecorded struct{ Ticket model.Ticket }

// ClaimRefused is raised when a request did not obtain its claim.
type ClaimRefused struct {
	Ticket model.Ticket
	Reason model.Reason
	// Replay is set if Answer is the recorded response to an earlier request.
	Replay   bool
	Response model.Response
}

// ClaimWon is raised when the claim was stored and is held by the request.
type ClaimWon struct{ Ticket model.Ticket }

func (ClaimAsked) isEvent()    {}
func (ClaimEnded) isEvent()    {}
func (ClaimRecorded) isEvent() {}
func (ClaimRefused) isEvent()  {}
func (ClaimWon) isEvent()      {}
