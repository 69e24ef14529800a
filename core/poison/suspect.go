package poison

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"

	"caroblane/core/model"
	"caroblane/core/step"
)

// trialWaits are the times between the moment when a part was held, or its last trial,
// and the next trial, by the number of trials since it was held. The third wait is long
// because each failed trial costs an engine.
var trialWaits = [...]time.Duration{time.Second, 10 * time.Second, 5 * time.Minute, 10 * time.Minute}

const (
	// maxTrialDelay is the largest part of a wait by which it is extended, so that several
	// nodes do not start a trial at the same time.
	maxTrialDelay = 0.5
	// soundTrialDelay limits the delay of the first trial of a part that was answered
	// soundly before it was held. Such a part may have run beside the cause of the
	// crashes, and many requests may share it.
	soundTrialDelay = 500 * time.Millisecond
)

// mark is a crash during a request with a part.
type mark struct {
	crash uint64
	state model.MarkState
	// receivedAt is when this node learned of the crash. It counts from countsAt on.
	receivedAt, countsAt time.Time
}

// suspect is a part during whose requests upstreams crashed.
type suspect struct {
	part uint64
	// marks are sorted by their crashes and never modified.
	marks []mark
	// open is the number of marks that are not cleared.
	open   int
	held   bool
	heldAt time.Time
	// soundBefore is set if the part was answered soundly shortly before it was held.
	soundBefore bool
	// trials is the number of trials that any node made, and trialsBefore how many of
	// them do not count for the next wait: those made before the part was last cleared,
	// and those without a result.
	trials, trialsBefore int
	// voidTrials is the number of trials without a result since the part was last cleared:
	// the highest that any node knows, so that those of several nodes at once count as one.
	voidTrials int
	// waitsFrom is when the wait for the next trial began.
	waitsFrom time.Time
	// nextCountsAt is when the next mark begins to count, or zero.
	nextCountsAt time.Time
	expiresAt    time.Time
	// changedAt is when marks or trials were last added.
	changedAt time.Time
}

// evaluated returns the suspect with what follows from its marks at a time.
func (e suspect) evaluated(at time.Time) suspect {
	counting := 0
	e.open, e.nextCountsAt = 0, time.Time{}
	for _, m := range e.marks {
		switch {
		case m.state == model.MarkCleared:
			continue
		case at.Before(m.countsAt):
			e.nextCountsAt = step.Earliest(e.nextCountsAt, m.countsAt)
		default:
			counting++
		}
		e.open++
	}
	held := counting >= holdMarks
	if held && !e.held {
		e.heldAt, e.waitsFrom = at, at
	}
	if e.open == 0 {
		e.trialsBefore, e.voidTrials = e.trials, 0
	}
	e.held = held
	return e
}

// beliefs returns what changed since an earlier state of the part.
func (e suspect) beliefs(old suspect) []model.PartBelief {
	var list []model.PartBelief
	add := func(belief model.Belief) {
		list = append(list, model.PartBelief{Belief: belief, Part: e.part, Crashes: e.open})
	}
	if old.open == 0 && e.open > 0 {
		add(model.PartSuspected)
	}
	if e.trials > old.trials {
		add(model.PartTried)
	}
	switch {
	case e.held && !old.held:
		add(model.PartHeld)
	case old.held && !e.held, old.open > 0 && e.open == 0:
		add(model.PartCleared)
	}
	return list
}

// trialAt returns when a node may start the next trial.
func (e suspect) trialAt(node model.NodeName) time.Time {
	trials := max(0, min(e.trials-e.trialsBefore, len(trialWaits)-1))
	wait := trialWaits[trials]
	delay := time.Duration(float64(wait) * maxTrialDelay)
	if trials == 0 && e.soundBefore {
		wait, delay = 0, soundTrialDelay
	}
	return e.waitsFrom.Add(wait + time.Duration(float64(delay)*spread(node, e.part)))
}

// spread returns a fraction that differs between nodes and parts. The lowest fractions
// of many nodes are further apart than those of a uniform distribution: the one of the
// node that tries first should be far from that of the next.
func spread(node model.NodeName, part uint64) float64 {
	const steps = 16
	digest := xxhash.New()
	_, _ = digest.WriteString(string(node))
	_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, part))
	hash := digest.Sum64()
	halvings := bits.LeadingZeros64(hash | 1)
	mantissa := float64((hash<<halvings)<<1>>11) / (1 << 53)
	return 1 - min(1, (float64(halvings)+1-mantissa)/steps)
}

// explains reports whether a crash is known to be the fault of the part, so that other
// parts of requests at the same upstream are not its cause.
func (e suspect) explains(m mark) bool {
	return e.held && m.state != model.MarkCleared && (m.state == model.MarkStrong || m.receivedAt.After(e.heldAt))
}

// find returns where the mark of a crash is or belongs.
func (e suspect) find(crash uint64) (int, bool) {
	return slices.BinarySearchFunc(e.marks, crash, func(m mark, crash uint64) int { return cmp.Compare(m.crash, crash) })
}

// withMark returns the suspect with a mark, and whether it is new. Of more than
// model.MaxPartMarks, all nodes keep the same: open ones before cleared ones.
func (e suspect) withMark(m mark) (suspect, bool) {
	at, found := e.find(m.crash)
	marks := slices.Clone(e.marks)
	if found {
		old := marks[at]
		if old.state >= m.state {
			return e, false
		}
		if old.countsAt.Before(m.countsAt) {
			m.countsAt = old.countsAt
		}
		m.receivedAt = old.receivedAt
		marks[at] = m
	} else {
		marks = slices.Insert(marks, at, m)
	}
	if len(marks) > model.MaxPartMarks {
		worst := 0
		for i, kept := range marks {
			if cmp.Or(compareCleared(kept, marks[worst]), cmp.Compare(kept.crash, marks[worst].crash)) > 0 {
				worst = i
			}
		}
		if marks[worst].crash == m.crash {
			return e, false
		}
		marks = slices.Delete(marks, worst, worst+1)
	}
	e.marks = marks
	return e, true
}

// compareCleared sorts open marks before cleared ones.
func compareCleared(a, b mark) int {
	switch {
	case a.state != model.MarkCleared && b.state == model.MarkCleared:
		return -1
	case a.state == model.MarkCleared && b.state != model.MarkCleared:
		return 1
	default:
		return 0
	}
}

type dueComparer struct{}

func (dueComparer) Compare(a, b due) int {
	return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.part, b.part))
}

// first returns the earliest time in a sorted map, or the zero time.
func first(m *immutable.SortedMap[due, struct{}]) time.Time {
	itr := m.Iterator()
	if itr.Done() {
		return time.Time{}
	}
	key, _, _ := itr.Next()
	return key.at
}
