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

// startName is the name of the Usage object that records the window before the
// first one to report. Without it, two lease holders could start at different
// windows and report the same parts twice.
const startName = "start"

// usageReports freezes and reports usage windows one after the other. A window
// is frozen only when the records of all earlier windows are known, so that
// parts that were already reported are left out.
type usageReports struct {
	settings Settings
	opIDs    opIDs
	// epoch is the epoch of the held lease, or zero while the lease is not
	// held.
	epoch model.Epoch
	// reported are the last reported windows, oldest first. It is valid once
	// loaded is set.
	loaded   bool
	reported []reportedWindow
	// stored is the record of the window that follows the reported ones.
	stored record.Copy[model.Usage]
	// parts are the parts to include in that window, once partsListed is set.
	partsListed bool
	parts       []model.UsagePart
	// obsolete are the objects to delete from the store.
	obsolete []model.Change
	// pendingOp is the call in flight that does not concern stored.
	pendingOp   model.Op
	answered    bool
	failures    int
	retryAt     time.Time
	nextTimerAt time.Time
}

// reportedWindow is a window that was reported, with the names of its parts.
type reportedWindow struct {
	name    string
	version model.Version
	window  model.Window
	parts   []string
}

func newUsageReports(settings Settings, incarnation model.Incarnation) usageReports {
	return usageReports{settings: settings, opIDs: opIDs{owner: ownerReport, incarnation: incarnation}}
}

func (s usageReports) apply(sc *stepContext) usageReports {
	if epoch := sc.epoch(); epoch != s.epoch {
		next := newUsageReports(s.settings, s.opIDs.incarnation)
		next.opIDs = s.opIDs
		next.epoch = epoch
		s = next
	}
	if s.epoch == 0 {
		return s
	}
	if op, ok := responseTo(sc.in.Event); ok {
		if opOwner(op.Seq%uint64(ownerCount)) != ownerReport {
			return s
		}
		s = s.handleResponse(op, sc)
	}
	s = s.advance(sc)
	s.nextTimerAt = sc.authority.until
	if !s.stored.InFlight() && s.pendingOp == (model.Op{}) {
		s.nextTimerAt = step.Earliest(s.nextTimerAt, s.retryAt)
	}
	return s
}

// handleResponse applies the response to a call: a call for the record of the
// next window, or the one identified by pendingOp.
func (s usageReports) handleResponse(op model.Op, sc *stepContext) usageReports {
	if op != s.pendingOp {
		var result record.Result
		s.stored, result = s.stored.ApplyResponse(sc.in.Event)
		if result == record.Failed || result == record.Ambiguous {
			return s.withBackoff(sc)
		}
		return s
	}
	s.pendingOp = model.Op{}
	switch e := sc.in.Event.(type) {
	case event.ObjectsListed:
		s.failures = 0
		if !s.loaded {
			return s.withRecords(e.Objects)
		}
		return s.withParts(e.Objects)
	case event.SendAnswered:
		if e.Result == model.SendAccepted {
			s.answered, s.failures = true, 0
			return s
		}
		return s.withBackoff(sc)
	case event.ObjectWritten, event.ObjectConflict, event.ObjectAmbiguous, event.ObjectUnsent:
		// A failed deletion is not retried: the object is found again by a
		// later listing.
		s.obsolete = s.obsolete[1:]
		return s
	default:
		return s.withBackoff(sc)
	}
}

func (s usageReports) withBackoff(sc *stepContext) usageReports {
	s.retryAt = sc.in.At.Add(s.settings.backoff(s.failures, sc.in.Random))
	s.failures++
	return s
}

// withRecords loads the stored usage records and selects the next window.
func (s usageReports) withRecords(objects []model.Change) usageReports {
	s.loaded = true
	s.reported = nil
	var unreported *model.Change
	for i, object := range objects {
		usage, ok := object.Value.(model.Usage)
		switch {
		case !ok:
		case usage.State == model.UsageReported:
			s.reported = append(s.reported, reportedOf(object.Name, object.Version, usage))
		case unreported == nil || usage.Window > unreported.Value.(model.Usage).Window:
			unreported = &objects[i]
		}
	}
	slices.SortFunc(s.reported, func(a, b reportedWindow) int {
		return cmp.Or(cmp.Compare(a.window, b.window), cmp.Compare(a.version, b.version))
	})
	if len(s.reported) == 0 {
		s.stored = record.New[model.Usage](model.KindUsage, startName)
		return s
	}
	s = s.withNextWindow()
	if unreported != nil && unreported.Name == s.stored.Name() {
		s.stored = s.stored.WithValue(unreported.Version, unreported.Value.(model.Usage))
	}
	return s
}

func reportedOf(name string, version model.Version, usage model.Usage) reportedWindow {
	return reportedWindow{name: name, version: version, window: usage.Window, parts: usage.Parts}
}

