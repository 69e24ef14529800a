// Package flow is the component for the life cycle of a request: arrival,
// admission, claim, attempts and reply.
package flow

import (
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/conf"
	"caroblane/core/crash"
	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/fair"
	"caroblane/core/model"
	"caroblane/core/place"
	"caroblane/core/retry"
	"caroblane/core/step"
)

// maxAttempts is the maximum number of times that a request is sent to
// upstreams.
const maxAttempts = 3

// Out holds the effects and events that one Apply call produces.
type Out = step.Out[event.Event, effect.Effect]

// View is the state of other components that Apply reads, with the time and the
// random number of the event.
type View struct {
	Conf conf.State
	// Fresh reports whether the configuration of this node is recent enough to
	// admit requests.
	Fresh bool
	// Random is a random number drawn for this event.
	Random uint64
	// At is the time of this event.
	At time.Time
}

// phase is the stage of an open request.
type phase int

const (
	admitting phase = iota
	claiming
	// waiting requests are queued until an upstream has a free slot.
	waiting
	running
	recording
)

// openRequest is a request that has not been answered yet.
type openRequest struct {
	// received is the request as it arrived. Copies of an openRequest share it,
	// so it is never modified.
	received *model.Request
	account  model.AccountName
	priority int
	phase    phase
	// needsClaim marks a request that must not run twice and therefore needs a
	// claim on its idempotency key.
	needsClaim bool
	// cheapShare is the fraction of the client account's work that may run on
	// cheap (reclaimable) upstreams.
	cheapShare float64
	// routeUpstreams are the upstreams of the route of a plain request.
	routeUpstreams []model.UpstreamName
	attempt        int
	upstream       model.UpstreamName
	// tried holds the upstreams of earlier attempts.
	tried []model.UpstreamName
	// mayHaveRun is set once an attempt has ended without a response.
	mayHaveRun bool
	// resumedTokens is the number of tokens that the caller had received at the
	// last resume.
	resumedTokens int
	// resumed is set while an attempt continues the stream at the engine of the attempt
	// before.
	resumed bool
	// regenerate is set if the response is generated again from the beginning.
	regenerate bool
	// crashCounted is set if the crash of the current upstream has been counted
	// already, by another request of the same batch.
	crashCounted bool
}

// arrival is a request that is not yet in the map of open requests.
type arrival struct {
	request openRequest
	ticket  model.Ticket
}

// State holds the open requests of this node and the upstream state that they
// are placed by.
type State struct {
	// maxOpen is the limit of open requests. Requests beyond it are refused.
	maxOpen  int
	draining bool
	open     *immutable.Map[model.Ticket, openRequest]
	// arrival is the request that arrived with the previous event, or nil. Most
	// requests are admitted by the very next event, so that they are written to
	// open once instead of twice.
	arrival *arrival
	// loads has an entry for each upstream that runs a request of this node or
	// rejected one recently. Other upstreams have none, which keeps the map
	// small.
	loads *immutable.Map[model.UpstreamName, upstreamLoad]
	// reclaimedVMs holds the IP addresses of VMs that will be stopped soon.
	reclaimedVMs *immutable.Map[string, struct{}]
	// queue holds the requests in the waiting phase.
	queue fair.Queue[model.AccountName, model.Ticket]
	// deadlines orders the queued requests by the time at which they are
	// refused.
	deadlines *immutable.SortedMap[deadline, struct{}]
	// queueRetryAt is when the queue is processed again, or zero if it is empty.
	queueRetryAt time.Time
	crashes      crash.State
	retries      retry.Budget
	// shares tracks the fraction of each client account's recent work that went
	// to cheap upstreams.
	shares place.Shares[model.AccountName]
}

// New returns a state without open requests that accepts at most maxOpen of
// them.
func New(maxOpen int) State {
	return State{
		maxOpen:      maxOpen,
		reclaimedVMs: immutable.NewMap[string, struct{}](nil),
		open:         immutable.NewMap[model.Ticket, openRequest](ticketHasher{}),
		loads:        immutable.NewMap[model.UpstreamName, upstreamLoad](nameHasher{}),
		queue:        fair.New[model.AccountName, model.Ticket](priorityAging),
		deadlines:    immutable.NewSortedMap[deadline, struct{}](deadlineComparer{}),
		crashes:      crash.New(),
		retries:      retry.New(retry.DefaultLimits()),
		shares:       place.NewShares[model.AccountName](cheapShareWindow),
	}
}

// Apply processes arriving requests, the decisions about their admission and
// claims, the ends of their attempts, and changes that concern open requests.
func (s State) Apply(in step.Input[event.Event], view View) (State, Out) {
	var out Out
	if granted, ok := in.Event.(event.AdmissionGranted); ok && s.arrival != nil && granted.Ticket == s.arrival.ticket {
		req := s.arrival.request
		s.arrival = nil
		return s.continueAdmitted(granted.Ticket, req, view, &out), out
	}
	s = s.withArrivalStored()
	switch e := in.Event.(type) {
	case event.RequestArrived:
		s = s.handleRequestArrived(e, view, &out)
	case event.AdmissionGranted:
		s = s.handleAdmissionGranted(e.Ticket, view, &out)
	case event.AdmissionRefused:
		s = s.refuse(e.Ticket, newRefusal(e.Reason, model.NotRun, e.RetryAfterSeconds), &out)
	case event.ClaimWon:
		s = s.handleClaimWon(e.Ticket, view, &out)
	case event.ClaimRefused:
		s = s.handleClaimRefused(e, &out)
	case event.ClaimRecorded:
		s = s.finish(e.Ticket, &out)
	case event.AttemptEnded:
		s = s.handleAttemptEnded(e, view, &out)
	case event.CallerGone:
		s = s.handleCallerGone(e.Ticket, &out)
	case event.CrashRecordsArrived:
		s = s.handleCrashRecordsArrived(e, in.At, &out)
	case event.DrainAsked:
		s.draining = true
	case event.KeyChanged:
		s = s.handleKeyChanged(e, &out)
	case event.Tick:
		s = s.refuseOverdue(view, &out).expireCrashRecords(in.At, &out)
	case event.VMsListed:
		s = s.withReclaimedVMs(e.Leaving)
	case event.UpstreamChanged:
		s = s.dispatchQueued(view, &out)
	}
	return s, out
}

// Draining reports whether the node is shutting down and refuses new requests.
func (s State) Draining() bool { return s.draining }

// Open returns the number of open requests.
func (s State) Open() int {
	if s.arrival != nil {
		return s.open.Len() + 1
	}
	return s.open.Len()
}
