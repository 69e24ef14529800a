// Package engine is a fake model inference engine for tests and benchmarks.
// It models continuous batching with costs for prefill and decode, a prefix
// cache in limited memory, priorities, resumable streams, orders, and load
// reports and cache events that are late and incomplete. All decisions are made
// by State, a step.Machine; the HTTP server only encodes messages.
package engine

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/step"
)

// BlockTokens is the number of tokens in a KV cache block, the unit of engine
// memory. The JSON API calls blocks pieces.
const BlockTokens = 2_000

// maxCatchUp limits how much missed time the engine makes up for, so that an
// engine whose process was paused does not deliver its backlog at once.
const maxCatchUp = 50 * time.Millisecond

// offRoleFactor multiplies the cost of work outside of the engine's role.
const offRoleFactor = 4

// Limits of the histories that can be read.
const (
	maxOrders      = 1_000
	maxCacheEvents = 10_000
)

// Settings configure an engine. With all costs at zero, only the HTTP server
// limits its speed.
type Settings struct {
	// Slots is the maximum number of requests in the batch.
	Slots int
	// MaxQueued is the number of requests that can wait while the batch is
	// full.
	MaxQueued int
	// MemoryPieces is the memory in blocks for running requests and the prefix
	// cache together.
	MemoryPieces int
	// MaxHeld is the number of ended requests whose tokens are kept for
	// resuming.
	MaxHeld int
	// ChunkTokens is the maximum number of prompt tokens that one iteration
	// processes.
	ChunkTokens     int
	IterationBase   time.Duration
	PrefillPerToken time.Duration
	DecodePerToken  time.Duration
	// ChecksEpoch makes the engine refuse orders with an old epoch or sequence
	// number.
	ChecksEpoch bool
	// RoleChangeTerm is how long the engine is unavailable during a role
	// change.
	RoleChangeTerm time.Duration
	// LoadLag is the minimum age of the published load. Its maximum age is
	// twice that.
	LoadLag time.Duration
	// CacheEventLag delays cache events, and every CacheEventGap-th event is
	// lost. A gap of zero loses none.
	CacheEventLag time.Duration
	CacheEventGap int
	// Models are the models loaded at the start. If empty, every model is
	// served.
	Models []string
}

// DefaultSettings returns the settings of an engine with 16 slots and about 50
// tokens per second for each request.
func DefaultSettings() Settings {
	return Settings{
		Slots:           16,
		MaxQueued:       64,
		MemoryPieces:    256,
		MaxHeld:         256,
		ChunkTokens:     BlockTokens,
		IterationBase:   10 * time.Millisecond,
		PrefillPerToken: 50 * time.Microsecond,
		DecodePerToken:  500 * time.Microsecond,
		ChecksEpoch:     true,
		RoleChangeTerm:  5 * time.Second,
		LoadLag:         500 * time.Millisecond,
		CacheEventLag:   time.Second,
		CacheEventGap:   50,
	}
}

// FastSettings returns the settings of an engine without costs, for benchmarks.
func FastSettings() Settings {
	s := DefaultSettings()
	s.Slots, s.MaxQueued, s.MemoryPieces = 4096, 4096, 1<<20
	s.IterationBase, s.PrefillPerToken, s.DecodePerToken = 0, 0, 0
	return s
}

// Faults are the faults specific to an engine, in addition to those of package
// gate. The zero value has none.
type Faults struct {
	// CrashMarker crashes the engine when it starts to run a request whose
	// prompt contains this text.
	CrashMarker string
	// CrashTerm is how long the engine is down after a crash.
	CrashTerm time.Duration
	// CutAfter closes the connection of each stream after this number of
	// tokens. Zero disables it.
	CutAfter int
	// Cross injects an event of another request into each stream, and Late one
	// of an earlier attempt. Responses that are not streamed get the headers of
	// that request or attempt instead.
	Cross bool
	Late  bool
	// Slow multiplies all costs. Zero means one.
	Slow float64
}

type phase int

const (
	queued phase = iota
	running
	ended
)

// request is a queued, running or ended request whose tokens the engine holds.
type request struct {
	id       string
	ticket   uint64
	attempt  string
	priority int
	seq      uint64
	phase    phase
	seed     uint64
	prefixes []uint64
	// prefill is the number of prompt tokens still to be processed.
	prefill      int
	promptTokens int
	cachedTokens int
	maxTokens    int
	generated    int
	// streamFrom is the offset at which the attached stream starts, and
	// streamUpto the offset up to which tokens were emitted to it.
	streamFrom     int
	streamUpto     int
	hasCrashMarker bool
}

// blocks returns the memory that the request needs while it runs.
func (r request) blocks() int { return blocksFor(r.promptTokens + r.maxTokens) }

func blocksFor(tokens int) int { return (tokens + BlockTokens - 1) / BlockTokens }

// queueKey orders the queue: higher priority first, then in order of arrival.
type queueKey struct {
	priority int
	seq      uint64
}

