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

// shard is one Claim object with its pending changes. At most one call for it is
// in flight.
type shard struct {
	index int
	jobs  *immutable.SortedMap[uint64, job]
	// nextJob and nextOp are the numbers of the next job and the next call.
	nextJob, nextOp uint64
	// valid is set if table is a valid copy of the object. copySeq is the number
	// of the call that returned it.
	valid   bool
	table   table
	copySeq uint64
	phase   phase
	op      model.Op
	// sentAt is when the last call was emitted.
	sentAt time.Time
	// pending is the content of the write in flight.
	pending  table
	failures int
	// retryAt is the earliest time of the next call after a failed one.
	retryAt time.Time
	// nextTimerAt is when the shard needs a Tick. It may be too early, because it
	// is not recomputed while a call is in flight.
	nextTimerAt time.Time
}

func newShard(index int) shard {
	return shard{index: index, jobs: immutable.NewSortedMap[uint64, job](nil), nextJob: 1, nextOp: 1}
}

// stepContext holds the inputs of one step and collects its results.
type stepContext struct {
	at time.Time
	// wall is the time of day.
	wall     time.Time
	random   uint64
	settings Settings
	out      *Out
	won      []job
	// dropped are the tickets of requests that no longer wait for a claim.
	dropped []model.Ticket
}

func (sc *stepContext) refuse(j job, d decision) {
	sc.dropped = append(sc.dropped, j.ticket)
	raiseRefused(sc.out, j.ticket, d)
}

// name returns the name of the shard's object.
func (s shard) name() string { return strconv.Itoa(s.index) }

// awaits reports whether a response belongs to the call in flight.
func (s shard) awaits(op model.Op, p phase) bool { return s.phase == p && s.op == op }

// WithJob returns the shard with an additional job.
func (s shard) WithJob(j job) shard {
	j.seq = s.nextJob
	j.firstSeq = s.opSeq()
	s.nextJob++
	s.jobs = s.jobs.Set(j.seq, j)
	s.nextTimerAt = step.Earliest(s.nextTimerAt, j.deadline)
	return s
}

// abandon cancels a claim whose request stopped waiting. If the claim was
// included in a write that may take effect, it is later marked as not run.
func (s shard) abandon(seq uint64, sc *stepContext) shard {
	j, ok := s.jobs.Get(seq)
	if !ok {
		return s
	}
	sc.dropped = append(sc.dropped, j.ticket)
	return s.withCancelled(j, sc)
}

func (s shard) withCancelled(j job, sc *stepContext) shard {
	inFlight := s.phase == writing && j.write == s.op.Seq
	if !inFlight && !j.ambiguous {
		s.jobs = s.jobs.Delete(j.seq)
		return s
	}
	j = j.WithNotRun(sc.at.Add(sc.settings.BackgroundTimeout))
	s.jobs = s.jobs.Set(j.seq, j)
	return s
}

// handleExpired handles the jobs whose deadline has passed.
func (s shard) handleExpired(sc *stepContext) shard {
	if s.nextTimerAt.IsZero() || sc.at.Before(s.nextTimerAt) {
		return s
	}
	for itr := s.jobs.Iterator(); !itr.Done(); {
		_, j, _ := itr.Next()
		if sc.at.Before(j.deadline) {
			continue
		}
		switch {
		case j.isClaim():
			sc.refuse(j, decision{reason: model.ClaimUnavailable})
			s = s.withCancelled(j, sc)
		case j.awaited:
			raiseRecorded(sc.out, j.ticket)
			j.awaited = false
			j.deadline = sc.at.Add(sc.settings.BackgroundTimeout)
			s.jobs = s.jobs.Set(j.seq, j)
		default:
			s.jobs = s.jobs.Delete(j.seq)
		}
	}
	return s
}

// withRead replaces the copy of the object.
func (s shard) withRead(copied table) shard {
	s.phase = idle
	s.failures = 0
	s.valid = true
	s.table = copied
	s.copySeq = s.op.Seq
	return s
}

// withWritten makes the content of a successful write the copy of the object.
func (s shard) withWritten(version model.Version) shard {
	return s.withRead(s.pending.WithVersion(version)).withoutPending()
}

// withLostResponse handles a write whose response was lost.
func (s shard) withLostResponse(sc *stepContext) shard {
	for itr := s.jobs.Iterator(); !itr.Done(); {
		_, j, _ := itr.Next()
		if j.write == s.op.Seq {
			j.ambiguous = true
			j.ambiguousVersion = s.table.version
			s.jobs = s.jobs.Set(j.seq, j)
		}
	}
	return s.withFailure(sc).withoutCopy()
}

