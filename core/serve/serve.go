// Package serve is the decision part for the life cycle of a request on a
// platform: route, key, limit, placement, attempts and the end.
package serve

import (
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/crash"
	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/fleet"
	"caroblane/core/model"
	"caroblane/core/retry"
	"caroblane/core/site"
	"caroblane/core/step"
)

const (
	// refusedTerm is the time after which a caller may return when no upstream
	// took its request, and staleTerm when this node may be out of date.
	refusedTerm = 300 * time.Millisecond
	staleTerm   = time.Second
	// maxRejections bounds the further sends of a request that upstreams
	// rejected.
	maxRejections = 3
	// maxOpen bounds the open requests of a node.
	maxOpen = 4096
)

// Out is what this part produces in a step.
type Out = step.Out[event.Event, effect.Effect]

// Facts are the values of other parts that serve decides on.
type Facts struct {
	Site  site.State
	Fleet fleet.State
	// Nodes is the number of entry nodes, which share the retry budget, and Rank
	// that of the nodes before this one. ZoneNodes and ZoneRank are those of the
	// nodes of its zone.
	Nodes, Rank         int
	ZoneNodes, ZoneRank int
	// Zone is that of this node.
	Zone model.ZoneName
	// Draw is a random number for this event.
	Draw uint64
	At   time.Time
	// Closed tells that the node takes no more requests.
	Closed bool
	// Known tells that the node has read all that it needs to decide.
	Known bool
}

// call is an open request.
type call struct {
	// request is shared by all copies of the call and never changed.
	request *model.SiteRequest
	route   model.SiteRoute
	account model.SiteAccount
	service model.Service
	units   float64
	// by is when the caller leaves or the timeout of the route ends.
	by time.Time
	// admitted tells that the limit of the account allows the request.
	admitted bool
	attempt  int
	running  bool
	at       model.Step
	upstream model.Upstream
	// use is what the running attempt adds to the upstream's work.
	use model.UpstreamUse
	// prompted is the engine that holds the KV cache of the prompt under handle.
	prompted model.Upstream
	handle   string
	// key is the shared part that the next engine reads.
	key uint64
	// direct tells that engines get the prompt together with the run.
	direct bool
	// runs counts the upstreams at which the request may have run, and
	// rejections those that did not take it.
	runs       int
	rejections int
	tried      []model.UpstreamName
	// held tells that the last run failed with an answer that the caller gets if
	// no other upstream can take the request.
	held bool
	// counted tells that the run is in the usage.
	counted   bool
	passed    bool
	lastEvent string
}

// State holds the open requests of this node.
type State struct {
	bounds  model.Bounds
	open    *immutable.Map[model.Ticket, call]
	crashes crash.State
	retries *immutable.SortedMap[model.ServiceName, retry.Budget]
}

// New returns a state without requests.
func New(bounds model.Bounds) State {
	return State{
		bounds:  bounds,
		open:    immutable.NewMap[model.Ticket, call](ticketHasher{}),
		crashes: crash.New(),
		retries: immutable.NewSortedMap[model.ServiceName, retry.Budget](nil),
	}
}

// Apply takes requests, the ends of attempts and the answers of other parts.
func (s State) Apply(in step.Input[event.Event], facts Facts) (State, Out) {
	var out Out
	switch e := in.Event.(type) {
	case event.SettingsChanged:
		s.bounds = e.Bounds
	case event.SiteArrived:
		s = s.arrived(e, facts, &out)
	case event.QuotaGranted:
		s = s.granted(e.Ticket, facts, &out)
	case event.QuotaRefused:
		s = s.overLimit(e, &out)
	case event.ForwardBegan:
		s = s.began(e, &out)
	case event.ForwardEnded:
		s = s.ended(e, facts, &out)
	case event.CallerGone:
		s = s.callerGone(e.Ticket, &out)
	case event.SyncAnswered:
		s.crashes = s.crashes.WithPeer(e.Report.Member.Name, e.Report.Crashes, in.At)
	case event.SyncArrived:
		s.crashes = s.crashes.WithPeer(e.Report.Member.Name, e.Report.Crashes, in.At)
	}
	return s, out
}

// Crashes returns the crash counts of this node, for its peers.
func (s State) Crashes() []model.CrashCount { return s.crashes.Own() }

// Open returns the number of open requests.
func (s State) Open() int { return s.open.Len() }

// ticketHasher hashes tickets, which are consecutive numbers.
type ticketHasher struct{}

func (ticketHasher) Hash(t model.Ticket) uint32 { return uint32(t) * 0x9e3779b1 }

func (ticketHasher) Equal(a, b model.Ticket) bool { return a == b }

// budget returns the retry budget of a service: this node's part of the
// budget of all nodes.
func (s State) budget(service model.ServiceName, facts Facts) retry.Budget {
	b, found := s.retries.Get(service)
	if !found {
		b = retry.New(retry.Limits{})
	}
	// The slack is for the platform's window, which may be longer than Term.
	slack := s.bounds.RetrySlack * min(1, retry.Window.Seconds()/s.bounds.RetryTerm.Seconds())
	return b.WithLimits(retry.Limits{
		PerRequest: s.bounds.RetryRatio * budgetShare,
		Fixed:      slack * budgetShare / float64(max(1, facts.Nodes)),
	})
}

// budgetShare keeps the retries of all nodes below the platform's bound, whose
// window need not begin at a full second.
const budgetShare = 0.75
