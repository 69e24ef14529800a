package event

import "caroblane/core/model"

// AnnounceDue is raised when changes of this node's work on upstreams since the
// previous announcement have to be sent to the peers.
type AnnounceDue struct {
	Uses    []model.UpstreamUse
	Changes []model.RoleChange
	Prompts []model.PromptPlaced
	// Unreachable are the upstreams that this node could not reach.
	Unreachable []model.UpstreamName
	// Leaving are the upstreams that told this node that they are leaving.
	Leaving []model.UpstreamInstance
	// Pauses are the longest pauses of the streams that ended at this node.
	Pauses []model.StreamPause
}

// SuspicionsDue is raised when the peers have to be told of suspected parts of prompts.
type SuspicionsDue struct{ Suspicions []model.PartSuspicion }

// SummaryDue is raised when the relay of a cell has to send the other cells what
// changed in its own.
type SummaryDue struct{}

// AnnounceArrived reports an announcement of a peer. Its report contains only
// what changed.
type AnnounceArrived struct{ Report model.Report }

func (AnnounceArrived) isEvent() {}
func (AnnounceDue) isEvent()     {}
func (SummaryDue) isEvent()      {}
func (SuspicionsDue) isEvent()   {}
