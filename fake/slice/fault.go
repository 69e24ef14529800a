package slice

import (
	"cmp"
	"slices"
)

// fault stops engines or starts them again.
func (s state[P]) fault(f Fault) state[P] {
	for _, id := range f.Engines {
		if f.Up {
			e := *s.engines[id]
			e.down = false
			s = s.withEngine(e)
		} else {
			s = s.kill(id)
		}
	}
	return s
}

// kill stops an engine. Work that can be started again waits for another one.
func (s state[P]) kill(id int) state[P] {
	e := *s.engines[id]
	e.down, e.running, e.closing, e.away = true, false, false, false
	e.epoch++
	e.cache = nil
	lost := s.heldBy(id)
	s = s.withEngine(e)
	for _, j := range lost {
		s.cuts++
		if j.got == 0 && j.prefill != j.decode {
			s = s.withEngine(s.engines[j.prefill].withUsed(-1))
		}
		s = s.withEngine(s.engines[j.decode].withUsed(-1))
		s.transit = without(s.transit, j.id)
		for _, held := range []int{j.prefill, j.decode} {
			s = s.withEngine(s.engines[held].without(j.id)).drained(held)
		}
		j.run++
		j.got, j.late = 0, 0
		if j.Restartable {
			s = s.enqueue(j)
		} else {
			s = s.withEffect(ended{j})
		}
	}
	return s
}

// heldBy returns the requests that need an engine, in order of arrival.
func (s state[P]) heldBy(id int) []job {
	held := slices.Concat(s.engines[id].prompts, s.engines[id].batch, s.engines[id].joining)
	others := s.transit
	for _, e := range s.engines {
		if e.id != id {
			others = slices.Concat(others, e.prompts)
		}
	}
	for _, j := range others {
		if j.decode == id {
			held = append(held, j)
		}
	}
	slices.SortFunc(held, func(a, b job) int { return cmp.Compare(a.id, b.id) })
	return held
}

// adjust begins role changes. An engine takes no new work, ends what it has,
// and is away for EngineConfig.ChangeTerm.
func (s state[P]) adjust(changes []RoleChange) state[P] {
	for id := range s.engines {
		e := *s.engines[id]
		i := slices.IndexFunc(changes, func(c RoleChange) bool { return c.Engine == id })
		if i < 0 || e.down || e.closing {
			continue
		}
		e.to, e.closing = changes[i].To, true
		s.changes++
		s = s.withEngine(e).drained(id)
	}
	return s
}
