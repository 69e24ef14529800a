// Package flow is the decision part for the life cycle of a request: from its
// arrival over admission, claim and attempts to its end.
package flow

import (
	"fmt"
	"time"

	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"

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

const (
	maxAttempts = 3
)

// Out is what this part produces in a step.
type Out = step.Out[event.Event, effect.Effect]

// Facts are the values of other parts that flow decides on.
type Facts struct {
	Conf conf.State
	// Fresh tells that this node may admit requests.
	Fresh bool
	// Draw is a random number for this event.
	Draw uint64
	// At is the time of this event.
	At time.Time
}

type phase int

const (
	admitting phase = iota
	claiming
	// waiting for an upstream with a free slot.
	waiting
	running
	recording
)

// call is an open request.
type call struct {
	// request is shared by all copies of the call and never changed.
	request  *model.Request
	account  model.AccountName
	priority int
	phase    phase
	// mustClaim marks a request that may not be repeated.
	mustClaim bool
	// cheapShare is the share of the account's work allowed on cheap upstreams.
	cheapShare float64
	// services are the upstreams of the route of a plain request.
	services []model.UpstreamName
	attempt  int
	upstream model.UpstreamName
	// tried are the upstreams of earlier attempts.
	tried []model.UpstreamName
	// mayHaveRun tells that an earlier attempt ended without an answer.
	mayHaveRun bool
	// resumed is the number of tokens that the caller had at the last resume.
	resumed int
	// crashCounted tells that the crash of the running attempt's upstream is
	// counted already, with another request of the same batch.
	crashCounted bool
}

// entering is a request that is not yet in the map of open ones.
type entering struct {
	call   call
	ticket model.Ticket
}

// State holds the open requests of this node.
type State struct {
	// maxOpen bounds the open requests. Further ones are refused.
	maxOpen  int
	draining bool
	open     *immutable.Map[model.Ticket, call]
	// entering is the last request that arrived, until the next event, or nil.
	// Most are admitted by that event and are then written to open once.
	entering *entering
	// uses holds the upstreams that run a request of this node or were full a
	// short time ago. It has no entry for others, which keeps it small.
	uses *immutable.Map[model.UpstreamName, use]
	// leaving holds the IP numbers of VMs that will be stopped soon.
	leaving *immutable.Map[string, struct{}]
	// queue holds the requests in the phase waiting.
	queue fair.Queue[model.AccountName, model.Ticket]
	// deadlines orders the same requests by when they are refused.
	deadlines *immutable.SortedMap[deadline, struct{}]
	// serveAt is when the queue is looked through again, zero if it is empty.
	serveAt time.Time
	crashes crash.State
	retries retry.Budget
	// shares holds how much of each account's recent work went to cheap upstreams.
	shares place.Shares[model.AccountName]
}

// New returns a state without requests.
func New(maxOpen int) State {
	return State{
		maxOpen:   maxOpen,
		leaving:   immutable.NewMap[string, struct{}](nil),
		open:      immutable.NewMap[model.Ticket, call](ticketHasher{}),
		uses:      immutable.NewMap[model.UpstreamName, use](nameHasher{}),
		queue:     fair.New[model.AccountName, model.Ticket](ageTerm),
		deadlines: immutable.NewSortedMap[deadline, struct{}](deadlineOrder{}),
		crashes:   crash.New(),
		shares:    place.NewShares[model.AccountName](shareTerm),
	}
}

// Apply takes traffic events and the answers of the other parts.
func (s State) Apply(in step.Input[event.Event], facts Facts) (State, Out) {
	var out Out
	if granted, ok := in.Event.(event.AdmissionGranted); ok && s.entering != nil && granted.Ticket == s.entering.ticket {
		c := s.entering.call
		s.entering = nil
		return s.admitted(granted.Ticket, c, facts, &out), out
	}
	s = s.entered()
	switch e := in.Event.(type) {
	case event.RequestArrived:
		s = s.arrived(e, facts, &out)
	case event.AdmissionGranted:
		s = s.granted(e.Ticket, facts, &out)
	case event.AdmissionRefused:
		s = s.refused(e.Ticket, refusal(e.Reason, model.NotRun, e.RetryAfterSeconds), &out)
	case event.ClaimWon:
		s = s.claimWon(e.Ticket, facts, &out)
	case event.ClaimRefused:
		s = s.claimRefused(e, &out)
	case event.ClaimRecorded:
		s = s.finished(e.Ticket, &out)
	case event.AttemptEnded:
		s = s.attemptEnded(e, facts, &out)
	case event.CallerGone:
		s = s.callerGone(e.Ticket, &out)
	case event.CrashCountsArrived:
		s.crashes = s.crashes.WithPeer(e.From, e.Counts, in.At)
	case event.DrainAsked:
		s.draining = true
	case event.KeyChanged:
		s = s.keyChanged(e, &out)
	case event.Tick:
		s = s.expired(facts, &out).crashesExpired(in.At, &out)
	case event.VMsListed:
		s = s.withLeaving(e.Leaving)
	case event.UpstreamChanged:
		s = s.served(facts, &out)
	}
	return s, out
}

// Draining tells whether the node takes no new requests.
func (s State) Draining() bool { return s.draining }

// Open returns the number of open requests.
func (s State) Open() int {
	if s.entering != nil {
		return s.open.Len() + 1
	}
	return s.open.Len()
}

func (s State) arrived(e event.RequestArrived, facts Facts, out *Out) State {
	c, reason, ok := s.check(&e.Request, facts)
	if !ok {
		refuse(e.Ticket, refusal(reason, model.NotRun, retryAfter(reason)), out)
		return s
	}
	s.retries = s.retries.WithRequest(facts.At)
	if c.account == "" {
		return s.admitted(e.Ticket, c, facts, out)
	}
	s.entering = &entering{call: c, ticket: e.Ticket}
	out.Raise(event.AdmissionAsked{
		Ticket:   e.Ticket,
		Account:  c.account,
		Priority: c.priority,
		AdmitBy:  e.Request.AdmitBy,
	})
	return s
}

// entered writes the request that is entering to the open ones.
func (s State) entered() State {
	if s.entering != nil {
		s.open = s.open.Set(s.entering.ticket, s.entering.call)
		s.entering = nil
	}
	return s
}

// check decides whether a request may enter.
func (s State) check(request *model.Request, facts Facts) (call, model.Reason, bool) {
	c := call{request: request}
	switch {
	case s.draining:
		return c, model.Draining, false
	case !facts.Fresh:
		return c, model.NotFresh, false
	case s.open.Len() >= s.maxOpen:
		return c, model.Overloaded, false
	}
	open := false
	if request.Kind == model.RequestPlain {
		route, ok := facts.Conf.Route(request.Path)
		if !ok {
			return c, model.UnknownRoute, false
		}
		c.mustClaim = !route.Repeatable
		c.services = route.Upstreams
		open = route.Open
	}
	if !open {
		reason, ok := c.authorize(request, facts.Conf)
		if !ok {
			return c, reason, false
		}
	}
	if request.Kind == model.RequestChat {
		if _, ok := facts.Conf.Model(request.Model); !ok {
			return c, model.UnknownModel, false
		}
	}
	if c.mustClaim && request.IdempotencyKey == "" {
		return c, model.MissingIdempotencyKey, false
	}
	if s.crashes.Verdict(request.Fingerprint, facts.At) == crash.Refuse {
		return c, model.CrashSuspect, false
	}
	return c, 0, true
}

// authorize sets the account that the request's key belongs to.
func (c *call) authorize(request *model.Request, config conf.State) (model.Reason, bool) {
	if !request.HasKey {
		return model.MissingKey, false
	}
	key, ok := config.Key(request.KeyHash)
	if !ok {
		return model.KeyUnknown, false
	}
	if key.State == model.KeyWithdrawn {
		return model.KeyWasWithdrawn, false
	}
	template, ok := config.Template(key.Account)
	if !ok {
		return model.KeyUnknown, false
	}
	if request.Kind == model.RequestChat && !template.Allows(request.Model) {
		return model.ModelNotAllowed, false
	}
	c.account = key.Account
	c.priority = template.Priority
	c.cheapShare = template.CheapShare
	return 0, true
}

func (s State) granted(ticket model.Ticket, facts Facts, out *Out) State {
	c, ok := s.open.Get(ticket)
	if !ok {
		return s
	}
	return s.admitted(ticket, c, facts, out)
}

// admitted goes on with a request that has its token or needs none. The
// request need not be among the open ones yet.
func (s State) admitted(ticket model.Ticket, c call, facts Facts, out *Out) State {
	if !c.mustClaim {
		return s.dispatched(ticket, c, facts, out)
	}
	c.phase = claiming
	s.open = s.open.Set(ticket, c)
	out.Raise(event.ClaimAsked{
		Ticket:         ticket,
		RequestID:      c.request.ID,
		Account:        c.account,
		IdempotencyKey: c.request.IdempotencyKey,
		BodyHash:       c.request.BodyHash,
	})
	return s
}

func (s State) claimWon(ticket model.Ticket, facts Facts, out *Out) State {
	c, ok := s.open.Get(ticket)
	if !ok {
		return s
	}
	return s.dispatched(ticket, c, facts, out)
}

// dispatched sends the request to an upstream that was not tried yet. A node
// that is not fresh may have missed the withdrawal of the request's key since
// its arrival.
func (s State) dispatched(ticket model.Ticket, c call, facts Facts, out *Out) State {
	if !facts.Fresh {
		return s.failed(ticket, c, refusal(model.NotFresh, model.NotRun, retryAfter(model.NotFresh)), out)
	}
	if s.crashes.Verdict(c.request.Fingerprint, facts.At) == crash.Refuse {
		return s.failed(ticket, c, refusal(model.CrashSuspect, model.NotRun, retryAfter(model.CrashSuspect)), out)
	}
	if c.upstream != "" {
		c.tried = append(c.tried[:len(c.tried):len(c.tried)], c.upstream)
		c.upstream = ""
	}
	upstream, ok := s.place(c, facts)
	if !ok {
		return s.queued(ticket, c, facts, out)
	}
	return s.sent(ticket, c, upstream, facts, out)
}

// sent starts the next attempt of a request at an upstream.
func (s State) sent(ticket model.Ticket, c call, upstream model.Upstream, facts Facts, out *Out) State {
	c.phase = running
	c.attempt++
	c.crashCounted = false
	c.upstream = upstream.Name
	s.open = s.open.Set(ticket, c)
	u, _ := s.uses.Get(upstream.Name)
	u.running++
	if s.crashes.Verdict(c.request.Fingerprint, facts.At) == crash.Alone {
		u.alone, u.suspect = true, ticket
	}
	s.uses = s.uses.Set(upstream.Name, u)
	if c.cheapShare > 0 {
		s.shares = s.shares.WithWork(c.account, facts.At, cost(c.request), upstream.Cheap)
	}
	out.Emit(effect.Dispatch{
		Ticket:     ticket,
		Attempt:    c.attempt,
		Upstream:   upstream,
		Priority:   c.priority,
		MustRecord: c.mustClaim,
	})
	return s
}

func (s State) attemptEnded(e event.AttemptEnded, facts Facts, out *Out) State {
	c, ok := s.open.Get(e.Ticket)
	if !ok || c.phase != running || e.Attempt != c.attempt {
		return s
	}
	if e.Crashed && !c.crashCounted {
		s = s.crashed(c.upstream, facts, out)
	}
	u, _ := s.uses.Get(c.upstream)
	u.running--
	if u.alone && u.suspect == e.Ticket {
		u.alone = false
	}
	if e.Outcome == model.Rejected {
		u.fullUntil = facts.At.Add(fullTerm)
	}
	s = s.withUse(c.upstream, u, facts.At)
	s = s.ended(e, c, facts, out)
	return s.served(facts, out)
}

// ended decides what follows the end of an attempt.
func (s State) ended(e event.AttemptEnded, c call, facts Facts, out *Out) State {
	c.mayHaveRun = c.mayHaveRun || e.Outcome == model.Broken || e.Outcome == model.CallerLeft
	if e.Outcome == model.Completed {
		return s.completed(e, c, out)
	}
	if e.Outcome == model.CallerLeft {
		return s.failed(e.Ticket, c, refusal(model.UpstreamLost, model.OutcomeUnknown, 0), out)
	}
	if c.resumed > 0 || e.TokensPassed > 0 {
		return s.resume(e, c, facts, out)
	}
	notRun := e.Outcome == model.NotSent || e.Outcome == model.Rejected
	mayRepeat := notRun || !c.mustClaim
	if mayRepeat && c.attempt < maxAttempts {
		var ok bool
		if s.retries, ok = s.retries.WithRetry(facts.At); !ok {
			return s.failed(e.Ticket, c, refusal(model.RetryBudgetSpent, model.NotRun, 1), out)
		}
		out.Emit(effect.CountRetry{Reason: retryReason(e.Outcome)})
		return s.dispatched(e.Ticket, c, facts, out)
	}
	if notRun {
		return s.failed(e.Ticket, c, refusal(model.UpstreamLost, model.NotRun, 1), out)
	}
	return s.failed(e.Ticket, c, refusal(model.UpstreamLost, model.OutcomeUnknown, 0), out)
}

// resume continues a stream of which the caller has a part. Only the engine
// that generated it holds the tokens, so no other one is tried.
func (s State) resume(e event.AttemptEnded, c call, facts Facts, out *Out) State {
	upstream, ok := facts.Conf.Upstream(c.upstream)
	mayResume := ok && !c.mustClaim && c.request.Stream && !e.Crashed && e.Outcome != model.Rejected && c.attempt < maxAttempts
	if !mayResume {
		return s.failed(e.Ticket, c, refusal(model.StreamTruncated, model.OutcomeUnknown, 0), out)
	}
	if s.retries, ok = s.retries.WithRetry(facts.At); !ok {
		return s.failed(e.Ticket, c, refusal(model.RetryBudgetSpent, model.OutcomeUnknown, 1), out)
	}
	c.resumed = e.TokensPassed
	out.Emit(effect.CountRetry{Reason: model.RetryResumed})
	return s.sent(e.Ticket, c, upstream, facts, out)
}

func (s State) completed(e event.AttemptEnded, c call, out *Out) State {
	if c.account != "" {
		out.Raise(event.UsageCounted{Line: model.UsageLine{
			Account:      c.account,
			Requests:     1,
			PromptTokens: int64(c.request.PromptTokens),
			OutputTokens: int64(e.TokensPassed),
		}})
	}
	if !c.mustClaim {
		return s.finished(e.Ticket, out)
	}
	c.phase = recording
	s.open = s.open.Set(e.Ticket, c)
	out.Raise(event.ClaimEnded{Ticket: e.Ticket, Known: true, Answer: e.Answer})
	return s
}

// failed ends a request that may hold a claim, and that need not be among the
// open ones yet. After an attempt without an answer the outcome stays unknown,
// whatever became of later ones.
func (s State) failed(ticket model.Ticket, c call, r model.Refusal, out *Out) State {
	if c.mayHaveRun {
		r = refusal(r.Reason, model.OutcomeUnknown, r.RetryAfterSeconds)
	}
	if c.mustClaim {
		out.Raise(event.ClaimEnded{Ticket: ticket, NotRun: r.Execution == model.NotRun})
	}
	s.open = s.open.Delete(ticket)
	refuse(ticket, r, out)
	return s
}

func (s State) claimRefused(e event.ClaimRefused, out *Out) State {
	if _, ok := s.open.Get(e.Ticket); !ok {
		return s
	}
	if e.Replay {
		s.open = s.open.Delete(e.Ticket)
		out.Emit(effect.Replay{Ticket: e.Ticket, Answer: e.Answer})
		return s
	}
	execution := model.NotRun
	if e.Reason == model.EarlierOutcomeUnknown {
		execution = model.OutcomeUnknown
	}
	return s.refused(e.Ticket, refusal(e.Reason, execution, retryAfter(e.Reason)), out)
}

func (s State) finished(ticket model.Ticket, out *Out) State {
	open := s.open.Delete(ticket)
	if open == s.open {
		return s
	}
	s.open = open
	out.Emit(effect.Finish{Ticket: ticket})
	return s
}

func (s State) refused(ticket model.Ticket, r model.Refusal, out *Out) State {
	if _, ok := s.open.Get(ticket); !ok {
		return s
	}
	s.open = s.open.Delete(ticket)
	refuse(ticket, r, out)
	return s
}

func (s State) callerGone(ticket model.Ticket, out *Out) State {
	c, ok := s.open.Get(ticket)
	if !ok {
		return s
	}
	switch c.phase {
	case admitting:
		out.Raise(event.AdmissionDropped{Ticket: ticket})
		return s.finished(ticket, out)
	case claiming:
		out.Raise(event.ClaimEnded{Ticket: ticket, NotRun: true})
		return s.finished(ticket, out)
	case waiting:
		s = s.unqueued(ticket, c)
		if c.mustClaim {
			out.Raise(event.ClaimEnded{Ticket: ticket, NotRun: true})
		}
		return s.finished(ticket, out)
	default:
		// A running attempt reports its own end.
		return s
	}
}

// keyChanged ends the open requests of a key that is no longer active.
func (s State) keyChanged(e event.KeyChanged, out *Out) State {
	if e.Old.Hash == (model.KeyHash{}) {
		return s
	}
	if e.New.Hash == e.Old.Hash && e.New.State == model.KeyActive && e.New.Account == e.Old.Account {
		return s
	}
	for itr := s.open.Iterator(); !itr.Done(); {
		ticket, c, _ := itr.Next()
		if !c.request.HasKey || c.request.KeyHash != e.Old.Hash {
			continue
		}
		if c.phase == running || c.phase == recording {
			out.Emit(effect.Cut{Ticket: ticket, Refusal: refusal(model.KeyWasWithdrawn, model.OutcomeUnknown, 0)})
			continue
		}
		out.Raise(event.AdmissionDropped{Ticket: ticket})
		s = s.unqueued(ticket, c)
		s = s.failed(ticket, c, refusal(model.KeyWasWithdrawn, model.NotRun, 0), out)
	}
	return s
}

func refuse(ticket model.Ticket, r model.Refusal, out *Out) {
	out.Emit(effect.CountRefusal{Reason: r.Reason}, effect.Refuse{Ticket: ticket, Refusal: r})
}

func refusal(reason model.Reason, execution model.Execution, retryAfterSeconds int) model.Refusal {
	return model.Refusal{
		Reason:            reason,
		Execution:         execution,
		RetryAfterSeconds: retryAfterSeconds,
		Message:           fmt.Sprintf("request ended with %s (%s)", reason, execution),
	}
}

func retryAfter(reason model.Reason) int {
	switch reason {
	case model.ClaimUnavailable, model.Draining, model.NotFresh, model.Overloaded:
		return 1
	case model.CrashSuspect:
		return int(crash.Term / time.Second)
	default:
		return 0
	}
}

func retryReason(outcome model.Outcome) model.RetryReason {
	switch outcome {
	case model.NotSent:
		return model.RetryNotSent
	case model.Rejected:
		return model.RetryRejected
	default:
		return model.RetryBroken
	}
}

// nameHasher hashes upstream names. The hasher that the library picks by default
// uses reflection for named types.
type nameHasher struct{}

func (nameHasher) Equal(a, b model.UpstreamName) bool { return a == b }

func (nameHasher) Hash(name model.UpstreamName) uint32 {
	return uint32(xxhash.Sum64String(string(name)))
}

type ticketHasher struct{}

func (ticketHasher) Equal(a, b model.Ticket) bool { return a == b }

func (ticketHasher) Hash(ticket model.Ticket) uint32 {
	return uint32(uint64(ticket) * 0x9e3779b97f4a7c15 >> 32)
}
