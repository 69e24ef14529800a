package effect

import (
	"time"

	"caroblane/core/model"
)

// AbandonAttempt gives up an attempt whose upstream is silent, because another run can
// start at once. The attempt closes its connection and ends with event.ForwardEnded. If
// the upstream has sent data since the report, or the next one accepts no connection, the
// attempt goes on and event.AbandonIgnored follows.
type AbandonAttempt struct {
	Ticket  model.Ticket
	Attempt int
	// Report is the number of the report in event.ForwardSilent.
	Report int
	// Next is the upstream that could take the other run.
	Next model.Upstream
}

// Believe reports a change in this node's view of its lease, peers or upstreams, or of
// a part of a prompt.
type Believe struct {
	Belief model.Belief
	// Subject is the name of the node or upstream, or the ID of the part of a prompt.
	Subject string
	// Number is the epoch of a lease, the incarnation of a process or the number of
	// crashes that count against a part of a prompt.
	Number uint64
	// Until is when what is believed ends, or zero.
	Until time.Time
}

// Decline ends a caller's request on a platform without a response of an
// upstream.
type Decline struct {
	Ticket    model.Ticket
	Reason    model.Reason
	Execution model.Execution
	// RetryAt is when the caller may retry, or zero if waiting does not help.
	RetryAt time.Time
	// Quota has the inputs of the decision if Reason is RateLimited.
	Quota model.QuotaCheck
	// Wait has the inputs of the decision if the request could not be served in time.
	Wait model.WaitCheck
	// Retry has the inputs of the decision if the retry budget did not allow another
	// attempt.
	Retry model.RetryCheck
	// Part is the ID of the part of the prompt if Reason is CrashingPart.
	Part uint64
	// Proof has the inputs of the decision if Reason is NotFresh.
	Proof model.ConfigProof
}

// Forward sends a request to an upstream.
type Forward struct {
	Ticket   model.Ticket
	Attempt  int
	Upstream model.Upstream
	Step     model.Step
	Route    model.RouteName
	// Stream is set if the response is a stream of events.
	Stream  bool
	Account model.AccountName
	// Units is the cost of the request in units of its account's limit.
	Units float64
	// Rank orders requests at the upstream; zero is the highest priority.
	Rank int
	// Source is the address and handle of the KV cache of the prompt, or empty.
	Source string
	// CopyFrom is the address of another engine from which the upstream copies what
	// it lacks of the prompt's shared parts, or empty.
	CopyFrom string
	// LastEvent is the id of the last event that the caller received, or empty.
	LastEvent string
	// NotAfter is the deadline of the attempt.
	NotAfter time.Time
	// StallDeadline is when an attempt without any response is reported as silent
	// with event.ForwardSilent. StallTimeout is the gap in the response that is
	// reported, and the time between two reports. Zero means that no silence is
	// reported, because the request must not run again.
	StallDeadline time.Time
	StallTimeout  time.Duration
	// CallerDeadline is when the caller stops waiting, so that the upstream may
	// abandon the request.
	CallerDeadline time.Time
	// Backlog and Runs are the numbers of pending prompt tokens and of requests at
	// the upstream when it was selected.
	Backlog float64
	Runs    int
	// Proof is what was known of the configuration when the request was admitted.
	Proof model.ConfigProof
	// Retry is set if an error response of the upstream is reported to the reducer
	// instead of forwarded, because another upstream may be tried.
	Retry bool
}

// FreeHandle releases the KV cache of a prompt that is no longer used.
type FreeHandle struct {
	Upstream model.Upstream
	Handle   string
}

// PassFailure forwards the withheld error response of the last attempt to the
// caller.
type PassFailure struct{ Ticket model.Ticket }

// SyncPeer sends the report of this node to a peer. The response is
// event.SyncAnswered or event.SyncFailed.
type SyncPeer struct {
	Peer   model.Member
	Report model.Report
}

// SyncReply is the response to event.SyncArrived.
type SyncReply struct {
	Ticket model.Ticket
	Report model.Report
}

func (e AbandonAttempt) To() model.Ticket { return e.Ticket }

func (e Decline) To() model.Ticket { return e.Ticket }

func (e Forward) To() model.Ticket { return e.Ticket }

func (e PassFailure) To() model.Ticket { return e.Ticket }

func (e SyncReply) To() model.Ticket { return e.Ticket }

func (AbandonAttempt) isEffect() {}
func (Believe) isEffect()        {}
func (Decline) isEffect()        {}
func (Forward) isEffect()        {}
func (FreeHandle) isEffect()     {}
func (PassFailure) isEffect()    {}
func (SyncPeer) isEffect()       {}
func (SyncReply) isEffect()      {}
