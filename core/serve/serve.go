// Package serve is the component for the life cycle of a request on a platform:
// route, key, quota, placement, attempts and reply.
package serve

import (
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/crash"
	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/fleet"
	"caroblane/core/model"
	"caroblane/core/poison"
	"caroblane/core/ramp"
	"caroblane/core/retry"
	"caroblane/core/site"
	"caroblane/core/step"
)

const (
	// refusedRetryDelay is the time after which a caller may retry a request
	// that no upstream took, and staleRetryDelay after which it may retry if the
	// configuration of this node may be out of date.
	refusedRetryDelay = 300 * time.Millisecond
	staleRetryDelay   = time.Second
	// maxRejections is the number of rejections by upstreams after which a
	// request still gets another attempt.
	maxRejections = 3
	// maxOpen is the limit of open requests of a node. Requests beyond it are
	// declined.
	maxOpen = 4096
)

// Out holds the effects and events that one Apply call produces.
type Out = step.Out[event.Event, effect.Effect]

// View is the state of other components that Apply reads, with the time and the
// random number of the event.
type View struct {
	Site  site.State
	Fleet fleet.State
	// Nodes is the number of entry nodes, which share the retry budget. CellNodes is
	// the number of nodes of the cell, and Rank the number of those ordered before this
	// one. ZoneNodes and ZoneRank are the same for the nodes of its availability zone.
	Nodes               int
	CellNodes, Rank     int
	ZoneNodes, ZoneRank int
	// Directory has the nodes among which the senders to cold upstreams are chosen.
	Directory ramp.Directory
	// Node is the name of this node, and Zone its availability zone.
	Node model.NodeName
	Zone model.ZoneName
	// PassesNews is set if this node tells other nodes what it learns from its peers.
	PassesNews bool
	// Random is a random number drawn for this event.
	Random uint64
	At     time.Time
	// RefusesRequests is set if the node accepts no more requests.
	RefusesRequests bool
	// Initialized is set once the node has read all the state it needs to accept
	// requests.
	Initialized bool
	// reserved is the number of slots that are kept for runs which follow silent ones.
	reserved *immutable.SortedMap[model.UpstreamName, int]
	bounds   model.Bounds
}

// placement describes where an attempt at an engine was placed.
type placement struct {
	// added is the number of tokens that the prompt adds to the cache of the engine,
	// and ahead the number of prompt tokens that the engine had to process before.
	added int
	ahead float64
	// copyFrom is the address of the engine from which a part of the prompt's KV
	// cache is copied, or empty.
	copyFrom string
	// wait is the expected time until the prompt has been computed.
	wait time.Duration
}

// openRequest is a request that has not been answered yet.
type openRequest struct {
	// received is the request as it arrived. Copies of an openRequest share it,
	// so it is never modified.
	received *model.SiteRequest
	route    model.SiteRoute
	account  model.SiteAccount
	service  model.Service
	units    float64
	// deadline is the caller's deadline or the end of the timeout of the route,
	// whichever is first.
	deadline time.Time
	// proof is what was known of the configuration when the request arrived.
	proof model.ConfigProof
	// admitted is set once the quota of the client account allows the request.
	admitted bool
	attempt  int
	running  bool
	step     model.Step
	upstream model.Upstream
	// load is what the running attempt adds to the load of the upstream.
	load model.UpstreamUse
	// prefillEngine holds the KV cache of the prompt under kvHandle.
	prefillEngine model.Upstream
	kvHandle      string
	// prefillTime is how long the prefill step took that made the KV cache.
	prefillTime time.Duration
	// sentAt is when the last attempt was sent, and placed how it was placed. settled is
	// set once it is known whether its upstream serves it.
	sentAt  time.Time
	placed  placement
	settled bool
	// skipPrefill is set if no separate prefill step is made: the engine that
	// generates the tokens computes the prompt too.
	skipPrefill bool
	// runs counts the attempts that may have run the request, and rejections
	// those that upstreams did not take.
	runs       int
	rejections int
	// repeatedPrefills counts the prefill steps after the first one, which use up
	// attempts of the route.
	repeatedPrefills int
	tried            []model.UpstreamName
	// withheld counts the attempts that this node did not send, because the upstream
	// said meanwhile that it wants no more requests.
	withheld int
	// responseBuffered is set if the last run failed with a response of the
	// upstream that is passed to the caller if no other upstream can take the
	// request.
	responseBuffered bool
	// usageCounted is set once a run has been counted as usage.
	usageCounted bool
	// responseStarted is set once the caller has received a part of the response,
	// and lastEvent is the ID of the last stream event in it.
	responseStarted bool
	lastEvent       string
	// measured is set once the waits of the request have been recorded.
	measured bool
	// retryCheck is set if the retry budget did not allow another attempt.
	retryCheck model.RetryCheck
	// retry is the retry that was counted for the running attempt, or for the one that
	// is due. It is returned if no attempt reaches an upstream.
	retry   retry.Token
	silence silence
	// givenUp is set once a run was given up because its upstream was silent, and
	// due is the attempt to make next if none is running.
	givenUp bool
	due     dueAttempt
	// begunAt is when the answer of the running attempt began, or zero, and pastStart
	// is set once it has got past its start.
	begunAt   time.Time
	pastStart bool
	// anyPace is set if engines with long pauses are not avoided.
	anyPace bool
	// trial is set if the request runs although a part of its prompt is held.
	trial bool
	// heldPart is the ID of the part of the prompt for which the request is refused.
	heldPart uint64
}

