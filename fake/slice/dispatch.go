package slice

import (
	"slices"
	"time"

	"caroblane/core/fair"
)

// latePriority is below that of requests that can still keep their target.
const latePriority = -10

// fairAge is the waiting time that raises a priority by one.
const fairAge = 500 * time.Millisecond

// arrived places a request, or lets it wait. One arrival is scheduled at a
// time, to keep the heap small.
func (s state[P]) arrived(n int) state[P] {
	j := s.jobs[n]
	if n+1 < len(s.jobs) {
		s = s.after(s.jobs[n+1].at-s.now, event{kind: arrive, n: n + 1})
	}
	s.policy = s.policy.WithArrival(s.Now(), j.Request)
	placed := false
	if s.queue.Len() == 0 {
		s, placed = s.place(j)
	}
	if !placed {
		s = s.enqueue(j)
	}
	return s
}

func (s state[P]) enqueue(j job) state[P] {
	j.Queued, j.Waits = s.now, true
	owner, cost := 0, j.Work()+1
	if s.rules.Fair {
		// Accounts get service in proportion to their rates.
		owner = j.Account
		cost /= s.config.Load.Weights[j.Account]
	}
	s.queue = s.queue.WithItem(owner, fair.Item[job]{Value: j, Cost: cost, Since: s.Now()})
	return s
}

func (s state[P]) overdue(j job) bool { return s.now > j.Queued+s.config.AdmitTerm }

// serve places waiting requests and refuses those that waited too long.
func (s state[P]) serve() state[P] {
	if s.rules.LateLast {
		s = s.demote()
	}
	for s.queue.Len() > 0 {
		owner, item, ok := s.queue.Next(s.Now(), func(j job) bool {
			if s.overdue(j) {
				return true
			}
			_, _, ok := s.policy.Pick(s.Fleet, j.Request, 0)
			return ok
		})
		if !ok {
			return s
		}
		j := item.Value
		if s.overdue(j) {
			s.queue = s.queue.Without(owner, j)
			if j.inRate {
				s.refused++
			}
			s = s.withEffect(ended{j})
			continue
		}
		s.queue = s.queue.WithoutNext(owner)
		var placed bool
		if s, placed = s.place(j); !placed {
			// A policy may refuse by the draw. The request keeps its due time.
			s.queue = s.queue.WithItem(owner, item)
			return s
		}
	}
	return s
}

// demote moves requests that missed the target for the first token to lanes of
// a lower priority, so that they delay none that can still keep it.
func (s state[P]) demote() state[P] {
	for a := range s.config.Load.Weights {
		for {
			item, ok := s.queue.First(a)
			if !ok || s.now <= item.Value.at+s.config.FirstTarget {
				break
			}
			s.queue = s.queue.Without(a, item.Value)
			item.Priority = latePriority
			s.queue = s.queue.WithItem(len(s.config.Load.Weights)+a, item)
		}
	}
	return s
}

// place sends a request to the engines that the policy picks, if there are any.
func (s state[P]) place(j job) (state[P], bool) {
	draw := s.draws.Uint64()
	next, plan, ok := s.policy.Pick(s.Fleet, j.Request, draw)
	s.policy = next
	if !ok {
		return s, false
	}
	j.prefill, j.decode = plan.Prefill, plan.Decode
	j.cheap = s.engines[j.prefill].cheap || s.engines[j.decode].cheap
	if j.decode != j.prefill {
		s = s.withEngine(s.engines[j.decode].withUsed(1))
	}
	e := s.engines[j.prefill].withUsed(1)
	j.todo = j.Prompt
	if slices.Contains(e.cache, j.Key) {
		j.todo = max(1, j.Prompt-j.Shared)
	}
	load := float64(j.Prompt) * float64(s.config.Engine.PromptToken)
	s = s.withBacklogs(s.backlogs.WithSend(e.id, s.Now(), load))
	return s.withEngine(e.withPrompt(j)).start(e.id), true
}
