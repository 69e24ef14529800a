package order

import (
	"cmp"
	"slices"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/record"
	"caroblane/core/step"
)

// startName is the Usage object that marks where the windows begin. Without it,
// two holders could begin with different windows and report the same parts.
const startName = "start"

// reports freeze and report one usage window after the other. A window is
// frozen only when all earlier ones are known, so that whoever freezes it knows
// which parts are already reported.
type reports struct {
	settings Settings
	caller   caller
	// epoch is that of the authority, or zero without one.
	epoch model.Epoch
	// kept are the last windows, oldest first; loaded tells that it is read.
	loaded bool
	kept   []frozen
	// copied is the record of the window after the last of kept.
	copied record.Copy[model.Usage]
	// parts are those found for that window, once partsListed is set.
	partsListed bool
	parts       []model.UsagePart
	// garbage are objects that are no longer needed.
	garbage []model.Change
	// pending is the call in flight that is not one of copied.
	pending  model.Op
	answered bool
	failures int
	retryAt  time.Time
	next     time.Time
}

// frozen is a window that was reported.
type frozen struct {
	name    string
	version model.Version
	window  model.Window
	parts   []string
}

func newReports(settings Settings, incarnation model.Incarnation) reports {
	return reports{settings: settings, caller: caller{lane: laneReport, incarnation: incarnation}}
}

func (s reports) apply(t *turn) reports {
	if epoch := t.epoch(); epoch != s.epoch {
		next := newReports(s.settings, s.caller.incarnation)
		next.caller = s.caller
		next.epoch = epoch
		s = next
	}
	if s.epoch == 0 {
		return s
	}
	if op, ok := answerTo(t.in.Event); ok {
		if lane(op.Seq%uint64(lanes)) != laneReport {
			return s
		}
		s = s.taken(op, t)
	}
	s = s.advance(t)
	s.next = t.authority.until
	if !s.copied.Busy() && s.pending == (model.Op{}) {
		s.next = step.Earliest(s.next, s.retryAt)
	}
	return s
}

// taken applies the answer to a call.
func (s reports) taken(op model.Op, t *turn) reports {
	if op != s.pending {
		var result record.Result
		s.copied, result = s.copied.Take(t.in.Event)
		if result == record.Failed || result == record.Lost {
			return s.withPause(t)
		}
		return s
	}
	s.pending = model.Op{}
	switch e := t.in.Event.(type) {
	case event.ObjectsListed:
		s.failures = 0
		if !s.loaded {
			return s.withKept(e.Objects)
		}
		return s.withParts(e.Objects)
	case event.SendAnswered:
		if e.Result == model.SendAccepted {
			s.answered, s.failures = true, 0
			return s
		}
		return s.withPause(t)
	case event.ObjectWritten, event.ObjectConflict, event.ObjectAmbiguous, event.ObjectUnsent:
		// An object that was not removed is found again later.
		s.garbage = s.garbage[1:]
		return s
	default:
		return s.withPause(t)
	}
}

func (s reports) withPause(t *turn) reports {
	s.retryAt = t.in.At.Add(s.settings.pause(s.failures, t.in.Draw))
	s.failures++
	return s
}

// withKept takes the list of the records.
func (s reports) withKept(objects []model.Change) reports {
	s.loaded = true
	s.kept = nil
	var open *model.Change
	for i, object := range objects {
		usage, ok := object.Value.(model.Usage)
		switch {
		case !ok:
		case usage.State == model.UsageReported:
			s.kept = append(s.kept, frozenOf(object.Name, object.Version, usage))
		case open == nil || usage.Window > open.Value.(model.Usage).Window:
			open = &objects[i]
		}
	}
	slices.SortFunc(s.kept, func(a, b frozen) int {
		return cmp.Or(cmp.Compare(a.window, b.window), cmp.Compare(a.version, b.version))
	})
	if len(s.kept) == 0 {
		s.copied = record.New[model.Usage](model.KindUsage, startName)
		return s
	}
	s = s.withNextWindow()
	if open != nil && open.Name == s.copied.Name() {
		s.copied = s.copied.WithValue(open.Version, open.Value.(model.Usage))
	}
	return s
}

func frozenOf(name string, version model.Version, usage model.Usage) frozen {
	return frozen{name: name, version: version, window: usage.Window, parts: usage.Parts}
}

// withNextWindow goes to the window after the last of kept and marks the records
// that are no longer needed as garbage.
func (s reports) withNextWindow() reports {
	last := s.kept[len(s.kept)-1].window
	kept := s.kept
	for len(kept) > 1 && kept[0].window <= last-model.Window(s.settings.KeptWindows) {
		s.garbage = append(s.garbage[:len(s.garbage):len(s.garbage)], model.Change{
			Kind: model.KindUsage, Name: kept[0].name, Version: kept[0].version,
		})
		kept = kept[1:]
	}
	s.kept = kept
	s.copied = record.New[model.Usage](model.KindUsage, (last + 1).String())
	s.partsListed, s.parts, s.answered = false, nil, false
	return s
}

