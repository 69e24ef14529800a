// Package engine is a stand-in for a model engine: continuous batching with
// costs for prefill and decode, a prefix cache in limited memory, priorities,
// resume, orders, and late and incomplete reports of its own state. The
// decisions are a step.Machine; the HTTP side only encodes.
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

// PieceTokens is the unit of engine memory.
const PieceTokens = 2_000

// catchUp bounds the time that the engine makes up for after it was not
// driven, so that a paused engine does not deliver its backlog at once.
const catchUp = 50 * time.Millisecond

// offRole is the factor by which work outside of the role costs more.
const offRole = 4

// The bounds of what is kept for reading.
const (
	maxOrders      = 1_000
	maxCacheEvents = 10_000
)

// Settings of an engine. Costs of zero make it as fast as the HTTP side.
type Settings struct {
	// Slots is the number of requests in one batch.
	Slots int
	// MaxQueued is the number of requests that wait beside a full batch.
	MaxQueued int
	// MemoryPieces bounds running requests and the prefix cache together.
	MemoryPieces int
	// MaxHeld is the number of ended requests that can still be resumed.
	MaxHeld int
	// ChunkTokens bounds the prefill of one iteration.
	ChunkTokens     int
	IterationBase   time.Duration
	PrefillPerToken time.Duration
	DecodePerToken  time.Duration
	// ChecksEpoch tells whether an order with an old epoch or sequence number
	// is refused.
	ChecksEpoch bool
	// RoleChangeTerm is how long a role change takes the engine away.
	RoleChangeTerm time.Duration
	// LoadLag is the least age of the published load, and half of its greatest.
	LoadLag time.Duration
	// CacheEventLag is the delay of cache events, and every CacheEventGap-th is
	// lost; zero loses none.
	CacheEventLag time.Duration
	CacheEventGap int
	// Models are the models loaded at the start. None means that every model is
	// served.
	Models []string
}

// DefaultSettings returns an engine of 16 slots at about 50 tokens a second
// for each request.
func DefaultSettings() Settings {
	return Settings{
		Slots:           16,
		MaxQueued:       64,
		MemoryPieces:    256,
		MaxHeld:         256,
		ChunkTokens:     PieceTokens,
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

// FastSettings returns an engine without costs, for benchmarks.
func FastSettings() Settings {
	s := DefaultSettings()
	s.Slots, s.MaxQueued, s.MemoryPieces = 4096, 4096, 1<<20
	s.IterationBase, s.PrefillPerToken, s.DecodePerToken = 0, 0, 0
	return s
}

// Faults are the engine's own faults. The zero value has none.
type Faults struct {
	// CrashMarker ends the engine when a request runs whose prompt contains it.
	CrashMarker string
	// CrashTerm is how long the engine is away after a crash.
	CrashTerm time.Duration
	// CutAfter cuts each stream after so many tokens. Zero cuts none.
	CutAfter int
	// Cross puts an event of another request into each stream, and Late one of
	// an earlier attempt. An answer that is no stream has their headers.
	Cross bool
	Late  bool
	// Slow is a factor on all costs. Zero means one.
	Slow float64
}

type phase int

const (
	queued phase = iota
	running
	ended
)

// run is a request that the engine holds.
type run struct {
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
	made         int
	// from is the offset at which the attached stream starts, and sent how far
	// it was told to go.
	from   int
	sent   int
	marked bool
}

// pieces returns the memory that the request needs when it runs.
func (r run) pieces() int { return piecesOf(r.promptTokens + r.maxTokens) }

func piecesOf(tokens int) int { return (tokens + PieceTokens - 1) / PieceTokens }

// place orders the queue: higher priority first, then in order of arrival.
type place struct {
	priority int
	seq      uint64
}

type placeComparer struct{}

func (placeComparer) Compare(a, b place) int {
	return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.seq, b.seq))
}

