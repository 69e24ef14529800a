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

// Gone tells that the caller of a watch has closed its connection.
type Gone struct{ Ticket uint64 }

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

func (Get) isEvent()   {}
func (Gone) isEvent()  {}
func (Put) isEvent()   {}
func (Tick) isEvent()  {}
func (Watch) isEvent() {}

// Answer answers a call.
type Answer struct {
	Ticket uint64
	Status int
	Fault  *Fault
	Object Object
	Page   *Page
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
	// Next is the revision to continue after.
	Next uint64
	// Coalesced tells that writes which the log no longer holds are left out
	// where a later write of the same object exists.
	Coalesced bool
	Objects   []Object
}

// Last returns true: each call has one answer.
func (a Answer) Last() bool { return true }

// To returns the ticket.
func (a Answer) To() uint64 { return a.Ticket }
