package fleet

import (
	"slices"

	"caroblane/core/model"
)

const (
	// maxHolders is the number of engines remembered for each prefix.
	maxHolders = 3
	// maxPrefixes bounds the known prefixes. When it is reached, all are
	// dropped and learned again.
	maxPrefixes = 16384
)

// prefixHolders are the engines that processed a shared prompt prefix most
// recently, the latest first.
type prefixHolders []model.UpstreamName

// HasPrefix reports whether an engine is expected to have a shared prompt prefix
// cached.
func (s State) HasPrefix(name model.UpstreamName, key uint64) bool {
	known, _ := s.prefixHolders.Get(key)
	return slices.Contains(known, name)
}

// withPrefixHolder records that an engine processes a prompt.
func (s State) withPrefixHolder(p model.PromptPlaced) State {
	known, _ := s.prefixHolders.Get(p.PrefixHash)
	if len(known) > 0 && known[0] == p.Upstream {
		return s
	}
	next := prefixHolders{p.Upstream}
	for _, name := range known {
		if name != p.Upstream && len(next) < maxHolders {
			next = append(next, name)
		}
	}
	if s.prefixHolders.Len() >= maxPrefixes {
		s.prefixHolders = New().prefixHolders
	}
	s.prefixHolders = s.prefixHolders.Set(p.PrefixHash, next)
	return s
}
