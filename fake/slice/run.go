package slice

import "container/heap"

// loop holds the state of a run, carries out its effects and records how each
// request ended.
type loop[P Policy[P]] struct {
	state  state[P]
	events events
	seq    int
	// results holds the last known progress of each request, and ends how many
	// times it ended.
	results []job
	ends    []int
}

// Run sends the load of a configuration through its engines and returns what
// came out. Equal arguments give equal figures.
func Run[P Policy[P]](config Config, policy P) (Figures, error) {
	if err := config.Validate(); err != nil {
		return Figures{}, err
	}
	s := newState(config, policy)
	l := &loop[P]{results: append([]job(nil), s.jobs...), ends: make([]int, len(s.jobs))}
	l.take(s.begin())
	limit := config.Load.End + config.Load.Drain
	for len(l.events) > 0 && l.state.now < limit {
		l.take(l.state.apply(heap.Pop(&l.events).(event)))
	}
	return l.figures(), nil
}

// take publishes the next state and carries out its effects.
func (l *loop[P]) take(s state[P]) {
	l.state = s
	for _, f := range s.effects {
		switch f := f.(type) {
		case scheduled:
			l.seq++
			f.event.at, f.event.seq = s.now+f.after, l.seq
			heap.Push(&l.events, f.event)
		case ended:
			l.results[f.job.id] = f.job
			l.ends[f.job.id]++
		}
	}
}
