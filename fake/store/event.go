package store

import (
	"encoding/json"
	"time"
)

// Event is a call to the platform, or the timer.
type Event interface{ isEvent() }

// Get reads an object.
type Get struct {
	Ticket uint64
	Kind   string
	Name   string
}

// GetVMs asks for the VM list.
type GetVMs struct{ Ticket uint64 }

// GetWeights asks for the weights of a model.
type GetWeights struct {
	Ticket uint64
	Model  string
}

// Gone tells that the caller of a watch has closed its connection.
type Gone struct{ Ticket uint64 }

// PostProvision orders upstreams.
type PostProvision struct {
	Ticket uint64
	ID     string
	Lease  string
	Epoch  uint64
	Order  json.RawMessage
}

// PostUsage reports the usage of a window.
type PostUsage struct {
	Ticket uint64
	Report Report
}

// Put writes or deletes an object if it has the given version; zero means that
// it must not exist.
type Put struct {
	Ticket    uint64
	Kind      string
	Name      string
	IfVersion uint64
	Delete    bool
	Nonce     string
	Value     json.RawMessage
}

// SetVMs changes the VM list; readers see it after the lag.
type SetVMs struct{ VMs []VM }

// Tick is the timer event.
type Tick struct{}

// Watch asks for the writes after a revision, of some kinds or of all, and
// waits until there is one.
type Watch struct {
	Ticket uint64
	After  uint64
	Limit  int
	Kinds  []string
	Until  time.Time
}

func (Get) isEvent()           {}
func (GetVMs) isEvent()        {}
func (GetWeights) isEvent()    {}
func (Gone) isEvent()          {}
func (PostProvision) isEvent() {}
func (PostUsage) isEvent()     {}
func (Put) isEvent()           {}
func (SetVMs) isEvent()        {}
func (Tick) isEvent()          {}
func (Watch) isEvent()         {}

// Answer answers a call.
type Answer struct {
	Ticket uint64
	Status int
	// Fault is set for a refusal, and Body otherwise.
	Fault *Fault
	// Body is an Object, Page, Provision, usageBody, vmsBody or Weights.
	Body any
}

// Fault is the body of a refusal.
type Fault struct {
	Reason    string
	Execution string
	Message   string
}

// Page is the answer to a watch.
type Page struct {
	// Revision is that of the whole store.
	Revision uint64
	// Next is the revision to continue after: that of the last write of the
	// asked kinds which the caller has seen. Writes of other kinds don't move
	// it.
	Next uint64
	// More tells that writes are left over because of the limit.
	More bool
	// Coalesced tells that the log does not reach back, so that writes up to
	// Revision may be left out, in this page and in those that follow, where a
	// later write of the same object exists.
	Coalesced bool
	Objects   []Object
}

// Last returns true: each call has one answer.
func (a Answer) Last() bool { return true }

// To returns the ticket.
func (a Answer) To() uint64 { return a.Ticket }
