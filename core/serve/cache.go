package serve

import (
	"time"

	"caroblane/core/fleet"
	"caroblane/core/place"
)

// promptCaches are the engines that have a leading part of a prompt in their
// cache.
type promptCaches struct {
	holders []fleet.CachedPrefix
	// transferToken is the time to transfer the KV cache of one token.
	transferToken time.Duration
	at            time.Time
}

// newPromptCaches finds the engines that have a leading part of the prompt of a
// request in their cache.
func newPromptCaches(req openRequest, view View) promptCaches {
	return promptCaches{
		holders:       view.Fleet.CachedPrefixes(req.received.SharedParts(), req.service.KVCapacity),
		transferToken: transferTokenTime(req.service),
		at:            view.At,
	}
}

// cached returns the number of prompt tokens that an engine has in its cache.
func (p promptCaches) cached(c candidate) int {
	for _, holder := range p.holders {
		if holder.Name == c.Name {
			return holder.Tokens
		}
	}
	return 0
}

// source returns the engine from which an engine copies what it lacks of the
// prompt in the shortest time, or one without tokens if there is none.
func (p promptCaches) source(c candidate) fleet.CachedPrefix {
	var best fleet.CachedPrefix
	var bestGain time.Duration
	own := p.cached(c)
	for _, holder := range p.holders {
		if holder.Name == c.Name || holder.Tokens <= own || holder.ReadyAt.After(p.at) ||
			holder.Avoided(p.at) || holder.Paused(p.at) || holder.Evacuated() {
			continue
		}
		tokens := holder.Tokens - own
		if gain := time.Duration(tokens)*c.tokenTime - p.copyTime(holder, c); gain > bestGain {
			best, bestGain = holder, gain
		}
	}
	return best
}

// copyTime returns the time to copy what an engine lacks of the prompt from a
// holder.
func (p promptCaches) copyTime(holder fleet.CachedPrefix, c candidate) time.Duration {
	transfer := time.Duration(holder.Tokens-p.cached(c)) * p.transferToken
	if holder.Zone != c.Upstream.Zone {
		transfer *= crossZoneTransferFactor
	}
	return transferOverhead + transfer
}

// prefix returns what an engine does not have to compute of the prompt.
func (p promptCaches) prefix(c candidate) place.Prefix {
	own := p.cached(c)
	prefix := place.Prefix{Cached: int(promptWork(own))}
	if holder := p.source(c); holder.Tokens > 0 {
		prefix.Copied = int(promptWork(holder.Tokens)) - prefix.Cached
		prefix.CopyTime = p.copyTime(holder, c)
	}
	return prefix
}