// State holds the open requests of this node, the crash records, the suspected parts of
// prompts and the retry budgets.
type State struct {
	bounds  model.Bounds
	open    *immutable.Map[model.Ticket, openRequest]
	crashes crash.State
	poison  poison.State
	// starts are the answers that have begun, in this order.
	starts fifo[start]
	// announceAt is when the peers have to be told of suspected parts, or zero.
	announceAt time.Time
	// waits are the requests that wait for an upstream that can start them.
	waits   *immutable.SortedMap[wait, struct{}]
	retries *immutable.SortedMap[model.ServiceName, retry.Budget]
	// reserved is the number of slots at each upstream that are kept for runs which
	// follow silent ones.
	reserved *immutable.SortedMap[model.UpstreamName, int]
}

// New returns a state without open requests.
func New(bounds model.Bounds) State {
	return State{
		bounds:   bounds,
		open:     immutable.NewMap[model.Ticket, openRequest](ticketHasher{}),
		crashes:  crash.New(),
		poison:   poison.New(),
		waits:    immutable.NewSortedMap[wait, struct{}](waitComparer{}),
		reserved: immutable.NewSortedMap[model.UpstreamName, int](nil),
		retries:  immutable.NewSortedMap[model.ServiceName, retry.Budget](nil),
	}
}

// Apply processes arriving requests, the decisions about their quota, the ends of
// their attempts, and the crash records and suspicions of peers.
func (s State) Apply(in step.Input[event.Event], view View) (State, Out) {
	var out Out
	view.reserved, view.bounds = s.reserved, s.bounds
	s = s.withTime(in.At)
	switch e := in.Event.(type) {
	case event.SettingsChanged:
		s.bounds = e.Bounds
	case event.SiteArrived:
		s = s.handleSiteArrived(e, view, &out)
	case event.QuotaGranted:
		s = s.handleQuotaGranted(e.Ticket, view, &out)
	case event.QuotaRefused:
		s = s.handleQuotaRefused(e, &out)
	case event.ForwardBegan:
		s = s.handleForwardBegan(e, view, &out)
	case event.ForwardEnded:
		s = s.handleForwardEnded(s.withExpectedEnd(e, view), view, &out)
	case event.ForwardSilent:
		s = s.handleForwardSilent(e, view, &out)
	case event.AbandonIgnored:
		s = s.handleAbandonIgnored(e)
	case event.CallerGone:
		s = s.handleCallerGone(e.Ticket, &out)
	case event.SyncAnswered:
		s = s.handleReport(e.Report, view)
	case event.SyncArrived:
		s = s.handleReport(e.Report, view)
	case event.AnnounceArrived:
		s = s.handleReport(e.Report, view)
	case event.Tick:
		s.poison = s.poison.WithTime(in.At)
		s = s.endWaits(view, &out)
	}
	return s.withNews(in.At, &out), out
}

// withExpectedEnd returns the end of an attempt with the end of a process that said that it
// is leaving taken for one that cannot be reached, not for a crash: it is no fault of the
// requests that it ran.
func (s State) withExpectedEnd(e event.ForwardEnded, view View) event.ForwardEnded {
	req, found := s.open.Get(e.Ticket)
	if found && e.Crashed && e.Attempt == req.attempt && view.Fleet.Leaves(req.upstream) {
		e.Crashed, e.Unreachable = false, true
	}
	return e
}

// handleReport adds the crash records and the suspicions of a peer or of another cell.
func (s State) handleReport(r model.Report, view View) State {
	if len(r.Crashes) > 0 {
		s.crashes, _ = s.crashes.WithRecords(r.Crashes, view.At)
	}
	if len(r.Suspicions) > 0 {
		s.poison = s.poison.WithReport(r.Suspicions, view.At, view.PassesNews)
	}
	return s
}

// Crashes returns the crash records of this node and those that it has from others, which
// are sent to its peers and to other cells.
func (s State) Crashes(at time.Time) []model.CrashRecord { return s.crashes.Records(at) }

// Open returns the number of open requests.
func (s State) Open() int { return s.open.Len() }

// ticketHasher hashes tickets, which are consecutive numbers.
type ticketHasher struct{}

func (ticketHasher) Hash(t model.Ticket) uint32 { return uint32(t) * 0x9e3779b1 }

func (ticketHasher) Equal(a, b model.Ticket) bool { return a == b }

// budget returns the retry budget of a service, limited to this node's part of
// the budget of all nodes.
func (s State) budget(service model.ServiceName, view View) retry.Budget {
	b, found := s.retries.Get(service)
	if !found {
		b = retry.New(retry.Limits{})
	}
	// The slack applies to the platform's window, which may be longer than
	// retry.Window.
	slack := s.bounds.RetrySlack * min(1, retry.Window.Seconds()/s.bounds.RetryWindow.Seconds())
	return b.WithLimits(retry.Limits{
		PerRequest: s.bounds.RetryRatio * budgetMargin,
		Fixed:      slack * budgetMargin / float64(max(1, view.Nodes)),
	})
}

// withoutRetry returns a retry that was not made to the budget of a service.
func (s State) withoutRetry(service model.ServiceName, t retry.Token) State {
	if b, found := s.retries.Get(service); found && t.Taken() {
		s.retries = s.retries.Set(service, b.WithoutRetry(t))
	}
	return s
}

// budgetMargin keeps the retries of all nodes below the platform's limit, whose
// window need not begin at a full second.
const budgetMargin = 0.75
