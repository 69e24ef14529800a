package claim

import (
	"cmp"
	"strconv"
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/effect"
	"caroblane/core/model"
	"caroblane/core/step"
)

type phase int

const (
	idle phase = iota
	reading
	writing
)

// shard is one Claim object with the changes that it needs. At most one call
// for it is in flight.
type shard struct {
	index int
	jobs  *immutable.SortedMap[uint64, job]
	// nextJob and nextOp number jobs and calls.
	nextJob, nextOp uint64
	// known tells that table is a copy of the object, brought by the call with
	// the number observed.
	known    bool
	table    table
	observed uint64
	phase    phase
	op       model.Op
	// sentAt is when the last call was asked for.
	sentAt time.Time
	// draft is what the write in flight contains.
	draft    table
	failures int
	// retryAt is the earliest time of the next call, after failed ones.
	retryAt time.Time
	// wakeAt is when the shard needs a timer event, or earlier.
	wakeAt time.Time
}

func newShard(index int) shard {
	return shard{index: index, jobs: immutable.NewSortedMap[uint64, job](nil), nextJob: 1, nextOp: 1}
}

// turn is the context of one step and collects its results.
type turn struct {
	at       time.Time
	draw     uint64
	settings Settings
	out      *Out
	won      []job
	// left are the tickets that no longer wait.
	left []model.Ticket
}

func (t *turn) refuse(j job, v verdict) {
	t.left = append(t.left, j.ticket)
	raiseRefused(t.out, j.ticket, v)
}

// name is the name of the shard's object.
func (s shard) name() string { return strconv.Itoa(s.index) }

// awaits tells whether an answer belongs to the call in flight.
func (s shard) awaits(op model.Op, p phase) bool { return s.phase == p && s.op == op }

// WithJob returns the shard with a further job.
func (s shard) WithJob(j job) shard {
	j.seq = s.nextJob
	j.after = s.opSeq()
	s.nextJob++
	s.jobs = s.jobs.Set(j.seq, j)
	s.wakeAt = step.Earliest(s.wakeAt, j.deadline)
	return s
}

// withAbandoned gives up a claim that a request waited for. If a write that may
// take effect included it, the claim is marked as not run later.
func (s shard) withAbandoned(seq uint64, t *turn) shard {
	j, ok := s.jobs.Get(seq)
	if !ok {
		return s
	}
	t.left = append(t.left, j.ticket)
	return s.withGivenUp(j, t)
}

func (s shard) withGivenUp(j job, t *turn) shard {
	inFlight := s.phase == writing && j.write == s.op.Seq
	if !inFlight && !j.maybe {
		s.jobs = s.jobs.Delete(j.seq)
		return s
	}
	j = j.WithNotRun(t.at.Add(t.settings.SettleTerm))
	s.jobs = s.jobs.Set(j.seq, j)
	return s
}

// withExpired ends what has waited too long.
func (s shard) withExpired(t *turn) shard {
	if s.wakeAt.IsZero() || t.at.Before(s.wakeAt) {
		return s
	}
	for itr := s.jobs.Iterator(); !itr.Done(); {
		_, j, _ := itr.Next()
		if t.at.Before(j.deadline) {
			continue
		}
		switch {
		case j.claims():
			t.refuse(j, verdict{reason: model.ClaimUnavailable})
			s = s.withGivenUp(j, t)
		case j.awaited:
			raiseRecorded(t.out, j.ticket)
			j.awaited = false
			j.deadline = t.at.Add(t.settings.SettleTerm)
			s.jobs = s.jobs.Set(j.seq, j)
		default:
			s.jobs = s.jobs.Delete(j.seq)
		}
	}
	return s
}

// withRead takes a copy of the object.
func (s shard) withRead(copied table) shard {
	s.phase = idle
	s.failures = 0
	s.known = true
	s.table = copied
	s.observed = s.op.Seq
	return s
}

// withWritten takes the version of a write that took effect.
func (s shard) withWritten(version model.Version) shard {
	return s.withRead(s.draft.WithVersion(version)).withoutDraft()
}

// withLost takes the loss of a write's answer.
func (s shard) withLost(t *turn) shard {
	for itr := s.jobs.Iterator(); !itr.Done(); {
		_, j, _ := itr.Next()
		if j.write == s.op.Seq {
			j.maybe = true
			j.maybeAt = s.table.version
			s.jobs = s.jobs.Set(j.seq, j)
		}
	}
	return s.withFailure(t).withoutCopy()
}

