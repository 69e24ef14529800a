package model

import (
	"strings"
	"time"
)

//go:generate go tool stringer -type=Belief,Repeat,Step -output=site_string.go

// Belief is a kind of change in a node's view of its lease, peers or upstreams.
type Belief int

// The values of Belief.
const (
	// LeaseGained and LeaseLost refer to this node's authority for cluster-wide
	// duties.
	LeaseGained Belief = iota
	LeaseLost
	// PeerMet, PeerStopped, PeerForgotten, PeerMissed and PeerGone refer to another node.
	PeerMet
	PeerStopped
	PeerForgotten
	PeerMissed
	PeerGone
	// UpstreamAvoided and UpstreamGone refer to an upstream.
	UpstreamAvoided
	UpstreamGone
	// PartSuspected, PartHeld, PartTried and PartCleared refer to a part of a prompt
	// during whose requests upstreams crashed.
	PartSuspected
	PartHeld
	PartTried
	PartCleared
	// UpstreamLeaving means that an upstream said that it is leaving.
	UpstreamLeaving
	// UpstreamPaused and UpstreamPauseOver are the begin and the end of the time for
	// which an upstream asked this node to send nothing.
	UpstreamPaused
	UpstreamPauseOver
	// ZoneEvacuated and ZoneReturned are the begin and the end of the evacuation of an
	// availability zone, and UnknownZoneEvacuated that of one without upstreams.
	ZoneEvacuated
	ZoneReturned
	UnknownZoneEvacuated
	// UpstreamCold means that an upstream bears few requests for a while, and
	// ColdTimeInvalid that it stated a time for this that was replaced by an accepted one.
	UpstreamCold
	ColdTimeInvalid
	// UpstreamMissing means that the entry of an upstream is missing after an outage of
	// the store. The upstream is kept until it is registered again or is taken as gone.
	UpstreamMissing
)

// Repeat determines whether a request may be sent to a second upstream.
type Repeat int

// The values of Repeat.
const (
	// RepeatNever means that a request runs at most once.
	RepeatNever Repeat = iota
	// RepeatFreely means that a request may run any number of times.
	RepeatFreely
	// RepeatResumed means that a stream may be resumed at another upstream after
	// the last event that the caller received.
	RepeatResumed
)

// ConfigProof is the version of the configuration by which a request was decided, and the
// age of the proof that it was the latest. It is zero if there is no proof.
type ConfigProof struct {
	Version Version
	Age     time.Duration
}

// Step is the part of a request that an upstream executes.
type Step int

// The values of Step.
const (
	// StepRun is the complete request, or the remainder after StepPrompt.
	StepRun Step = iota
	// StepPrompt computes the KV cache of the prompt and holds it for transfer to
	// another engine.
	StepPrompt
)

// ServiceName names a service: a group of interchangeable upstreams.
type ServiceName string

// Site is the configuration of a whole installation, as one object of the
// platform's store. Its maps must not be modified after construction.
type Site struct {
	// Source is the encoded form that was read from the store. It is passed on to peers.
	Source []byte
	// Number is the version assigned by the operator. It increases, but not
	// necessarily by one.
	Number int64
	// Revision is the store's version of the object.
	Revision Version
	Routes   []SiteRoute
	Services map[ServiceName]Service
	Accounts map[AccountName]SiteAccount
	Keys     map[KeyHash]AccountName
	// MaxBody is the maximum size of a request body in bytes; zero means no limit.
	MaxBody int64
	// MaxHeader is the maximum size of the header of a request in bytes. IdleTimeout
	// is how long callers may expect a connection without a request to stay open, and
	// HeaderTimeout how long they may take to send a header. Zero means that the
	// configuration sets none of them.
	MaxHeader                  int64
	IdleTimeout, HeaderTimeout time.Duration
}

// HasLimits reports whether any client account has a limit.
func (s *Site) HasLimits() bool {
	for _, account := range s.Accounts {
		if account.Limited() {
			return true
		}
	}
	return false
}

// SiteRoute maps requests for a host and path prefix to services.
type SiteRoute struct {
	Name     RouteName
	Host     string
	Prefix   string
	Services []Share
	Stream   bool
	Repeat   Repeat
	// Timeout is the maximum duration of a request.
	Timeout time.Duration
	// Objective is the target latency of a response, or of the first event of a
	// stream. MaxTokenGap is the target for the longest gap between two events of
	// a stream. Zero means that no target is configured.
	Objective, MaxTokenGap time.Duration
	// FirstEventTimeout is how long a caller waits for the first event of a stream.
	// Zero means until its deadline.
	FirstEventTimeout time.Duration
	// Priority is the rank of the route; zero is the highest priority.
	Priority int
	// Attempts is the maximum number of upstreams tried for one request.
	Attempts int
	// Public is set if the route requires no key.
	Public bool
}

