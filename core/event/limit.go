package event

import (
	"time"

	"caroblane/core/model"
)

// BorrowAnswered reports the response of a peer that was asked for a loan. A zero
// Amount means that it lends nothing.
type BorrowAnswered struct {
	Peer    model.NodeName
	Account model.AccountName
	Seq     uint64
	// SentAt is when the request was sent. The duration of the loan starts then.
	SentAt time.Time
	Amount model.Allowance
}

// BorrowAsked reports that a peer requests a loan from this node's allowance.
type BorrowAsked struct {
	Ticket          model.Ticket
	From            model.NodeName
	FromIncarnation model.Incarnation
	Account         model.AccountName
	Seq             uint64
	Want            model.Allowance
	// GivenBack is set if the peer no longer uses loans of the account from this
	// node with a lower Seq. Want may be zero then.
	GivenBack bool
	// Returned is the number of unused tokens of these loans that are returned.
	Returned float64
}

// BorrowFailed reports a request for a loan that got no response.
type BorrowFailed struct {
	Peer    model.NodeName
	Account model.AccountName
	Seq     uint64
}

// SettledChanged is raised when the settled version increases. It is a lower
// bound of the configuration versions in use on all members of the region.
type SettledChanged struct{ Version model.Version }

func (BorrowAnswered) isEvent() {}
func (BorrowAsked) isEvent()    {}
func (BorrowFailed) isEvent()   {}
func (SettledChanged) isEvent() {}
