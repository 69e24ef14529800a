package event

import (
	"time"

	"caroblane/core/model"
)

// AttemptJudged is raised with what an attempt revealed about the health of an
// upstream.
type AttemptJudged struct {
	Upstream model.UpstreamName
	// Unreachable is set if no connection could be opened, Misdirected if the
	// upstream does not match its registry entry, Rejected if it did not accept
	// the request, and Failed if it gave no valid response.
	Unreachable bool
	Misdirected bool
	Rejected    bool
	Failed      bool
}

// AttemptSettled is raised once for each attempt: when its upstream has begun to answer
// it as a stream, or else at its end.
type AttemptSettled struct {
	Instance model.UpstreamInstance
	SentAt   time.Time
	// Served is set if the upstream carried out the request.
	Served bool
}

// PauseMeasured is raised with the longest pause of a stream that has completed.
type PauseMeasured struct{ Pause model.StreamPause }

// DemandArrived is raised with the work of an admitted request.
type DemandArrived struct{ Demand model.ServiceDemand }

// PromptMeasured is raised when an engine has computed a prompt.
type PromptMeasured struct {
	Upstream model.UpstreamName
	// Work is the number of prompt tokens that the engine had to process since the
	// prompt was sent, including those that were ahead of it in the engine's queue.
	Work float64
	Took time.Duration
}

// QuotaAsked is raised when a request needs units of its account's limit.
type QuotaAsked struct {
	Ticket  model.Ticket
	Account model.SiteAccount
	// Units is the cost of the request.
	Units float64
}

// QuotaGranted is raised in response to QuotaAsked if the request is admitted.
type QuotaGranted struct{ Ticket model.Ticket }

// QuotaRefused is raised in response to QuotaAsked if the limit is exceeded.
type QuotaRefused struct {
	Ticket model.Ticket
	// RetryAt is the earliest time at which a retry may be admitted.
	RetryAt time.Time
	// Check are the inputs of the decision.
	Check model.QuotaCheck
}

// QuotaReturned is raised to release the units of an admitted request that did
// not run.
type QuotaReturned struct {
	Account model.AccountName
	Units   float64
}

// RunBegan is raised when a request of an account started to run.
type RunBegan struct{ Account model.AccountName }

// SyncAnswered reports a peer's response to effect.SyncPeer.
type SyncAnswered struct {
	Report model.Report
	// SentAt is when effect.SyncPeer was sent.
	SentAt time.Time
}

// SyncArrived reports the sync request of a peer.
type SyncArrived struct {
	Ticket model.Ticket
	Report model.Report
}

// SyncFailed reports that a peer did not respond.
type SyncFailed struct {
	Peer model.NodeName
	// Stopped is set if no process listens at the peer's address.
	Stopped bool
}

// MembersRead is raised when the nodes registered in the store have been read. It leaves out
// those that are gone.
type MembersRead struct{ Members []model.Member }

// MemberGone is raised when a node that was missed proves to be gone for good: it admits no
// requests, unless event.MemberShown follows.
type MemberGone struct{ Member model.Member }

// MemberShown is raised when a node has shown in its registration that it runs.
type MemberShown struct{ Member model.Member }

// UseChanged is raised when the unfinished work of this node on an upstream
// changes.
type UseChanged struct {
	Upstream model.UpstreamName
	// Prompt and Runs are the changes of the numbers of pending prompt tokens and
	// of running requests. They are negative when work has ended.
	Prompt float64
	Runs   int
	// Parts are the shared parts of a prompt that the engine will have in its cache,
	// and Cached is the number of tokens that the prompt adds to the cache.
	Parts  []model.PromptPart
	Cached int
}

func (AttemptSettled) isEvent() {}
func (AttemptJudged) isEvent()  {}
func (DemandArrived) isEvent()  {}
func (MembersRead) isEvent()    {}
func (MemberGone) isEvent()     {}
func (MemberShown) isEvent()    {}
func (PromptMeasured) isEvent() {}
func (QuotaAsked) isEvent()     {}
func (QuotaGranted) isEvent()   {}
func (QuotaRefused) isEvent()   {}
func (PauseMeasured) isEvent()  {}
func (QuotaReturned) isEvent()  {}
func (RunBegan) isEvent()       {}
func (SyncAnswered) isEvent()   {}
func (SyncArrived) isEvent()    {}
func (SyncFailed) isEvent()     {}
func (UseChanged) isEvent()     {}

// SyncDue is raised when the report of this node has to be sent to a peer.
type SyncDue struct{ Peer model.Member }

// SyncAnswerDue is raised when the sync request of a peer has to be answered.
type SyncAnswerDue struct {
	Ticket model.Ticket
	Peer   model.Member
}

func (SyncDue) isEvent()       {}
func (SyncAnswerDue) isEvent() {}
