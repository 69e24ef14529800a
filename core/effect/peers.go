package effect

import "caroblane/core/model"

// Exchange sends a heartbeat to a peer. The answer is event.ExchangeAnswered or
// event.ExchangeFailed.
type Exchange struct {
	Peer   model.Member
	Status model.PeerStatus
	Counts []model.CrashCount
}

// ExchangeReply answers event.ExchangeAsked.
type ExchangeReply struct {
	Ticket model.Ticket
	Status model.PeerStatus
	Counts []model.CrashCount
}

// Fetch asks a peer for the configuration after a version. The answer is
// event.FetchAnswered or event.FetchFailed.
type Fetch struct {
	Peer  model.Member
	After model.Version
	// Clean is the version up to which this node knows every deletion.
	Clean model.Version
}

// FetchReply answers event.FetchAsked.
type FetchReply struct {
	Ticket  model.Ticket
	Changes []model.Change
	// Upto is the version up to which the changes are complete.
	Upto model.Version
	// Clean is the version up to which the changes hold no deleted object.
	Clean model.Version
	// Floor is the version up to which tombstones may be missing.
	Floor model.Version
	// Refused tells that not every deletion after the asked version is known.
	Refused bool
}

// Push sends configuration objects to a peer. No event answers it: a peer that
// missed it learns of the version by an exchange.
type Push struct {
	Peer    model.Member
	Changes []model.Change
	// The changes include every write after After up to Upto.
	After model.Version
	Upto  model.Version
}

// PushReply answers event.PushArrived.
type PushReply struct {
	Ticket model.Ticket
	// Version is the version in force on the answering node.
	Version model.Version
}

// To returns the ticket.
func (e ExchangeReply) To() model.Ticket { return e.Ticket }

// To returns the ticket.
func (e FetchReply) To() model.Ticket { return e.Ticket }

// To returns the ticket.
func (e PushReply) To() model.Ticket { return e.Ticket }

func (Exchange) isEffect()      {}
func (ExchangeReply) isEffect() {}
func (Fetch) isEffect()         {}
func (FetchReply) isEffect()    {}
func (Push) isEffect()          {}
func (PushReply) isEffect()     {}
