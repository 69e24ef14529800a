package slice

import "container/heap"

// simulation holds the current state of a run, executes the effects of each event
// and records how each request ended.
type simulation[P Policy[P]] struct {
	state  state[P]
	events eventQueue
	seq    int
	// results holds the progress of each request when it ended, and ends how
	// often it ended, by ID of the request.
	results []job
	ends    []int
}

// Run simulates the load of a configuration under a policy. Equal arguments give
// equal figures.
func Run[P Policy[P]](config Config, policy P) (Figures, error) {
	if err := config.Validate(); err != nil {
		return Figures{}, err
	}
	s := newState(config, policy)
	l := &simulation[P]{results: append([]job(nil), s.jobs...), ends: make([]int, len(s.jobs))}
	l.commit(s.withInitialEvents())
	limit := config.Load.End + config.Load.Drain
	for len(l.events) > 0 && l.state.now < limit {
		l.commit(l.state.apply(heap.Pop(&l.events).(event)))
	}
	return l.figures(), nil
}

// commit replaces the state and executes the effects of the new one.
func (l *simulation[P]) commit(s state[P]) {
	l.state = s
	for _, f := range s.effects {
		switch f := f.(type) {
		case scheduleEvent:
			l.seq++
			f.event.at, f.event.seq = s.now+f.delay, l.seq
			heap.Push(&l.events, f.event)
		case recordEnd:
			l.results[f.job.id] = f.job
			l.ends[f.job.id]++
		}
	}
}
