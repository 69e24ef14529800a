package event

import (
	"time"

	"caroblane/core/model"
)

// AuthorityChanged is raised when this node gains, extends or loses the control
// lease of its region. A part that acts under it checks the time against Until
// at each decision.
type AuthorityChanged struct {
	Held  bool
	Epoch model.Epoch
	Until time.Time
}

// CrashCountsArrived is raised when a peer sent its crash counts. They replace
// earlier ones of the same peer.
type CrashCountsArrived struct {
	From   model.NodeName
	Counts []model.CrashCount
}

// CrashCountsChanged is raised with this node's crash counts for its peers. At
// most model.MaxCrashCounts are sent.
type CrashCountsChanged struct {
	Counts []model.CrashCount
	// Rose tells that a count rose: the peers must learn of it before the
	// request is sent again through one of them.
	Rose bool
}

// ExchangeAnswered reports a peer's answer to effect.Exchange.
type ExchangeAnswered struct {
	// Peer is the member that was asked. Another process may have answered at
	// its address, as Status tells.
	Peer model.Member
	// SentAt was read before the call was sent.
	SentAt time.Time
	Status model.PeerStatus
	Counts []model.CrashCount
}

// ExchangeAsked reports a peer's exchange. effect.ExchangeReply answers it.
type ExchangeAsked struct {
	Ticket model.Ticket
	Status model.PeerStatus
	Counts []model.CrashCount
}

// ExchangeFailed reports an exchange without an answer.
type ExchangeFailed struct {
	Peer   model.Member
	SentAt time.Time
	// Refused tells that the peer's VM refused the connection: no process
	// listens at the address.
	Refused bool
}

// FetchAnswered reports a peer's answer to effect.Fetch.
type FetchAnswered struct {
	Peer model.Member
	// After repeats the version that the changes were asked from.
	After   model.Version
	Changes []model.Change
	// Upto is the version up to which the answer is complete.
	Upto model.Version
	// Clean is the version up to which the answer holds no object that was
	// deleted.
	Clean model.Version
	// Floor is the version up to which the peer may lack tombstones.
	Floor model.Version
	// Refused tells that the peer no longer knows every deletion after After.
	Refused bool
}

// FetchAsked reports that a peer wants configuration. effect.FetchReply answers
// it.
type FetchAsked struct {
	Ticket model.Ticket
	After  model.Version
	// Clean is the version up to which the peer knows every deletion.
	Clean model.Version
}

// FetchFailed reports a fetch without an answer.
type FetchFailed struct{ Peer model.Member }

// FetchWanted is raised when a peer has newer configuration than this node.
type FetchWanted struct{ Peer model.Member }

// ForgetAsked carries an operator's statement that the process of a member has
// stopped.
type ForgetAsked struct{ Name model.NodeName }

// FreshnessChanged is raised when this node starts or stops being fresh.
type FreshnessChanged struct{ Fresh bool }

// LeaveAsked is raised when the last request of a draining node has ended.
type LeaveAsked struct{}

// PushArrived reports configuration objects from the command line or from a
// peer. effect.PushReply answers it.
type PushArrived struct {
	Ticket  model.Ticket
	Changes []model.Change
	// The changes include every write after After up to Upto. An Upto of zero
	// means that they are single objects.
	After model.Version
	Upto  model.Version
}

// VMsListed reports the platform's list of VMs.
type VMsListed struct {
	// SentAt was read before the call was sent.
	SentAt time.Time
	// Addresses are the IP numbers of all listed VMs, leaving ones included.
	Addresses []string
	// Leaving are those of the VMs that will be stopped soon.
	Leaving []string
}

func (AuthorityChanged) isEvent()   {}
func (CrashCountsArrived) isEvent() {}
func (CrashCountsChanged) isEvent() {}
func (ExchangeAnswered) isEvent()   {}
func (ExchangeAsked) isEvent()      {}
func (ExchangeFailed) isEvent()     {}
func (FetchAnswered) isEvent()      {}
func (FetchAsked) isEvent()         {}
func (FetchFailed) isEvent()        {}
func (FetchWanted) isEvent()        {}
func (ForgetAsked) isEvent()        {}
func (FreshnessChanged) isEvent()   {}
func (LeaveAsked) isEvent()         {}
func (PushArrived) isEvent()        {}
func (VMsListed) isEvent()          {}
