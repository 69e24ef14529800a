package flow

import (
	"net/netip"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/conf"
	"caroblane/core/crash"
	"caroblane/core/model"
	"caroblane/core/place"
)

// placementPolicy selects an upstream for requests to engines and to plain
// services.
var placementPolicy = place.Affinity[candidate]{
	MaxLoad:  1,
	Fallback: place.Sampled[candidate]{SampleSize: 8},
}

// cheapShareWindow is the time constant over which the share of work on cheap
// upstreams is measured.
const cheapShareWindow = 10 * time.Minute

// upstreamLoad is the load that this node has placed on an upstream.
type upstreamLoad struct {
	running int
	// fullUntil is the end of the backoff after the upstream rejected a request
	// for lack of capacity.
	fullUntil time.Time
	// exclusive is set while the upstream runs the request exclusiveTicket, a
	// suspected cause of crashes, and receives no other request.
	exclusive       bool
	exclusiveTicket model.Ticket
}

// candidate is an upstream as seen by the placement policy. It points into the
// configuration instead of copying it, because one placement reads many
// candidates.
type candidate struct {
	*conf.HashedUpstream
	*eligibility
}

// eligibility holds what decides whether an upstream may receive a request now.
type eligibility struct {
	loads        *immutable.Map[model.UpstreamName, upstreamLoad]
	reclaimedVMs *immutable.Map[string, struct{}]
	tried        []model.UpstreamName
	at           time.Time
	// suspect requests have crashed upstreams before and go only to an upstream
	// that runs no other request of this node.
	suspect bool
	// allowCheap is set if the request may run on a cheap upstream.
	allowCheap bool
}

// modelUpstreams lists the upstreams that serve a model.
type modelUpstreams struct {
	list []conf.HashedUpstream
	*eligibility
}

// routeUpstreams lists the upstreams of a route.
type routeUpstreams struct {
	names  []model.UpstreamName
	config conf.State
	*eligibility
}

// place selects the upstream for the next attempt of a request.
func (s State) place(req openRequest, view View) (model.Upstream, bool) {
	suspect := s.crashes.Verdict(req.received.Fingerprint, view.At) == crash.Alone
	eligible := &eligibility{s.loads, s.reclaimedVMs, req.tried, view.At, suspect, s.mayUseCheap(req, view.At)}
	var list place.List[candidate] = modelUpstreams{view.Conf.UpstreamsOf(req.received.Model), eligible}
	if req.received.Kind == model.RequestPlain {
		list = routeUpstreams{req.routeUpstreams, view.Conf, eligible}
	}
	i, ok := placementPolicy.Pick(list, firstPrefixHash(req.received), view.Random)
	if !ok {
		return model.Upstream{}, false
	}
	return list.At(i).Upstream, true
}

// At implements place.List.
func (u modelUpstreams) At(i int) candidate { return candidate{&u.list[i], u.eligibility} }

// Len implements place.List.
func (u modelUpstreams) Len() int { return len(u.list) }

// At implements place.List.
func (u routeUpstreams) At(i int) candidate {
	upstream, _ := u.config.Upstream(u.names[i])
	return candidate{&conf.HashedUpstream{Upstream: upstream}, u.eligibility}
}

// Len implements place.List.
func (u routeUpstreams) Len() int { return len(u.names) }

// Hash implements place.Candidate.
func (c candidate) Hash() uint64 { return c.NameHash }

// Load implements place.Candidate.
func (c candidate) Load() (float64, bool) {
	if c.Name == "" || c.State != model.UpstreamActive || slices.Contains(c.tried, c.Name) {
		return 0, false
	}
	if c.Cheap && !c.allowCheap || c.onReclaimedVM() {
		return 0, false
	}
	load, _ := c.loads.Get(c.Name)
	if c.at.Before(load.fullUntil) {
		return 0, false
	}
	if load.exclusive || load.running >= c.Slots || c.suspect && load.running > 0 {
		return 1, false
	}
	return float64(load.running) / float64(c.Slots), true
}

// mayUseCheap reports whether a request may run on an upstream that can be
// reclaimed at short notice: the request must be repeatable, and the client
// account must stay within its share of cheap upstreams.
func (s State) mayUseCheap(req openRequest, at time.Time) bool {
	return !req.needsClaim && req.cheapShare > 0 && s.shares.Allows(req.account, at, estimateCost(req.received), req.cheapShare)
}

// onReclaimedVM reports whether the VM of the upstream will be stopped soon.
func (c candidate) onReclaimedVM() bool { return containsVM(c.reclaimedVMs, c.Address) }

// onReclaimedVM reports whether the VM at an address will be stopped soon.
func (s State) onReclaimedVM(address string) bool { return containsVM(s.reclaimedVMs, address) }

// containsVM reports whether a set of VM addresses contains that of an
// upstream.
func containsVM(vms *immutable.Map[string, struct{}], address string) bool {
	if vms.Len() == 0 {
		return false
	}
	parsed, _ := netip.ParseAddrPort(address)
	_, found := vms.Get(parsed.Addr().String())
	return found
}

// withReclaimedVMs replaces the set of VMs that will be stopped soon.
func (s State) withReclaimedVMs(addresses []string) State {
	if len(addresses) == 0 && s.reclaimedVMs.Len() == 0 {
		return s
	}
	s.reclaimedVMs = immutable.NewMap[string, struct{}](nil)
	for _, address := range addresses {
		s.reclaimedVMs = s.reclaimedVMs.Set(address, struct{}{})
	}
	return s
}

// firstPrefixHash returns the hash of the first prefix of the prompt, or zero
// if there is none.
func firstPrefixHash(request *model.Request) uint64 {
	if len(request.PrefixHashes) == 0 {
		return 0
	}
	return request.PrefixHashes[0]
}

// withLoad replaces the load of an upstream, or removes the entry of an
// upstream that is idle and not in backoff.
func (s State) withLoad(name model.UpstreamName, load upstreamLoad, at time.Time) State {
	if load.running == 0 && !load.fullUntil.After(at) {
		s.loads = s.loads.Delete(name)
	} else {
		s.loads = s.loads.Set(name, load)
	}
	return s
}

// withoutIdle removes the entries of upstreams that run nothing and are no
// longer in backoff.
func (s State) withoutIdle(at time.Time) State {
	for itr := s.loads.Iterator(); !itr.Done(); {
		name, load, _ := itr.Next()
		s = s.withLoad(name, load, at)
	}
	return s
}
