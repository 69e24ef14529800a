// Package poison finds parts of prompts that crash the upstreams which begin to
// answer them, whatever else a request contains. Requests with such a part are held
// back, except for a trial from time to time.
package poison

import (
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/model"
	"caroblane/core/step"
)

const (
	// Retention is how long a part is suspected after the last crash. It is above the
	// longest wait for a trial, so that a held part is tried by one request and not
	// forgotten, after which several requests would run.
	Retention = 20 * time.Minute
	// StartTime is how long an answer must have been under way for the upstream to have
	// survived its start. A crash is noticed within a fraction of it.
	StartTime = 400 * time.Millisecond
	// countDelay is the time after which a crash counts against a part that was answered
	// soundly shortly before. Within it, a part that many requests share is answered
	// soundly again if it is not the cause.
	countDelay = 800 * time.Millisecond
	// holdMarks is the number of crashes from which a part is held. After one crash,
	// any part of any request at the upstream may be the cause.
	holdMarks = 2
	// maxSuspects limits the parts that are suspected. Beyond it, the one that expires
	// first is evicted, and held parts last.
	maxSuspects = 1024
	// reportTime is how long reports repeat what was learned of a part that is not held.
	// By then, all nodes in contact have it.
	reportTime = 5 * time.Second
	// maxVoidTrials limits the trials without a result that do not count. The upstream
	// of one whose caller left may have crashed without a trace.
	maxVoidTrials = 3
	// minRetryDelay is the least time after which the caller of a refused request may
	// come again.
	minRetryDelay = time.Second
)

// Verdict states whether a request may run.
type Verdict struct {
	// Part is the ID of a held part of the request, or zero if none is held.
	Part uint64
	// RetryAt is when a caller may come again at the earliest.
	RetryAt time.Time
	// TrialDue is set if one request with the held parts may be let through.
	TrialDue bool
}

// due is the key that orders parts by a time.
type due struct {
	at   time.Time
	part uint64
}

// State holds the suspected parts of prompts, and the parts that were answered
// soundly.
type State struct {
	suspects *immutable.Map[uint64, suspect]
	// held has the parts that are held. open is the number of parts with crashes that
	// count against them.
	held *immutable.SortedMap[uint64, struct{}]
	open int
	// byExpiry orders the parts by their expiry, and byCountsAt those with marks that
	// begin to count later by the first of these times.
	byExpiry   *immutable.SortedMap[due, struct{}]
	byCountsAt *immutable.SortedMap[due, struct{}]
	sound      soundParts
	// changed lists the parts that have to be reported to the peers, and beliefs the
	// changes that have to be logged for the operator.
	changed []uint64
	beliefs []model.PartBelief
}

// New returns a state without suspected parts.
func New() State {
	return State{
		suspects:   immutable.NewMap[uint64, suspect](nil),
		held:       immutable.NewSortedMap[uint64, struct{}](nil),
		byExpiry:   immutable.NewSortedMap[due, struct{}](dueComparer{}),
		byCountsAt: immutable.NewSortedMap[due, struct{}](dueComparer{}),
		sound:      newSoundParts(),
	}
}

// HasOpen reports whether any part is suspected.
func (s State) HasOpen() bool { return s.open > 0 }

// Next returns when WithTime changes the state, or the zero time if it does not.
func (s State) Next() time.Time { return step.Earliest(first(s.byExpiry), first(s.byCountsAt)) }

// Verdict returns whether a request with the given shared parts may run at a node.
func (s State) Verdict(parts []model.PromptPart, node model.NodeName, at time.Time) Verdict {
	if s.held.Len() == 0 {
		return Verdict{}
	}
	var v Verdict
	for _, part := range parts {
		e, found := s.suspects.Get(part.ID)
		if !found || !e.held || !at.Before(e.expiresAt) {
			continue
		}
		trialAt := e.trialAt(node)
		if v.Part == 0 || trialAt.After(v.RetryAt) {
			v = Verdict{Part: part.ID, RetryAt: trialAt}
		}
	}
	v.TrialDue = v.Part != 0 && !at.Before(v.RetryAt)
	if earliest := at.Add(minRetryDelay); v.RetryAt.Before(earliest) {
		v.RetryAt = earliest
	}
	return v
}

// WithTrial returns the state after a request with held parts was let through.
func (s State) WithTrial(parts []model.PromptPart, at time.Time) State {
	for _, part := range parts {
		if e, found := s.suspects.Get(part.ID); found && e.held {
			e.trials++
			e.waitsFrom, e.changedAt = at, at
			s = s.withSuspect(e, at).withChanged(part.ID)
		}
	}
	return s
}

// WithVoidTrial returns the state after a request that was let through ended without a
// result: it reached no upstream, or its caller left. The same wait follows from the
// start of the trial, and the first wait even if the part was sound before.
func (s State) WithVoidTrial(parts []model.PromptPart) State {
	for _, part := range parts {
		e, found := s.suspects.Get(part.ID)
		if !found || !e.held || e.trials <= e.trialsBefore || e.voidTrials >= maxVoidTrials {
			continue
		}
		e.trialsBefore++
		e.voidTrials++
		e.soundBefore = false
		s.suspects = s.suspects.Set(part.ID, e)
		s = s.withChanged(part.ID)
	}
	return s
}

