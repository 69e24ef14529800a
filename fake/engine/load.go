package engine

import "time"

// LoadBody is the body of GET /load.
type LoadBody struct {
	Running int
	Queued  int
	Slots   int
	// PinnedPieces is the memory of the running requests, CachedPieces that of
	// the prefix cache, and MemoryPieces the capacity for both. All three are
	// in blocks.
	PinnedPieces int
	CachedPieces int
	MemoryPieces int
	Role         string
	Changing     bool
}

// delayedLoad is the load as it is published. The visible value is the sample
// before the last one, so it is at least one lag old.
type delayedLoad struct {
	visible    LoadBody
	pending    LoadBody
	nextSample time.Time
}

func (p delayedLoad) withSample(load LoadBody, at time.Time, lag time.Duration) delayedLoad {
	if lag == 0 {
		return delayedLoad{visible: load}
	}
	if at.Before(p.nextSample) {
		return p
	}
	if at.Sub(p.nextSample) > lag {
		p.pending = load
	}
	return delayedLoad{visible: p.pending, pending: load, nextSample: at.Add(lag)}
}

func (s State) currentLoad(at time.Time) LoadBody {
	return LoadBody{
		Running:      s.batch.Len(),
		Queued:       s.queue.Len(),
		Slots:        s.settings.Slots,
		PinnedPieces: s.pinnedBlocks,
		CachedPieces: s.cache.blocks.Len(),
		MemoryPieces: s.settings.MemoryPieces,
		Role:         s.orders.role,
		Changing:     s.orders.changing(at),
	}
}
