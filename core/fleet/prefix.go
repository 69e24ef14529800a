package fleet

import (
	"slices"
	"time"

	"caroblane/core/model"
)

const (
	// maxHolders is the number of engines remembered for each prefix.
	maxHolders = 8
	// maxPrefixes bounds the known prefixes. When it is reached, all are
	// dropped and learned again.
	maxPrefixes = 16384
	// cacheFraction is the fraction of an engine's memory that is assumed to hold
	// cached prompts. Running requests use the rest.
	cacheFraction = 0.7
)

// CachedPrefix is the leading part of a prompt that an engine has cached.
type CachedPrefix struct {
	Upstream
	Tokens int
	// ReadyAt is when the engine is expected to have computed it.
	ReadyAt time.Time
}

// prefixHolder is an engine that processed a shared prompt prefix.
type prefixHolder struct {
	name        model.UpstreamName
	incarnation model.Incarnation
	// filled is Upstream.filled at the last use of the prefix.
	filled float64
	// readyAt is when the engine is expected to have computed the prefix.
	readyAt time.Time
}

// prefixHolders are the engines that processed a shared prompt prefix most
// recently, the latest first.
type prefixHolders []prefixHolder

// CachedPrefixes returns the active engines that are expected to have the first
// of the given parts of a prompt cached, each with the longest sequence of parts
// that it has. Capacity is the memory of an engine in tokens.
func (s State) CachedPrefixes(parts []model.PromptPart, capacity float64) []CachedPrefix {
	var cached []CachedPrefix
	tokens := 0
	for _, part := range parts {
		tokens += part.Tokens
		holders, _ := s.prefixHolders.Get(part.Hash)
		for _, holder := range holders {
			u, found := s.upstreams.Get(holder.name)
			if !found || u.State != model.UpstreamActive || !u.keeps(holder, capacity) {
				continue
			}
			i := slices.IndexFunc(cached, func(c CachedPrefix) bool { return c.Name == holder.name })
			if i < 0 {
				cached = append(cached, CachedPrefix{Upstream: u, Tokens: tokens, ReadyAt: holder.readyAt})
				continue
			}
			cached[i].Tokens = tokens
			if holder.readyAt.After(cached[i].ReadyAt) {
				cached[i].ReadyAt = holder.readyAt
			}
		}
	}
	return cached
}

// keeps reports whether a prefix is still in the cache of the engine, which
// evicts the least recently used ones. An engine that has restarted keeps none.
func (u Upstream) keeps(holder prefixHolder, capacity float64) bool {
	added := u.filled - holder.filled
	return u.Incarnation == holder.incarnation && (capacity <= 0 || added <= cacheFraction*capacity)
}

// withPrompt records that an engine processes a prompt with the given part.
func (s State) withPrompt(p model.PromptPlaced, at time.Time) State {
	u, found := s.upstreams.Get(p.Upstream)
	if !found {
		return s
	}
	if p.Tokens > 0 {
		u.filled += float64(p.Tokens)
		s.upstreams = s.upstreams.Set(p.Upstream, u)
	}
	known, _ := s.prefixHolders.Get(p.PrefixHash)
	latest := prefixHolder{p.Upstream, u.Incarnation, u.filled, at.Add(time.Duration(u.PromptBacklog() * float64(s.TokenTime(u))))}
	next := append(make(prefixHolders, 0, min(len(known)+1, maxHolders)), latest)
	for _, holder := range known {
		switch {
		case holder.name == p.Upstream && u.keeps(holder, 0):
			next[0].readyAt = holder.readyAt
		case holder.name != p.Upstream && len(next) < maxHolders:
			next = append(next, holder)
		}
	}
	if s.prefixHolders.Len() >= maxPrefixes {
		s.prefixHolders = New().prefixHolders
	}
	s.prefixHolders = s.prefixHolders.Set(p.PrefixHash, next)
	return s
}

// placedPrompts returns the entries for the peers about a prompt whose shared
// parts an engine will have in its cache, to which the prompt adds some tokens.
func placedPrompts(name model.UpstreamName, parts []model.PromptPart, added int) []model.PromptPlaced {
	placed := make([]model.PromptPlaced, 0, len(parts))
	for _, part := range parts {
		placed = append(placed, model.PromptPlaced{Upstream: name, PrefixHash: part.Hash})
	}
	if len(placed) > 0 {
		placed[len(placed)-1].Tokens = added
	}
	return placed
}
