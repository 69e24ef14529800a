package engine

import "time"

// Event is a call to the engine, a control call or the timer.
type Event interface{ isEvent() }

// Cancel ends a request.
type Cancel struct {
	Ticket uint64
	ID     string
}

// Export asks for the KV cache of a prefix.
type Export struct {
	Ticket uint64
	Prefix uint64
}

// Gone tells that a caller has left. Its request runs on, so that it may be
// resumed.
type Gone struct{ Ticket uint64 }

// Import puts the KV cache of a prefix into the cache.
type Import struct {
	Ticket uint64
	Prefix uint64
}

// Order asks the engine to change its role or its models.
type Order struct {
	Ticket uint64
	Epoch  uint64
	Seq    uint64
	Intent Intent
}

// ReadCacheEvents asks for the cache events after a sequence number.
type ReadCacheEvents struct {
	Ticket uint64
	After  uint64
	Limit  int
}

// ReadLoad asks for the published load.
type ReadLoad struct{ Ticket uint64 }

// ReadOrders asks for the orders received.
type ReadOrders struct{ Ticket uint64 }

// Resume continues a request after the given number of tokens.
type Resume struct {
	Ticket  uint64
	ID      string
	Attempt string
	Seed    uint64
	Offset  int
}

// SetFaults puts the engine's own faults into force.
type SetFaults struct{ Faults Faults }

// Submit starts a request.
type Submit struct {
	Ticket   uint64
	ID       string
	Attempt  string
	Priority int
	Model    string
	Prompt   string
	// Prefixes are the hashes of the prompt's whole pieces, from the start.
	Prefixes     []uint64
	PromptTokens int
	MaxTokens    int
	Seed         uint64
}

// Tick is the timer event.
type Tick struct{}

func (Cancel) isEvent()          {}
func (Export) isEvent()          {}
func (Gone) isEvent()            {}
func (Import) isEvent()          {}
func (Order) isEvent()           {}
func (ReadCacheEvents) isEvent() {}
func (ReadLoad) isEvent()        {}
func (ReadOrders) isEvent()      {}
func (Resume) isEvent()          {}
func (SetFaults) isEvent()       {}
func (Submit) isEvent()          {}
func (Tick) isEvent()            {}

// Effect is something that the HTTP side does.
type Effect interface {
	Last() bool
	To() uint64
}

// Answer answers a call that is no stream, or refuses one that is.
type Answer struct {
	Ticket uint64
	Status int
	// Fault is set for a refusal, and Body otherwise.
	Fault *Fault
	Body  any
}

// Crash ends the listener and all connections until a time.
type Crash struct{ RestartAt time.Time }

// Fault is the body of a refusal.
type Fault struct {
	Reason    string
	Execution string
	Message   string
}

// Tokens gives the tokens of a stream up to an offset.
type Tokens struct {
	Ticket uint64
	// From is where the stream starts, Upto where it is now.
	From int
	Upto int
	Seed uint64
	// Done tells that Upto is the whole answer.
	Done         bool
	PromptTokens int
	CachedTokens int
	// Cut closes the connection after Upto.
	Cut bool
	// Foreign is the start of the identifier of an event that does not belong to
	// this stream.
	Foreign string
}

// Last returns true.
func (a Answer) Last() bool { return true }

// Last returns true.
func (Crash) Last() bool { return true }

// Last tells whether the stream ends.
func (t Tokens) Last() bool { return t.Done || t.Cut }

// To returns the ticket.
func (a Answer) To() uint64 { return a.Ticket }

// To returns zero.
func (Crash) To() uint64 { return 0 }

// To returns the ticket.
func (t Tokens) To() uint64 { return t.Ticket }

// merge combines two effects of a call that were not taken yet.
func merge(old, next Effect) Effect {
	before, ok := old.(Tokens)
	after, both := next.(Tokens)
	if !ok || !both {
		return next
	}
	after.From = before.From
	if after.Foreign == "" {
		after.Foreign = before.Foreign
	}
	return after
}
