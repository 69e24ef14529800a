package event

import (
	"time"

	"caroblane/core/model"
)

// BorrowAnswered reports the answer of a lender. Amounts of zero mean that it
// lends nothing.
type BorrowAnswered struct {
	Peer    model.NodeName
	Account model.AccountName
	Seq     uint64
	// SentAt is when the request was sent; the term of the loan counts from it.
	SentAt time.Time
	Amount model.Allowance
}

// BorrowAsked reports that a peer wants a loan.
type BorrowAsked struct {
	Ticket          model.Ticket
	From            model.NodeName
	FromIncarnation model.Incarnation
	Account         model.AccountName
	Seq             uint64
	Want            model.Allowance
	// GivenBack tells that the peer no longer uses any loan of the account
	// from this node whose Seq is lower. Want may be zero then.
	GivenBack bool
	// Returned is the number of unused tokens of these loans.
	Returned float64
}

// BorrowFailed reports a borrow request without an answer.
type BorrowFailed struct {
	Peer    model.NodeName
	Account model.AccountName
	Seq     uint64
}

// SettledChanged is raised by the members part when Low rises. Low is a lower
// bound of the configuration version in use on any member of the region.
type SettledChanged struct{ Low model.Version }

func (BorrowAnswered) isEvent() {}
func (BorrowAsked) isEvent()    {}
func (BorrowFailed) isEvent()   {}
func (SettledChanged) isEvent() {}
