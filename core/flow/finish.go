package flow

import (
	"fmt"
	"time"

	"caroblane/core/crash"
	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

// failed ends a request that may hold a claim, and that need not be among the
// open ones yet. After an attempt without an answer the outcome stays unknown,
// whatever became of later ones.
func (s State) failed(ticket model.Ticket, c call, r model.Refusal, out *Out) State {
	if c.mayHaveRun {
		r = refusal(r.Reason, model.OutcomeUnknown, r.RetryAfterSeconds)
	}
	if c.mustClaim {
		out.Raise(event.ClaimEnded{Ticket: ticket, NotRun: r.Execution == model.NotRun})
	}
	s.open = s.open.Delete(ticket)
	refuse(ticket, r, out)
	return s
}

func (s State) finished(ticket model.Ticket, out *Out) State {
	open := s.open.Delete(ticket)
	if open == s.open {
		return s
	}
	s.open = open
	out.Emit(effect.Finish{Ticket: ticket})
	return s
}

func (s State) refused(ticket model.Ticket, r model.Refusal, out *Out) State {
	if _, ok := s.open.Get(ticket); !ok {
		return s
	}
	s.open = s.open.Delete(ticket)
	refuse(ticket, r, out)
	return s
}

func (s State) callerGone(ticket model.Ticket, out *Out) State {
	c, ok := s.open.Get(ticket)
	if !ok {
		return s
	}
	switch c.phase {
	case admitting:
		out.Raise(event.AdmissionDropped{Ticket: ticket})
		return s.finished(ticket, out)
	case claiming:
		out.Raise(event.ClaimEnded{Ticket: ticket, NotRun: true})
		return s.finished(ticket, out)
	case waiting:
		s = s.unqueued(ticket, c)
		if c.mustClaim {
			out.Raise(event.ClaimEnded{Ticket: ticket, NotRun: true})
		}
		return s.finished(ticket, out)
	default:
		// A running attempt reports its own end.
		return s
	}
}

// keyChanged ends the open requests of a key that is no longer active.
func (s State) keyChanged(e event.KeyChanged, out *Out) State {
	if e.Old.Hash == (model.KeyHash{}) {
		return s
	}
	if e.New.Hash == e.Old.Hash && e.New.State == model.KeyActive && e.New.Account == e.Old.Account {
		return s
	}
	for itr := s.open.Iterator(); !itr.Done(); {
		ticket, c, _ := itr.Next()
		if !c.request.HasKey || c.request.KeyHash != e.Old.Hash {
			continue
		}
		if c.phase == running || c.phase == recording {
			out.Emit(effect.Cut{Ticket: ticket, Refusal: refusal(model.KeyWasWithdrawn, model.OutcomeUnknown, 0)})
			continue
		}
		out.Raise(event.AdmissionDropped{Ticket: ticket})
		s = s.unqueued(ticket, c)
		s = s.failed(ticket, c, refusal(model.KeyWasWithdrawn, model.NotRun, 0), out)
	}
	return s
}

func refuse(ticket model.Ticket, r model.Refusal, out *Out) {
	out.Emit(effect.CountRefusal{Reason: r.Reason}, effect.Refuse{Ticket: ticket, Refusal: r})
}

func refusal(reason model.Reason, execution model.Execution, retryAfterSeconds int) model.Refusal {
	return model.Refusal{
		Reason:            reason,
		Execution:         execution,
		RetryAfterSeconds: retryAfterSeconds,
		Message:           fmt.Sprintf("request ended with %s (%s)", reason, execution),
	}
}

func retryAfter(reason model.Reason) int {
	switch reason {
	case model.ClaimUnavailable, model.Draining, model.NotFresh, model.Overloaded:
		return 1
	case model.CrashSuspect:
		return int(crash.Term / time.Second)
	default:
		return 0
	}
}