// State is the state of an engine.
type State struct {
	settings Settings
	faults   Faults
	seq      uint64
	runs     *immutable.Map[string, run]
	queue    *immutable.SortedMap[place, string]
	batch    *immutable.SortedMap[uint64, string]
	held     *immutable.List[string]
	// pinned is the memory of the batch in pieces.
	pinned int
	cache  cache
	// due is when the current iteration ends, or zero when the engine is idle.
	due    time.Time
	orders orders
	load   published
	stats  Stats
}

// Stats counts since the start.
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
		settings: settings,
		runs:     immutable.NewMap[string, run](nil),
		queue:    immutable.NewSortedMap[place, string](placeComparer{}),
		batch:    immutable.NewSortedMap[uint64, string](nil),
		held:     immutable.NewList[string](),
		cache:    newCache(),
		orders:   newOrders(settings.Models),
	}
}

// Apply executes a call or the iterations that are due.
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
	case Gone:
		s = s.detach(e.Ticket)
	case Order:
		s, out = s.order(e, in.At, out)
	case Export:
		out = append(out, s.export(e))
	case Import:
		s, out = s.imported(e, in.At, out)
	case ReadLoad:
		out = append(out, Answer{Ticket: e.Ticket, Status: http.StatusOK, Body: s.load.shown})
	case ReadCacheEvents:
		out = append(out, Answer{Ticket: e.Ticket, Status: http.StatusOK, Body: s.cache.after(e, in.At)})
	case ReadOrders:
		out = append(out, Answer{Ticket: e.Ticket, Status: http.StatusOK, Body: s.orders.body(in.At)})
	case SetFaults:
		s.faults = e.Faults
	}
	return s.advance(in.At, out)
}

// Next returns when the current iteration ends.
func (s State) Next() time.Time { return s.due }

// Faults returns the engine's own faults in force.
func (s State) Faults() Faults { return s.faults }

// Stats returns the counters.
func (s State) Stats() Stats { return s.stats }

func refusal(ticket uint64, status int, reason, message string) Answer {
	return Answer{Ticket: ticket, Status: status, Fault: &Fault{Reason: reason, Execution: "NotRun", Message: message}}
}

func (s State) submit(e Submit, at time.Time, out []Effect) (State, []Effect) {
	s.stats.Submitted++
	r := run{
		id:           e.ID,
		ticket:       e.Ticket,
		attempt:      e.Attempt,
		priority:     e.Priority,
		seq:          s.seq + 1,
		seed:         e.Seed,
		prefixes:     e.Prefixes,
		prefill:      e.PromptTokens,
		promptTokens: e.PromptTokens,
		maxTokens:    e.MaxTokens,
		marked:       s.faults.CrashMarker != "" && strings.Contains(e.Prompt, s.faults.CrashMarker),
	}
	if fault := s.check(r, e.Model, at); fault.Ticket != 0 {
		s.stats.Refused++
		return s, append(out, fault)
	}
	s.seq++
	s = s.withoutRun(e.ID)
	s.runs = s.runs.Set(r.id, r)
	s.queue = s.queue.Set(place{r.priority, r.seq}, r.id)
	return s, out
}

// check refuses a request that the engine does not take.
func (s State) check(r run, model string, at time.Time) Answer {
	switch {
	case s.orders.changing(at):
		return refusal(r.ticket, http.StatusServiceUnavailable, "RoleChanging", "engine changes its role")
	case !s.orders.serves(model):
		return refusal(r.ticket, http.StatusNotFound, "UnknownModel", "model is not loaded")
	case r.pieces() > s.settings.MemoryPieces:
		return refusal(r.ticket, http.StatusRequestEntityTooLarge, "TooLarge", "request needs more memory than there is")
	case s.queue.Len()+s.batch.Len() >= s.settings.Slots+s.settings.MaxQueued:
		return refusal(r.ticket, http.StatusServiceUnavailable, "Full", "batch and queue are full")
	default:
		return Answer{}
	}
}

