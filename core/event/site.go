package event

import (
	"time"

	"caroblane/core/model"
)

// AbandonIgnored reports that an attempt goes on although effect.AbandonAttempt was to
// give it up.
type AbandonIgnored struct {
	Ticket  model.Ticket
	Attempt int
	// Ignored is the number of these effects so far, as in ForwardSilent.
	Ignored int
}

// EvacuationsRead reports the availability zones that are evacuated.
type EvacuationsRead struct{ Evacuations model.Evacuations }

// ForwardBegan reports the first event of a stream, or the start of a response
// that is not a stream.
type ForwardBegan struct {
	Ticket  model.Ticket
	Attempt int
	// Status is the HTTP status of the response.
	Status int
}

// ForwardEnded reports the end of an attempt at an upstream.
type ForwardEnded struct {
	Ticket  model.Ticket
	Attempt int
	Outcome model.Outcome
	// Status is the HTTP status of the upstream's response, or zero if there was
	// none.
	Status int
	// Expired is set if the attempt ended by its deadline.
	Expired bool
	// Stalled is set if the attempt was given up because of effect.AbandonAttempt.
	Stalled bool
	// Crashed is set if the upstream's process appears to have terminated.
	Crashed bool
	// Unreachable is set if an upstream that was silent accepted no connection. The
	// network between may be the cause, so it does not count as a crash.
	Unreachable bool
	// Misdirected is set, with model.Rejected, if the process or role of the
	// upstream does not match its registry entry.
	Misdirected bool
	// Withheld is set, with model.NotSent, if the node did not send the request
	// because the upstream is leaving or asked for a pause.
	Withheld bool
	// Handle identifies the KV cache of the prompt after model.StepPrompt.
	Handle string
	// Passed is set if a part of the response was forwarded to the caller.
	// LastEvent is the id of the last event in it.
	Passed    bool
	LastEvent string
	// LongestPause is the longest time between two events of the stream in this attempt.
	LongestPause time.Duration
}

// ForwardSilent reports that the upstream of an attempt has sent nothing for the
// interval of effect.Forward. The attempt goes on.
type ForwardSilent struct {
	Ticket  model.Ticket
	Attempt int
	// Report numbers the reports of the attempt from 1.
	Report int
	// Begun is set if the caller has a part of the response. LastEvent is the id of
	// the last event in it.
	Begun     bool
	LastEvent string
	// Reachable is set if the upstream accepted a connection after the interval.
	Reachable bool
	// Ignored counts the replies effect.AbandonAttempt that the attempt did not follow,
	// because the upstream had sent data since the report or the next one accepted no
	// connection.
	Ignored int
}

// PauseAsked reports that an upstream said in an answer that it wants nothing from this
// node for a time. The number of seconds is as the upstream stated it, and may be any.
// Instance and Conn are as in UpstreamLeaving.
type PauseAsked struct {
	Instance   model.UpstreamInstance
	Conn       model.UpstreamConn
	ReceivedAt time.Time
	Seconds    float64
}

// RegistryFailed reports that a list of the upstream registry was refused or not answered.
type RegistryFailed struct{}

// SettingsChanged reports the bounds from a changed settings file.
type SettingsChanged struct{ Bounds model.Bounds }

// SiteArrived reports the arrival of a caller's request on a platform.
type SiteArrived struct {
	Ticket  model.Ticket
	Request model.SiteRequest
}

// SiteRead reports the response to a read of the site configuration.
type SiteRead struct {
	SentAt   time.Time
	Revision model.Version
	// Site is nil if the revision is the same as in the previous read.
	Site *model.Site
	// ByPeer is set if a peer passed on what it had read.
	ByPeer bool
}

// UpstreamCold reports how much longer an upstream is cold, as it said in an answer.
type UpstreamCold struct {
	Instance   model.UpstreamInstance
	ReceivedAt time.Time
	Left       time.Duration
}

// UpstreamLeaving reports that an upstream said in an answer that it is leaving. Instance
// is the process that the registry listed when the request was sent, and Conn tells whether
// it is the one that answered.
type UpstreamLeaving struct {
	Instance model.UpstreamInstance
	Conn     model.UpstreamConn
}

// UpstreamRegistered reports a new or changed entry in the upstream registry.
type UpstreamRegistered struct {
	Revision model.Version
	Upstream model.Upstream
}

// UpstreamRemoved reports the removal of an entry from the upstream registry.
type UpstreamRemoved struct {
	Revision model.Version
	Name     model.UpstreamName
}

// UpstreamsRead reports all entries of the upstream registry at a revision.
type UpstreamsRead struct {
	Revision  model.Version
	Upstreams []model.Upstream
	// ByPeer is set if a peer passed on what it had read.
	ByPeer bool
}

func (AbandonIgnored) isEvent()     {}
func (EvacuationsRead) isEvent()    {}
func (ForwardBegan) isEvent()       {}
func (ForwardEnded) isEvent()       {}
func (ForwardSilent) isEvent()      {}
func (PauseAsked) isEvent()         {}
func (RegistryFailed) isEvent()     {}
func (SettingsChanged) isEvent()    {}
func (SiteArrived) isEvent()        {}
func (SiteRead) isEvent()           {}
func (UpstreamCold) isEvent()       {}
func (UpstreamLeaving) isEvent()    {}
func (UpstreamRegistered) isEvent() {}
func (UpstreamRemoved) isEvent()    {}
func (UpstreamsRead) isEvent()      {}
