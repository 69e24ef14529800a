// Package claim is the decision part for requests that may not be repeated. A
// request runs only after its claim is in the platform's store, and the end of
// the request is recorded there for repeats.
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

// maxKeyLength bounds an idempotency key in bytes.
const maxKeyLength = 256

// maxContentType bounds a recorded content type in bytes.
const maxContentType = 128

// Out is what this part produces in a step.
type Out = step.Out[event.Event, effect.Effect]

// holding is what a request has: a claim that it waits for, or one that it won.
type holding struct {
	shard int
	// job is zero once the claim is won.
	job   uint64
	entry model.ClaimEntry
}

// State holds the claims in progress and copies of recently used shards.
type State struct {
	settings    Settings
	incarnation model.Incarnation
	shards      *immutable.Map[int, shard]
	holdings    *immutable.Map[model.Ticket, holding]
	timers      *immutable.SortedMap[timer, struct{}]
	// waiting counts the requests that wait for a claim.
	waiting int
	// jobs and cached sum the jobs and the bytes of copies over all shards.
	jobs, cached int
}

// New returns a state without claims. The incarnation tells this process from
// all others.
func New(settings Settings, incarnation model.Incarnation) State {
	return State{
		settings:    settings,
		incarnation: incarnation,
		shards:      immutable.NewMap[int, shard](nil),
		holdings:    immutable.NewMap[model.Ticket, holding](ticketHasher{}),
		timers:      immutable.NewSortedMap[timer, struct{}](timerOrder{}),
	}
}

// Apply takes claims asked for and ended, and the answers of the store.
func (s State) Apply(in step.Input[event.Event]) (State, Out) {
	var out Out
	t := &turn{at: in.At, draw: in.Draw, settings: s.settings, out: &out}
	switch e := in.Event.(type) {
	case event.ClaimAsked:
		s = s.asked(e, t)
	case event.ClaimEnded:
		s = s.ended(e, t)
	case event.ObjectAmbiguous:
		s = s.answered(e.Op, writing, t, func(sh shard) shard { return sh.withLost(t) })
	case event.ObjectConflict:
		s = s.answered(e.Op, writing, t, func(sh shard) shard {
			sh.phase = idle
			return sh.withoutDraft().withoutCopy()
		})
	case event.ObjectRead:
		s = s.answered(e.Op, reading, t, func(sh shard) shard { return read(sh, e, t) })
	case event.ObjectReadFailed:
		s = s.answered(e.Op, reading, t, func(sh shard) shard { return sh.withFailure(t) })
	case event.ObjectUnsent:
		s = s.answered(e.Op, writing, t, func(sh shard) shard { return sh.withFailure(t) })
	case event.ObjectWritten:
		s = s.answered(e.Op, writing, t, func(sh shard) shard { return sh.withWritten(e.Version) })
	case event.Tick:
		s = s.ticked(t)
	}
	return s, out
}

// Next returns when the part needs a timer event.
func (s State) Next() time.Time {
	itr := s.timers.Iterator()
	if itr.Done() {
		return time.Time{}
	}
	first, _, _ := itr.Next()
	return first.at
}

// Pending returns the number of changes that are not yet in the store.
func (s State) Pending() int { return s.jobs }