// withNextWindow moves to the window after the last reported one, and
// schedules the deletion of records beyond RetainedWindows.
func (s usageReports) withNextWindow() usageReports {
	last := s.reported[len(s.reported)-1].window
	reported := s.reported
	for len(reported) > 1 && reported[0].window <= last-model.Window(s.settings.RetainedWindows) {
		s.obsolete = append(s.obsolete[:len(s.obsolete):len(s.obsolete)], model.Change{
			Kind: model.KindUsage, Name: reported[0].name, Version: reported[0].version,
		})
		reported = reported[1:]
	}
	s.reported = reported
	s.stored = record.New[model.Usage](model.KindUsage, (last + 1).String())
	s.partsListed, s.parts, s.answered = false, nil, false
	return s
}

// withParts loads the stored usage parts. Parts that a retained record
// includes are scheduled for deletion. Parts older than the retained records
// are ignored, because they may have been reported already.
func (s usageReports) withParts(objects []model.Change) usageReports {
	included := map[string]bool{}
	for _, f := range s.reported {
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
			s.obsolete = append(s.obsolete[:len(s.obsolete):len(s.obsolete)], model.Change{
				Kind: model.KindUsagePart, Name: object.Name, Version: object.Version,
			})
		case ok && part.Window <= window && part.Window > window-model.Window(s.settings.RetainedWindows):
			s.parts = append(s.parts, part)
		}
	}
	slices.SortFunc(s.parts, func(a, b model.UsagePart) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Name(), b.Name()))
	})
	return s
}

// window returns the window to freeze next.
func (s usageReports) window() model.Window { return s.reported[len(s.reported)-1].window + 1 }

// advance starts the next call that is due.
func (s usageReports) advance(sc *stepContext) usageReports {
	at := sc.in.At
	if s.stored.InFlight() || s.pendingOp != (model.Op{}) || at.Before(s.retryAt) {
		return s
	}
	usage, found := s.stored.Value()
	switch {
	case !s.loaded:
		return s.listObjects(model.KindUsage, sc)
	case len(s.obsolete) > 0:
		return s.deleteObsolete(sc)
	case !s.stored.Valid():
		return s.readStored(sc)
	case found && usage.State == model.UsageReported:
		if s.stored.Name() != startName {
			sc.out.Raise(event.UsageReported{Window: usage.Window})
		}
		s.reported = append(s.reported[:len(s.reported):len(s.reported)], reportedOf(s.stored.Name(), s.stored.Version(), usage))
		return s.withNextWindow().advance(sc)
	case found && s.answered:
		usage.State = model.UsageReported
		return s.writeStored(usage, sc)
	case found:
		return s.sendReport(usage, sc)
	case len(s.reported) == 0:
		return s.writeStored(model.Usage{Window: model.WindowOf(at) - 1, Epoch: s.epoch, State: model.UsageReported}, sc)
	}
	if freezeAt := s.window().End().Add(s.settings.FreezeDelay); at.Before(freezeAt) {
		s.retryAt = freezeAt
		return s
	}
	if !s.partsListed {
		return s.listObjects(model.KindUsagePart, sc)
	}
	return s.writeStored(s.sumParts(), sc)
}

// sumParts returns the record of the next window. Parts that would exceed
// MaxLines accounts are left for the window after it.
func (s usageReports) sumParts() model.Usage {
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
			sums[line.Account] = addLines(sums[line.Account], line)
		}
		usage.Parts = append(usage.Parts, part.Name())
	}
	for _, line := range sums {
		usage.Lines = append(usage.Lines, line)
	}
	slices.SortFunc(usage.Lines, compareAccounts)
	return usage
}

func (s usageReports) listObjects(kind model.Kind, sc *stepContext) usageReports {
	s.opIDs, s.pendingOp = s.opIDs.next()
	sc.out.Emit(effect.ListObjects{Op: s.pendingOp, Kind: kind})
	return s
}

func (s usageReports) readStored(sc *stepContext) usageReports {
	var op model.Op
	var read effect.Effect
	s.opIDs, op = s.opIDs.next()
	s.stored, read = s.stored.Read(op)
	sc.out.Emit(read)
	return s
}

func (s usageReports) deleteObsolete(sc *stepContext) usageReports {
	s.opIDs, s.pendingOp = s.opIDs.next()
	object := s.obsolete[0]
	sc.out.Emit(effect.WriteObject{
		Op: s.pendingOp, Kind: object.Kind, Name: object.Name, IfVersion: object.Version, Delete: true,
	})
	return s
}

func (s usageReports) sendReport(usage model.Usage, sc *stepContext) usageReports {
	s.opIDs, s.pendingOp = s.opIDs.next()
	sc.out.Emit(effect.ReportUsage{Op: s.pendingOp, Epoch: s.epoch, Usage: usage, NotAfter: sc.notAfter(s.settings)})
	return s
}

func (s usageReports) writeStored(usage model.Usage, sc *stepContext) usageReports {
	var op model.Op
	var write effect.Effect
	s.opIDs, op = s.opIDs.next()
	if usage.Nonce == "" {
		usage.Nonce = s.opIDs.nonce()
	}
	s.stored, write = s.stored.Write(op, usage, usage.Nonce)
	sc.out.Emit(write)
	return s
}