// withFailure ends a failed call and delays the next one.
func (s shard) withFailure(sc *stepContext) shard {
	s.phase = idle
	s = s.withoutPending()
	backoff := min(sc.settings.MaxBackoff, sc.settings.MinBackoff<<min(s.failures, 10))
	s.failures++
	// Jitter between half of the backoff and all of it prevents nodes from
	// retrying at the same time.
	half := backoff / 2
	s.retryAt = sc.at.Add(half + time.Duration(sc.random%uint64(half+1)))
	return s
}

// withoutCopy discards the copy, so that the next call reads the object. The
// version is kept, because mayStillApply compares it with that of lost writes.
func (s shard) withoutCopy() shard {
	s.valid = false
	s.table = table{version: s.table.version}
	return s
}

func (s shard) withoutPending() shard {
	s.pending = table{}
	return s
}

// advance decides the jobs that the copy allows to decide and starts the next
// call.
func (s shard) advance(sc *stepContext) shard {
	if s.phase != idle && (s.nextTimerAt.IsZero() || sc.at.Before(s.nextTimerAt)) {
		return s
	}
	s = s.handleExpired(sc)
	if s.phase == idle && s.jobs.Len() > 0 && !sc.at.Before(s.retryAt) {
		s = s.startCall(sc)
	}
	s.nextTimerAt = s.nextTimer()
	return s
}

func (s shard) startCall(sc *stepContext) shard {
	if !s.valid {
		return s.startRead(sc)
	}
	live := s.table.WithoutOlder(sc.wall.Add(-sc.settings.Retention))
	bytes := live.bytes
	var changes []model.ClaimEntry
	needsRead := false
	// A job waits for earlier jobs of the same claim.
	blocked := map[claimID]bool{}
	seq := s.opSeq()
	for itr := s.jobs.Iterator(); !itr.Done(); {
		_, j, _ := itr.Next()
		if blocked[claimIDOf(j.entry)] {
			continue
		}
		d := j.decide(live, s.copySeq, bytes, sc.settings)
		switch d.action {
		case actWrite:
			j = d.job
			j.write = seq
			entry := j.entry
			entry.WrittenAt = sc.wall.UTC()
			changes = append(changes, entry)
			bytes += sizeOf(entry)
			blocked[claimIDOf(entry)] = true
			s.jobs = s.jobs.Set(j.seq, j)
		case actRead:
			needsRead = true
			blocked[claimIDOf(j.entry)] = true
		default:
			s = s.applyDecision(j, d, sc)
		}
	}
	switch {
	case len(changes) > 0:
		return s.startWrite(live.WithChanges(changes), sc)
	case needsRead:
		return s.startRead(sc)
	default:
		return s
	}
}

func (s shard) applyDecision(j job, d decision, sc *stepContext) shard {
	s.jobs = s.jobs.Delete(j.seq)
	switch d.action {
	case actWin:
		sc.won = append(sc.won, j)
		raiseWon(sc.out, j.ticket)
	case actDone:
		if j.awaited {
			raiseRecorded(sc.out, j.ticket)
		}
	default:
		sc.refuse(j, d)
	}
	return s
}

func (s shard) startRead(sc *stepContext) shard {
	s = s.withOp(reading, sc)
	sc.out.Emit(effect.ReadObject{Op: s.op, Kind: model.KindClaim, Name: s.name()})
	return s
}

func (s shard) startWrite(pending table, sc *stepContext) shard {
	s = s.withOp(writing, sc)
	s.pending = pending
	sc.out.Emit(effect.WriteObject{
		Op:        s.op,
		Kind:      model.KindClaim,
		Name:      s.name(),
		IfVersion: s.table.version,
		Value:     model.Claim{Entries: pending.entries},
		Nonce:     strconv.FormatUint(s.op.Seq, 16),
	})
	return s
}

// opSeq returns the number of the next call. Modulo shardCount it is the index of
// the shard, by which the shard of a response is found.
func (s shard) opSeq() uint64 { return s.nextOp*shardCount + uint64(s.index) }

func (s shard) withOp(p phase, sc *stepContext) shard {
	s.op = model.Op{Part: model.PartClaim, Seq: s.opSeq()}
	s.nextOp++
	s.phase = p
	s.sentAt = sc.at
	return s
}

// nextTimer returns when the shard needs a Tick.
func (s shard) nextTimer() time.Time {
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

// timer is the time at which a shard needs a Tick. Timers are ordered by time.
type timer struct {
	at    time.Time
	shard int
}

type timerComparer struct{}

func (timerComparer) Compare(a, b timer) int {
	return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.shard, b.shard))
}
