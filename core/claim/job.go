package claim

import (
	"time"

	"caroblane/core/model"
)

// job is a change that a shard's object needs.
type job struct {
	seq    uint64
	ticket model.Ticket
	// entry is the wanted entry. In the state ClaimOpen the job is a claim,
	// otherwise the end of one.
	entry model.ClaimEntry
	// after is the number of the first call made after the job was asked for.
	// A copy that an earlier call brought may be out of date.
	after uint64
	// deadline is when the job is given up, or, for an end that the caller's
	// response waits for, when the response stops waiting.
	deadline time.Time
	// awaited tells that a request waits for the result.
	awaited bool
	// write is the last write that included the job.
	write uint64
	// maybe tells that a write with the condition maybeAt, whose answer was
	// lost, included the job.
	maybe   bool
	maybeAt model.Version
}

func (j job) claims() bool { return j.entry.State == model.ClaimOpen }

// unsettled tells whether a lost write may still take effect. Once the object
// has another version, the condition of that write can no longer be met.
func (j job) unsettled(t table) bool { return j.maybe && j.maybeAt == t.version }

// WithNotRun returns the job that marks a claim, which nobody waits for any
// more, as not run.
func (j job) WithNotRun(deadline time.Time) job {
	j.entry.State = model.ClaimNotRun
	j.deadline = deadline
	j.awaited = false
	return j
}

// WithoutAnswerBody returns the job with an answer reduced to status and
// length.
func (j job) WithoutAnswerBody() job {
	j.entry.Answer.Body = nil
	j.entry.Answer.Truncated = true
	return j
}

// action is what a job needs next.
type action int

const (
	actWrite action = iota
	// actRead asks for a newer copy of the object than the one held.
	actRead
	actWin
	actRefuse
	actReplay
	// actDone ends a job that needs no write any more.
	actDone
)

// verdict is an action with its detail.
type verdict struct {
	action action
	reason model.Reason
	answer model.Answer
	job    job
}

// judge decides what a job needs, given the object as the call
// with the number observed brought it. The size of the next object without this
// job is given in bytes.
func (j job) judge(t table, observed uint64, bytes int, settings Settings) verdict {
	held, found := t.find(idOf(j.entry))
	mine := found && held.Nonce == j.entry.Nonce
	if j.claims() {
		return j.judgeClaim(t, held, found, mine, observed, bytes, settings)
	}
	return j.judgeEnd(t, held, found, mine, bytes, settings)
}

func (j job) judgeClaim(
	t table, held model.ClaimEntry, found, mine bool, observed uint64, bytes int, settings Settings,
) verdict {
	fresh := observed >= j.after
	switch {
	case mine:
		return verdict{action: actWin}
	case !found && bytes+sizeOf(j.entry) > settings.ClaimBytes && !j.unsettled(t):
		return j.refuseIf(fresh, model.ClaimTableFull)
	case !found, held.State == model.ClaimNotRun:
		return verdict{action: actWrite, job: j}
	case held.State == model.ClaimAnswered && held.BodyHash == j.entry.BodyHash:
		return verdict{action: actReplay, answer: held.Answer}
	case held.State == model.ClaimAnswered:
		return verdict{action: actRefuse, reason: model.IdempotencyMismatch}
	default:
		return j.refuseIf(fresh, model.EarlierOutcomeUnknown)
	}
}

// refuseIf refuses on a copy that was taken after the claim was asked for, and
// asks for such a copy otherwise.
func (j job) refuseIf(fresh bool, reason model.Reason) verdict {
	if !fresh {
		return verdict{action: actRead}
	}
	return verdict{action: actRefuse, reason: reason}
}

func (j job) judgeEnd(t table, held model.ClaimEntry, found, mine bool, bytes int, settings Settings) verdict {
	if j.entry.State == model.ClaimAnswered && len(j.entry.Answer.Body) > 0 &&
		bytes+sizeOf(j.entry) > settings.BodyBytes {
		j = j.WithoutAnswerBody()
	}
	notRun := j.entry.State == model.ClaimNotRun
	switch {
	case mine && held.State == j.entry.State:
		return verdict{action: actDone}
	case mine, !found && !notRun:
		return verdict{action: actWrite, job: j}
	case notRun && j.unsettled(t) && (!found || held.State == model.ClaimNotRun):
		// The lost write of the claim may still take effect. Writing the mark
		// at the same version prevents that.
		return verdict{action: actWrite, job: j}
	default:
		return verdict{action: actDone}
	}
}
