package slice

import (
	"slices"
	"time"
)

// start begins an iteration of an engine that has work.
func (s state[P]) start(id int) state[P] {
	e := *s.engines[id]
	if e.running || e.down {
		return s
	}
	e = e.withBatch()
	if len(e.batch) == 0 && len(e.prompts) == 0 {
		return s.withEngine(e).drained(id)
	}
	e, took := e.withIteration(s.config.Engine)
	return s.withEngine(e).after(took, event{kind: iterate, engine: id, n: e.epoch})
}

// iterated ends an iteration: a token for each request of the batch, and the
// first token for each prompt that is complete.
func (s state[P]) iterated(id int) state[P] {
	e := *s.engines[id]
	e.running = false
	batch := make([]job, 0, len(e.batch))
	for _, j := range e.batch {
		if s.now-j.last > s.config.NextTarget {
			j.late++
		}
		j = j.withToken(s.now)
		if j.done {
			e = e.withUsed(-1)
			s = s.withEffect(ended{j})
			continue
		}
		batch = append(batch, j)
	}
	e.batch = batch
	prompts := make([]job, 0, len(e.prompts))
	for _, j := range e.prompts {
		if j.todo > 0 {
			prompts = append(prompts, j)
			continue
		}
		e = e.withCached(j.Key, s.config.Engine.CachePrefixes)
		j.first = s.now - j.at
		j = j.withToken(s.now)
		if j.decode == id && !j.done {
			e = e.withJoining(j)
			continue
		}
		e = e.withUsed(-1)
		switch {
		case !j.done:
			s.transit = append(slices.Clip(s.transit), j)
			took := s.config.Engine.TransferBase + time.Duration(j.Prompt)*s.config.Engine.TransferToken
			s = s.after(took, event{kind: join, engine: j.decode, n: j.id, run: j.run})
		case j.decode != id:
			s = s.withEngine(s.engines[j.decode].withUsed(-1)).drained(j.decode).withEffect(ended{j})
		default:
			s = s.withEffect(ended{j})
		}
	}
	e.prompts = prompts
	return s.withEngine(e).start(id)
}

// joined adds a request to the engine that its KV cache has reached.
func (s state[P]) joined(e event) state[P] {
	i := slices.IndexFunc(s.transit, func(j job) bool { return j.id == e.n && j.run == e.run })
	if i < 0 {
		return s
	}
	j := s.transit[i]
	s.transit = without(s.transit, j.id)
	return s.withEngine(s.engines[e.engine].withJoining(j)).start(e.engine)
}

// drained begins the role change of an engine that has ended its work.
func (s state[P]) drained(id int) state[P] {
	e := *s.engines[id]
	if !e.closing || e.away || e.used != 0 {
		return s
	}
	e.cache, e.away = nil, true
	return s.withEngine(e).after(s.config.Engine.ChangeTerm, event{kind: changed, engine: id, n: e.epoch})
}
