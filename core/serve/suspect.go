package serve

import (
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/poison"
	"caroblane/core/step"
)

const (
	// suspicionDelay is the delay before peers are told of crashes. Those of all
	// requests of an upstream are noticed at nearly the same time.
	suspicionDelay = 2 * time.Millisecond
	// maxStarts limits the answers whose start is watched. Further ones count as sound
	// once they are complete.
	maxStarts = 4096
)

// start is an answer that has begun and has got past its start at a time, unless its
// attempt ends earlier.
type start struct {
	ticket  model.Ticket
	attempt int
	at      time.Time
}

// Next returns when the component needs a Tick, or the zero time if it needs none.
func (s State) Next() time.Time {
	next := step.Earliest(s.announceAt, s.poison.Next())
	if first, found := s.firstWait(); found {
		next = step.Earliest(next, first.at)
	}
	if first, found := s.starts.First(); found && s.poison.HasOpen() {
		next = step.Earliest(next, first.at)
	}
	return next
}

// Suspicions returns the suspected parts of prompts for a full report to peers.
func (s State) Suspicions(at time.Time) []model.PartSuspicion { return s.poison.Report(at) }

// verdict returns whether the parts of a request are held.
func (s State) verdict(request *model.SiteRequest, view View) poison.Verdict {
	return s.poison.Verdict(request.SharedParts(), view.Node, view.At)
}

// dispatchHeld sends a request with a held part to an upstream if a trial is due, and
// refuses it otherwise.
func (s State) dispatchHeld(ticket model.Ticket, req openRequest, verdict poison.Verdict, view View, out *Out) State {
	if !verdict.TrialDue || req.runs > 0 {
		return s.refuseHeld(ticket, req, verdict, out)
	}
	req.trial = true
	s = s.dispatch(ticket, req, view, out)
	if started, found := s.open.Get(ticket); found && started.running {
		s.poison = s.poison.WithTrial(req.received.SharedParts(), view.At)
	}
	return s
}

// refuseHeld ends a request that is not sent to an upstream, or not again.
func (s State) refuseHeld(ticket model.Ticket, req openRequest, verdict poison.Verdict, out *Out) State {
	req.heldPart = verdict.Part
	return s.refuse(ticket, req, model.CrashingPart, verdict.RetryAt, out)
}

// declineHeld ends a request that has just arrived.
func (s State) declineHeld(ticket model.Ticket, verdict poison.Verdict, out *Out) State {
	out.Emit(
		effect.Decline{
			Ticket: ticket, Reason: model.CrashingPart, Execution: model.NotRun, RetryAt: verdict.RetryAt, Part: verdict.Part,
		},
		effect.CountRefusal{Reason: model.CrashingPart},
	)
	return s
}

// withStart notes that the answer to a request has begun.
func (s State) withStart(ticket model.Ticket, req openRequest, at time.Time) (State, openRequest) {
	if !req.begunAt.IsZero() || len(req.received.SharedParts()) == 0 {
		return s, req
	}
	req.begunAt = at
	if s.starts.size < maxStarts {
		s.starts = s.starts.With(start{ticket, req.attempt, at.Add(poison.StartTime)})
	}
	return s, req
}

// withTime processes the answers that have got past their start.
func (s State) withTime(at time.Time) State {
	for {
		first, found := s.starts.First()
		if !found || at.Before(first.at) {
			return s
		}
		s.starts = s.starts.WithoutFirst()
		req, found := s.open.Get(first.ticket)
		if !found || !req.running || req.attempt != first.attempt {
			continue
		}
		req.pastStart = true
		s.open = s.open.Set(first.ticket, req)
		s.poison = s.poison.WithSound(req.received.SharedParts(), req.begunAt, at)
	}
}

// withRunEnd notes what the end of an attempt says about the parts of the prompt.
func (s State) withRunEnd(req openRequest, e event.ForwardEnded, at time.Time) (State, openRequest) {
	if req.step != model.StepRun {
		return s, req
	}
	parts := req.received.SharedParts()
	switch {
	case req.pastStart, len(parts) == 0:
	case e.Outcome == model.Completed && e.Status < 300 && !req.begunAt.IsZero():
		s.poison = s.poison.WithSound(parts, req.begunAt, at)
	case e.Crashed:
		s.poison = s.poison.WithCrash(crashID(req.upstream), parts, at)
	}
	switch e.Outcome {
	case model.NotSent, model.Rejected, model.CallerLeft:
		// The run says nothing about the parts.
	default:
		req.trial = false
	}
	req.begunAt, req.pastStart = time.Time{}, false
	return s, req
}

// crashID returns a number for the crash of an upstream, which is the same at all
// nodes and for all requests that it ran.
func crashID(u model.Upstream) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, uint64(u.Incarnation)))
	_, _ = digest.WriteString(string(u.Name))
	return digest.Sum64()
}

// withNews tells the operator of changes at once, and the peers after a short delay.
func (s State) withNews(at time.Time, out *Out) State {
	var beliefs []model.PartBelief
	s.poison, beliefs = s.poison.TakeBeliefs()
	for _, b := range beliefs {
		out.Emit(effect.Believe{Belief: b.Belief, Subject: partName(b.Part), Number: uint64(b.Crashes)})
	}
	if s.announceAt.IsZero() && s.poison.Changed() {
		s.announceAt = at.Add(suspicionDelay)
	}
	if s.announceAt.IsZero() || at.Before(s.announceAt) {
		return s
	}
	s.announceAt = time.Time{}
	var list []model.PartSuspicion
	if s.poison, list = s.poison.TakeChanged(at); len(list) > 0 {
		out.Raise(event.SuspicionsDue{Suspicions: list})
	}
	if s.poison.Changed() {
		s.announceAt = at.Add(suspicionDelay)
	}
	return s
}

// partName returns the name of a part of a prompt in log lines.
func partName(part uint64) string { return strconv.FormatUint(part, 16) }