// withFailure ends a call that brought nothing and delays the next one.
func (s shard) withFailure(t *turn) shard {
	s.phase = idle
	s = s.withoutDraft()
	pause := min(t.settings.RetryMax, t.settings.RetryMin<<min(s.failures, 10))
	s.failures++
	// Between half the pause and the whole, so that nodes do not retry together.
	half := pause / 2
	s.retryAt = t.at.Add(half + time.Duration(t.draw%uint64(half+1)))
	return s
}

// withoutCopy drops the copy, so that the next call reads the object. The
// version stays: lost writes are settled against it.
func (s shard) withoutCopy() shard {
	s.known = false
	s.table = table{version: s.table.version}
	return s
}

func (s shard) withoutDraft() shard {
	s.draft = table{}
	return s
}

// advance settles what the copy decides and starts the next call.
func (s shard) advance(t *turn) shard {
	if s.phase != idle && (s.wakeAt.IsZero() || t.at.Before(s.wakeAt)) {
		return s
	}
	s = s.withExpired(t)
	if s.phase == idle && s.jobs.Len() > 0 && !t.at.Before(s.retryAt) {
		s = s.withCall(t)
	}
	s.wakeAt = s.wake()
	return s
}

func (s shard) withCall(t *turn) shard {
	if !s.known {
		return s.withReadCall(t)
	}
	live := s.table.WithoutOlder(t.at.Add(-t.settings.Retention))
	bytes := live.bytes
	var changes []model.ClaimEntry
	needsRead := false
	// A job waits for earlier ones of the same claim.
	busy := map[id]bool{}
	seq := s.opSeq()
	for itr := s.jobs.Iterator(); !itr.Done(); {
		_, j, _ := itr.Next()
		if busy[idOf(j.entry)] {
			continue
		}
		v := j.judge(live, s.observed, bytes, t.settings)
		switch v.action {
		case actWrite:
			j = v.job
			j.write = seq
			entry := j.entry
			entry.WrittenAt = t.at.Round(0).UTC()
			changes = append(changes, entry)
			bytes += sizeOf(entry)
			busy[idOf(entry)] = true
			s.jobs = s.jobs.Set(j.seq, j)
		case actRead:
			needsRead = true
			busy[idOf(j.entry)] = true
		default:
			s = s.withSettled(j, v, t)
		}
	}
	switch {
	case len(changes) > 0:
		return s.withWriteCall(live.WithChanges(changes), t)
	case needsRead:
		return s.withReadCall(t)
	default:
		return s
	}
}

func (s shard) withSettled(j job, v verdict, t *turn) shard {
	s.jobs = s.jobs.Delete(j.seq)
	switch v.action {
	case actWin:
		t.won = append(t.won, j)
		raiseWon(t.out, j.ticket)
	case actDone:
		if j.awaited {
			raiseRecorded(t.out, j.ticket)
		}
	default:
		t.refuse(j, v)
	}
	return s
}

func (s shard) withReadCall(t *turn) shard {
	s = s.withOp(reading, t)
	t.out.Emit(effect.ReadObject{Op: s.op, Kind: model.KindClaim, Name: s.name()})
	return s
}

func (s shard) withWriteCall(draft table, t *turn) shard {
	s = s.withOp(writing, t)
	s.draft = draft
	t.out.Emit(effect.WriteObject{
		Op:        s.op,
		Kind:      model.KindClaim,
		Name:      s.name(),
		IfVersion: s.table.version,
		Value:     model.Claim{Entries: draft.entries},
		Nonce:     strconv.FormatUint(s.op.Seq, 16),
	})
	return s
}

// opSeq returns the number of the next call. Its lowest digits are the shard's
// index, by which the answer finds the shard.
func (s shard) opSeq() uint64 { return s.nextOp*shardCount + uint64(s.index) }

func (s shard) withOp(p phase, t *turn) shard {
	s.op = model.Op{Part: model.PartClaim, Seq: s.opSeq()}
	s.nextOp++
	s.phase = p
	s.sentAt = t.at
	return s
}

// wake returns when the shard needs a timer event.
func (s shard) wake() time.Time {
	var first time.Time
	for itr := s.jobs.Iterator(); !itr.Done(); {
		_, j, _ := itr.Next()
		first = step.Earliest(first, j.deadline)
	}
	if s.phase == idle && s.jobs.Len() > 0 {
		first = step.Earliest(first, s.retryAt)
	}
	return first
}

// timer orders the shards by the time at which they need a timer event.
type timer struct {
	at    time.Time
	shard int
}

type timerOrder struct{}

func (timerOrder) Compare(a, b timer) int {
	return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.shard, b.shard))
}