// resume attaches a stream to a request whose tokens are still held.
func (s State) resume(e Resume, out []Effect) (State, []Effect) {
	r, ok := s.runs.Get(e.ID)
	if !ok || r.seed != e.Seed || e.Offset > r.made {
		s.stats.Refused++
		return s, append(out, refusal(e.Ticket, http.StatusConflict, "NotHeld", "tokens of the request are not held"))
	}
	if r.ticket != 0 {
		out = append(out, Tokens{Ticket: r.ticket, From: r.from, Upto: r.sent, Seed: r.seed, Cut: true})
	}
	s.stats.Resumed++
	r.ticket, r.attempt, r.from, r.sent = e.Ticket, e.Attempt, e.Offset, e.Offset
	s.runs = s.runs.Set(r.id, r)
	if r.made > e.Offset || r.phase == ended {
		return s.told(r, out)
	}
	return s, out
}

// told tells the attached stream how far the request has come.
func (s State) told(r run, out []Effect) (State, []Effect) {
	if r.ticket == 0 {
		return s, out
	}
	t := Tokens{
		Ticket:       r.ticket,
		From:         r.from,
		Upto:         r.made,
		Seed:         r.seed,
		Done:         r.phase == ended,
		PromptTokens: r.promptTokens,
		CachedTokens: r.cachedTokens,
	}
	if r.sent == r.from {
		t.Foreign = s.foreign(r)
	}
	if cut := s.faults.CutAfter; cut > 0 && r.made-r.from >= cut {
		t.Upto, t.Cut, t.Done = r.from+cut, true, false
	}
	r.sent = t.Upto
	if t.Last() {
		r.ticket = 0
	}
	s.runs = s.runs.Set(r.id, r)
	return s, append(out, t)
}

// foreign returns the start of the event identifier, without the offset, that
// a fault puts into the stream of a request.
func (s State) foreign(r run) string {
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
	r, ok := s.runs.Get(e.ID)
	if !ok {
		return s, append(out, refusal(e.Ticket, http.StatusNotFound, "NotHeld", "request is not held"))
	}
	if r.ticket != 0 {
		out = append(out, Tokens{Ticket: r.ticket, From: r.from, Upto: r.sent, Seed: r.seed, Cut: true})
	}
	s.stats.Cancelled++
	s = s.withoutRun(e.ID)
	return s, append(out, Answer{Ticket: e.Ticket, Status: http.StatusOK, Body: CancelBody{Tokens: r.made}})
}

// CancelBody is the answer to a cancellation.
type CancelBody struct {
	// Tokens is the number of tokens that were generated.
	Tokens int
}

func (s State) detach(ticket uint64) State {
	for itr := s.runs.Iterator(); !itr.Done(); {
		id, r, _ := itr.Next()
		if r.ticket == ticket {
			r.ticket = 0
			s.runs = s.runs.Set(id, r)
			return s
		}
	}
	return s
}

// withoutRun forgets a request.
func (s State) withoutRun(id string) State {
	r, ok := s.runs.Get(id)
	if !ok {
		return s
	}
	s.queue = s.queue.Delete(place{r.priority, r.seq})
	if r.phase == running {
		s.batch = s.batch.Delete(r.seq)
		s.pinned -= r.pieces()
	}
	s.runs = s.runs.Delete(id)
	return s
}

// emptied ends all requests abruptly and forgets the cache.
func (s State) emptied(out []Effect) (State, []Effect) {
	var cut []run
	for itr := s.runs.Iterator(); !itr.Done(); {
		if _, r, _ := itr.Next(); r.ticket != 0 {
			cut = append(cut, r)
		}
	}
	slices.SortFunc(cut, func(a, b run) int { return cmp.Compare(a.seq, b.seq) })
	for _, r := range cut {
		out = append(out, Tokens{Ticket: r.ticket, From: r.from, Upto: r.sent, Seed: r.seed, Cut: true})
	}
	fresh := NewState(s.settings)
	s.runs, s.queue, s.batch, s.held = fresh.runs, fresh.queue, fresh.batch, fresh.held
	s.pinned, s.due = 0, time.Time{}
	s.cache = s.cache.emptied()
	return s, out
}
