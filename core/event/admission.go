package event

import (
	"time"

	"caroblane/core/model"
)

// AdmissionAsked is raised when a request needs a rate-limit token of its client
// account.
type AdmissionAsked struct {
	Ticket   model.Ticket
	Account  model.AccountName
	Priority int
	// AdmitBy is when the request is refused if it is still queued.
	AdmitBy time.Time
}

// AdmissionDropped is raised when a queued request no longer needs a token.
type AdmissionDropped struct{ Ticket model.Ticket }

// AdmissionGranted is raised when a request was given a token.
type AdmissionGranted struct{ Ticket model.Ticket }

// AdmissionRefused is raised when a request was given no token, because its
// deadline passed, the queue is full or the account does not exist.
type AdmissionRefused struct {
	Ticket model.Ticket
	Reason model.Reason
	// RetryAfterSeconds is how long the caller should wait, or zero if waiting
	// does not help.
	RetryAfterSeconds int
}

func (AdmissionAsked) isEvent()   {}
func (AdmissionDropped) isEvent() {}
func (AdmissionGranted) isEvent() {}
func (AdmissionRefused) isEvent() {}
