package slice

import (
	"slices"
	"time"

	"caroblane/core/fair"
)

// latePriority is lower than the priority of requests that can still meet their
// target.
const latePriority = -10

// agingInterval is the waiting time after which a priority is raised by one.
const agingInterval = 500 * time.Millisecond

// handleArrival places a request, or queues it. It also schedules the next arrival:
// only one is scheduled at a time, which keeps the heap small.
func (s state[P]) handleArrival(n int) state[P] {
	j := s.jobs[n]
	if n+1 < len(s.jobs) {
		s = s.schedule(s.jobs[n+1].arrivedAt-s.now, event{kind: arrivalDue, arg: n + 1})
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
		// Accounts are served in proportion to their weights.
		owner = j.Account
		cost /= s.config.Load.Weights[j.Account]
	}
	s.queue = s.queue.WithItem(owner, fair.Item[job]{Value: j, Cost: cost, QueuedAt: s.Now()})
	return s
}

func (s state[P]) admitExpired(j job) bool { return s.now > j.Queued+s.config.AdmitTerm }

// serveQueue places queued requests and refuses those whose AdmitTerm has passed.
func (s state[P]) serveQueue() state[P] {
	if s.rules.LateLast {
		s = s.demoteLate()
	}
	for s.queue.Len() > 0 {
		owner, item, ok := s.queue.Next(s.Now(), func(j job) bool {
			if s.admitExpired(j) {
				return true
			}
			_, _, ok := s.policy.Pick(s.Fleet, j.Request, 0)
			return ok
		})
		if !ok {
			return s
		}
		j := item.Value
		if s.admitExpired(j) {
			s.queue = s.queue.WithoutItem(owner, j)
			if j.withinRate {
				s.refused++
			}
			s = s.withEffect(recordEnd{j})
			continue
		}
		s.queue = s.queue.WithServed(owner)
		var placed bool
		if s, placed = s.place(j); !placed {
			// The draw can make a policy reject a request that it accepted above.
			// The request keeps its position in the queue.
			s.queue = s.queue.WithItem(owner, item)
			return s
		}
	}
	return s
}

// demoteLate moves requests that missed the target for the first token to a
// separate queue of their account with a lower priority, so that they do not delay
// requests that can still meet it.
func (s state[P]) demoteLate() state[P] {
	for a := range s.config.Load.Weights {
		for {
			item, ok := s.queue.First(a)
			if !ok || s.now <= item.Value.arrivedAt+s.config.FirstTarget {
				break
			}
			s.queue = s.queue.WithoutItem(a, item.Value)
			item.Priority = latePriority
			s.queue = s.queue.WithItem(len(s.config.Load.Weights)+a, item)
		}
	}
	return s
}

// place sends a request to the engines that the policy picks. It returns false if
// the policy finds none.
func (s state[P]) place(j job) (state[P], bool) {
	draw := s.random.Uint64()
	next, plan, ok := s.policy.Pick(s.Fleet, j.Request, draw)
	s.policy = next
	if !ok {
		return s, false
	}
	j.prefillEngine, j.decodeEngine = plan.Prefill, plan.Decode
	j.usedCheap = s.engines[j.prefillEngine].cheap || s.engines[j.decodeEngine].cheap
	if j.decodeEngine != j.prefillEngine {
		s = s.withEngine(s.engines[j.decodeEngine].withUsedSlots(1))
	}
	e := s.engines[j.prefillEngine].withUsedSlots(1)
	j.prefillLeft = j.Prompt
	if slices.Contains(e.cache, j.Key) {
		j.prefillLeft = max(1, j.Prompt-j.Shared)
	}
	load := float64(j.Prompt) * float64(s.config.Engine.PromptToken)
	s = s.withBacklogs(s.backlogs.WithSend(e.id, s.Now(), load))
	return s.withEngine(e.withPrompt(j)).startIteration(e.id), true
}
