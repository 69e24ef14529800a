package model

import "time"

//go:generate go tool stringer -type=Standing -trimprefix=Standing -output=view_string.go

const (
	// MaxShownUpstreams is the number of upstreams in a view, and MaxShownParts that of
	// the held parts of prompts, so that the views of hundreds of nodes stay small.
	MaxShownUpstreams = 64
	MaxShownParts     = 32
)

// Standing states whether a node sends requests to an upstream.
type Standing int

// The values of Standing, in the order in which a view prefers the upstreams.
const (
	// StandingLeaving means that the upstream said that it is going to stop.
	StandingLeaving Standing = iota
	// StandingEvacuated means that the operators evacuate the availability zone.
	StandingEvacuated
	// StandingPaused means that the upstream asked for a pause, or returns from one and
	// has yet to serve what it got.
	StandingPaused
	// StandingAvoided means that the upstream rejected a request or could not be reached.
	StandingAvoided
	// StandingCold means that the upstream gets few requests because it has just started.
	StandingCold
	// StandingChangingRole means that the engine was ordered to take another role.
	StandingChangingRole
	// StandingInactive means that the configuration or registry lists the upstream as
	// draining or withdrawn.
	StandingInactive
	// StandingUsable means that the upstream gets requests.
	StandingUsable
)

// NodeView is what a node shows its operators of what it believes and of where its
// requests wait. It is immutable.
type NodeView struct {
	Node        NodeName
	Zone        ZoneName
	Incarnation Incarnation
	// At is when the view was taken, by the clock of the node.
	At time.Time
	// Version is the configuration version in force.
	Version Version
	// Fresh is set while the node may admit requests, and Ready while the balancer should
	// send it some.
	Fresh, Ready, Draining bool
	// HoldsLease is set while the node holds the lease for orders and reports.
	HoldsLease bool
	// Relay is the relay of the node's cell, or empty if there is none.
	Relay NodeName
	// Peers is the number of other nodes that this one takes for alive.
	Peers int
	// QueuedEvents is the number of events in the queue of the control loop.
	QueuedEvents int
	Requests     RequestCounts
	// UpstreamCounts covers all upstreams. Upstreams has at most MaxShownUpstreams: those
	// that get no requests, and then those with the longest wait.
	UpstreamCounts UpstreamCounts
	Upstreams      []UpstreamView
	// HeldCount is the number of held parts of prompts. HeldParts has at most
	// MaxShownParts of them.
	HeldCount int
	HeldParts []HeldPart
}

// RequestCounts are the numbers of open requests by what they wait for.
type RequestCounts struct {
	// Queue requests wait for quota or an upstream.
	Queue int
	// Prompt requests wait for an engine that computes their prompt.
	Prompt int
	// Transfer requests wait for the first event after the transfer of their KV cache.
	Transfer int
	// Started requests have been sent to their upstream, and have no event yet, although
	// they need no prompt to be computed.
	Started int
	// Running requests have a part of their response.
	Running int
}

// UpstreamCounts are the numbers of upstreams by their standing.
type UpstreamCounts struct {
	All, Leaving, Evacuated, Paused, Avoided, Cold, ChangingRole, Inactive int
}

// UpstreamView is what a node believes of an upstream.
type UpstreamView struct {
	Name     UpstreamName
	Service  ServiceName
	Zone     ZoneName
	Kind     UpstreamKind
	Role     Role
	Standing Standing
	// Until is when the standing ends, or zero if that is not known.
	Until time.Time
	// Runs is the number of requests of all nodes at the upstream, and Slots how many it
	// runs at once.
	Runs, Slots int
	// Backlog is the number of prompt tokens that the engine has yet to compute, and
	// TokenTime the estimated time for one of them.
	Backlog   float64
	TokenTime time.Duration
}

// HeldPart is a part of a prompt whose requests are refused because upstreams crashed.
type HeldPart struct {
	Part    uint64
	Crashes int
	// Trials is the number of requests that were let through, and TrialAt when this node
	// may let the next one through.
	Trials  int
	TrialAt time.Time
}

// WithQueuedEvents returns the view with the number of events in the control queue.
func (v NodeView) WithQueuedEvents(queued int) NodeView {
	v.QueuedEvents = queued
	return v
}

// Open returns the number of open requests.
func (c RequestCounts) Open() int { return c.Queue + c.Prompt + c.Transfer + c.Started + c.Running }

// Wait returns the estimated time until the engine has computed its prompts.
func (u UpstreamView) Wait() time.Duration { return time.Duration(u.Backlog * float64(u.TokenTime)) }

// With returns the counts with an upstream of the given standing.
func (c UpstreamCounts) With(standing Standing) UpstreamCounts {
	c.All++
	switch standing {
	case StandingLeaving:
		c.Leaving++
	case StandingEvacuated:
		c.Evacuated++
	case StandingPaused:
		c.Paused++
	case StandingAvoided:
		c.Avoided++
	case StandingCold:
		c.Cold++
	case StandingChangingRole:
		c.ChangingRole++
	case StandingInactive:
		c.Inactive++
	case StandingUsable:
	}
	return c
}