type queueOrder struct{}

func (queueOrder) Compare(a, b queueKey) int {
	return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.seq, b.seq))
}

// State is the state of an engine.
type State struct {
	settings  Settings
	faults    Faults
	seq       uint64
	requests  *immutable.Map[string, request]
	queue     *immutable.SortedMap[queueKey, string]
	batch     *immutable.SortedMap[uint64, string]
	resumable *immutable.List[string]
	// pinnedBlocks is the memory of the requests in the batch.
	pinnedBlocks int
	cache        cache
	// iterationEnd is when the current iteration ends, or zero when the engine
	// is idle.
	iterationEnd time.Time
	orders       orders
	load         delayedLoad
	stats        Stats
}

// Stats counts events since the start.
type Stats struct {
	Submitted uint64
	Refused   uint64
	Resumed   uint64
	Cancelled uint64
	Crashes   uint64
	Tokens    uint64
	Prefilled uint64
	Cached    uint64
}

// NewState returns an idle engine.
func NewState(settings Settings) State {
	return State{
		settings:  settings,
		requests:  immutable.NewMap[string, request](nil),
		queue:     immutable.NewSortedMap[queueKey, string](queueOrder{}),
		batch:     immutable.NewSortedMap[uint64, string](nil),
		resumable: immutable.NewList[string](),
		cache:     newCache(),
		orders:    newOrders(settings.Models),
	}
}

// Apply ends the iterations that are due and then executes the call.
func (s State) Apply(in step.Input[Event]) (State, []Effect) {
	var out []Effect
	s, out = s.advance(in.At, out)
	switch e := in.Event.(type) {
	case Submit:
		s, out = s.submit(e, in.At, out)
	case Resume:
		s, out = s.resume(e, out)
	case Cancel:
		s, out = s.cancel(e, out)
	case Disconnected:
		s = s.detach(e.Ticket)
	case Order:
		s, out = s.order(e, in.At, out)
	case Export:
		out = append(out, s.exportBlock(e))
	case Import:
		s, out = s.importBlock(e, in.At, out)
	case ReadLoad:
		out = append(out, Response{Ticket: e.Ticket, Status: http.StatusOK, Body: s.load.visible})
	case ReadCacheEvents:
		out = append(out, Response{Ticket: e.Ticket, Status: http.StatusOK, Body: s.cache.eventsAfter(e, in.At)})
	case ReadOrders:
		out = append(out, Response{Ticket: e.Ticket, Status: http.StatusOK, Body: s.orders.body(in.At)})
	case SetFaults:
		s.faults = e.Faults
	}
	return s.advance(in.At, out)
}

// Next returns when the current iteration ends.
func (s State) Next() time.Time { return s.iterationEnd }

// Faults returns the engine faults in force.
func (s State) Faults() Faults { return s.faults }

// Stats returns the counters.
func (s State) Stats() Stats { return s.stats }

func refusal(ticket uint64, status int, reason, message string) Response {
	return Response{Ticket: ticket, Status: status, Fault: &Fault{Reason: reason, Execution: "NotRun", Message: message}}
}

func (s State) submit(e Submit, at time.Time, out []Effect) (State, []Effect) {
	s.stats.Submitted++
	r := request{
		id:             e.ID,
		ticket:         e.Ticket,
		attempt:        e.Attempt,
		priority:       e.Priority,
		seq:            s.seq + 1,
		seed:           e.Seed,
		prefixes:       e.Prefixes,
		prefill:        e.PromptTokens,
		promptTokens:   e.PromptTokens,
		maxTokens:      e.MaxTokens,
		hasCrashMarker: s.faults.CrashMarker != "" && strings.Contains(e.Prompt, s.faults.CrashMarker),
	}
	if refused := s.check(r, e.Model, at); refused.Ticket != 0 {
		s.stats.Refused++
		return s, append(out, refused)
	}
	s.seq++
	s = s.withoutRequest(e.ID)
	s.requests = s.requests.Set(r.id, r)
	s.queue = s.queue.Set(queueKey{r.priority, r.seq}, r.id)
	return s, out
}

// check returns the refusal of a request that cannot be accepted, or the zero
// value.
func (s State) check(r request, model string, at time.Time) Response {
	switch {
	case s.orders.changing(at):
		return refusal(r.ticket, http.StatusServiceUnavailable, "RoleChanging", "engine changes its role")
	case !s.orders.serves(model):
		return refusal(r.ticket, http.StatusNotFound, "UnknownModel", "model is not loaded")
	case r.blocks() > s.settings.MemoryPieces:
		return refusal(r.ticket, http.StatusRequestEntityTooLarge, "TooLarge", "request needs more memory than there is")
	case s.queue.Len()+s.batch.Len() >= s.settings.Slots+s.settings.MaxQueued:
		return refusal(r.ticket, http.StatusServiceUnavailable, "Full", "batch and queue are full")
	default:
		return Response{}
	}
}

