package serve

import (
	"slices"
	"time"

	"caroblane/core/fleet"
	"caroblane/core/model"
	"caroblane/core/place"
)

const (
	// mixedFactor multiplies the time to compute a prompt token on an engine that
	// generates tokens at the same time.
	mixedFactor = 2
	// attentionParity is the prompt length, in tokens, at which attention takes
	// as long as the rest of the computation. Attention grows with the square of
	// the length.
	attentionParity = 150_000
	// cacheHitWeight is how much a prefix in an engine's cache counts against
	// the time to compute it. It is above 1 because computing a prefix again
	// also has a cost besides the time it takes.
	cacheHitWeight = 2
	// transferOverhead is the time of a KV cache transfer besides that for its
	// bytes.
	transferOverhead = 8 * time.Millisecond
	// crossZoneTransferFactor multiplies the time to transfer a KV cache to another
	// availability zone.
	crossZoneTransferFactor = 2
	// crossZoneLoad is the load added to an upstream in another availability
	// zone for the transfer of a KV cache.
	crossZoneLoad = 0.06
	// crossZonePenalty is the backlog added to an engine in another
	// availability zone than this node: its responses take longer, and traffic
	// between zones is charged.
	crossZonePenalty = 25 * time.Millisecond
	// peerEnginePenalty is the backlog added to an engine that another node of
	// the availability zone prefers. If two nodes place a prompt on the same
	// idle engine before they learn of each other's placement, they lose more
	// than that.
	peerEnginePenalty = 15 * time.Millisecond
	// avoidedPenalty is the load added to an upstream that is to be avoided, so
	// that it is used only if there is no other.
	avoidedPenalty = 10
	// hintedLoad and hintedBacklog are added to an upstream that a peer reports as
	// leaving, up to maxHintedLoad, with which it still gets requests.
	hintedLoad    = 0.25
	hintedBacklog = 50 * time.Millisecond
	maxHintedLoad = 0.95
	// runTime is the assumed time in which an engine generates a response.
	runTime = time.Second
	// maxWaitLoad is the load that the prompts add which an engine has yet to compute
	// before it begins to generate tokens; waitLoadTime is the time of computing them
	// at which they add half of that.
	maxWaitLoad  = 0.4
	waitLoadTime = 200 * time.Millisecond
	// maxPromptWork bounds the work of a prompt, in tokens, and maxWait an estimated wait.
	// Both are far above what can be served, and small enough for calculations with
	// times. Callers declare the number of tokens, which may be any.
	maxPromptWork = 1e7
	maxWait       = time.Hour
	// urgentShare is the part of the target latency of more urgent requests that other
	// prompts may make them wait.
	urgentShare = 0.8
	// longPromptBonus divides the time to compute a prompt to give the additional time
	// that it may wait.
	longPromptBonus = 4
	// maxMixedLoad is the load from which on an engine that generates tokens
	// processes no prompts while another engine can.
	maxMixedLoad = 0.5
	// serviceSample is the number of upstreams of a plain service that are
	// compared, and engineSample that of the engines.
	serviceSample = 8
	engineSample  = 4096
)

// servicePolicy selects the upstream of a plain service, and decodePolicy the
// engine that generates tokens from a transferred KV cache.
var (
	servicePolicy = place.Sampled[candidate]{SampleSize: serviceSample}
	decodePolicy  = place.Sampled[candidate]{SampleSize: engineSample}
)

// candidate is an upstream as seen by the placement policies.
type candidate struct {
	fleet.Upstream
	zone  model.ZoneName
	tried []model.UpstreamName
	at    time.Time
	// coldFull is set if the upstream is cold and may get nothing from this node for now.
	coldFull bool
	// maxTokenGap is the longest pause between events that the route allows, or zero.
	maxTokenGap time.Duration
	// typicalPause is the longest pause that is expected of the streams of the service.
	typicalPause time.Duration
	// reserved is the number of its slots that are kept for runs of other requests.
	reserved int
	// peerPreferred is set if another node of the availability zone prefers this
	// engine.
	peerPreferred bool
	// tokenTime is the time in which the engine computes a prompt token while it
	// generates none.
	tokenTime time.Duration
}

// candidates lists the upstreams of a service.
type candidates []candidate

// engineChoice is the engine for the next step of a request.
type engineChoice struct {
	upstream model.Upstream
	// prefillOnly is set if another engine generates the tokens.
	prefillOnly bool
	// tokens is the work of the prompt that the engine has to compute, and added the
	// number of tokens that the prompt adds to its cache.
	tokens float64
	added  int
	// copyFrom is the address of the engine from which this one copies a part of the
	// prompt's KV cache, or empty.
	copyFrom string
	// wait is the expected time until the prompt has been computed. queued is the part
	// of it in which the engine computes other prompts.
	wait, queued time.Duration
}

