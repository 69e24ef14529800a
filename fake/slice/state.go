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

// state is the immutable state of a run.
type state[P Policy[P]] struct {
	*Fleet
	policy P
	rules  Rules
	// jobs is the generated load. The index is the ID of the request.
	jobs  []job
	queue fair.Queue[int, job]
	// transfers are the requests whose KV cache is being transferred.
	transfers   []job
	random      rand.PCG
	roleChanges int
	interrupted int
	refused     int
	// effects are those of the event that was applied last.
	effects []effect
}

func newState[P Policy[P]](config Config, policy P) state[P] {
	s := state[P]{
		policy: policy, rules: policy.Rules(),
		jobs:   config.Load.generate(config.Seed),
		queue:  fair.New[int, job](agingInterval),
		random: *rand.NewPCG(config.Seed, 2),
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

func (s state[P]) withEffect(e effect) state[P] {
	s.effects = append(slices.Clip(s.effects), e)
	return s
}

func (s state[P]) schedule(delay time.Duration, e event) state[P] {
	return s.withEffect(scheduleEvent{delay, e})
}

// withInitialEvents returns the state with effects that schedule the first events
// of a run.
func (s state[P]) withInitialEvents() state[P] {
	s = s.schedule(s.jobs[0].arrivedAt, event{kind: arrivalDue})
	for i := range s.engines {
		s = s.schedule(time.Duration(i)*10*time.Millisecond, event{kind: reportDue, engine: i})
	}
	s = s.schedule(s.config.ServeEvery, event{kind: serveDue}).schedule(time.Second, event{kind: adjustDue})
	for i, f := range s.config.Faults {
		s = s.schedule(f.At, event{kind: faultDue, arg: i})
	}
	return s
}

// apply is the reducer over all events. It returns the next state, whose effects
// are only those of this event.
func (s state[P]) apply(e event) state[P] {
	s.effects = nil
	s = s.withNow(e.at)
	switch e.kind {
	case arrivalDue:
		return s.handleArrival(e.arg)
	case iterationEnded:
		if e.arg == s.engines[e.engine].epoch {
			return s.finishIteration(e.engine)
		}
	case transferEnded:
		return s.finishTransfer(e)
	case reportDue:
		tokens := 0
		for _, j := range s.engines[e.engine].prompts {
			tokens += j.prefillLeft
		}
		return s.schedule(s.config.ReportLag, event{kind: reportReceived, engine: e.engine, arg: tokens, measuredAt: s.now}).
			schedule(s.config.ReportEvery, event{kind: reportDue, engine: e.engine})
	case reportReceived:
		load := float64(e.arg) * float64(s.config.Engine.PromptToken)
		return s.withBacklogs(s.backlogs.WithReport(e.engine, simTime(e.measuredAt), load))
	case serveDue:
		return s.serveQueue().schedule(s.config.ServeEvery, event{kind: serveDue})
	case adjustDue:
		next, changes := s.policy.Adjust(s.Fleet)
		s.policy = next
		return s.startRoleChanges(changes).schedule(time.Second, event{kind: adjustDue})
	case roleChanged:
		if m := *s.engines[e.engine]; e.arg == m.epoch {
			m.role, m.changingRole, m.offline = m.nextRole, false, false
			return s.withEngine(m)
		}
	case faultDue:
		return s.applyFault(s.config.Faults[e.arg])
	}
	return s
}
