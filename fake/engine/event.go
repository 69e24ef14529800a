package engine

import "time"

// Event is an input of the engine: a call of the HTTP API, a change of the
// faults, or the timer.
type Event interface{ isEvent() }

// Cancel cancels a request.
type Cancel struct {
	Ticket uint64
	ID     string
}

// Export reads the cached KV block of a prefix.
type Export struct {
	Ticket uint64
	Prefix uint64
}

// Disconnected reports that a caller has disconnected. Its request continues,
// so that it can be resumed.
type Disconnected struct{ Ticket uint64 }

// Import adds the KV block of a prefix to the cache.
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

// ReadCacheEvents reads the cache events after a sequence number.
type ReadCacheEvents struct {
	Ticket uint64
	After  uint64
	Limit  int
}

// ReadLoad reads the published load.
type ReadLoad struct{ Ticket uint64 }

// ReadOrders reads the orders received.
type ReadOrders struct{ Ticket uint64 }

// Resume continues the stream of a request after Offset tokens.
type Resume struct {
	Ticket  uint64
	ID      string
	Attempt string
	Seed    uint64
	Offset  int
}

// SetFaults replaces the engine faults in force.
type SetFaults struct{ Faults Faults }

// Submit starts a request.
type Submit struct {
	Ticket   uint64
	ID       string
	Attempt  string
	Priority int
	Model    string
	Prompt   string
	// Prefixes are the hashes of the prompt's leading whole blocks, as returned
	// by the function Prefixes.
	Prefixes     []uint64
	PromptTokens int
	MaxTokens    int
	Seed         uint64
}

// Tick is the timer event.
type Tick struct{}

func (Cancel) isEvent()          {}
func (Export) isEvent()          {}
func (Disconnected) isEvent()    {}
func (Import) isEvent()          {}
func (Order) isEvent()           {}
func (ReadCacheEvents) isEvent() {}
func (ReadLoad) isEvent()        {}
func (ReadOrders) isEvent()      {}
func (Resume) isEvent()          {}
func (SetFaults) isEvent()       {}
func (Submit) isEvent()          {}
func (Tick) isEvent()            {}

// Effect is an output of the engine that the HTTP server executes.
type Effect interface {
	Final() bool
	Recipient() uint64
}

// Response is the whole response to a call that is not streamed, or the refusal
// of a call.
type Response struct {
	Ticket uint64
	Status int
	// Fault is set for a refusal, and Body otherwise.
	Fault *Fault
	Body  any
}

// Crash closes the listener and all connections until RestartAt.
type Crash struct{ RestartAt time.Time }

// Fault is the body of a refusal.
type Fault struct {
	Reason    string
	Execution string
	Message   string
}

// Tokens is the progress of a stream.
type Tokens struct {
	Ticket uint64
	// The stream consists of the tokens from offset From up to Upto.
	From int
	Upto int
	Seed uint64
	// Done means that the response is complete at Upto.
	Done         bool
	PromptTokens int
	CachedTokens int
	// Cut closes the connection after Upto.
	Cut bool
	// Foreign is the start of the ID of an event that belongs to another stream
	// and is injected into this one. It is empty if there is none.
	Foreign string
}

// Final returns true.
func (r Response) Final() bool { return true }

// Final returns true.
func (Crash) Final() bool { return true }

// Final reports whether the stream ends.
func (t Tokens) Final() bool { return t.Done || t.Cut }

// Recipient returns the ticket.
func (r Response) Recipient() uint64 { return r.Ticket }

// Recipient returns zero.
func (Crash) Recipient() uint64 { return 0 }

// Recipient returns the ticket.
func (t Tokens) Recipient() uint64 { return t.Ticket }

// mergeEffects combines an effect that the handler has not received yet with
// the next one for the same call.
func mergeEffects(old, next Effect) Effect {
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
