// Package claim is the component that ensures that requests with an idempotency
// key run at most once. A request runs only after its claim has been written to
// the platform's store. Its outcome is recorded there as well, and returned for
// repeated requests.
package claim

import (
	"fmt"
	"time"

	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
)

// maxKeyLength is the maximum length of an idempotency key in bytes.
const maxKeyLength = 256

// maxContentType is the maximum length of a recorded content type in bytes.
const maxContentType = 128

// Out holds the effects and events that one Apply call produces.
type Out = step.Out[event.Event, effect.Effect]

// requestClaim is the claim that a request waits for or has won.
type requestClaim struct {
	shard int
	// job is the number of the pending job, or zero once the claim is won.
	job   uint64
	entry model.ClaimEntry
}

// State holds the claims in progress and cached copies of recently used shards.
type State struct {
	settings    Settings
	incarnation model.Incarnation
	shards      *immutable.Map[int, shard]
	requests    *immutable.Map[model.Ticket, requestClaim]
	timers      *immutable.SortedMap[timer, struct{}]
	// waiting is the number of requests that wait for a claim.
	waiting int
	// jobs is the number of jobs, and cachedBytes the size of the cached copies,
	// over all shards.
	jobs, cachedBytes int
}

// New returns a state without claims. The incarnation must differ from that of
// every other process, because it is part of the nonces.
func New(settings Settings, incarnation model.Incarnation) State {
	return State{
		settings:    settings,
		incarnation: incarnation,
		shards:      immutable.NewMap[int, shard](nil),
		requests:    immutable.NewMap[model.Ticket, requestClaim](ticketHasher{}),
		timers:      immutable.NewSortedMap[timer, struct{}](timerComparer{}),
	}
}

// Apply processes new and completed claims and the responses of the store.
func (s State) Apply(in step.Input[event.Event]) (State, Out) {
	var out Out
	sc := &stepContext{at: in.At, wall: in.TimeOfDay(), random: in.Random, settings: s.settings, out: &out}
	switch e := in.Event.(type) {
	case event.ClaimAsked:
		s = s.handleClaimAsked(e, sc)
	case event.ClaimEnded:
		s = s.handleClaimEnded(e, sc)
	case event.ObjectAmbiguous:
		s = s.handleResponse(e.Op, writing, sc, func(sh shard) shard { return sh.withLostResponse(sc) })
	case event.ObjectConflict:
		s = s.handleResponse(e.Op, writing, sc, func(sh shard) shard {
			sh.phase = idle
			return sh.withoutPending().withoutCopy()
		})
	case event.ObjectRead:
		s = s.handleResponse(e.Op, reading, sc, func(sh shard) shard { return handleObjectRead(sh, e, sc) })
	case event.ObjectReadFailed:
		s = s.handleResponse(e.Op, reading, sc, func(sh shard) shard { return sh.withFailure(sc) })
	case event.ObjectUnsent:
		s = s.handleResponse(e.Op, writing, sc, func(sh shard) shard { return sh.withFailure(sc) })
	case event.ObjectWritten:
		s = s.handleResponse(e.Op, writing, sc, func(sh shard) shard { return sh.withWritten(e.Version) })
	case event.Tick:
		s = s.handleTick(sc)
	}
	return s, out
}

// Next returns when the component needs a Tick, or the zero time if it needs
// none.
func (s State) Next() time.Time {
	itr := s.timers.Iterator()
	if itr.Done() {
		return time.Time{}
	}
	first, _, _ := itr.Next()
	return first.at
}

// Pending returns the number of changes that are not stored yet.
func (s State) Pending() int { return s.jobs }

func (s State) handleClaimAsked(e event.ClaimAsked, sc *stepContext) State {
	switch {
	case len(e.IdempotencyKey) > maxKeyLength:
		raiseRefused(sc.out, e.Ticket, decision{reason: model.MalformedRequest})
		return s
	case s.waiting >= s.settings.MaxPendingClaims:
		raiseRefused(sc.out, e.Ticket, decision{reason: model.ClaimUnavailable})
		return s
	}
	entry := model.ClaimEntry{
		Account:  e.Account,
		Key:      e.IdempotencyKey,
		BodyHash: e.BodyHash,
		Nonce:    fmt.Sprintf("%x.%x.%s", uint64(s.incarnation), uint64(e.Ticket), e.RequestID),
		State:    model.ClaimOpen,
	}
	sh := s.shard(shardOf(e.Account, e.IdempotencyKey))
	s.requests = s.requests.Set(e.Ticket, requestClaim{shard: sh.index, job: sh.nextJob, entry: entry})
	s.waiting++
	return s.advance(sh.WithJob(job{
		ticket:   e.Ticket,
		entry:    entry,
		deadline: sc.at.Add(s.settings.ClaimTimeout),
		awaited:  true,
	}), sc)
}

func (s State) handleClaimEnded(e event.ClaimEnded, sc *stepContext) State {
	request, ok := s.requests.Get(e.Ticket)
	if !ok {
		return s
	}
	sh := s.shard(request.shard)
	if request.job != 0 {
		return s.advance(sh.abandon(request.job, sc), sc)
	}
	s.requests = s.requests.Delete(e.Ticket)
	if s.jobs >= s.settings.MaxPendingOutcomes+s.settings.MaxPendingClaims {
		raiseRecorded(sc.out, e.Ticket)
		return s
	}
	return s.advance(sh.WithJob(job{
		ticket:   e.Ticket,
		entry:    finalEntry(request.entry, e, s.settings),
		deadline: sc.at.Add(s.settings.RecordTimeout),
		awaited:  true,
	}), sc)
}

