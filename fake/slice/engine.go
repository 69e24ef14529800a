package slice

import (
	"slices"
	"time"

	"caroblane/core/model"
)

// job is a request and its progress.
type job struct {
	Request
	at             time.Duration
	last           time.Duration
	inRate         bool
	todo           int // tokens of the prompt still to compute
	got, late      int
	first          time.Duration
	prefill        *machine
	decode         *machine
	cheap          bool
	run            int // counts restarts, so that old events have no effect
	done, finished bool
}

// machine is a fake engine.
type machine struct {
	id      int
	zone    model.ZoneName
	cheap   bool
	role    model.Role
	down    bool
	to      model.Role
	closing bool // drains or changes its role
	away    bool // changes its role
	running bool
	prompts []*job
	batch   []*job
	joining []*job
	used    int // requests that hold a slot, known to the dispatcher
	cache   []uint64
	busy    time.Duration
	epoch   int
}

// start begins an iteration of an engine that has work.
func (s *slice[P]) start(m *machine) {
	if m.running || m.down {
		return
	}
	m.batch = append(m.batch, m.joining...)
	m.joining = m.joining[:0]
	if len(m.batch) == 0 && len(m.prompts) == 0 {
		s.drained(m)
		return
	}
	room, took := s.config.Engine.PromptPiece, s.config.Engine.PromptBase
	if len(m.batch) > 0 {
		room, took = s.config.Engine.MixedPiece, s.config.Engine.StepBase+time.Duration(len(m.batch))*s.config.Engine.StepRequest
	}
	for _, j := range m.prompts {
		n := min(room, j.todo)
		j.todo -= n
		room -= n
		took += time.Duration(n) * s.config.Engine.PromptToken
		if room == 0 {
			break
		}
	}
	m.running = true
	m.busy += took
	s.after(took, event{kind: iterate, m: m, n: m.epoch})
}

// iterated ends an iteration: a token for each request of the batch, and the
// first token for each prompt that is complete.
func (s *slice[P]) iterated(m *machine) {
	m.running = false
	m.batch = slices.DeleteFunc(m.batch, func(j *job) bool {
		if s.now-j.last > s.config.NextTarget {
			j.late++
		}
		return s.token(j)
	})
	m.prompts = slices.DeleteFunc(m.prompts, func(j *job) bool {
		if j.todo > 0 {
			return false
		}
		j.first = s.now - j.at
		m.cache = slices.DeleteFunc(m.cache, func(key uint64) bool { return key == j.Key })
		m.cache = append(m.cache, j.Key)
		if len(m.cache) > s.config.Engine.CachePrefixes {
			m.cache = m.cache[1:]
		}
		if s.token(j) {
			return true
		}
		if j.decode == m {
			m.joining = append(m.joining, j)
			return true
		}
		m.used--
		s.after(s.config.Engine.TransferBase+time.Duration(j.Prompt)*s.config.Engine.TransferToken, event{kind: join, m: j.decode, j: j, n: j.run})
		return true
	})
	s.start(m)
}

func (s *slice[P]) token(j *job) bool {
	j.got++
	j.last = s.now
	if j.got < j.Output {
		return false
	}
	j.done, j.finished = true, true
	j.decode.used--
	return true
}
