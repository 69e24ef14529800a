package serve

import (
	"time"

	"caroblane/core/event"
	"caroblane/core/fleet"
	"caroblane/core/model"
)

const (
	// maxWithheld is the number of attempts of a request that may be withheld. Each of
	// them needs another upstream that stops taking requests between the placement and
	// the sending.
	maxWithheld = 8
	// pauseRetrySpread is the time after the end of a pause over which the callers that
	// were refused because of it are told to come back.
	pauseRetrySpread = time.Second
)

// placeAgain places a request again whose attempt was not sent because the upstream
// wants no more requests. It uses up neither an attempt nor the retry budget, and a KV
// cache that was to be transferred can still be used.
func (s State) placeAgain(ticket model.Ticket, req openRequest, view View, out *Out) State {
	req.withheld++
	s.open = s.open.Set(ticket, req)
	if req.withheld > maxWithheld {
		return s.failUnplaced(ticket, req, model.NoUpstream, view, out)
	}
	return s.dispatch(ticket, req, view, out)
}

// failUnplaced ends a request that is sent to no further upstream for a reason. If all
// of them asked for a pause, this is the reason, and the caller is told to come back
// after the first one. A request of which a run was given up waits instead.
func (s State) failUnplaced(ticket model.Ticket, req openRequest, reason model.Reason, view View, out *Out) State {
	if req.mayWait() {
		return s.await(ticket, req, view)
	}
	end, all := view.Fleet.PauseEnd(req.service.Name, view.At, func(u fleet.Upstream) bool {
		// An engine that only computes prompts cannot take a request without another one.
		return !req.service.Engine || u.Role != model.RolePrefill
	})
	switch {
	case !all && reason == model.NoUpstream && view.anyColdFull(req.service):
		return s.refuse(ticket, req, model.UpstreamsCold, view.At.Add(coldRetryDelay), out)
	case !all:
		return s.fail(ticket, req, reason, view, out)
	}
	if earliest := view.At.Add(refusedRetryDelay); end.Before(earliest) {
		end = earliest
	}
	spread := time.Duration(float64(view.Random>>11) / (1 << 53) * float64(pauseRetrySpread))
	return s.refuse(ticket, req, model.UpstreamsPaused, end.Add(spread), out)
}

// withUsableHandle returns the request without the KV cache of its prompt if no engine
// may copy it: the engine that holds it asked for a pause, or has been replaced. The
// engine that generates the tokens then computes the prompt.
func (req openRequest) withUsableHandle(view View) openRequest {
	if req.kvHandle == "" {
		return req
	}
	holder, found := view.Fleet.Get(req.prefillEngine.Name)
	replaced := found && holder.Incarnation != req.prefillEngine.Incarnation
	if replaced || view.Fleet.Pausing(req.prefillEngine, view.At) {
		req.kvHandle, req.skipPrefill = "", true
	}
	return req
}

// settle reports once for each attempt whether its upstream serves it.
func (req openRequest) settle(served bool, out *Out) openRequest {
	if !req.settled {
		out.Raise(event.AttemptSettled{
			Instance: model.UpstreamInstance{Name: req.upstream.Name, Incarnation: req.upstream.Incarnation},
			SentAt:   req.sentAt, Served: served,
		})
	}
	req.settled = true
	return req
}
