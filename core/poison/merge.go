package poison

import (
	"slices"
	"time"

	"caroblane/core/model"
)

// WithReport returns the state with what a peer knows. The caller decides whether
// what is new is reported to the peers. Marks form a growing set and expire by the
// remaining time that the peer states, so nothing lasts longer because it is passed
// on.
func (s State) WithReport(list []model.PartSuspicion, at time.Time, passOn bool) State {
	s = s.WithTime(at)
	changed := s.changed
	var outdated []uint64
	for _, p := range list {
		if p.Part != 0 && p.Remaining > 0 {
			if s.isOutdated(p) {
				outdated = append(outdated, p.Part)
			}
			s = s.withMarks(p.Part, p.Marks, p.Trials, at.Add(min(p.Remaining, Retention)), at).withVoidTrials(p.Part, p.Void)
		}
	}
	if !passOn {
		s.changed = changed
	}
	for _, part := range outdated {
		s = s.withChanged(part)
	}
	return s
}

// isOutdated reports whether a peer lacks the clearing of a crash. Full reports leave
// out what was cleared some time ago, so a peer that was cut off needs a report.
func (s State) isOutdated(p model.PartSuspicion) bool {
	e, _ := s.suspects.Get(p.Part)
	for _, m := range p.Marks {
		if i, found := e.find(m.Crash); found && e.marks[i].state == model.MarkCleared && m.State != model.MarkCleared {
			return true
		}
	}
	return false
}

// withMarks adds marks and trials of a part, if they are new.
func (s State) withMarks(part uint64, marks []model.PartMark, trials int, expiresAt, at time.Time) State {
	e, _ := s.suspects.Get(part)
	e.part = part
	var added []uint64
	for _, m := range marks {
		if m.State == model.MarkWeak && s.isExplained(part, m.Crash) {
			m.State = model.MarkCleared
		}
		countsAt := at
		if m.State == model.MarkWeak || s.sound.has(part, at) {
			countsAt = at.Add(countDelay)
		}
		if next, isNew := e.withMark(mark{m.Crash, m.State, at, countsAt}); isNew {
			e = next
			added = append(added, m.Crash)
		}
	}
	if len(added) == 0 && trials <= e.trials {
		return s
	}
	if trials > e.trials {
		e.trials, e.waitsFrom = trials, at
	}
	e.changedAt = at
	if expiresAt.After(e.expiresAt) {
		e.expiresAt = expiresAt
	}
	s = s.withSuspect(e, at).withChanged(part)
	return s.withExplained(part, added, at)
}

// withVoidTrials takes over the number of trials without a result from a peer.
func (s State) withVoidTrials(part uint64, void int) State {
	e, found := s.suspects.Get(part)
	void = min(void, maxVoidTrials)
	if !found || !e.held || void <= e.voidTrials {
		return s
	}
	e.trialsBefore += void - e.voidTrials
	e.voidTrials, e.soundBefore = void, false
	s.suspects = s.suspects.Set(part, e)
	return s.withChanged(part)
}

// isExplained reports whether a held part other than the given one explains a crash.
func (s State) isExplained(part, crash uint64) bool {
	for itr := s.held.Iterator(); !itr.Done(); {
		name, _, _ := itr.Next()
		e, _ := s.suspects.Get(name)
		if i, found := e.find(crash); found && name != part && e.explains(e.marks[i]) {
			return true
		}
	}
	return false
}

// withExplained clears the weak marks of other parts for the crashes that a part
// explains: those added now, and all others if it has just been held.
func (s State) withExplained(part uint64, added []uint64, at time.Time) State {
	e, _ := s.suspects.Get(part)
	if !e.held {
		return s
	}
	var crashes []uint64
	for _, m := range e.marks {
		if e.explains(m) && (e.heldAt.Equal(at) || slices.Contains(added, m.crash)) {
			crashes = append(crashes, m.crash)
		}
	}
	if len(crashes) == 0 {
		return s
	}
	for itr := s.suspects.Iterator(); !itr.Done(); {
		name, other, _ := itr.Next()
		if name == part || other.open == 0 {
			continue
		}
		var cleared []model.PartMark
		for _, crash := range crashes {
			if i, found := other.find(crash); found && other.marks[i].state == model.MarkWeak {
				cleared = append(cleared, model.PartMark{Crash: crash, State: model.MarkCleared})
			}
		}
		if len(cleared) > 0 {
			s = s.withMarks(name, cleared, 0, other.expiresAt, at)
		}
	}
	return s
}

// withChanged notes that a part has to be reported to the peers. Beyond the limit, the
// next full reports have it.
func (s State) withChanged(part uint64) State {
	if len(s.changed) < model.MaxPartSuspicions && !slices.Contains(s.changed, part) {
		s.changed = append(s.changed[:len(s.changed):len(s.changed)], part)
	}
	return s
}

// Changed reports whether any part has to be reported to the peers.
func (s State) Changed() bool { return len(s.changed) > 0 }

// TakeChanged returns what has to be reported to the peers, as far as it fits one
// announcement, and the state without it.
func (s State) TakeChanged(at time.Time) (State, []model.PartSuspicion) {
	var list []model.PartSuspicion
	marks := 0
	for i, part := range s.changed {
		e, found := s.suspects.Get(part)
		if !found {
			continue
		}
		marks += len(e.marks)
		if len(list) == model.MaxAnnouncedSuspicions || marks > model.MaxAnnouncedMarks {
			s.changed = s.changed[i:]
			return s, list
		}
		list = append(list, e.suspicion(at))
	}
	s.changed = nil
	return s, list
}

// TakeBeliefs returns the changes that have to be logged for the operator, and the state
// without them.
func (s State) TakeBeliefs() (State, []model.PartBelief) {
	beliefs := s.beliefs
	s.beliefs = nil
	return s, beliefs
}

// Report returns the parts of a full report to peers: held parts first, then
// those of which something was learned recently.
func (s State) Report(at time.Time) []model.PartSuspicion {
	if s.suspects.Len() == 0 {
		return nil
	}
	var list, others []model.PartSuspicion
	itr := s.byExpiry.Iterator()
	for itr.Last(); !itr.Done() && len(list) < model.MaxPartSuspicions; {
		key, _, _ := itr.Prev()
		e, _ := s.suspects.Get(key.part)
		switch {
		case !at.Before(e.expiresAt):
		case e.held:
			list = append(list, e.suspicion(at))
		case at.Sub(e.changedAt) < reportTime && len(others) < model.MaxPartSuspicions:
			others = append(others, e.suspicion(at))
		}
	}
	return append(list, others[:min(len(others), model.MaxPartSuspicions-len(list))]...)
}

// suspicion returns the part as it is reported to peers.
func (e suspect) suspicion(at time.Time) model.PartSuspicion {
	p := model.PartSuspicion{Part: e.part, Trials: e.trials, Void: e.voidTrials, Remaining: e.expiresAt.Sub(at)}
	for _, m := range e.marks {
		p.Marks = append(p.Marks, model.PartMark{Crash: m.crash, State: m.state})
	}
	return p
}