// withParts takes the list of the parts. Those that are in a kept record are
// garbage; those that come too late to be compared with all records stay out.
func (s reports) withParts(objects []model.Change) reports {
	included := map[string]bool{}
	for _, f := range s.kept {
		for _, name := range f.parts {
			included[name] = true
		}
	}
	window := s.window()
	s.partsListed, s.parts = true, nil
	for _, object := range objects {
		part, ok := object.Value.(model.UsagePart)
		switch {
		case included[object.Name]:
			s.garbage = append(s.garbage[:len(s.garbage):len(s.garbage)], model.Change{
				Kind: model.KindUsagePart, Name: object.Name, Version: object.Version,
			})
		case ok && part.Window <= window && part.Window > window-model.Window(s.settings.KeptWindows):
			s.parts = append(s.parts, part)
		}
	}
	slices.SortFunc(s.parts, func(a, b model.UsagePart) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Name(), b.Name()))
	})
	return s
}

// window is the one that is to be frozen next.
func (s reports) window() model.Window { return s.kept[len(s.kept)-1].window + 1 }

// advance makes the next call.
func (s reports) advance(t *turn) reports {
	at := t.in.At
	if s.copied.Busy() || s.pending != (model.Op{}) || at.Before(s.retryAt) {
		return s
	}
	usage, found := s.copied.Value()
	switch {
	case !s.loaded:
		return s.withList(model.KindUsage, t)
	case len(s.garbage) > 0:
		return s.withRemoval(t)
	case !s.copied.Known():
		return s.withRead(t)
	case found && usage.State == model.UsageReported:
		if s.copied.Name() != startName {
			t.out.Raise(event.UsageReported{Window: usage.Window})
		}
		s.kept = append(s.kept[:len(s.kept):len(s.kept)], frozenOf(s.copied.Name(), s.copied.Version(), usage))
		return s.withNextWindow().advance(t)
	case found && s.answered:
		usage.State = model.UsageReported
		return s.withWrite(usage, t)
	case found:
		return s.withReport(usage, t)
	case len(s.kept) == 0:
		return s.withWrite(model.Usage{Window: model.WindowOf(at) - 1, Epoch: s.epoch, State: model.UsageReported}, t)
	}
	if due := s.window().End().Add(s.settings.UsageGrace); at.Before(due) {
		s.retryAt = due
		return s
	}
	if !s.partsListed {
		return s.withList(model.KindUsagePart, t)
	}
	return s.withWrite(s.frozen(), t)
}

// frozen returns the record of the next window. Parts that do not fit are left
// for the window after it.
func (s reports) frozen() model.Usage {
	usage := model.Usage{Window: s.window(), Epoch: s.epoch, State: model.UsageFrozen}
	sums := map[model.AccountName]model.UsageLine{}
	for _, part := range s.parts {
		added := 0
		for _, line := range part.Lines {
			if _, ok := sums[line.Account]; !ok {
				added++
			}
		}
		if len(sums) > 0 && len(sums)+added > s.settings.MaxLines {
			break
		}
		for _, line := range part.Lines {
			sums[line.Account] = sumOf(sums[line.Account], line)
		}
		usage.Parts = append(usage.Parts, part.Name())
	}
	for _, line := range sums {
		usage.Lines = append(usage.Lines, line)
	}
	slices.SortFunc(usage.Lines, byAccount)
	return usage
}

func (s reports) withList(kind model.Kind, t *turn) reports {
	s.caller, s.pending = s.caller.next()
	t.out.Emit(effect.ListObjects{Op: s.pending, Kind: kind})
	return s
}

func (s reports) withRead(t *turn) reports {
	var op model.Op
	var read effect.Effect
	s.caller, op = s.caller.next()
	s.copied, read = s.copied.Read(op)
	t.out.Emit(read)
	return s
}

func (s reports) withRemoval(t *turn) reports {
	s.caller, s.pending = s.caller.next()
	object := s.garbage[0]
	t.out.Emit(effect.WriteObject{
		Op: s.pending, Kind: object.Kind, Name: object.Name, IfVersion: object.Version, Delete: true,
	})
	return s
}

func (s reports) withReport(usage model.Usage, t *turn) reports {
	s.caller, s.pending = s.caller.next()
	t.out.Emit(effect.ReportUsage{Op: s.pending, Epoch: s.epoch, Usage: usage, NotAfter: t.notAfter(s.settings)})
	return s
}

func (s reports) withWrite(usage model.Usage, t *turn) reports {
	var op model.Op
	var write effect.Effect
	s.caller, op = s.caller.next()
	if usage.Nonce == "" {
		usage.Nonce = s.caller.nonce()
	}
	s.copied, write = s.copied.Write(op, usage, usage.Nonce)
	t.out.Emit(write)
	return s
}
