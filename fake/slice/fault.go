package slice

import (
	"cmp"
	"slices"
)

// applyFault crashes or restarts the engines of a fault.
func (s state[P]) applyFault(f Fault) state[P] {
	for _, id := range f.Engines {
		if f.Up {
			e := *s.engines[id]
			e.down = false
			s = s.withEngine(e)
		} else {
			s = s.crash(id)
		}
	}
	return s
}

// crash stops an engine. The requests that depend on it are queued again if they
// are restartable, and end otherwise.
func (s state[P]) crash(id int) state[P] {
	e := *s.engines[id]
	e.down, e.iterating, e.changingRole, e.offline = true, false, false, false
	e.epoch++
	e.cache = nil
	lost := s.jobsOf(id)
	s = s.withEngine(e)
	for _, j := range lost {
		s.interrupted++
		if j.generated == 0 && j.prefillEngine != j.decodeEngine {
			s = s.withEngine(s.engines[j.prefillEngine].withUsedSlots(-1))
		}
		s = s.withEngine(s.engines[j.decodeEngine].withUsedSlots(-1))
		s.transfers = without(s.transfers, j.id)
		for _, engine := range []int{j.prefillEngine, j.decodeEngine} {
			s = s.withEngine(s.engines[engine].without(j.id)).changeRoleIfDrained(engine)
		}
		j.attempt++
		j.generated, j.lateTokens = 0, 0
		if j.Restartable {
			s = s.enqueue(j)
		} else {
			s = s.withEffect(recordEnd{j})
		}
	}
	return s
}

// jobsOf returns the requests that depend on an engine, in order of arrival: those
// on it, and those in prefill or transfer elsewhere that it would decode.
func (s state[P]) jobsOf(id int) []job {
	jobs := slices.Concat(s.engines[id].prompts, s.engines[id].batch, s.engines[id].joining)
	others := s.transfers
	for _, e := range s.engines {
		if e.id != id {
			others = slices.Concat(others, e.prompts)
		}
	}
	for _, j := range others {
		if j.decodeEngine == id {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b job) int { return cmp.Compare(a.id, b.id) })
	return jobs
}

// startRoleChanges starts role changes. An engine accepts no new work, completes
// its requests and is then offline for EngineConfig.ChangeTerm.
func (s state[P]) startRoleChanges(changes []RoleChange) state[P] {
	for id := range s.engines {
		e := *s.engines[id]
		i := slices.IndexFunc(changes, func(c RoleChange) bool { return c.Engine == id })
		if i < 0 || e.down || e.changingRole {
			continue
		}
		e.nextRole, e.changingRole = changes[i].To, true
		s.roleChanges++
		s = s.withEngine(e).changeRoleIfDrained(id)
	}
	return s
}
