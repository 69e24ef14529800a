package slice

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"caroblane/core/fair"
	"caroblane/core/model"
	"caroblane/core/place"
)

// state is the immutable state of a run. The effects are those of the event
// that is being applied.
type state[P Policy[P]] struct {
	*Fleet
	policy P
	rules  Rules
	// jobs is the load, by number of the request.
	jobs    []job
	queue   fair.Queue[int, job]
	transit []job
	draws   rand.PCG
	changes int
	cuts    int
	refused int
	effects []effect
}

func newState[P Policy[P]](config Config, policy P) state[P] {
	s := state[P]{
		policy: policy, rules: policy.Rules(),
		jobs:  config.Load.draw(config.Seed),
		queue: fair.New[int, job](fairAge),
		draws: *rand.NewPCG(config.Seed, 2),
	}
	var engines []*engine
	for z, n := range config.Zones {
		for i := range n {
			engines = append(engines, &engine{
				id: len(engines), zone: model.ZoneName(fmt.Sprint("zone-", z)),
				cheap: (i+1)%config.CheapEvery == 0, role: s.rules.Role(i),
			})
		}
	}
	s.Fleet = &Fleet{config: &config, engines: engines, backlogs: place.NewTracker[int]()}
	return s
}

func (s state[P]) withNow(at time.Duration) state[P] {
	f := *s.Fleet
	f.now = at
	s.Fleet = &f
	return s
}

func (s state[P]) withBacklogs(backlogs place.Tracker[int]) state[P] {
	f := *s.Fleet
	f.backlogs = backlogs
	s.Fleet = &f
	return s
}

func (s state[P]) withEngine(e engine) state[P] {
	f := *s.Fleet
	f.engines = slices.Clone(f.engines)
	f.engines[e.id] = &e
	s.Fleet = &f
	return s
}

func (s state[P]) withEffect(f effect) state[P] {
	s.effects = append(slices.Clip(s.effects), f)
	return s
}

func (s state[P]) after(d time.Duration, e event) state[P] {
	return s.withEffect(scheduled{d, e})
}

// begin returns the state with the first events of a run as effects.
func (s state[P]) begin() state[P] {
	s = s.after(s.jobs[0].at, event{kind: arrive})
	for i := range s.engines {
		s = s.after(time.Duration(i)*10*time.Millisecond, event{kind: report, engine: i})
	}
	s = s.after(s.config.ServeEvery, event{kind: serve}).after(time.Second, event{kind: adjust})
	for i, f := range s.config.Faults {
		s = s.after(f.At, event{kind: fault, n: i})
	}
	return s
}

// apply is the reducer over all events. It returns the next state, which holds
// the effects of the event only.
func (s state[P]) apply(e event) state[P] {
	s.effects = nil
	s = s.withNow(e.at)
	switch e.kind {
	case arrive:
		return s.arrived(e.n)
	case iterate:
		if e.n == s.engines[e.engine].epoch {
			return s.iterated(e.engine)
		}
	case join:
		return s.joined(e)
	case report:
		tokens := 0
		for _, j := range s.engines[e.engine].prompts {
			tokens += j.todo
		}
		return s.after(s.config.ReportLag, event{kind: reported, engine: e.engine, n: tokens, measure: s.now}).
			after(s.config.ReportEvery, event{kind: report, engine: e.engine})
	case reported:
		load := float64(e.n) * float64(s.config.Engine.PromptToken)
		return s.withBacklogs(s.backlogs.WithReport(e.engine, clock(e.measure), load))
	case serve:
		return s.serve().after(s.config.ServeEvery, event{kind: serve})
	case adjust:
		next, changes := s.policy.Adjust(s.Fleet)
		s.policy = next
		return s.adjust(changes).after(time.Second, event{kind: adjust})
	case changed:
		if m := *s.engines[e.engine]; e.n == m.epoch {
			m.role, m.closing, m.away = m.to, false, false
			return s.withEngine(m)
		}
	case fault:
		return s.fault(s.config.Faults[e.n])
	}
	return s
}
