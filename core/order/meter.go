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
// Each part is written once: usage that comes later goes into the next window.
type meter struct {
	settings    Settings
	caller      caller
	node        model.NodeName
	incarnation model.Incarnation
	// window is the one that counts go to; a closed window is never opened
	// again.
	window model.Window
	lines  *immutable.Map[model.AccountName, model.UsageLine]
	// closed are the parts to write, oldest first.
	closed   []model.UsagePart
	copied   record.Copy[model.UsagePart]
	retryAt  time.Time
	failures int
	next     time.Time
}

func newMeter(settings Settings, node model.NodeName, incarnation model.Incarnation) meter {
	return meter{
		settings:    settings,
		caller:      caller{lane: laneMeter, incarnation: incarnation},
		node:        node,
		incarnation: incarnation,
		lines:       immutable.NewMap[model.AccountName, model.UsageLine](nil),
	}
}

func (s meter) apply(t *turn) meter {
	switch e := t.in.Event.(type) {
	case event.UsageCounted:
		s = s.withTime(t.in.At)
		line, _ := s.lines.Get(e.Line.Account)
		s.lines = s.lines.Set(e.Line.Account, sumOf(line, e.Line))
	case event.UsageCloseAsked:
		s = s.withTime(t.in.At).withClosed()
	case event.Tick:
		s = s.withTime(t.in.At)
	default:
		op, ok := answerTo(t.in.Event)
		if !ok || lane(op.Seq%uint64(lanes)) != laneMeter {
			return s
		}
		s = s.taken(t)
	}
	s = s.advance(t)
	s.next = s.wake(t.in.At)
	return s
}

// withTime closes the window when its time is over. The clock may step back;
// the window does not.
func (s meter) withTime(at time.Time) meter {
	now := model.WindowOf(at)
	if now <= s.window {
		return s
	}
	if s.lines.Len() > 0 {
		s = s.withClosed()
	}
	s.window = max(now, s.window)
	return s
}

// withClosed closes the window and opens the next one. At the cap of parts the
// counts stay and go into the part of a later window. A part with too many
// accounts is written in pieces, of which later ones go to later windows.
func (s meter) withClosed() meter {
	for s.lines.Len() > 0 && len(s.closed) < s.settings.MaxParts {
		part := model.UsagePart{Window: s.window, Node: s.node, Incarnation: s.incarnation}
		for itr := s.lines.Iterator(); !itr.Done(); {
			_, line, _ := itr.Next()
			part.Lines = append(part.Lines, line)
		}
		slices.SortFunc(part.Lines, byAccount)
		part.Lines = part.Lines[:min(len(part.Lines), s.settings.MaxLines)]
		for _, line := range part.Lines {
			s.lines = s.lines.Delete(line.Account)
		}
		s.caller, _ = s.caller.next()
		part.Nonce = s.caller.nonce()
		s.closed = append(s.closed[:len(s.closed):len(s.closed)], part)
		s.window++
	}
	return s
}

// taken applies the answer to the write of the oldest part. No other process
// writes this name, so a part that exists already is the one of a lost write.
func (s meter) taken(t *turn) meter {
	var result record.Result
	s.copied, result = s.copied.Take(t.in.Event)
	switch result {
	case record.Other:
	case record.Written, record.Stale:
		s.closed = s.closed[1:]
		s.failures = 0
	default:
		s.retryAt = t.in.At.Add(s.settings.pause(s.failures, t.in.Draw))
		s.failures++
	}
	return s
}

// advance writes the oldest part.
func (s meter) advance(t *turn) meter {
	if len(s.closed) == 0 || s.copied.Busy() || t.in.At.Before(s.retryAt) {
		return s
	}
	part := s.closed[0]
	var op model.Op
	var write effect.Effect
	s.caller, op = s.caller.next()
	s.copied, write = record.New[model.UsagePart](model.KindUsagePart, part.Name()).Write(op, part, part.Nonce)
	t.out.Emit(write)
	return s
}

func (s meter) wake(at time.Time) time.Time {
	var next time.Time
	if s.lines.Len() > 0 {
		// At the cap of parts the window is over already.
		next = s.window.End()
		if !at.Before(next) {
			next = time.Time{}
		}
	}
	if len(s.closed) > 0 && !s.copied.Busy() {
		next = step.Earliest(next, s.retryAt)
	}
	return next
}

func byAccount(a, b model.UsageLine) int { return cmp.Compare(a.Account, b.Account) }

// sumOf adds the figures of b to those of a.
func sumOf(a, b model.UsageLine) model.UsageLine {
	return model.UsageLine{
		Account:      b.Account,
		Requests:     a.Requests + b.Requests,
		PromptTokens: a.PromptTokens + b.PromptTokens,
		OutputTokens: a.OutputTokens + b.OutputTokens,
	}
}
