package engine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/benbjohnson/immutable"
)

// cache is a prefix cache with LRU eviction. It holds KV cache blocks, each
// identified by the hash of the prompt up to the end of the block.
type cache struct {
	// useCount is the number of block uses so far. It serves as a logical
	// clock.
	useCount uint64
	// blocks maps each block to the useCount of its last use, and lru maps the
	// useCount to the block.
	blocks *immutable.Map[uint64, uint64]
	lru    *immutable.SortedMap[uint64, uint64]
	seq    uint64
	events *immutable.List[cacheEvent]
}

// CacheEvent announces that a block was added to the cache or evicted.
type CacheEvent struct {
	// Seq numbers the events. A gap means that an event was lost.
	Seq    uint64
	Stored bool
	Prefix uint64 `json:",string"`
}

// cacheEvent is an event with the time from which on readers see it.
type cacheEvent struct {
	CacheEvent
	visibleAt time.Time
}

// CacheEventsBody is the body of GET /cache-events.
type CacheEventsBody struct {
	// Next is the sequence number for the next read's after parameter.
	Next   uint64
	Events []CacheEvent
}

// KVBody is the body of the export and the import of a cached block.
type KVBody struct {
	Prefix uint64 `json:",string"`
	Tokens int
}

type prefixHasher struct{}

func (prefixHasher) Equal(a, b uint64) bool { return a == b }

func (prefixHasher) Hash(prefix uint64) uint32 { return uint32(prefix ^ prefix>>32) }

func newCache() cache {
	return cache{
		blocks: immutable.NewMap[uint64, uint64](prefixHasher{}),
		lru:    immutable.NewSortedMap[uint64, uint64](nil),
		events: immutable.NewList[cacheEvent](),
	}
}

// eventsAfter returns the visible events after a sequence number.
func (c cache) eventsAfter(e ReadCacheEvents, at time.Time) CacheEventsBody {
	body := CacheEventsBody{Next: e.After}
	for itr := c.events.Iterator(); !itr.Done() && len(body.Events) < e.Limit; {
		_, event := itr.Next()
		if event.visibleAt.After(at) {
			break
		}
		if event.Seq > e.After {
			body.Events = append(body.Events, event.CacheEvent)
			body.Next = event.Seq
		}
	}
	return body
}

// cleared returns the cache without blocks. It publishes no events, as a
// process that ends publishes none either.
func (c cache) cleared() cache {
	fresh := newCache()
	c.blocks, c.lru = fresh.blocks, fresh.lru
	return c
}

// withPrompt returns the cache with the blocks of a prompt added, limited to
// the given number of blocks.
func (c cache) withPrompt(prefixes []uint64, limit int, at time.Time, settings Settings) cache {
	for _, prefix := range prefixes {
		if _, ok := c.blocks.Get(prefix); !ok {
			c = c.withEvent(prefix, true, at, settings)
		}
		c = c.touched(prefix)
	}
	return c.evictTo(limit, at, settings)
}

// lookup returns how many leading blocks of a prompt are cached, and the cache
// after their use.
func (c cache) lookup(prefixes []uint64) (cache, int) {
	for i, prefix := range prefixes {
		if _, ok := c.blocks.Get(prefix); !ok {
			return c, i
		}
		c = c.touched(prefix)
	}
	return c, len(prefixes)
}

// evictTo evicts the least recently used blocks beyond limit.
func (c cache) evictTo(limit int, at time.Time, settings Settings) cache {
	for c.blocks.Len() > max(0, limit) {
		itr := c.lru.Iterator()
		use, prefix, _ := itr.Next()
		c.lru = c.lru.Delete(use)
		c.blocks = c.blocks.Delete(prefix)
		c = c.withEvent(prefix, false, at, settings)
	}
	return c
}

// withEvent returns the cache with a new event. Every CacheEventGap-th event is
// lost: it gets a number but is not published.
func (c cache) withEvent(prefix uint64, stored bool, at time.Time, settings Settings) cache {
	c.seq++
	if settings.CacheEventGap > 0 && c.seq%uint64(settings.CacheEventGap) == 0 {
		return c
	}
	c.events = c.events.Append(cacheEvent{
		CacheEvent: CacheEvent{Seq: c.seq, Stored: stored, Prefix: prefix},
		visibleAt:  at.Add(settings.CacheEventLag),
	})
	if c.events.Len() > maxCacheEvents {
		c.events = c.events.Slice(1, c.events.Len())
	}
	return c
}

func (c cache) touched(prefix uint64) cache {
	if use, ok := c.blocks.Get(prefix); ok {
		c.lru = c.lru.Delete(use)
	}
	c.useCount++
	c.blocks = c.blocks.Set(prefix, c.useCount)
	c.lru = c.lru.Set(c.useCount, prefix)
	return c
}

func (s State) exportBlock(e Export) Response {
	if _, ok := s.cache.blocks.Get(e.Prefix); !ok {
		return refusal(e.Ticket, http.StatusNotFound, "NotHeld", "prefix "+strconv.FormatUint(e.Prefix, 10)+" is not cached")
	}
	return Response{Ticket: e.Ticket, Status: http.StatusOK, Body: KVBody{Prefix: e.Prefix, Tokens: BlockTokens}}
}

func (s State) importBlock(e Import, at time.Time, out []Effect) (State, []Effect) {
	free := s.settings.MemoryPieces - s.pinnedBlocks
	if free < 1 {
		return s, append(out, refusal(e.Ticket, http.StatusServiceUnavailable, "Full", "running requests take all memory"))
	}
	s.cache = s.cache.withPrompt([]uint64{e.Prefix}, free, at, s.settings)
	return s, append(out, Response{Ticket: e.Ticket, Status: http.StatusOK, Body: KVBody{Prefix: e.Prefix, Tokens: BlockTokens}})
}
