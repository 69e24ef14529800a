package event

import "caroblane/core/model"

// ClaimAsked is raised when a request that may not be repeated needs its claim.
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
	// Known tells that Answer is the request's answer. Otherwise the outcome
	// is unknown, or, with NotRun, the request was not executed.
	Known  bool
	NotRun bool
	Answer model.Answer
}

// ClaimRecorded is raised when the end of a claimed request is in the store,
// or could not be written.
type ClaimRecorded struct{ Ticket model.Ticket }

// ClaimRefused is raised when a claim could not be had.
type ClaimRefused struct {
	Ticket model.Ticket
	Reason model.Reason
	// Replay tells that Answer is the recorded answer of the first request.
	Replay bool
	Answer model.Answer
}

// ClaimWon is raised when the claim is in the store and belongs to the request.
type ClaimWon struct{ Ticket model.Ticket }

func (ClaimAsked) isEvent()    {}
func (ClaimEnded) isEvent()    {}
func (ClaimRecorded) isEvent() {}
func (ClaimRefused) isEvent()  {}
func (ClaimWon) isEvent()      {}
