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

// The placement of requests over engines and plain services.
var placement = place.Affinity[candidate]{
	Bound:     1,
	Otherwise: place.Sampled[candidate]{Choices: 8},
}

// shareTerm is the time over which the share of cheap upstreams is measured.
const shareTerm = 10 * time.Minute

// use is what this node runs at an upstream.
type use struct {
	running int
	// fullUntil is set when the upstream refused a request for lack of room.
	fullUntil time.Time
	// alone tells that the upstream runs the request suspect and gets no other.
	alone   bool
	suspect model.Ticket
}

// candidate is an upstream as placement sees it. It points into the
// configuration, because placement reads many candidates for one request.
type candidate struct {
	*conf.Placeable
	*facing
}

// facing is what decides whether a request may go to an upstream now.
type facing struct {
	uses    *immutable.Map[model.UpstreamName, use]
	leaving *immutable.Map[string, struct{}]
	tried   []model.UpstreamName
	at      time.Time
	// suspect requests go only where no other request runs.
	suspect bool
	// cheap upstreams may take the request.
	cheap bool
}

// engines lists the upstreams of a model.
type engines struct {
	list []conf.Placeable
	*facing
}

// services lists the upstreams of a route.
type services struct {
	names  []model.UpstreamName
	config conf.State
	*facing
}

// place picks the upstream for the next attempt of a request.
func (s State) place(c call, facts Facts) (model.Upstream, bool) {
	suspect := s.crashes.Verdict(c.request.Fingerprint, facts.At) == crash.Alone
	now := &facing{s.uses, s.leaving, c.tried, facts.At, suspect, s.mayUseCheap(c, facts.At)}
	var list place.List[candidate] = engines{facts.Conf.UpstreamsOf(c.request.Model), now}
	if c.request.Kind == model.RequestPlain {
		list = services{c.services, facts.Conf, now}
	}
	i, ok := placement.Pick(list, prefixKey(c.request), facts.Draw)
	if !ok {
		return model.Upstream{}, false
	}
	return list.At(i).Upstream, true
}

// At implements place.List.
func (e engines) At(i int) candidate { return candidate{&e.list[i], e.facing} }

// Len implements place.List.
func (e engines) Len() int { return len(e.list) }

// At implements place.List.
func (s services) At(i int) candidate {
	upstream, _ := s.config.Upstream(s.names[i])
	return candidate{&conf.Placeable{Upstream: upstream}, s.facing}
}

// Len implements place.List.
func (s services) Len() int { return len(s.names) }

// Hash implements place.Candidate.
func (c candidate) Hash() uint64 { return c.NameHash }

// Load implements place.Candidate.
func (c candidate) Load() (float64, bool) {
	if c.Name == "" || c.State != model.UpstreamActive || slices.Contains(c.tried, c.Name) {
		return 0, false
	}
	if c.Cheap && !c.cheap || c.leaves() {
		return 0, false
	}
	u, _ := c.uses.Get(c.Name)
	if c.at.Before(u.fullUntil) {
		return 0, false
	}
	if u.alone || u.running >= c.Slots || c.suspect && u.running > 0 {
		return 1, false
	}
	return float64(u.running) / float64(c.Slots), true
}

// mayUseCheap tells whether a request may go to an upstream that can be
// reclaimed at short notice: one that can be started again, within the share of
// its account.
func (s State) mayUseCheap(c call, at time.Time) bool {
	return !c.mustClaim && c.cheapShare > 0 && s.shares.Allows(c.account, at, cost(c.request), c.cheapShare)
}

// leaves tells whether the VM of the upstream will be stopped soon.
func (c candidate) leaves() bool { return onLeavingVM(c.leaving, c.Address) }

// onLeavingVM tells whether the VM at an address will be stopped soon.
func (s State) onLeavingVM(address string) bool { return onLeavingVM(s.leaving, address) }

func onLeavingVM(leaving *immutable.Map[string, struct{}], address string) bool {
	if leaving.Len() == 0 {
		return false
	}
	parsed, _ := netip.ParseAddrPort(address)
	_, found := leaving.Get(parsed.Addr().String())
	return found
}

// withLeaving replaces the VMs that will be stopped soon.
func (s State) withLeaving(addresses []string) State {
	if len(addresses) == 0 && s.leaving.Len() == 0 {
		return s
	}
	s.leaving = immutable.NewMap[string, struct{}](nil)
	for _, address := range addresses {
		s.leaving = s.leaving.Set(address, struct{}{})
	}
	return s
}

// prefixKey is the hash of the first piece of the prompt, or zero.
func prefixKey(request *model.Request) uint64 {
	if len(request.PrefixHashes) == 0 {
		return 0
	}
	return request.PrefixHashes[0]
}

// withUse replaces the use of an upstream, or drops it if nothing is left of it.
func (s State) withUse(name model.UpstreamName, u use, at time.Time) State {
	if u.running == 0 && !u.fullUntil.After(at) {
		s.uses = s.uses.Delete(name)
	} else {
		s.uses = s.uses.Set(name, u)
	}
	return s
}

// withoutUnused drops the upstreams that run nothing and are no longer full.
func (s State) withoutUnused(at time.Time) State {
	for itr := s.uses.Iterator(); !itr.Done(); {
		name, u, _ := itr.Next()
		s = s.withUse(name, u, at)
	}
	return s
}
