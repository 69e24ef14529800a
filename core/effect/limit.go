package effect

import "caroblane/core/model"

// Borrow requests a loan of rate and burst from a peer. The response is
// event.BorrowAnswered or event.BorrowFailed.
type Borrow struct {
	Peer    model.NodeName
	Account model.AccountName
	Seq     uint64
	// Want is the requested loan. Its Level is the number of tokens.
	Want model.Allowance
	// GivenBack is set if this node no longer uses loans of the account from the
	// peer with a lower Seq. Want may be zero then.
	GivenBack bool
	// Returned is the number of unused tokens of these loans that are returned.
	Returned float64
}

// Lend is the response to event.BorrowAsked.
type Lend struct {
	Ticket  model.Ticket
	Account model.AccountName
	Seq     uint64
	Amount  model.Allowance
}

func (e Lend) To() model.Ticket { return e.Ticket }

func (Borrow) isEffect() {}
func (Lend) isEffect()   {}
