package effect

import "caroblane/core/model"

// Departed signals that the roster no longer lists this process, so that it may
// exit.
type Departed struct{}

// Exchange sends a heartbeat to a peer. The response is event.ExchangeAnswered or
// event.ExchangeFailed.
type Exchange struct {
	Peer    model.Member
	Status  model.PeerStatus
	Crashes []model.CrashRecord
}

// ExchangeReply is the response to event.ExchangeAsked.
type ExchangeReply struct {
	Ticket  model.Ticket
	Status  model.PeerStatus
	Crashes []model.CrashRecord
}

// Fetch requests from a peer the configuration changes after a version. The
// response is event.FetchAnswered or event.FetchFailed.
type Fetch struct {
	Peer  model.Member
	After model.Version
	// Clean is the version up to which this node has seen every deletion.
	Clean model.Version
}

// FetchReply is the response to event.FetchAsked.
type FetchReply struct {
	Ticket  model.Ticket
	Changes []model.Change
	// Upto is the version up to which the changes are complete.
	Upto model.Version
	// Clean is the version up to which all deletions are reflected in the changes.
	Clean model.Version
	// Floor is the version up to which tombstones may have been discarded.
	Floor model.Version
	// Refused is set if not every tombstone after the requested version is
	// available.
	Refused bool
}

// Push sends configuration objects to a peer. There is no response event: a peer
// that missed a push learns of the version in the next exchange.
type Push struct {
	Peer    model.Member
	Changes []model.Change
	// Changes includes every write after After up to Upto.
	After model.Version
	Upto  model.Version
}

// PushReply is the response to event.PushArrived.
type PushReply struct {
	Ticket model.Ticket
	// Version is the active configuration version of the responding node.
	Version model.Version
}

func (e ExchangeReply) To() model.Ticket { return e.Ticket }

func (e FetchReply) To() model.Ticket { return e.Ticket }

func (e PushReply) To() model.Ticket { return e.Ticket }

func (Departed) isEffect()      {}
func (Exchange) isEffect()      {}
func (ExchangeReply) isEffect() {}
func (Fetch) isEffect()         {}
func (FetchReply) isEffect()    {}
func (Push) isEffect()          {}
func (PushReply) isEffect()     {}
