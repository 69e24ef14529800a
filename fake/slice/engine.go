package slice

import (
	"slices"
	"time"

	"caroblane/core/model"
)

// job is a request and its progress.
type job struct {
	Request
	id     int
	at     time.Duration
	inRate bool
	// todo is the tokens of the prompt still to compute.
	todo            int
	got, late       int
	first, last     time.Duration
	prefill, decode int
	cheap           bool
	// run counts restarts, so that events of an earlier run have no effect.
	run  int
	done bool
}

// withToken returns the job after a token.
func (j job) withToken(at time.Duration) job {
	j.got++
	j.last = at
	j.done = j.got >= j.Output
	return j
}

// engine is an emulated engine. Its slices are never changed in place.
type engine struct {
	id    int
	zone  model.ZoneName
	cheap bool
	role  model.Role
	down  bool
	to    model.Role
	// closing engines drain or change their role; away ones change it.
	closing, away bool
	running       bool
	prompts       []job
	batch         []job
	joining       []job
	// used is the requests that hold a slot, known to the dispatcher.
	used  int
	cache []uint64
	busy  time.Duration
	epoch int
}

func (e engine) withUsed(change int) engine {
	e.used += change
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

// withCached puts a prefix at the end of the cache, which keeps the last ones.
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

// without returns the jobs except the one with the given number.
func without(jobs []job, id int) []job {
	i := slices.IndexFunc(jobs, func(j job) bool { return j.id == id })
	if i < 0 {
		return jobs
	}
	return slices.Concat(jobs[:i], jobs[i+1:])
}

// withBatch moves the joining requests to the batch.
func (e engine) withBatch() engine {
	if len(e.joining) > 0 {
		e.batch, e.joining = slices.Concat(e.batch, e.joining), nil
	}
	return e
}

// withIteration returns the engine in its next iteration, and how long that
// takes.
func (e engine) withIteration(c EngineConfig) (engine, time.Duration) {
	room, took := c.PromptPiece, c.PromptBase
	if len(e.batch) > 0 {
		room, took = c.MixedPiece, c.StepBase+time.Duration(len(e.batch))*c.StepRequest
	}
	e.prompts = slices.Clone(e.prompts)
	for i := range e.prompts {
		n := min(room, e.prompts[i].todo)
		e.prompts[i].todo -= n
		room -= n
		took += time.Duration(n) * c.PromptToken
		if room == 0 {
			break
		}
	}
	e.running = true
	e.busy += took
	return e, took
}
