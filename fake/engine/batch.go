package engine

import (
	"cmp"
	"slices"
	"time"
)

// advance ends the iterations that are due by at, starts the next one, and
// emits the progress of the requests that they changed.
func (s State) advance(at time.Time, out []Effect) (State, []Effect) {
	progressed := map[string]bool{}
	crashed := false
	for {
		if s.iterationEnd.IsZero() {
			if s, crashed = s.admit(at); crashed {
				return s.crash(at, out)
			}
			if s.batch.Len() == 0 {
				break
			}
			s.iterationEnd = at.Add(s.cost())
		}
		if s.iterationEnd.After(at) {
			break
		}
		start := s.iterationEnd
		s = s.iterate(progressed, at)
		s.iterationEnd = time.Time{}
		if s, crashed = s.admit(at); crashed {
			return s.crash(at, out)
		}
		if s.batch.Len() > 0 {
			if at.Sub(start) > maxCatchUp {
				start = at
			}
			s.iterationEnd = start.Add(s.cost())
		}
	}
	s, out = s.emitAllProgress(progressed, out)
	s = s.evictResumable()
	s.load = s.load.withSample(s.currentLoad(at), at, s.settings.LoadLag)
	return s, out
}

// admit moves requests from the queue into the batch, and fills in from the
// prefix cache how much of their prompts is already processed. It reports
// whether the next request crashes the engine.
func (s State) admit(at time.Time) (State, bool) {
	for s.batch.Len() < s.settings.Slots && s.queue.Len() > 0 {
		itr := s.queue.Iterator()
		key, id, _ := itr.Next()
		r, _ := s.requests.Get(id)
		if s.pinnedBlocks+r.blocks() > s.settings.MemoryPieces {
			// Requests behind one that waits for memory wait too. Otherwise
			// smaller requests would keep overtaking a large one, and it would
			// never run.
			break
		}
		if r.hasCrashMarker {
			return s, true
		}
		s.queue = s.queue.Delete(key)
		s.batch = s.batch.Set(r.seq, id)
		s.pinnedBlocks += r.blocks()
		r.phase = running
		var hits int
		s.cache, hits = s.cache.lookup(r.prefixes)
		r.cachedTokens = min(r.promptTokens, hits*BlockTokens)
		r.prefill = r.promptTokens - r.cachedTokens
		s.stats.Cached += uint64(r.cachedTokens)
		s.requests = s.requests.Set(id, r)
		s.cache = s.cache.evictTo(s.settings.MemoryPieces-s.pinnedBlocks, at, s.settings)
	}
	return s, false
}

// workItem is the work of one iteration for one request, in tokens.
type workItem struct {
	request request
	prefill int
	tokens  int
}

// planIteration returns the work of the next iteration: up to ChunkTokens of
// prefill, in order of arrival, and one output token for each request whose
// prompt is processed.
func (s State) planIteration() []workItem {
	left := max(1, s.settings.ChunkTokens)
	var items []workItem
	for itr := s.batch.Iterator(); !itr.Done(); {
		_, id, _ := itr.Next()
		r, _ := s.requests.Get(id)
		next := workItem{request: r}
		if r.prefill > 0 {
			next.prefill = min(left, r.prefill)
			left -= next.prefill
		} else {
			next.tokens = 1
		}
		items = append(items, next)
	}
	return items
}

// cost returns the duration of the next iteration.
func (s State) cost() time.Duration {
	if s.zeroCost() {
		return 0
	}
	prefill, tokens := 0, 0
	for _, next := range s.planIteration() {
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

// zeroCost reports whether iterations take no time.
func (s State) zeroCost() bool {
	return s.settings.IterationBase+s.settings.PrefillPerToken+s.settings.DecodePerToken == 0
}

// iterate does the work of one iteration. If iterations take no time, it runs
// every request of the batch to its end instead. It adds the requests that
// generated tokens to progressed.
func (s State) iterate(progressed map[string]bool, at time.Time) State {
	for _, next := range s.planIteration() {
		r := next.request
		if s.zeroCost() {
			next.prefill, next.tokens = r.prefill, r.maxTokens-r.generated
		}
		if next.prefill > 0 {
			s.stats.Prefilled += uint64(next.prefill)
			r.prefill -= next.prefill
			if r.prefill == 0 {
				s.cache = s.cache.withPrompt(r.prefixes, s.settings.MemoryPieces-s.pinnedBlocks, at, s.settings)
			}
		}
		if next.tokens > 0 {
			r.generated += next.tokens
			s.stats.Tokens += uint64(next.tokens)
			progressed[r.id] = true
		}
		if r.prefill == 0 && r.generated >= r.maxTokens {
			r.phase = ended
			progressed[r.id] = true
			s.batch = s.batch.Delete(r.seq)
			s.pinnedBlocks -= r.blocks()
			s.resumable = s.resumable.Append(r.id)
		}
		s.requests = s.requests.Set(r.id, r)
	}
	return s
}

// evictResumable drops the oldest ended requests beyond MaxHeld.
func (s State) evictResumable() State {
	for s.resumable.Len() > s.settings.MaxHeld {
		id := s.resumable.Get(0)
		s.resumable = s.resumable.Slice(1, s.resumable.Len())
		if r, ok := s.requests.Get(id); ok && r.phase == ended {
			s.requests = s.requests.Delete(id)
		}
	}
	return s
}

// emitAllProgress emits the progress of the given requests in order of arrival.
func (s State) emitAllProgress(progressed map[string]bool, out []Effect) (State, []Effect) {
	var changed []request
	for id := range progressed {
		if r, ok := s.requests.Get(id); ok {
			changed = append(changed, r)
		}
	}
	slices.SortFunc(changed, func(a, b request) int { return cmp.Compare(a.seq, b.seq) })
	for _, r := range changed {
		s, out = s.emitProgress(r, out)
	}
	return s, out
}

// crash ends all requests, clears the cache and the orders, and closes the
// listener for CrashTerm.
func (s State) crash(at time.Time, out []Effect) (State, []Effect) {
	s.stats.Crashes++
	s, out = s.reset(out)
	s.orders = newOrders(s.settings.Models)
	return s, append(out, Crash{RestartAt: at.Add(s.faults.CrashTerm)})
}
