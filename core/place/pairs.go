package place

import (
	"time"

	"caroblane/core/model"
)

// Engine is a candidate that computes prompts (prefill), generates tokens
// (decode), or both.
type Engine interface {
	Candidate
	Role() model.Role
	Zone() model.ZoneName
	// Cheap reports whether the engine can be reclaimed at short notice. The
	// cheap engines of a zone may all be reclaimed at once.
	Cheap() bool
	// Backlog is the time until the engine begins a new prompt, corrected for
	// work sent since its last report.
	Backlog() time.Duration
}

// Job describes a request that needs engines.
type Job struct {
	// PrefixHash is the hash of the prompt's shared prefix, or zero.
	PrefixHash uint64
	// Prompt and Shared are the lengths in tokens of the prompt and of its
	// shared prefix. Callers scale both up for long prompts, which take more
	// time per token.
	Prompt, Shared int
	// AllowCheap allows cheap engines: the job can be restarted, and its client
	// account is within its share of them.
	AllowCheap bool
	// Urgent marks a job that would be refused if it waited any longer. It goes to
	// any engine with a free slot, even if its own first token or the tokens of
	// other requests are late as a result.
	Urgent bool
}

// Plan holds the indices of the engines of a job. They are equal if no KV cache
// is transferred.
type Plan struct {
	Prefill, Decode int
}

// Pairs selects a prefill and a decode engine for a job. The KV cache is
// transferred between them only if that is faster than computing the prompt on
// the decode engine.
type Pairs[C Engine] struct {
	// PromptToken is the time to compute one prompt token. EngineToken returns that of
	// one engine; it is set if the engines differ.
	PromptToken time.Duration
	EngineToken func(c C) time.Duration
	// MixedFactor multiplies PromptToken on an engine that also generates tokens,
	// because prompts are computed there in small chunks between decode
	// iterations.
	MixedFactor float64
	// MaxMixedLoad is the load from which on chunks of a prompt delay the tokens
	// that an engine generates. Engines at or above this load compute no
	// prompts.
	MaxMixedLoad float64
	// Arrivals returns the number of requests per second that an engine begins to
	// generate tokens for, if it is set. They wait while the engine computes a prompt.
	Arrivals func(c C) float64
	// TransferBase is the fixed time of a KV cache transfer, and TransferToken
	// the time for each token.
	TransferBase, TransferToken time.Duration
	// MaxBacklog is the longest backlog of an engine that receives a prompt.
	// Prompts that would wait longer stay in the queue, which is fair between
	// client accounts.
	MaxBacklog time.Duration
	// Reserve limits the load on the cheap engines of one zone to this fraction
	// of the free capacity of the other engines, so that the work can be
	// restarted there when the zone's cheap engines are reclaimed.
	Reserve float64
	// PreferCheap tries cheap engines first for a job that may use them.
	PreferCheap bool
	// Affinity assumes that the owners of a prefix under rendezvous hashing have
	// it in their cache.
	Affinity bool
	// Prefix returns what an engine does not have to compute of the prompt. It is set
	// instead of Affinity where the contents of the caches are known.
	Prefix func(c C) Prefix
	// CacheHitWeight is how much the prefix that an engine does not have to compute
	// counts against the time to compute it; zero means 1. With a weight above 1,
	// such an engine is selected even if another would be slightly faster, so that
	// fewer prefixes are computed again.
	CacheHitWeight float64
}

// copyWeight is how much a copied prefix counts as a cached one. A copy takes room
// in the cache of the engine, in which other prefixes are lost.
const copyWeight = 0.5

// Prefix is the leading part of a prompt that an engine does not have to compute.
type Prefix struct {
	// Cached is the number of tokens in the cache of the engine.
	Cached int
	// Copied is the number of further tokens that the engine copies from the cache of
	// another one, which takes CopyTime.
	Copied   int
	CopyTime time.Duration
}

// Pick returns the engines for a job, or false if no engine has room now.
func (p Pairs[C]) Pick(list List[C], job Job, random uint64) (Plan, bool) {
	allowed := p.cheapFilter(list, job)
	if p.PreferCheap && job.AllowCheap {
		cheap := func(c C) bool { return c.Cheap() && allowed(c) }
		if plan, ok := p.pick(list, job, random, cheap); ok {
			return plan, true
		}
	}
	return p.pick(list, job, random, allowed)
}

