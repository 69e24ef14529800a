package engine

import (
	"cmp"
	"slices"
	"time"
)

// advance ends the iterations that are due and starts the next one.
func (s State) advance(at time.Time, out []Effect) (State, []Effect) {
	grown := map[string]bool{}
	crashed := false
	for {
		if s.due.IsZero() {
			if s, crashed = s.admit(at); crashed {
				return s.crash(at, out)
			}
			if s.batch.Len() == 0 {
				break
			}
			s.due = at.Add(s.cost())
		}
		if s.due.After(at) {
			break
		}
		began := s.due
		s = s.iterate(grown, at)
		s.due = time.Time{}
		if s, crashed = s.admit(at); crashed {
			return s.crash(at, out)
		}
		if s.batch.Len() > 0 {
			if at.Sub(began) > catchUp {
				began = at
			}
			s.due = began.Add(s.cost())
		}
	}
	s, out = s.tell(grown, out)
	s = s.forgotten()
	s.load = s.load.sampled(s.loadBody(at), at, s.settings.LoadLag)
	return s, out
}

// admit moves requests from the queue into the batch. It reports whether one
// of them crashes the engine.
func (s State) admit(at time.Time) (State, bool) {
	for s.batch.Len() < s.settings.Slots && s.queue.Len() > 0 {
		itr := s.queue.Iterator()
		position, id, _ := itr.Next()
		r, _ := s.runs.Get(id)
		if s.pinned+r.pieces() > s.settings.MemoryPieces {
			// A large request waits for memory; smaller ones behind it wait too,
			// or it would never run.
			break
		}
		if r.marked {
			return s, true
		}
		s.queue = s.queue.Delete(position)
		s.batch = s.batch.Set(r.seq, id)
		s.pinned += r.pieces()
		r.phase = running
		var hits int
		s.cache, hits = s.cache.hits(r.prefixes)
		r.cachedTokens = min(r.promptTokens, hits*PieceTokens)
		r.prefill = r.promptTokens - r.cachedTokens
		s.stats.Cached += uint64(r.cachedTokens)
		s.runs = s.runs.Set(id, r)
		s.cache = s.cache.limited(s.settings.MemoryPieces-s.pinned, at, s.settings)
	}
	return s, false
}

// share is what one iteration does for a request.
type share struct {
	run     run
	prefill int
	tokens  int
}

// plan divides the next iteration: up to a chunk of prefill in order of
// arrival, and one token for each request that has its prompt processed.
func (s State) plan() []share {
	left := max(1, s.settings.ChunkTokens)
	var shares []share
	for itr := s.batch.Iterator(); !itr.Done(); {
		_, id, _ := itr.Next()
		r, _ := s.runs.Get(id)
		next := share{run: r}
		if r.prefill > 0 {
			next.prefill = min(left, r.prefill)
			left -= next.prefill
		} else {
			next.tokens = 1
		}
		shares = append(shares, next)
	}
	return shares
}

// cost returns the time that the next iteration takes.
func (s State) cost() time.Duration {
	if s.free() {
		return 0
	}
	prefill, tokens := 0, 0
	for _, next := range s.plan() {
		prefill += next.prefill
		tokens += next.tokens
	}
	prefillFactor, decodeFactor := s.orders.factors()
	cost := s.settings.IterationBase +
		time.Duration(prefill*prefillFactor)*s.settings.PrefillPerToken +
		time.Duration(tokens*decodeFactor)*s.settings.DecodePerToken
	if s.faults.Slow > 0 {
		cost = time.Duration(float64(cost) * s.faults.Slow)
	}
	return cost
}

// free tells that nothing costs time.
func (s State) free() bool {
	return s.settings.IterationBase+s.settings.PrefillPerToken+s.settings.DecodePerToken == 0
}

// iterate does the work of one iteration, or, where nothing costs time, of all
// iterations that the batch needs.
func (s State) iterate(grown map[string]bool, at time.Time) State {
	for _, next := range s.plan() {
		r := next.run
		if s.free() {
			next.prefill, next.tokens = r.prefill, r.maxTokens-r.made
		}
		if next.prefill > 0 {
			s.stats.Prefilled += uint64(next.prefill)
			r.prefill -= next.prefill
			if r.prefill == 0 {
				s.cache = s.cache.filled(r.prefixes, s.settings.MemoryPieces-s.pinned, at, s.settings)
			}
		}
		if next.tokens > 0 {
			r.made += next.tokens
			s.stats.Tokens += uint64(next.tokens)
			grown[r.id] = true
		}
		if r.prefill == 0 && r.made >= r.maxTokens {
			r.phase = ended
			grown[r.id] = true
			s.batch = s.batch.Delete(r.seq)
			s.pinned -= r.pieces()
			s.held = s.held.Append(r.id)
		}
		s.runs = s.runs.Set(r.id, r)
	}
	return s
}

// forgotten drops the oldest ended requests over the bound.
func (s State) forgotten() State {
	for s.held.Len() > s.settings.MaxHeld {
		id := s.held.Get(0)
		s.held = s.held.Slice(1, s.held.Len())
		if r, ok := s.runs.Get(id); ok && r.phase == ended {
			s.runs = s.runs.Delete(id)
		}
	}
	return s
}

// tell tells the streams of the requests that have grown.
func (s State) tell(grown map[string]bool, out []Effect) (State, []Effect) {
	var told []run
	for id := range grown {
		if r, ok := s.runs.Get(id); ok {
			told = append(told, r)
		}
	}
	slices.SortFunc(told, func(a, b run) int { return cmp.Compare(a.seq, b.seq) })
	for _, r := range told {
		s, out = s.told(r, out)
	}
	return s, out
}

// crash ends the engine's process until its restart.
func (s State) crash(at time.Time, out []Effect) (State, []Effect) {
	s.stats.Crashes++
	s, out = s.emptied(out)
	s.orders = newOrders(s.settings.Models)
	return s, append(out, Crash{RestartAt: at.Add(s.faults.CrashTerm)})
}
