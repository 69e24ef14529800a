package slice

import (
	"slices"
	"time"

	"caroblane/core/model"
)

// job is a request and its progress through the simulation.
type job struct {
	Request
	id        int
	arrivedAt time.Duration
	// withinRate is false for requests above the account's rate limit.
	withinRate bool
	// prefillLeft is the number of prompt tokens that are not yet computed.
	prefillLeft int
	// generated is the number of output tokens so far, and lateTokens how many
	// of them missed Config.NextTarget.
	generated, lateTokens int
	// firstToken is the time from arrival to the first token.
	firstToken  time.Duration
	lastTokenAt time.Duration
	// prefillEngine and decodeEngine are the same if the engine does both.
	prefillEngine, decodeEngine int
	usedCheap                   bool
	// attempt counts restarts, so that events of earlier attempts are ignored.
	attempt   int
	completed bool
}

// withToken returns the job after another output token.
func (j job) withToken(at time.Duration) job {
	j.generated++
	j.lastTokenAt = at
	j.completed = j.generated >= j.Output
	return j
}

// engine is a simulated engine. Its slices are never modified in place.
type engine struct {
	id    int
	zone  model.ZoneName
	cheap bool
	role  model.Role
	down  bool
	// nextRole is the target role while changingRole is set.
	nextRole model.Role
	// changingRole is set from the start of the drain until the new role is in
	// force. offline is set for the part of it after the drain.
	changingRole, offline bool
	// iterating is set while an iteration is in progress.
	iterating bool
	// prompts are the requests in prefill, batch those in decode, and joining
	// those that enter the batch at the next iteration.
	prompts, batch, joining []job
	// usedSlots is the number of requests that hold a slot. It is known to the
	// dispatcher without a load report.
	usedSlots int
	// cache holds the prefix keys, the most recently used one last.
	cache    []uint64
	busyTime time.Duration
	// epoch is incremented by a crash, so that events from before it are ignored.
	epoch int
}

func (e engine) withUsedSlots(change int) engine {
	e.usedSlots += change
	return e
}

func (e engine) withPrompt(j job) engine {
	e.prompts = append(slices.Clip(e.prompts), j)
	return e
}

func (e engine) withJoining(j job) engine {
	e.joining = append(slices.Clip(e.joining), j)
	return e
}

// withCached returns the engine with a prefix as the most recently used one of its
// cache. The least recently used prefixes beyond the limit are evicted.
func (e engine) withCached(key uint64, limit int) engine {
	cache := make([]uint64, 0, len(e.cache)+1)
	for _, k := range e.cache {
		if k != key {
			cache = append(cache, k)
		}
	}
	cache = append(cache, key)
	e.cache = cache[max(0, len(cache)-limit):]
	return e
}

func (e engine) without(id int) engine {
	e.prompts, e.batch, e.joining = without(e.prompts, id), without(e.batch, id), without(e.joining, id)
	return e
}

// without returns the jobs except the one with the given ID.
func without(jobs []job, id int) []job {
	i := slices.IndexFunc(jobs, func(j job) bool { return j.id == id })
	if i < 0 {
		return jobs
	}
	return slices.Concat(jobs[:i], jobs[i+1:])
}

// withBatch returns the engine with the joining requests moved to the batch.
func (e engine) withBatch() engine {
	if len(e.joining) > 0 {
		e.batch, e.joining = slices.Concat(e.batch, e.joining), nil
	}
	return e
}

// withIteration returns the engine in its next iteration, and the duration of the
// iteration.
func (e engine) withIteration(c EngineConfig) (engine, time.Duration) {
	budget, duration := c.PromptPiece, c.PromptBase
	if len(e.batch) > 0 {
		budget, duration = c.MixedPiece, c.StepBase+time.Duration(len(e.batch))*c.StepRequest
	}
	e.prompts = slices.Clone(e.prompts)
	for i := range e.prompts {
		n := min(budget, e.prompts[i].prefillLeft)
		e.prompts[i].prefillLeft -= n
		budget -= n
		duration += time.Duration(n) * c.PromptToken
		if budget == 0 {
			break
		}
	}
	e.iterating = true
	e.busyTime += duration
	return e, duration
}
