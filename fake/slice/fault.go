package slice

import "slices"

// fault stops engines or starts them again.
func (s *slice[P]) fault(f Fault) {
	for _, id := range f.Engines {
		if f.Up {
			s.machines[id].down = false
		} else {
			s.kill(s.machines[id])
		}
	}
}

// kill stops an engine. Work that can be started again waits for another one.
func (s *slice[P]) kill(m *machine) {
	m.down, m.running, m.closing, m.away = true, false, false, false
	m.epoch++
	m.cache = nil
	for _, j := range s.jobs {
		if j.finished || j.decode != m && (j.prefill != m || j.got > 0) {
			continue
		}
		s.cuts++
		j.run++
		for _, held := range []*machine{j.prefill, j.decode} {
			if held == j.decode || j.got == 0 {
				held.used--
			}
			if j.prefill == j.decode {
				break
			}
		}
		drop := func(x *job) bool { return x == j }
		for _, held := range []*machine{j.prefill, j.decode} {
			held.prompts = slices.DeleteFunc(held.prompts, drop)
			held.batch = slices.DeleteFunc(held.batch, drop)
			held.joining = slices.DeleteFunc(held.joining, drop)
			s.drained(held)
		}
		j.prefill, j.decode, j.got, j.late = nil, nil, 0, 0
		if j.Restartable {
			s.enqueue(j)
		} else {
			j.finished = true
		}
	}
}

// adjust begins role changes. An engine takes no new work, ends what it has,
// and is away for EngineConfig.ChangeTerm.
func (s *slice[P]) adjust(changes []RoleChange) {
	for _, m := range s.machines {
		i := slices.IndexFunc(changes, func(c RoleChange) bool { return c.Engine == m.id })
		if i < 0 || m.down || m.closing {
			continue
		}
		m.to, m.closing = changes[i].To, true
		s.changes++
		s.drained(m)
	}
}

func (s *slice[P]) drained(m *machine) {
	if m.closing && !m.away && m.used == 0 {
		m.cache, m.away = nil, true
		s.after(s.config.Engine.ChangeTerm, event{kind: changed, m: m, n: m.epoch})
	}
}