// WithCrash returns the state after a crash of an upstream that had not got past the
// start of the answer to a request with the given shared parts. Held parts of the
// request explain the crash. Otherwise it counts against the parts that have not been
// answered soundly recently, or against all if all have.
func (s State) WithCrash(crash uint64, parts []model.PromptPart, at time.Time) State {
	s = s.WithTime(at)
	include, state := s.suspicious(parts, at)
	for _, part := range parts {
		if part.ID != 0 && include(part.ID) {
			s = s.withMarks(part.ID, []model.PartMark{{Crash: crash, State: state}}, 0, at.Add(Retention), at)
		}
	}
	return s
}

// suspicious returns which parts of a request may be the cause of a crash, and how
// much the crash says about them.
func (s State) suspicious(parts []model.PromptPart, at time.Time) (include func(uint64) bool, state model.MarkState) {
	anyHeld, anyUnknown := false, false
	for _, part := range parts {
		anyHeld = anyHeld || s.isHeld(part.ID)
		anyUnknown = anyUnknown || part.ID != 0 && !s.sound.has(part.ID, at)
	}
	switch {
	case anyHeld:
		return s.isHeld, model.MarkStrong
	case anyUnknown:
		return func(part uint64) bool { return !s.sound.has(part, at) }, model.MarkStrong
	default:
		return func(uint64) bool { return true }, model.MarkWeak
	}
}

func (s State) isHeld(part uint64) bool {
	_, found := s.held.Get(part)
	return found
}

// WithSound returns the state after an answer to a request with the given shared parts
// got past its start. Crashes that were known when its first byte arrived at begunAt
// do not count against these parts any longer.
func (s State) WithSound(parts []model.PromptPart, begunAt, at time.Time) State {
	for _, part := range parts {
		if part.ID == 0 {
			continue
		}
		s.sound = s.sound.with(part.ID, at)
		if s.open == 0 {
			continue
		}
		e, found := s.suspects.Get(part.ID)
		if !found || e.open == 0 {
			continue
		}
		var cleared []model.PartMark
		for _, m := range e.marks {
			if m.state != model.MarkCleared && !m.receivedAt.After(begunAt) {
				cleared = append(cleared, model.PartMark{Crash: m.crash, State: model.MarkCleared})
			}
		}
		s = s.withMarks(part.ID, cleared, 0, e.expiresAt, at)
	}
	return s
}

// WithTime returns the state at a later time: parts expire, and crashes begin to
// count.
func (s State) WithTime(at time.Time) State {
	for itr := s.byExpiry.Iterator(); !itr.Done(); {
		key, _, _ := itr.Next()
		if at.Before(key.at) {
			break
		}
		e, _ := s.suspects.Get(key.part)
		if e.held {
			s.beliefs = append(s.beliefs[:len(s.beliefs):len(s.beliefs)], model.PartBelief{Belief: model.PartCleared, Part: e.part})
		}
		s = s.without(e)
	}
	for itr := s.byCountsAt.Iterator(); !itr.Done(); {
		key, _, _ := itr.Next()
		if at.Before(key.at) {
			break
		}
		e, _ := s.suspects.Get(key.part)
		s = s.withSuspect(e, at)
	}
	return s
}

// withSuspect replaces a suspected part, after its marks, its trials or the time
// changed.
func (s State) withSuspect(e suspect, at time.Time) State {
	old, found := s.suspects.Get(e.part)
	if found {
		s = s.without(old)
	}
	e = e.evaluated(at)
	if e.held && !old.held {
		e.soundBefore = s.sound.has(e.part, at)
		// Another sound answer is needed before the part is trusted again.
		s.sound = s.sound.without(e.part)
	}
	for _, belief := range e.beliefs(old) {
		s.beliefs = append(s.beliefs[:len(s.beliefs):len(s.beliefs)], belief)
	}
	if s.suspects.Len() >= maxSuspects {
		s = s.withoutFirst()
	}
	s.suspects = s.suspects.Set(e.part, e)
	s.byExpiry = s.byExpiry.Set(due{e.expiresAt, e.part}, struct{}{})
	if !e.nextCountsAt.IsZero() {
		s.byCountsAt = s.byCountsAt.Set(due{e.nextCountsAt, e.part}, struct{}{})
	}
	if e.held {
		s.held = s.held.Set(e.part, struct{}{})
	}
	if e.open > 0 {
		s.open++
	}
	return s
}

func (s State) without(e suspect) State {
	s.suspects = s.suspects.Delete(e.part)
	s.byExpiry = s.byExpiry.Delete(due{e.expiresAt, e.part})
	if !e.nextCountsAt.IsZero() {
		s.byCountsAt = s.byCountsAt.Delete(due{e.nextCountsAt, e.part})
	}
	if e.held {
		s.held = s.held.Delete(e.part)
	}
	if e.open > 0 {
		s.open--
	}
	return s
}

// withoutFirst evicts the part that expires first, if possible one that is not held.
func (s State) withoutFirst() State {
	var evicted suspect
	for itr := s.byExpiry.Iterator(); !itr.Done(); {
		key, _, _ := itr.Next()
		e, _ := s.suspects.Get(key.part)
		if evicted.part == 0 || !e.held {
			evicted = e
		}
		if !e.held {
			break
		}
	}
	return s.without(evicted)
}
