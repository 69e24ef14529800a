package serve

import "caroblane/core/model"

// maxWithheld is the number of attempts of a request that may be withheld. Each of
// them needs another upstream that stops taking requests between the placement and
// the sending.
const maxWithheld = 8

// placeAgain places a request again whose attempt was not sent because the upstream
// wants no more requests. It uses up neither an attempt nor the retry budget, and a KV
// cache that was to be transferred can still be used.
func (s State) placeAgain(ticket model.Ticket, req openRequest, facts Facts, out *Out) State {
	req.withheld++
	s.open = s.open.Set(ticket, req)
	if req.withheld > maxWithheld {
		return s.fail(ticket, req, model.NoUpstream, facts, out)
	}
	return s.dispatch(ticket, req, facts, out)
}
