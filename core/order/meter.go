package order

import (
	"cmp"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/record"
	"caroblane/core/step"
)

// meter counts the usage of this node and writes a UsagePart for each window.
// A part is written only once: usage counted after its window was closed goes
// into the next window.
type meter struct {
	settings    Settings
	opIDs       opIDs
	node        model.NodeName
	incarnation model.Incarnation
	// window is the current window. A closed window is never reopened.
	window model.Window
	lines  *immutable.Map[model.AccountName, model.UsageLine]
	// unwritten are the parts of closed windows that are not stored yet,
	// oldest first.
	unwritten   []model.UsagePart
	stored      record.Copy[model.UsagePart]
	retryAt     time.Time
	failures    int
	nextTimerAt time.Time
}

func newMeter(settings Settings, node model.NodeName, incarnation model.Incarnation) meter {
	return meter{
		settings:    settings,
		opIDs:       opIDs{owner: ownerMeter, incarnation: incarnation},
		node:        node,
		incarnation: incarnation,
		lines:       immutable.NewMap[model.AccountName, model.UsageLine](nil),
	}
}

func (s meter) apply(sc *stepContext) meter {
	switch e := sc.in.Event.(type) {
	case event.UsageCounted:
		s = s.withTime(sc.in.At)
		line, _ := s.lines.Get(e.Line.Account)
		s.lines = s.lines.Set(e.Line.Account, addLines(line, e.Line))
	case event.UsageCloseAsked:
		s = s.withTime(sc.in.At).withClosedWindow()
	case event.Tick:
		s = s.withTime(sc.in.At)
	default:
		op, ok := responseTo(sc.in.Event)
		if !ok || opOwner(op.Seq%uint64(ownerCount)) != ownerMeter {
			return s
		}
		s = s.handleResponse(sc)
	}
	s = s.advance(sc)
	s.nextTimerAt = s.nextTimer(sc.in.At)
	return s
}

// withTime closes the current window if it has ended. The window does not go
// back when the clock does.
func (s meter) withTime(at time.Time) meter {
	now := model.WindowOf(at)
	if now <= s.window {
		return s
	}
	if s.lines.Len() > 0 {
		s = s.withClosedWindow()
	}
	s.window = max(now, s.window)
	return s
}

// withClosedWindow closes the current window and opens the next one. When
// MaxUnwrittenParts is reached, the counts are kept for the part of a later
// window. Counts of more than MaxLines accounts are split over the parts of
// several consecutive windows.
func (s meter) withClosedWindow() meter {
	for s.lines.Len() > 0 && len(s.unwritten) < s.settings.MaxUnwrittenParts {
		part := model.UsagePart{Window: s.window, Node: s.node, Incarnation: s.incarnation}
		for itr := s.lines.Iterator(); !itr.Done(); {
			_, line, _ := itr.Next()
			part.Lines = append(part.Lines, line)
		}
		slices.SortFunc(part.Lines, compareAccounts)
		part.Lines = part.Lines[:min(len(part.Lines), s.settings.MaxLines)]
		for _, line := range part.Lines {
			s.lines = s.lines.Delete(line.Account)
		}
		s.opIDs, _ = s.opIDs.next()
		part.Nonce = s.opIDs.nonce()
		s.unwritten = append(s.unwritten[:len(s.unwritten):len(s.unwritten)], part)
		s.window++
	}
	return s
}

// handleResponse applies the response to the write of the oldest part. No other
// process writes an object of this name, so an existing object comes from an
// earlier write whose response was lost.
func (s meter) handleResponse(sc *stepContext) meter {
	var result record.Result
	s.stored, result = s.stored.ApplyResponse(sc.in.Event)
	switch result {
	case record.Unrelated:
	case record.Written, record.Conflict:
		s.unwritten = s.unwritten[1:]
		s.failures = 0
	default:
		s.retryAt = sc.in.At.Add(s.settings.backoff(s.failures, sc.in.Random))
		s.failures++
	}
	return s
}

// advance writes the oldest part.
func (s meter) advance(sc *stepContext) meter {
	if len(s.unwritten) == 0 || s.stored.InFlight() || sc.in.At.Before(s.retryAt) {
		return s
	}
	part := s.unwritten[0]
	var op model.Op
	var write effect.Effect
	s.opIDs, op = s.opIDs.next()
	s.stored, write = record.New[model.UsagePart](model.KindUsagePart, part.Name()).Write(op, part, part.Nonce)
	sc.out.Emit(write)
	return s
}

func (s meter) nextTimer(at time.Time) time.Time {
	var next time.Time
	if s.lines.Len() > 0 {
		// The window may already have ended if MaxUnwrittenParts was reached.
		// A timer would not help then.
		next = s.window.End()
		if !at.Before(next) {
			next = time.Time{}
		}
	}
	if len(s.unwritten) > 0 && !s.stored.InFlight() {
		next = step.Earliest(next, s.retryAt)
	}
	return next
}

func compareAccounts(a, b model.UsageLine) int { return cmp.Compare(a.Account, b.Account) }

func addLines(a, b model.UsageLine) model.UsageLine {
	return model.UsageLine{
		Account:      b.Account,
		Requests:     a.Requests + b.Requests,
		PromptTokens: a.PromptTokens + b.PromptTokens,
		OutputTokens: a.OutputTokens + b.OutputTokens,
	}
}
