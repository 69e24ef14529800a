package slice

import (
	"slices"
	"time"
)

// startIteration starts an iteration if the engine is idle and has work.
func (s state[P]) startIteration(id int) state[P] {
	e := *s.engines[id]
	if e.iterating || e.down {
		return s
	}
	e = e.withBatch()
	if len(e.batch) == 0 && len(e.prompts) == 0 {
		return s.withEngine(e).changeRoleIfDrained(id)
	}
	e, duration := e.withIteration(s.config.Engine)
	return s.withEngine(e).schedule(duration, event{kind: iterationEnded, engine: id, arg: e.epoch})
}

// finishIteration ends an iteration. Each request of the batch gets a token, and
// each request whose prompt is completely computed gets its first one.
func (s state[P]) finishIteration(id int) state[P] {
	e := *s.engines[id]
	e.iterating = false
	batch := make([]job, 0, len(e.batch))
	for _, j := range e.batch {
		if s.now-j.lastTokenAt > s.config.NextTarget {
			j.lateTokens++
		}
		j = j.withToken(s.now)
		if j.completed {
			e = e.withUsedSlots(-1)
			s = s.withEffect(recordEnd{j})
			continue
		}
		batch = append(batch, j)
	}
	e.batch = batch
	prompts := make([]job, 0, len(e.prompts))
	for _, j := range e.prompts {
		if j.prefillLeft > 0 {
			prompts = append(prompts, j)
			continue
		}
		e = e.withCached(j.Key, s.config.Engine.CachePrefixes)
		j.firstToken = s.now - j.arrivedAt
		j = j.withToken(s.now)
		if j.decodeEngine == id && !j.completed {
			e = e.withJoining(j)
			continue
		}
		e = e.withUsedSlots(-1)
		switch {
		case !j.completed:
			s.transfers = append(slices.Clip(s.transfers), j)
			duration := s.config.Engine.TransferBase + time.Duration(j.Prompt)*s.config.Engine.TransferToken
			s = s.schedule(duration, event{kind: transferEnded, engine: j.decodeEngine, arg: j.id, attempt: j.attempt})
		case j.decodeEngine != id:
			s = s.withEngine(s.engines[j.decodeEngine].withUsedSlots(-1)).changeRoleIfDrained(j.decodeEngine).withEffect(recordEnd{j})
		default:
			s = s.withEffect(recordEnd{j})
		}
	}
	e.prompts = prompts
	return s.withEngine(e).startIteration(id)
}

// finishTransfer adds a request to its decode engine after the KV cache transfer.
// It ignores transfers of earlier attempts.
func (s state[P]) finishTransfer(e event) state[P] {
	i := slices.IndexFunc(s.transfers, func(j job) bool { return j.id == e.arg && j.attempt == e.attempt })
	if i < 0 {
		return s
	}
	j := s.transfers[i]
	s.transfers = without(s.transfers, j.id)
	return s.withEngine(s.engines[e.engine].withJoining(j)).startIteration(e.engine)
}

// changeRoleIfDrained takes an engine offline for its role change once no request
// holds a slot.
func (s state[P]) changeRoleIfDrained(id int) state[P] {
	e := *s.engines[id]
	if !e.changingRole || e.offline || e.usedSlots != 0 {
		return s
	}
	e.cache, e.offline = nil, true
	return s.withEngine(e).schedule(s.config.Engine.ChangeTerm, event{kind: roleChanged, engine: id, arg: e.epoch})
}