func (s State) asked(e event.ClaimAsked, t *turn) State {
	switch {
	case len(e.IdempotencyKey) > maxKeyLength:
		raiseRefused(t.out, e.Ticket, verdict{reason: model.MalformedRequest})
		return s
	case s.waiting >= s.settings.MaxWaiting:
		raiseRefused(t.out, e.Ticket, verdict{reason: model.ClaimUnavailable})
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
	s.holdings = s.holdings.Set(e.Ticket, holding{shard: sh.index, job: sh.nextJob, entry: entry})
	s.waiting++
	return s.advance(sh.WithJob(job{
		ticket:   e.Ticket,
		entry:    entry,
		deadline: t.at.Add(s.settings.ClaimTerm),
		awaited:  true,
	}), t)
}

func (s State) ended(e event.ClaimEnded, t *turn) State {
	held, ok := s.holdings.Get(e.Ticket)
	if !ok {
		return s
	}
	sh := s.shard(held.shard)
	if held.job != 0 {
		return s.advance(sh.withAbandoned(held.job, t), t)
	}
	s.holdings = s.holdings.Delete(e.Ticket)
	if s.jobs >= s.settings.MaxBacklog+s.settings.MaxWaiting {
		raiseRecorded(t.out, e.Ticket)
		return s
	}
	return s.advance(sh.WithJob(job{
		ticket:   e.Ticket,
		entry:    endOf(held.entry, e, s.settings),
		deadline: t.at.Add(s.settings.RecordTerm),
		awaited:  true,
	}), t)
}

// endOf returns the entry of a claim whose request has ended.
func endOf(entry model.ClaimEntry, e event.ClaimEnded, settings Settings) model.ClaimEntry {
	switch {
	case e.NotRun:
		entry.State = model.ClaimNotRun
	case !e.Known:
		entry.State = model.ClaimUnknown
	default:
		entry.State = model.ClaimAnswered
		entry.Answer = e.Answer
		entry.Answer.Length = max(e.Answer.Length, len(e.Answer.Body))
		if len(e.Answer.Body) > settings.MaxBody {
			entry.Answer.Body = nil
			entry.Answer.Truncated = true
		}
		if len(e.Answer.ContentType) > maxContentType {
			entry.Answer.ContentType = ""
		}
	}
	return entry
}

// answered takes the answer to a shard's call. Answers to other calls than the
// one in flight are late and have no effect.
func (s State) answered(op model.Op, p phase, t *turn, take func(shard) shard) State {
	if op.Part != model.PartClaim {
		return s
	}
	sh, ok := s.shards.Get(int(op.Seq % shardCount))
	if !ok || !sh.awaits(op, p) {
		return s
	}
	// Deadlines that have passed come first: a claim that is refused in this
	// step must not be won by the same answer.
	return s.advance(take(sh.withExpired(t)), t)
}

// read takes a copy of the object, unless it cannot be decoded or is older than
// the one seen before.
func read(sh shard, e event.ObjectRead, t *turn) shard {
	if !e.Found {
		return sh.withRead(newTable(0, nil))
	}
	value, ok := e.Object.Value.(model.Claim)
	if !ok || e.Object.Version < sh.table.version {
		return sh.withFailure(t)
	}
	return sh.withRead(newTable(e.Object.Version, value.Entries))
}

func (s State) ticked(t *turn) State {
	for {
		itr := s.timers.Iterator()
		if itr.Done() {
			return s
		}
		first, _, _ := itr.Next()
		if t.at.Before(first.at) {
			return s
		}
		s = s.advance(s.shard(first.shard), t)
	}
}

func (s State) shard(index int) shard {
	if sh, ok := s.shards.Get(index); ok {
		return sh
	}
	return newShard(index)
}

// advance moves a shard on and takes it into the state.
func (s State) advance(sh shard, t *turn) State {
	old := s.shard(sh.index)
	sh = sh.advance(t)
	s = s.withResults(t)
	if !old.wakeAt.Equal(sh.wakeAt) {
		s.timers = s.timers.Delete(timer{old.wakeAt, sh.index})
		if !sh.wakeAt.IsZero() {
			s.timers = s.timers.Set(timer{sh.wakeAt, sh.index}, struct{}{})
		}
	}
	return s.withShard(old, sh).withinCache()
}

// withResults takes what the turn decided about requests.
func (s State) withResults(t *turn) State {
	for _, j := range t.won {
		held, _ := s.holdings.Get(j.ticket)
		held.job = 0
		s.holdings = s.holdings.Set(j.ticket, held)
	}
	for _, ticket := range t.left {
		s.holdings = s.holdings.Delete(ticket)
	}
	s.waiting -= len(t.won) + len(t.left)
	t.won, t.left = nil, nil
	return s
}

func (s State) withShard(old, sh shard) State {
	s.jobs += sh.jobs.Len() - old.jobs.Len()
	s.cached += sh.table.bytes - old.table.bytes
	s.shards = s.shards.Set(sh.index, sh)
	return s
}

// withinCache drops the copies of the shards that were unused for longest
// until the rest fits. Shards with jobs keep theirs.
func (s State) withinCache() State {
	for s.cached > s.settings.CacheBytes {
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

// shardOf returns the shard of a claim. The account comes with its length, so
// that no two claims have the same text.
func shardOf(account model.AccountName, key string) int {
	text := fmt.Sprintf("%d:%s%s", len(account), account, key)
	return int(xxhash.Sum64String(text) % shardCount)
}

func raiseRecorded(out *Out, ticket model.Ticket) { out.Raise(event.ClaimRecorded{Ticket: ticket}) }

func raiseRefused(out *Out, ticket model.Ticket, v verdict) {
	out.Raise(event.ClaimRefused{Ticket: ticket, Reason: v.reason, Replay: v.action == actReplay, Answer: v.answer})
}

func raiseWon(out *Out, ticket model.Ticket) { out.Raise(event.ClaimWon{Ticket: ticket}) }

type ticketHasher struct{}

func (ticketHasher) Equal(a, b model.Ticket) bool { return a == b }

func (ticketHasher) Hash(ticket model.Ticket) uint32 {
	return uint32(uint64(ticket) * 0x9e3779b97f4a7c15 >> 32)
}
