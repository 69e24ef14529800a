package slice

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"caroblane/core/fair"
	"caroblane/core/model"
	"caroblane/core/place"
)

// slice is the state of a run. It belongs to one call of Run and is changed in
// place; policies, queue and backlogs are immutable values.
type slice[P Policy[P]] struct {
	*Fleet
	policy  P
	rules   Rules
	jobs    []*job
	queue   fair.Queue[int, *job]
	events  events
	seq     int
	rng     *rand.Rand
	changes int
	cuts    int
	refused int
}

// Run sends the load of a configuration through its engines and returns what
// came out. Equal arguments give equal figures.
func Run[P Policy[P]](config Config, policy P) (Figures, error) {
	if err := config.Validate(); err != nil {
		return Figures{}, err
	}
	s := newSlice(config, policy)
	s.run()
	return s.figures(), nil
}

func newSlice[P Policy[P]](config Config, policy P) *slice[P] {
	s := &slice[P]{
		Fleet:  &Fleet{config: config, backlogs: place.NewTracker[int]()},
		policy: policy, rules: policy.Rules(),
		jobs:  config.Load.draw(config.Seed),
		queue: fair.New[int, *job](fairAge),
		rng:   rand.New(rand.NewPCG(config.Seed, 2)),
	}
	for z, n := range config.Zones {
		for i := range n {
			s.machines = append(s.machines, &machine{
				id: len(s.machines), zone: model.ZoneName(fmt.Sprint("zone-", z)),
				cheap: (i+1)%config.CheapEvery == 0, role: s.rules.Role(i),
			})
		}
	}
	s.after(s.jobs[0].at, event{kind: arrive})
	for i := range s.machines {
		s.after(time.Duration(i)*10*time.Millisecond, event{kind: report, m: s.machines[i]})
	}
	s.after(config.ServeEvery, event{kind: serve})
	s.after(time.Second, event{kind: adjust})
	for i, f := range config.Faults {
		s.after(f.At, event{kind: fault, n: i})
	}
	return s
}

func (s *slice[P]) after(d time.Duration, e event) {
	s.seq++
	e.at, e.seq = s.now+d, s.seq
	heap.Push(&s.events, e)
}

// run steps the clock from event to event until all requests have ended.
func (s *slice[P]) run() {
	for len(s.events) > 0 && s.now < s.config.Load.End+s.config.Load.Drain {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		s.apply(e)
	}
}

// apply is the reducer over all events. What follows from an event later is
// scheduled as another event.
func (s *slice[P]) apply(e event) {
	switch e.kind {
	case arrive:
		// One arrival is scheduled at a time, to keep the heap small.
		j := s.jobs[e.n]
		if e.n+1 < len(s.jobs) {
			s.after(s.jobs[e.n+1].at-s.now, event{kind: arrive, n: e.n + 1})
		}
		s.policy = s.policy.WithArrival(s.Now(), j.Request)
		if s.queue.Len() > 0 || !s.place(j) {
			s.enqueue(j)
		}
	case iterate:
		if e.n == e.m.epoch {
			s.iterated(e.m)
		}
	case join:
		if e.n == e.j.run {
			e.m.joining = append(e.m.joining, e.j)
			s.start(e.m)
		}
	case report:
		tokens := 0
		for _, j := range e.m.prompts {
			tokens += j.todo
		}
		s.after(s.config.ReportLag, event{kind: reported, m: e.m, n: tokens, measure: s.now})
		s.after(s.config.ReportEvery, event{kind: report, m: e.m})
	case reported:
		s.backlogs = s.backlogs.WithReport(e.m.id, clock(e.measure), float64(e.n)*float64(s.config.Engine.PromptToken))
	case serve:
		s.serve()
		s.after(s.config.ServeEvery, event{kind: serve})
	case adjust:
		next, changes := s.policy.Adjust(s.Fleet)
		s.policy = next
		s.adjust(changes)
		s.after(time.Second, event{kind: adjust})
	case changed:
		if e.n == e.m.epoch {
			e.m.role, e.m.closing, e.m.away = e.m.to, false, false
		}
	case fault:
		s.fault(s.config.Faults[e.n])
	}
}
