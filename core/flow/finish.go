package flow

import (
	"fmt"
	"time"

	"caroblane/core/crash"
	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

// fail ends a request that may hold a claim and may not be in the map of open
// requests yet. If any attempt ended without a response, the outcome is reported
// as unknown, whatever the result of later attempts.
func (s State) fail(ticket model.Ticket, req openRequest, r model.Refusal, out *Out) State {
	if req.mayHaveRun {
		r = newRefusal(r.Reason, model.OutcomeUnknown, r.RetryAfterSeconds)
	}
	if req.needsClaim {
		out.Raise(event.ClaimEnded{Ticket: ticket, NotRun: r.Execution == model.NotRun})
	}
	s.open = s.open.Delete(ticket)
	emitRefusal(ticket, r, out)
	return s
}

func (s State) finish(ticket model.Ticket, out *Out) State {
	open := s.open.Delete(ticket)
	if open == s.open {
		return s
	}
	s.open = open
	out.Emit(effect.Finish{Ticket: ticket})
	return s
}

func (s State) refuse(ticket model.Ticket, r model.Refusal, out *Out) State {
	if _, ok := s.open.Get(ticket); !ok {
		return s
	}
	s.open = s.open.Delete(ticket)
	emitRefusal(ticket, r, out)
	return s
}

func (s State) handleCallerGone(ticket model.Ticket, out *Out) State {
	req, ok := s.open.Get(ticket)
	if !ok {
		return s
	}
	switch req.phase {
	case admitting:
		out.Raise(event.AdmissionDropped{Ticket: ticket})
		return s.finish(ticket, out)
	case claiming:
		out.Raise(event.ClaimEnded{Ticket: ticket, NotRun: true})
		return s.finish(ticket, out)
	case waiting:
		s = s.dequeue(ticket, req)
		if req.needsClaim {
			out.Raise(event.ClaimEnded{Ticket: ticket, NotRun: true})
		}
		return s.finish(ticket, out)
	default:
		// A running attempt reports its end with AttemptEnded.
		return s
	}
}

// handleKeyChanged ends the open requests of a key that has been withdrawn,
// replaced or moved to another client account.
func (s State) handleKeyChanged(e event.KeyChanged, out *Out) State {
	if e.Old.Hash == (model.KeyHash{}) {
		return s
	}
	if e.New.Hash == e.Old.Hash && e.New.State == model.KeyActive && e.New.Account == e.Old.Account {
		return s
	}
	for itr := s.open.Iterator(); !itr.Done(); {
		ticket, req, _ := itr.Next()
		if !req.received.HasKey || req.received.KeyHash != e.Old.Hash {
			continue
		}
		if req.phase == running || req.phase == recording {
			out.Emit(effect.Cut{Ticket: ticket, Refusal: newRefusal(model.KeyWasWithdrawn, model.OutcomeUnknown, 0)})
			continue
		}
		out.Raise(event.AdmissionDropped{Ticket: ticket})
		s = s.dequeue(ticket, req)
		s = s.fail(ticket, req, newRefusal(model.KeyWasWithdrawn, model.NotRun, 0), out)
	}
	return s
}

func emitRefusal(ticket model.Ticket, r model.Refusal, out *Out) {
	out.Emit(effect.CountRefusal{Reason: r.Reason}, effect.Refuse{Ticket: ticket, Refusal: r})
}

func newRefusal(reason model.Reason, execution model.Execution, retryAfter int) model.Refusal {
	return model.Refusal{
		Reason:            reason,
		Execution:         execution,
		RetryAfterSeconds: retryAfter,
		Message:           fmt.Sprintf("request ended with %s (%s)", reason, execution),
	}
}

func retryAfterSeconds(reason model.Reason) int {
	switch reason {
	case model.ClaimUnavailable, model.Draining, model.NotFresh, model.Overloaded:
		return 1
	case model.CrashSuspect:
		return int(crash.Retention / time.Second)
	default:
		return 0
	}
}
