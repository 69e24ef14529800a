package claim

import (
	"time"

	"caroblane/core/model"
)

// job is a pending change of a shard's object.
type job struct {
	seq    uint64
	ticket model.Ticket
	// entry is the entry to write. In the state ClaimOpen the job acquires a
	// claim, otherwise it records the outcome of one.
	entry model.ClaimEntry
	// firstSeq is the number of the first call after the job was created. A copy
	// from an earlier call may be outdated.
	firstSeq uint64
	// deadline is when the job is abandoned. For an outcome that the caller's
	// response waits for, it is when the response is sent without waiting longer.
	deadline time.Time
	// awaited is set if a request waits for the result.
	awaited bool
	// write is the number of the last write that included the job.
	write uint64
	// ambiguous is set if the job was included in a write whose response was lost.
	// The write was conditional on ambiguousVersion.
	ambiguous        bool
	ambiguousVersion model.Version
}

func (j job) isClaim() bool { return j.entry.State == model.ClaimOpen }

// mayStillApply reports whether a write whose response was lost may still take
// effect. It cannot once the object has a different version, because the write is
// conditional.
func (j job) mayStillApply(t table) bool { return j.ambiguous && j.ambiguousVersion == t.version }

// WithNotRun returns the job that marks a claim as not run, after its request has
// stopped waiting.
func (j job) WithNotRun(deadline time.Time) job {
	j.entry.State = model.ClaimNotRun
	j.deadline = deadline
	j.awaited = false
	return j
}

// WithoutAnswerBody returns the job without the body of the recorded response.
func (j job) WithoutAnswerBody() job {
	j.entry.Answer.Body = nil
	j.entry.Answer.Truncated = true
	return j
}

// action is the next operation for a job.
type action int

const (
	actWrite action = iota
	// actRead reads the object, because the copy is too old for a decision.
	actRead
	actWin
	actRefuse
	actReplay
	// actDone ends a job that needs no further write.
	actDone
)

// decision is an action with its parameters.
type decision struct {
	action action
	reason model.Reason
	answer model.Response
	job    job
}

// decide returns the next action for a job. t is the copy of the object from the
// call with the number copySeq, and bytes the size of the next object without this
// job.
func (j job) decide(t table, copySeq uint64, bytes int, settings Settings) decision {
	current, found := t.find(claimIDOf(j.entry))
	owned := found && current.Nonce == j.entry.Nonce
	if j.isClaim() {
		return j.decideClaim(t, current, found, owned, copySeq, bytes, settings)
	}
	return j.decideOutcome(t, current, found, owned, bytes, settings)
}

func (j job) decideClaim(
	t table, current model.ClaimEntry, found, owned bool, copySeq uint64, bytes int, settings Settings,
) decision {
	fresh := copySeq >= j.firstSeq
	switch {
	case owned:
		return decision{action: actWin}
	case !found && bytes+sizeOf(j.entry) > settings.ClaimSizeLimit && !j.mayStillApply(t):
		return j.refuseIfFresh(fresh, model.ClaimTableFull)
	case !found, current.State == model.ClaimNotRun:
		return decision{action: actWrite, job: j}
	case current.State == model.ClaimAnswered && current.BodyHash == j.entry.BodyHash:
		return decision{action: actReplay, answer: current.Answer}
	case current.State == model.ClaimAnswered:
		return decision{action: actRefuse, reason: model.IdempotencyMismatch}
	default:
		return j.refuseIfFresh(fresh, model.EarlierOutcomeUnknown)
	}
}

// refuseIfFresh refuses the claim if the copy was read after the job was created,
// and requests a newer copy otherwise.
func (j job) refuseIfFresh(fresh bool, reason model.Reason) decision {
	if !fresh {
		return decision{action: actRead}
	}
	return decision{action: actRefuse, reason: reason}
}

func (j job) decideOutcome(t table, current model.ClaimEntry, found, owned bool, bytes int, settings Settings) decision {
	if j.entry.State == model.ClaimAnswered && len(j.entry.Answer.Body) > 0 &&
		bytes+sizeOf(j.entry) > settings.BodySizeLimit {
		j = j.WithoutAnswerBody()
	}
	notRun := j.entry.State == model.ClaimNotRun
	switch {
	case owned && current.State == j.entry.State:
		return decision{action: actDone}
	case owned, !found && !notRun:
		return decision{action: actWrite, job: j}
	case notRun && j.mayStillApply(t) && (!found || current.State == model.ClaimNotRun):
		// The write of the claim whose response was lost may still take effect.
		// Writing ClaimNotRun with the same version condition prevents that.
		return decision{action: actWrite, job: j}
	default:
		return decision{action: actDone}
	}
}