// Share is the weight of a service in the traffic split of a route.
type Share struct {
	Service ServiceName
	Weight  float64
}

// Service is the configuration of a service.
type Service struct {
	Name ServiceName
	// Engine is set if the upstreams are model engines.
	Engine  bool
	Scaling Scaling
	// RoleChangeTime is how long an engine is unavailable during a role change.
	RoleChangeTime time.Duration
	// TokenBytes is the size of the KV cache per token. LinkMbps is the bandwidth
	// of its transfer between engines in Mbit/s.
	TokenBytes float64
	LinkMbps   float64
	// KVCapacity is the number of tokens that an engine keeps in its memory.
	KVCapacity float64
	// ColdPerSecond is the number of requests a second that an upstream bears from all
	// nodes together while it is cold. Zero means that there is no limit.
	ColdPerSecond float64
}

// Scaling limits the number of upstreams of a service in each zone. Max is zero
// if the platform does not support scaling of the service.
type Scaling struct {
	Min, Max int
	// Boot is how long a new upstream takes to start.
	Boot time.Duration
	// Prices is the price of an upstream by zone, of which only the order is
	// used. No upstreams are ordered in zones that it does not list.
	Prices map[ZoneName]float64
}

// SiteAccount is the configuration of a client account.
type SiteAccount struct {
	Name AccountName
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate and Burst are in units of the limit; zero means no limit. A request
	// costs its number of tokens if Tokens is set, and one unit otherwise.
	Rate, Burst float64
	Tokens      bool
	// PlainTokens is the cost of a request without a declared number of tokens.
	PlainTokens float64
}

// Limited reports whether the account has a limit.
func (a SiteAccount) Limited() bool { return a.Rate > 0 }

// PromptPart is a segment of a prompt. Requests can have leading segments in
// common.
type PromptPart struct {
	// Hash identifies the part with all parts before it, and ID the part alone. Zero
	// means that the part has no identifier of its own.
	Hash   uint64
	ID     uint64
	Tokens int
}

// SiteRequest holds the properties of a caller's request on a platform that the
// reducer uses.
type SiteRequest struct {
	ID      RequestID
	Host    string
	Path    string
	HasKey  bool
	KeyHash KeyHash
	// PromptTokens and OutputTokens are declared by the caller. OutputTokens is an
	// upper bound.
	PromptTokens int
	OutputTokens int
	// HasTokenCounts is set if the caller declared the number of tokens.
	HasTokenCounts bool
	Parts          []PromptPart
	// Fingerprint identifies the content across nodes and repeated requests.
	Fingerprint uint64
	// ArrivedAt is the arrival time, and CallerDeadline the time at which the
	// caller stops waiting.
	ArrivedAt      time.Time
	CallerDeadline time.Time
}

// Cost returns the units that a request consumes from the limit of its account.
func (a SiteAccount) Cost(r SiteRequest) float64 {
	switch {
	case !a.Tokens:
		return 1
	case r.HasTokenCounts:
		return float64(r.PromptTokens + r.OutputTokens)
	default:
		return a.PlainTokens
	}
}

// SharedParts returns the parts of the prompt that other requests may share: all
// parts except the last, which is specific to the request.
func (r SiteRequest) SharedParts() []PromptPart {
	if len(r.Parts) < 2 {
		return nil
	}
	return r.Parts[:len(r.Parts)-1]
}

// Route returns the route for a request: the one of the host with the longest
// prefix of path.
func (s Site) Route(host, path string) (SiteRoute, bool) {
	best, found := -1, false
	for i := range s.Routes {
		route := &s.Routes[i]
		if route.Host != host || !strings.HasPrefix(path, route.Prefix) {
			continue
		}
		if !found || len(route.Prefix) > len(s.Routes[best].Prefix) {
			best, found = i, true
		}
	}
	if !found {
		return SiteRoute{}, false
	}
	return s.Routes[best], true
}

// PickService selects a service according to the weights of the route, by a
// uniformly distributed random number.
func (r SiteRoute) PickService(random uint64) (ServiceName, bool) {
	total := 0.0
	for _, share := range r.Services {
		total += share.Weight
	}
	if total <= 0 {
		return "", false
	}
	at := float64(random>>11) / (1 << 53) * total
	for _, share := range r.Services {
		if at < share.Weight {
			return share.Service, true
		}
		at -= share.Weight
	}
	return r.Services[len(r.Services)-1].Service, true
}
