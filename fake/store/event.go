package store

import (
	"encoding/json"
	"time"
)

// Event is an input of the store: a call of the HTTP API, a change of the VM
// list, or the timer.
type Event interface{ isEvent() }

// Get reads an object.
type Get struct {
	Ticket uint64
	Kind   string
	Name   string
}

// GetVMs reads the VM list.
type GetVMs struct{ Ticket uint64 }

// GetWeights fetches the weights of a model.
type GetWeights struct {
	Ticket uint64
	Model  string
}

// Disconnected reports that the caller of a watch has disconnected.
type Disconnected struct{ Ticket uint64 }

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

// Put writes or deletes an object if its version is IfVersion. Zero means that
// the object must not exist.
type Put struct {
	Ticket    uint64
	Kind      string
	Name      string
	IfVersion uint64
	Delete    bool
	Nonce     string
	Value     json.RawMessage
}

// SetVMs replaces the VM list. Readers see the new list after the lag.
type SetVMs struct{ VMs []VM }

// Tick is the timer event.
type Tick struct{}

// Watch reads the writes after a revision, of the given kinds or of all if none
// is given. It waits until Until for a write if there is none yet.
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
func (Disconnected) isEvent()  {}
func (PostProvision) isEvent() {}
func (PostUsage) isEvent()     {}
func (Put) isEvent()           {}
func (SetVMs) isEvent()        {}
func (Tick) isEvent()          {}
func (Watch) isEvent()         {}

// Response is the response to a call.
type Response struct {
	Ticket uint64
	Status int
	// Fault is set for a refusal, and Body otherwise.
	Fault *Fault
	// Body is an Object, Page, Provision, reportCountBody, vmsBody or Weights.
	Body any
}

// Fault is the body of a refusal.
type Fault struct {
	Reason    string
	Execution string
	Message   string
}

// Page is the response to a watch.
type Page struct {
	// Revision is that of the whole store.
	Revision uint64
	// Next is the revision to continue after: that of the last write in
	// Objects, or After if there is none. Writes of kinds that are not watched
	// do not advance it.
	Next uint64
	// More means that further writes are left because of the limit.
	More bool
	// Coalesced means that the log no longer holds all writes after the
	// requested revision. This page and those that follow may then omit writes
	// up to Revision if the same object has a later write.
	Coalesced bool
	Objects   []Object
}

// Final returns true: each call has one response.
func (r Response) Final() bool { return true }

// Recipient returns the ticket.
func (r Response) Recipient() uint64 { return r.Ticket }
