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

func (s *slice[P]) enqueue(j *job) {
	j.Queued, j.Waits = s.Now(), true
	owner, cost := 0, j.Work()+1
	if s.rules.Fair {
		// Accounts get service in proportion to their rates.
		owner = j.Account
		cost /= s.config.Load.Weights[j.Account]
	}
	s.queue = s.queue.WithItem(owner, fair.Item[*job]{
		Value: j, Cost: cost, Since: clock(s.now),
	})
}

// serve places waiting requests and refuses those that waited too long.
func (s *slice[P]) serve() {
	if s.rules.LateLast {
		s.demote()
	}
	for s.queue.Len() > 0 {
		owner, item, ok := s.queue.Next(clock(s.now), func(j *job) bool {
			if s.Now().After(j.Queued.Add(s.config.AdmitTerm)) {
				return true
			}
			_, _, ok := s.policy.Pick(s.Fleet, j.Request, 0)
			return ok
		})
		if !ok {
			return
		}
		j := item.Value
		if s.Now().After(j.Queued.Add(s.config.AdmitTerm)) {
			s.queue = s.queue.Without(owner, j)
			j.finished = true
			if j.inRate {
				s.refused++
			}
			continue
		}
		s.queue = s.queue.WithoutNext(owner)
		s.place(j)
	}
}

// demote moves requests that missed the target for the first token to lanes of
// a lower priority, so that they delay none that can still keep it.
func (s *slice[P]) demote() {
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
}

func (s *slice[P]) place(j *job) bool {
	next, plan, ok := s.policy.Pick(s.Fleet, j.Request, s.rng.Uint64())
	s.policy = next
	if !ok {
		return false
	}
	j.prefill, j.decode = s.machines[plan.Prefill], s.machines[plan.Decode]
	j.cheap = j.prefill.cheap || j.decode.cheap
	j.prefill.used++
	if j.decode != j.prefill {
		j.decode.used++
	}
	j.todo = j.Prompt
	if i := slices.Index(j.prefill.cache, j.Key); i >= 0 {
		j.todo = max(1, j.Prompt-j.Shared)
	}
	s.backlogs = s.backlogs.WithSend(j.prefill.id, clock(s.now), float64(j.Prompt)*float64(s.config.Engine.PromptToken))
	j.prefill.prompts = append(j.prefill.prompts, j)
	s.start(j.prefill)
	return true
}
