package engine

import "time"

// LoadBody is the answer to GET /load.
type LoadBody struct {
	Running int
	Queued  int
	Slots   int
	// PinnedPieces is the memory of the running requests, CachedPieces that of
	// the prefix cache, and MemoryPieces the sum that there is.
	PinnedPieces int
	CachedPieces int
	MemoryPieces int
	Role         string
	Changing     bool
}

// published is the load as outsiders see it. The value shown is the one before
// the last sample, so it is at least one lag old.
type published struct {
	shown   LoadBody
	pending LoadBody
	due     time.Time
}

func (p published) sampled(load LoadBody, at time.Time, lag time.Duration) published {
	if lag == 0 {
		return published{shown: load}
	}
	if at.Before(p.due) {
		return p
	}
	if at.Sub(p.due) > lag {
		p.pending = load
	}
	return published{shown: p.pending, pending: load, due: at.Add(lag)}
}

func (s State) loadBody(at time.Time) LoadBody {
	return LoadBody{
		Running:      s.batch.Len(),
		Queued:       s.queue.Len(),
		Slots:        s.settings.Slots,
		PinnedPieces: s.pinned,
		CachedPieces: s.cache.pieces.Len(),
		MemoryPieces: s.settings.MemoryPieces,
		Role:         s.orders.role,
		Changing:     s.orders.changing(at),
	}
}