// resume attaches a stream to a request whose tokens are still held. A stream
// that was attached before is cut.
func (s State) resume(e Resume, out []Effect) (State, []Effect) {
	r, ok := s.requests.Get(e.ID)
	if !ok || r.seed != e.Seed || e.Offset > r.generated {
		s.stats.Refused++
		return s, append(out, refusal(e.Ticket, http.StatusConflict, "NotHeld", "tokens of the request are not held"))
	}
	if r.ticket != 0 {
		out = append(out, Tokens{Ticket: r.ticket, From: r.streamFrom, Upto: r.streamUpto, Seed: r.seed, Cut: true})
	}
	s.stats.Resumed++
	r.ticket, r.attempt, r.streamFrom, r.streamUpto = e.Ticket, e.Attempt, e.Offset, e.Offset
	s.requests = s.requests.Set(r.id, r)
	if r.generated > e.Offset || r.phase == ended {
		return s.emitProgress(r, out)
	}
	return s, out
}

// emitProgress emits the progress of a request to its attached stream, with the
// faults in force.
func (s State) emitProgress(r request, out []Effect) (State, []Effect) {
	if r.ticket == 0 {
		return s, out
	}
	t := Tokens{
		Ticket:       r.ticket,
		From:         r.streamFrom,
		Upto:         r.generated,
		Seed:         r.seed,
		Done:         r.phase == ended,
		PromptTokens: r.promptTokens,
		CachedTokens: r.cachedTokens,
	}
	if r.streamUpto == r.streamFrom {
		t.Foreign = s.foreignEventID(r)
	}
	if cut := s.faults.CutAfter; cut > 0 && r.generated-r.streamFrom >= cut {
		t.Upto, t.Cut, t.Done = r.streamFrom+cut, true, false
	}
	r.streamUpto = t.Upto
	if t.Final() {
		r.ticket = 0
	}
	s.requests = s.requests.Set(r.id, r)
	return s, append(out, t)
}

// foreignEventID returns the start of the event ID, without the offset, that a
// fault injects into the stream of a request.
func (s State) foreignEventID(r request) string {
	switch {
	case s.faults.Late:
		attempt, _ := strconv.Atoi(r.attempt)
		return r.id + "/" + strconv.Itoa(attempt-1)
	case s.faults.Cross:
		for itr := s.batch.Iterator(); !itr.Done(); {
			if _, other, _ := itr.Next(); other != r.id {
				return other + "/1"
			}
		}
		return "other-" + r.id + "/1"
	default:
		return ""
	}
}

func (s State) cancel(e Cancel, out []Effect) (State, []Effect) {
	r, ok := s.requests.Get(e.ID)
	if !ok {
		return s, append(out, refusal(e.Ticket, http.StatusNotFound, "NotHeld", "request is not held"))
	}
	if r.ticket != 0 {
		out = append(out, Tokens{Ticket: r.ticket, From: r.streamFrom, Upto: r.streamUpto, Seed: r.seed, Cut: true})
	}
	s.stats.Cancelled++
	s = s.withoutRequest(e.ID)
	return s, append(out, Response{Ticket: e.Ticket, Status: http.StatusOK, Body: CancelBody{Tokens: r.generated}})
}

// CancelBody is the body of the response to a cancellation.
type CancelBody struct {
	// Tokens is the number of tokens that were generated.
	Tokens int
}

func (s State) detach(ticket uint64) State {
	for itr := s.requests.Iterator(); !itr.Done(); {
		id, r, _ := itr.Next()
		if r.ticket == ticket {
			r.ticket = 0
			s.requests = s.requests.Set(id, r)
			return s
		}
	}
	return s
}

// withoutRequest returns the state without a request.
func (s State) withoutRequest(id string) State {
	r, ok := s.requests.Get(id)
	if !ok {
		return s
	}
	s.queue = s.queue.Delete(queueKey{r.priority, r.seq})
	if r.phase == running {
		s.batch = s.batch.Delete(r.seq)
		s.pinnedBlocks -= r.blocks()
	}
	s.requests = s.requests.Delete(id)
	return s
}

// reset cuts all streams, drops all requests and clears the cache.
func (s State) reset(out []Effect) (State, []Effect) {
	var cut []request
	for itr := s.requests.Iterator(); !itr.Done(); {
		if _, r, _ := itr.Next(); r.ticket != 0 {
			cut = append(cut, r)
		}
	}
	slices.SortFunc(cut, func(a, b request) int { return cmp.Compare(a.seq, b.seq) })
	for _, r := range cut {
		out = append(out, Tokens{Ticket: r.ticket, From: r.streamFrom, Upto: r.streamUpto, Seed: r.seed, Cut: true})
	}
	fresh := NewState(s.settings)
	s.requests, s.queue, s.batch, s.resumable = fresh.requests, fresh.queue, fresh.batch, fresh.resumable
	s.pinnedBlocks, s.iterationEnd = 0, time.Time{}
	s.cache = s.cache.cleared()
	return s, out
}
