package serve

import (
	"time"

	"caroblane/core/effect"
	"caroblane/core/model"
)

// measure records the waits of a request whose response begins. A response that is
// resumed later is not measured again.
func (req openRequest) measure(at time.Time, out *Out) openRequest {
	if req.measured || req.responseStarted {
		return req
	}
	req.measured = true
	out.Emit(effect.MeasureWaits{Route: req.route.Name, Waits: req.waits(at)})
	return req
}

// waits returns how long a request waited whose response begins. What is left of the time
// since its arrival after the steps that served it was spent in the queue.
func (req openRequest) waits(at time.Time) model.Waits {
	total, step := at.Sub(req.received.ArrivedAt), at.Sub(req.sentAt)
	waits := model.Waits{}.With(model.WaitFirstToken, total)
	switch {
	case !req.service.Engine:
		return waits.With(model.WaitQueue, total-step)
	case req.kvHandle != "":
		return waits.With(model.WaitQueue, total-step-req.prefillTime).
			With(model.WaitPrompt, req.prefillTime).With(model.WaitTransfer, step)
	default:
		return waits.With(model.WaitQueue, total-step).With(model.WaitPrompt, step)
	}
}
