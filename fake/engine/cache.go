package engine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/benbjohnson/immutable"
)

// cache is the prefix cache. An entry is one piece, named by the hash of the
// prompt up to the end of the piece.
type cache struct {
	// uses numbers the uses of pieces.
	uses uint64
	// pieces holds the number of each piece's last use, and oldest the reverse.
	pieces *immutable.Map[uint64, uint64]
	oldest *immutable.SortedMap[uint64, uint64]
	seq    uint64
	events *immutable.List[cacheEvent]
}

// CacheEvent tells that a piece came into the cache or left it.
type CacheEvent struct {
	// Seq numbers the events. A missing number is a lost event.
	Seq    uint64
	Stored bool
	Prefix uint64 `json:",string"`
}

// cacheEvent is published when it is due.
type cacheEvent struct {
	CacheEvent
	due time.Time
}

// CacheEventsBody is the answer to GET /cache-events.
type CacheEventsBody struct {
	// Next is the sequence number to continue after.
	Next   uint64
	Events []CacheEvent
}

// KVBody is the cache entry of a prefix, as exported and imported.
type KVBody struct {
	Prefix uint64 `json:",string"`
	Tokens int
}

type prefixHasher struct{}

func (prefixHasher) Equal(a, b uint64) bool { return a == b }

func (prefixHasher) Hash(prefix uint64) uint32 { return uint32(prefix ^ prefix>>32) }

func newCache() cache {
	return cache{
		pieces: immutable.NewMap[uint64, uint64](prefixHasher{}),
		oldest: immutable.NewSortedMap[uint64, uint64](nil),
		events: immutable.NewList[cacheEvent](),
	}
}

// after returns the published events after a sequence number.
func (c cache) after(e ReadCacheEvents, at time.Time) CacheEventsBody {
	body := CacheEventsBody{Next: e.After}
	for itr := c.events.Iterator(); !itr.Done() && len(body.Events) < e.Limit; {
		_, event := itr.Next()
		if event.due.After(at) {
			break
		}
		if event.Seq > e.After {
			body.Events = append(body.Events, event.CacheEvent)
			body.Next = event.Seq
		}
	}
	return body
}

// emptied returns the cache without pieces. Readers of the events are not
// told, as they are not when a process ends.
func (c cache) emptied() cache {
	fresh := newCache()
	c.pieces, c.oldest = fresh.pieces, fresh.oldest
	return c
}

// filled returns the cache with the pieces of a prompt, bounded to limit.
func (c cache) filled(prefixes []uint64, limit int, at time.Time, settings Settings) cache {
	for _, prefix := range prefixes {
		if _, ok := c.pieces.Get(prefix); !ok {
			c = c.published(prefix, true, at, settings)
		}
		c = c.touched(prefix)
	}
	return c.limited(limit, at, settings)
}

// hits returns how many pieces from the start of a prompt are cached, and the
// cache after their use.
func (c cache) hits(prefixes []uint64) (cache, int) {
	for i, prefix := range prefixes {
		if _, ok := c.pieces.Get(prefix); !ok {
			return c, i
		}
		c = c.touched(prefix)
	}
	return c, len(prefixes)
}

// limited returns the cache after the pieces with the oldest use have left.
func (c cache) limited(limit int, at time.Time, settings Settings) cache {
	for c.pieces.Len() > max(0, limit) {
		itr := c.oldest.Iterator()
		use, prefix, _ := itr.Next()
		c.oldest = c.oldest.Delete(use)
		c.pieces = c.pieces.Delete(prefix)
		c = c.published(prefix, false, at, settings)
	}
	return c
}

// published adds an event unless it is one of those that get lost.
func (c cache) published(prefix uint64, stored bool, at time.Time, settings Settings) cache {
	c.seq++
	if settings.CacheEventGap > 0 && c.seq%uint64(settings.CacheEventGap) == 0 {
		return c
	}
	c.events = c.events.Append(cacheEvent{
		CacheEvent: CacheEvent{Seq: c.seq, Stored: stored, Prefix: prefix},
		due:        at.Add(settings.CacheEventLag),
	})
	if c.events.Len() > maxCacheEvents {
		c.events = c.events.Slice(1, c.events.Len())
	}
	return c
}

func (c cache) touched(prefix uint64) cache {
	if use, ok := c.pieces.Get(prefix); ok {
		c.oldest = c.oldest.Delete(use)
	}
	c.uses++
	c.pieces = c.pieces.Set(prefix, c.uses)
	c.oldest = c.oldest.Set(c.uses, prefix)
	return c
}

func (s State) export(e Export) Answer {
	if _, ok := s.cache.pieces.Get(e.Prefix); !ok {
		return refusal(e.Ticket, http.StatusNotFound, "NotHeld", "prefix "+strconv.FormatUint(e.Prefix, 10)+" is not cached")
	}
	return Answer{Ticket: e.Ticket, Status: http.StatusOK, Body: KVBody{Prefix: e.Prefix, Tokens: PieceTokens}}
}

func (s State) imported(e Import, at time.Time, out []Effect) (State, []Effect) {
	free := s.settings.MemoryPieces - s.pinned
	if free < 1 {
		return s, append(out, refusal(e.Ticket, http.StatusServiceUnavailable, "Full", "running requests take all memory"))
	}
	s.cache = s.cache.filled([]uint64{e.Prefix}, free, at, s.settings)
	return s, append(out, Answer{Ticket: e.Ticket, Status: http.StatusOK, Body: KVBody{Prefix: e.Prefix, Tokens: PieceTokens}})
}