// waitCheck returns whether a request can be served in time. It cannot if the engine is
// busy with other prompts for longer than the target latency of the route, or if the
// caller leaves before the first event: sending it anyway would only delay the next
// ones. It is refused earlier if more urgent requests would be late behind it.
func (c engineChoice) waitCheck(req openRequest, view View) (check model.WaitCheck, inTime bool) {
	limit := req.route.Objective
	if urgent := urgentObjective(req, view); urgent > 0 {
		limit = min(limit, time.Duration(urgentShare*float64(urgent)))
	}
	// Only short prompts find room at engines that generate tokens. Long ones may wait
	// longer, or they would be refused far more often.
	limit += (c.wait - c.queued) / longPromptBonus
	check = model.WaitCheck{
		Upstream: c.upstream.Name, Queued: c.queued, Limit: limit,
		FirstEvent: c.wait + transferOverhead, Timeout: req.route.FirstEventTimeout,
	}
	inTime = (req.route.Objective <= 0 || check.Queued <= limit) && (check.Timeout <= 0 || check.FirstEvent <= check.Timeout)
	return check, inTime
}

// urgentObjective returns the shortest target latency of the routes to the service of
// a request that are more urgent, or zero if there are none.
func urgentObjective(req openRequest, view View) time.Duration {
	var shortest time.Duration
	rank := req.priority()
	for _, route := range view.Site.Site().Routes {
		if route.Priority >= rank || route.Objective <= 0 || shortest > 0 && route.Objective >= shortest {
			continue
		}
		if slices.ContainsFunc(route.Services, func(s model.Share) bool { return s.Service == req.service.Name }) {
			shortest = route.Objective
		}
	}
	return shortest
}

// At implements place.List.
func (l candidates) At(i int) candidate { return l[i] }

// Len implements place.List.
func (l candidates) Len() int { return len(l) }

// Backlog implements place.Engine.
func (c candidate) Backlog() time.Duration {
	token := c.tokenTime
	if c.Upstream.Role != model.RolePrefill {
		token *= mixedFactor
	}
	backlog := waitFor(c.PromptBacklog(), token)
	if c.Upstream.Zone != c.zone {
		backlog += crossZonePenalty
	}
	if c.peerPreferred {
		backlog += peerEnginePenalty
	}
	return backlog + c.hintedBacklog()
}

// hintedBacklog returns the backlog that the report of a peer adds. It lowers the
// preference, but is not a time to wait.
func (c candidate) hintedBacklog() time.Duration {
	if c.LeavingHinted(c.at) {
		return hintedBacklog
	}
	return 0
}

// Cheap implements place.Engine. It is always false, because the platform sets
// no share of work for cheap engines.
func (c candidate) Cheap() bool { return false }

// Hash implements place.Candidate.
func (c candidate) Hash() uint64 { return c.Upstream.Hash }

// Load implements place.Candidate.
func (c candidate) Load() (float64, bool) {
	if !c.Usable(c.at) || c.coldFull || slices.Contains(c.tried, c.Name) {
		return 0, false
	}
	load := float64(c.RunningRequests()+c.reserved)/float64(max(1, c.Slots)) + c.FailurePenalty(c.at) + c.waitLoad() + c.pauseLoad()
	if c.Avoided(c.at) {
		load += avoidedPenalty
	}
	if c.Upstream.Zone != c.zone {
		load += crossZoneLoad
	}
	if c.LeavingHinted(c.at) {
		load = max(load, min(load+hintedLoad, maxHintedLoad))
	}
	return load, true
}

// waitLoad returns the load that waiting prompts add to an engine that generates
// tokens.
func (c candidate) waitLoad() float64 {
	if c.Upstream.Role == model.RolePrefill {
		return 0
	}
	wait := c.PromptBacklog() * float64(c.tokenTime) * mixedFactor
	return maxWaitLoad * wait / (wait + float64(waitLoadTime))
}

// Role implements place.Engine.
func (c candidate) Role() model.Role { return c.Upstream.Role }

// Zone implements place.Engine.
func (c candidate) Zone() model.ZoneName { return c.Upstream.Zone }

// listCandidates returns the upstreams of a request's service that pass a
// filter. Those that were tried already are marked as unusable.
func listCandidates(req openRequest, view View, zone model.ZoneName, filter func(fleet.Upstream) bool) candidates {
	names := view.Fleet.ActiveUpstreams(req.service.Name)
	typicalPause := view.Fleet.TypicalPause(req.service.Name)
	all := make(candidates, 0, len(names))
	for _, name := range names {
		u, found := view.Fleet.Get(name)
		if found && filter(u) {
			all = append(all, candidate{
				Upstream: u, zone: zone, tried: req.tried, at: view.At, tokenTime: view.Fleet.TokenTime(u),
				reserved: view.reservedByOthers(u.Name, req), coldFull: view.coldFull(u, req.service),
				maxTokenGap: req.longestGap(), typicalPause: typicalPause,
			})
		}
	}
	return all
}

