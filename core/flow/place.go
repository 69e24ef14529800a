package flow

import (
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

// candidate is an upstream as placement sees it.
type candidate struct {
	conf.Placeable
	*facing
}

// facing is what decides whether a request may go to an upstream now.
type facing struct {
	load      *immutable.Map[model.UpstreamName, int]
	fullUntil *immutable.Map[model.UpstreamName, time.Time]
	tried     []model.UpstreamName
	at        time.Time
	// suspect requests go only where no other request runs.
	suspect bool
	alone   *immutable.Map[model.UpstreamName, model.Ticket]
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
	now := &facing{s.load, s.fullUntil, c.tried, facts.At, suspect, s.alone}
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
func (e engines) At(i int) candidate { return candidate{e.list[i], e.facing} }

// Len implements place.List.
func (e engines) Len() int { return len(e.list) }

// At implements place.List.
func (s services) At(i int) candidate {
	upstream, _ := s.config.Upstream(s.names[i])
	return candidate{conf.Placeable{Upstream: upstream}, s.facing}
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
	if until, ok := c.fullUntil.Get(c.Name); ok && c.at.Before(until) {
		return 0, false
	}
	running, _ := c.load.Get(c.Name)
	if _, taken := c.alone.Get(c.Name); taken || running >= c.Slots || c.suspect && running > 0 {
		return 1, false
	}
	return float64(running) / float64(c.Slots), true
}

// prefixKey is the hash of the first piece of the prompt, or zero.
func prefixKey(request model.Request) uint64 {
	if len(request.PrefixHashes) == 0 {
		return 0
	}
	return request.PrefixHashes[0]
}

// withoutPast returns the upstreams whose time is still to come.
func withoutPast(
	until *immutable.Map[model.UpstreamName, time.Time], at time.Time,
) *immutable.Map[model.UpstreamName, time.Time] {
	kept := until
	for itr := until.Iterator(); !itr.Done(); {
		name, end, _ := itr.Next()
		if !end.After(at) {
			kept = kept.Delete(name)
		}
	}
	return kept
}
