package effect

import "caroblane/core/model"

// Borrow asks a peer for a loan. The answer is event.BorrowAnswered or
// event.BorrowFailed.
type Borrow struct {
	Peer    model.NodeName
	Account model.AccountName
	Seq     uint64
	Want    model.Allowance
	// GivenBack tells that this node no longer uses any loan of the account
	// from the peer whose Seq is lower. Want may be zero then.
	GivenBack bool
	// Returned is the number of unused tokens of these loans.
	Returned float64
}

// Lend answers event.BorrowAsked.
type Lend struct {
	Ticket  model.Ticket
	Account model.AccountName
	Seq     uint64
	Amount  model.Allowance
}

// To returns the ticket.
func (e Lend) To() model.Ticket { return e.Ticket }

func (Borrow) isEffect() {}
func (Lend) isEffect()   {}