func pickService(req openRequest, view View) (model.Upstream, bool) {
	all := listCandidates(req, view, view.Zone, func(fleet.Upstream) bool { return true })
	i, found := servicePolicy.Pick(all, 0, view.Random)
	if !found {
		return model.Upstream{}, false
	}
	return all[i].Upstream.Upstream, true
}

// scanStart returns the index of the candidate that this node compares first.
// It differs between nodes, so that nodes that place requests at the same
// moment, before they learn of each other's placements, choose different ones
// among several idle upstreams.
func scanStart(upstreams int, view View) uint64 {
	return uint64(upstreams * view.Rank / max(1, view.CellNodes))
}

// pickDecoder selects the engine that generates tokens from the KV cache of a
// prompt.
func pickDecoder(req openRequest, view View) (model.Upstream, bool) {
	all := listCandidates(req, view, req.prefillEngine.Zone, func(u fleet.Upstream) bool { return u.Role != model.RolePrefill })
	i, found := decodePolicy.Pick(all, 0, scanStart(len(all), view))
	if !found {
		return model.Upstream{}, false
	}
	return all[i].Upstream.Upstream, true
}

// pickEngine selects the engine that computes the prompt.
func pickEngine(req openRequest, view View) (engineChoice, bool) {
	all := listCandidates(req, view, view.Zone, func(u fleet.Upstream) bool {
		return !req.skipPrefill || u.Role != model.RolePrefill
	})
	all.assignEngines(view)
	caches := newPromptCaches(req, view)
	work := promptWork(req.received.PromptTokens)
	pairs := place.Pairs[candidate]{
		PromptToken:    view.Fleet.ServiceTokenTime(req.service.Name),
		EngineToken:    func(c candidate) time.Duration { return c.tokenTime },
		MixedFactor:    mixedFactor,
		Arrivals:       func(c candidate) float64 { return float64(c.RunningRequests()) / runTime.Seconds() },
		MaxMixedLoad:   maxMixedLoad,
		TransferBase:   transferOverhead,
		TransferToken:  transferTokenTime(req.service),
		MaxBacklog:     req.deadline.Sub(view.At),
		Prefix:         caches.prefix,
		CacheHitWeight: cacheHitWeight,
	}
	job := place.Job{Prompt: int(work)}
	start := scanStart(len(all), view)
	plan, found := pairs.Pick(all, job, start)
	if !found {
		job.Urgent = true
		if plan, found = pairs.Pick(all, job, start); !found {
			return engineChoice{}, false
		}
	}
	c := all[plan.Prefill]
	prefix := caches.prefix(c)
	token := c.tokenTime
	if plan.Prefill == plan.Decode {
		token *= mixedFactor
	}
	choice := engineChoice{upstream: c.Upstream.Upstream, prefillOnly: plan.Prefill != plan.Decode}
	choice.tokens = work - float64(prefix.Cached+prefix.Copied)
	choice.added = max(0, req.received.PromptTokens-prefix.Cached)
	if prefix.Copied > 0 {
		choice.copyFrom = caches.source(c).Address
	}
	choice.queued = c.Backlog() - c.hintedBacklog()
	choice.wait = choice.queued + prefix.CopyTime + waitFor(choice.tokens, token)
	return choice, true
}

// promptWork returns the work of computing a prompt, in tokens of a short
// prompt.
func promptWork(tokens int) float64 {
	return min(maxPromptWork, float64(tokens)*(1+float64(tokens)/attentionParity))
}

// waitFor returns the time to compute a number of tokens.
func waitFor(tokens float64, token time.Duration) time.Duration {
	return time.Duration(min(float64(maxWait), max(0, tokens)*float64(token)))
}

// assignEngines divides the prefill engines of the node's availability zone
// among the nodes of that zone, in order of the engines' names.
func (l candidates) assignEngines(view View) {
	var prefill []int
	for i, c := range l {
		if c.Upstream.Zone == view.Zone && c.Upstream.Role == model.RolePrefill {
			prefill = append(prefill, i)
		}
	}
	for n, i := range prefill {
		l[i].peerPreferred = n*view.ZoneNodes/len(prefill) != view.ZoneRank && view.ZoneRank*len(prefill)/max(1, view.ZoneNodes) != n
	}
}

// transferTokenTime returns the time to transfer the KV cache of one token.
func transferTokenTime(service model.Service) time.Duration {
	if service.LinkMbps <= 0 {
		return 0
	}
	return time.Duration(service.TokenBytes * 8 / service.LinkMbps * float64(time.Microsecond))
}