// cheapFilter returns a filter that excludes the cheap engines that a job must
// not use.
func (p Pairs[C]) cheapFilter(list List[C], job Job) func(C) bool {
	if !job.AllowCheap {
		return func(c C) bool { return !c.Cheap() }
	}
	freeCapacity := 0.0
	cheapLoad := map[model.ZoneName]float64{}
	for i := range list.Len() {
		c := list.At(i)
		load, ok := c.Load()
		switch {
		case c.Cheap():
			cheapLoad[c.Zone()] += load
		case ok:
			freeCapacity += max(0, 1-load)
		}
	}
	return func(c C) bool { return !c.Cheap() || cheapLoad[c.Zone()] < p.Reserve*freeCapacity }
}

func (p Pairs[C]) pick(list List[C], job Job, random uint64, allowed func(C) bool) (Plan, bool) {
	decode, found := p.pickDecoder(list, random, allowed)
	if !found {
		return Plan{}, false
	}
	owners := [2]int{-1, -1}
	if p.Affinity && job.PrefixHash != 0 {
		owners = ownersAmong(list, job.PrefixHash, func(c C) bool { return c.Role() != model.RoleDecode && allowed(c) })
	}
	best, bestTime, found := Plan{}, time.Duration(0), false
	n := list.Len()
	for step := range n {
		i := int((random%uint64(n) + uint64(step)) % uint64(n))
		c := list.At(i)
		load, ok := c.Load()
		if !ok || load >= 1 || !allowed(c) || !job.Urgent && c.Backlog() > p.MaxBacklog {
			continue
		}
		plan := Plan{i, decode}
		token := p.tokenTime(c)
		if c.Role() != model.RolePrefill {
			if load >= p.MaxMixedLoad && !job.Urgent {
				continue
			}
			plan.Decode = i
			token = time.Duration(float64(token) * p.MixedFactor)
		}
		prefix := p.prefix(c, job, i == owners[0] || i == owners[1])
		present := prefix.Cached + prefix.Copied
		total := c.Backlog() + time.Duration(job.Prompt-present)*token + prefix.CopyTime
		total -= time.Duration((p.cacheHitWeight() - 1) * (float64(prefix.Cached) + copyWeight*float64(prefix.Copied)) * float64(p.PromptToken))
		if plan.Prefill == plan.Decode && p.Arrivals != nil {
			total += p.delayOfOthers(c, time.Duration(job.Prompt-present)*token)
		}
		if plan.Prefill != plan.Decode {
			total += p.TransferBase + time.Duration(job.Prompt)*p.TransferToken
		}
		if !found || total < bestTime {
			best, bestTime, found = plan, total, true
		}
	}
	return best, found
}

// delayOfOthers returns the sum of the delays of the requests that arrive at an
// engine while it computes a prompt. Each waits half of that time on average.
func (p Pairs[C]) delayOfOthers(c C, compute time.Duration) time.Duration {
	return time.Duration(p.Arrivals(c) * compute.Seconds() * float64(compute) / 2)
}

// prefix returns what an engine does not have to compute of the prompt of a job.
func (p Pairs[C]) prefix(c C, job Job, owner bool) Prefix {
	switch {
	case p.Prefix != nil:
		return p.Prefix(c)
	case owner:
		return Prefix{Cached: job.Shared}
	default:
		return Prefix{}
	}
}

// tokenTime returns the time in which an engine computes one prompt token.
func (p Pairs[C]) tokenTime(c C) time.Duration {
	if p.EngineToken == nil {
		return p.PromptToken
	}
	return p.EngineToken(c)
}

func (p Pairs[C]) cacheHitWeight() float64 {
	if p.CacheHitWeight == 0 {
		return 1
	}
	return p.CacheHitWeight
}

// pickDecoder returns the least loaded engine that generates tokens.
func (p Pairs[C]) pickDecoder(list List[C], random uint64, allowed func(C) bool) (int, bool) {
	best, bestLoad, found := 0, 1.0, false
	n := list.Len()
	for step := range n {
		i := int((random%uint64(n) + uint64(step)) % uint64(n))
		c := list.At(i)
		if c.Role() == model.RolePrefill || !allowed(c) {
			continue
		}
		if load, ok := c.Load(); ok && load < bestLoad {
			best, bestLoad, found = i, load, true
		}
	}
	return best, found
}