// finalEntry returns the entry to record for a claim whose request has ended.
func finalEntry(entry model.ClaimEntry, e event.ClaimEnded, settings Settings) model.ClaimEntry {
	switch {
	case e.NotRun:
		entry.State = model.ClaimNotRun
	case !e.Known:
		entry.State = model.ClaimUnknown
	default:
		entry.State = model.ClaimAnswered
		entry.Answer = e.Response
		entry.Answer.Length = max(e.Response.Length, len(e.Response.Body))
		if len(e.Response.Body) > settings.MaxBody {
			entry.Answer.Body = nil
			entry.Answer.Truncated = true
		}
		if len(e.Response.ContentType) > maxContentType {
			entry.Answer.ContentType = ""
		}
	}
	return entry
}

// handleResponse processes the response to a shard's call. Responses to calls
// other than the one in flight are late and are ignored.
func (s State) handleResponse(op model.Op, p phase, sc *stepContext, apply func(shard) shard) State {
	if op.Part != model.PartClaim {
		return s
	}
	sh, ok := s.shards.Get(int(op.Seq % shardCount))
	if !ok || !sh.awaits(op, p) {
		return s
	}
	// Process expired deadlines first: a claim that is refused in this step must
	// not be won by the same response.
	return s.advance(apply(sh.handleExpired(sc)), sc)
}

// handleObjectRead adopts the object that was read, unless it cannot be decoded
// or is older than the copy.
func handleObjectRead(sh shard, e event.ObjectRead, sc *stepContext) shard {
	if !e.Found {
		return sh.withRead(newTable(0, nil))
	}
	value, ok := e.Object.Value.(model.Claim)
	if !ok || e.Object.Version < sh.table.version {
		return sh.withFailure(sc)
	}
	return sh.withRead(newTable(e.Object.Version, value.Entries))
}

func (s State) handleTick(sc *stepContext) State {
	for {
		itr := s.timers.Iterator()
		if itr.Done() {
			return s
		}
		first, _, _ := itr.Next()
		if sc.at.Before(first.at) {
			return s
		}
		s = s.advance(s.shard(first.shard), sc)
	}
}

func (s State) shard(index int) shard {
	if sh, ok := s.shards.Get(index); ok {
		return sh
	}
	return newShard(index)
}

// advance runs the next steps of a shard and stores it in the state.
func (s State) advance(sh shard, sc *stepContext) State {
	old := s.shard(sh.index)
	sh = sh.advance(sc)
	s = s.applyResults(sc)
	if !old.nextTimerAt.Equal(sh.nextTimerAt) {
		s.timers = s.timers.Delete(timer{old.nextTimerAt, sh.index})
		if !sh.nextTimerAt.IsZero() {
			s.timers = s.timers.Set(timer{sh.nextTimerAt, sh.index}, struct{}{})
		}
	}
	return s.withShard(old, sh).withCacheLimit()
}

// applyResults applies the decisions about requests that were made in this step.
func (s State) applyResults(sc *stepContext) State {
	for _, j := range sc.won {
		request, _ := s.requests.Get(j.ticket)
		request.job = 0
		s.requests = s.requests.Set(j.ticket, request)
	}
	for _, ticket := range sc.dropped {
		s.requests = s.requests.Delete(ticket)
	}
	s.waiting -= len(sc.won) + len(sc.dropped)
	sc.won, sc.dropped = nil, nil
	return s
}

func (s State) withShard(old, sh shard) State {
	s.jobs += sh.jobs.Len() - old.jobs.Len()
	s.cachedBytes += sh.table.bytes - old.table.bytes
	s.shards = s.shards.Set(sh.index, sh)
	return s
}

// withCacheLimit evicts the copies of the least recently used shards until the
// cache size is within the limit. Shards with jobs or a call in flight are kept.
func (s State) withCacheLimit() State {
	for s.cachedBytes > s.settings.CacheSizeLimit {
		var oldest shard
		found := false
		for itr := s.shards.Iterator(); !itr.Done(); {
			_, sh, _ := itr.Next()
			if sh.jobs.Len() > 0 || sh.phase != idle || sh.table.bytes == 0 {
				continue
			}
			if !found || sh.sentAt.Before(oldest.sentAt) {
				oldest, found = sh, true
			}
		}
		if !found {
			return s
		}
		s = s.withShard(oldest, oldest.withoutCopy())
	}
	return s
}

// shardOf returns the index of the shard of a claim. The hashed text contains the
// length of the account, so that no two claims have the same text.
func shardOf(account model.AccountName, key string) int {
	text := fmt.Sprintf("%d:%s%s", len(account), account, key)
	return int(xxhash.Sum64String(text) % shardCount)
}

func raiseRecorded(out *Out, ticket model.Ticket) { out.Raise(event.ClaimRecorded{Ticket: ticket}) }

func raiseRefused(out *Out, ticket model.Ticket, d decision) {
	out.Raise(event.ClaimRefused{Ticket: ticket, Reason: d.reason, Replay: d.action == actReplay, Response: d.answer})
}

func raiseWon(out *Out, ticket model.Ticket) { out.Raise(event.ClaimWon{Ticket: ticket}) }

type ticketHasher struct{}

func (ticketHasher) Equal(a, b model.Ticket) bool { return a == b }

func (ticketHasher) Hash(ticket model.Ticket) uint32 {
	return uint32(uint64(ticket) * 0x9e3779b97f4a7c15 >> 32)
}
