package event

import (
	"time"

	"caroblane/core/model"
)

// AuthorityChanged is raised when this node gains, extends or loses the control
// lease of its region. A component that acts under the lease must compare the
// current time with Until for each decision.
type AuthorityChanged struct {
	Held  bool
	Epoch model.Epoch
	// Until is the end of the lease if Held is set.
	Until time.Time
}

// CrashRecordsArrived is raised when a peer sent the crash records that it has.
type CrashRecordsArrived struct{ Crashes []model.CrashRecord }

// CrashRecordsChanged is raised when the crash records of this node have to be sent to its
// peers. At most model.MaxCrashRecords are sent.
type CrashRecordsChanged struct {
	Crashes []model.CrashRecord
	// Observed is set if this node has observed a crash. The peers must receive it before
	// the request is sent again through one of them.
	Observed bool
}

// ExchangeAnswered reports a peer's response to effect.Exchange.
type ExchangeAnswered struct {
	// Peer is the member that was called. Status identifies the process that
	// responded, which may be another one at the same address.
	Peer model.Member
	// SentAt was read before the call was sent.
	SentAt  time.Time
	Status  model.PeerStatus
	Crashes []model.CrashRecord
}

// ExchangeAsked reports an exchange received from a peer. The response is
// effect.ExchangeReply.
type ExchangeAsked struct {
	Ticket  model.Ticket
	Status  model.PeerStatus
	Crashes []model.CrashRecord
}

// ExchangeFailed reports an exchange that got no response.
type ExchangeFailed struct {
	Peer   model.Member
	SentAt time.Time
	// Refused is set if the peer's VM refused the connection, so that no process
	// listens at the address.
	Refused bool
}

// FetchAnswered reports a peer's response to effect.Fetch.
type FetchAnswered struct {
	Peer model.Member
	// After is the version from which the changes were requested.
	After   model.Version
	Changes []model.Change
	// Upto is the version up to which the response is complete.
	Upto model.Version
	// Clean is the version up to which all deletions are reflected in the
	// response.
	Clean model.Version
	// Floor is the version up to which the peer may have discarded tombstones.
	Floor model.Version
	// Refused is set if the peer no longer has every tombstone after After.
	Refused bool
}

// FetchAsked reports that a peer requests configuration. The response is
// effect.FetchReply.
type FetchAsked struct {
	Ticket model.Ticket
	After  model.Version
	// Clean is the version up to which the peer has seen every deletion.
	Clean model.Version
}

// FetchFailed reports a fetch that got no response.
type FetchFailed struct{ Peer model.Member }

// FetchWanted is raised when a peer has a newer configuration than this node.
type FetchWanted struct{ Peer model.Member }

// ForgetAsked reports that an operator confirmed that the process of a member has
// stopped.
type ForgetAsked struct{ Name model.NodeName }

// FreshnessChanged is raised when this node's configuration becomes fresh or
// stale.
type FreshnessChanged struct{ Fresh bool }

// LeaveAsked is raised when the last request of a draining node has ended.
type LeaveAsked struct{}

// PushArrived reports configuration objects pushed by the command line or by a
// peer. The response is effect.PushReply.
type PushArrived struct {
	Ticket  model.Ticket
	Changes []model.Change
	// Changes includes every write after After up to Upto. An Upto of zero means
	// that the objects are unrelated single writes.
	After model.Version
	Upto  model.Version
}

// VMsListed reports the platform's list of VMs.
type VMsListed struct {
	// SentAt was read before the call was sent.
	SentAt time.Time
	// Addresses are the IP addresses of all listed VMs, including those in Leaving.
	Addresses []string
	// Leaving are the IP addresses of the VMs that will be stopped soon.
	Leaving []string
}

func (AuthorityChanged) isEvent()    {}
func (CrashRecordsArrived) isEvent() {}
func (CrashRecordsChanged) isEvent() {}
func (ExchangeAnswered) isEvent()    {}
func (ExchangeAsked) isEvent()       {}
func (ExchangeFailed) isEvent()      {}
func (FetchAnswered) isEvent()       {}
func (FetchAsked) isEvent()          {}
func (FetchFailed) isEvent()         {}
func (FetchWanted) isEvent()         {}
func (ForgetAsked) isEvent()         {}
func (FreshnessChanged) isEvent()    {}
func (LeaveAsked) isEvent()          {}
func (PushArrived) isEvent()         {}
func (VMsListed) isEvent()           {}
