// Package fleet is the decision part for the upstreams that register
// themselves on a platform: which there are, how loaded they are, and which
// are avoided.
package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
)

const (
	// returnTerm is how long after an outage of the store the entry of a live
	// upstream may be missing.
	returnTerm = 2 * time.Second
	// unreachableTerm is how long an upstream that accepted no connection is
	// avoided. It doubles with each further failure, up to maxUnreachable.
	unreachableTerm = 500 * time.Millisecond
	maxUnreachable  = 4 * time.Second
	// rejectedTerm is how long an upstream that rejected a request is avoided. It
	// may be full or leaving.
	rejectedTerm = 200 * time.Millisecond
	// misdirectedTerm is how long an upstream that is not what its entry says is
	// avoided, unless the entry changes before. It doubles with each further time,
	// up to maxMisdirected: an order that is carried out late changes an engine
	// without notice, and its entry follows seconds later.
	misdirectedTerm = 400 * time.Millisecond
	maxMisdirected  = 3200 * time.Millisecond
	// failureWeight is the load that one failed answer adds, and failureTerm
	// the time constant with which it fades.
	failureWeight = 0.5
	failureTerm   = 3 * time.Second
	// useTerm is how long the report of a silent peer counts.
	useTerm = 3 * time.Second
	// startDelay and endDelay are the times after which peers learn of work
	// that was placed and that ended. What happens meanwhile goes along.
	startDelay = time.Millisecond
	endDelay   = 60 * time.Millisecond
)

// Out is what this part produces in a step.
type Out = step.Out[event.Event, effect.Effect]

// Upstream is an upstream as this node knows it.
type Upstream struct {
	model.Upstream
	Hash uint64
	// missingBy is when an entry that lapsed during an outage counts as gone.
	missingBy time.Time
	// own is the unfinished work of this node, and peers that of the others.
	own   model.UpstreamUse
	peers model.UpstreamUse
	// changesTo is the role that the engine was ordered to take, until it has
	// it, at the latest at changedBy.
	changesTo model.Role
	changedBy time.Time
	// avoidUntil is set when the upstream accepted no connection.
	avoidUntil time.Time
	refusals   int
	// misdirected counts the requests since the entry changed that it rejected
	// because it is not what the entry says.
	misdirected int
	failures    float64
	failedAt    time.Time
}

// peer is the unfinished work of another node.
type peer struct {
	at          time.Time
	incarnation model.Incarnation
	seq         uint64
	uses        *immutable.SortedMap[model.UpstreamName, model.UpstreamUse]
}

// State holds the upstreams in order of their names.
type State struct {
	upstreams *immutable.SortedMap[model.UpstreamName, Upstream]
	peers     *immutable.SortedMap[model.NodeName, peer]
	// services lists the upstreams of each service that may get requests. It
	// is rebuilt when an entry changes and never modified.
	services map[model.ServiceName][]model.UpstreamName
	// zones are those that ever had an upstream.
	zones    map[model.ZoneName]struct{}
	revision model.Version
	listed   bool
	outage   bool
	// leaveBy is the earliest missingBy, or zero.
	leaveBy time.Time
	// dirty lists the upstreams at which the work of this node changed since the
	// peers were told, and announceAt is when they are.
	dirty      []model.UpstreamName
	announceAt time.Time
	// changes are the role changes ordered by this node that the peers were not
	// told.
	changes []model.RoleChange
	// prompts are the prompts placed by this node that the peers were not told.
	prompts []model.PromptPlaced
	// holders has the engines that keep the shared parts of prompts.
	holders *immutable.SortedMap[uint64, holders]
}

// New returns a state without upstreams.
func New() State {
	return State{
		upstreams: immutable.NewSortedMap[model.UpstreamName, Upstream](nil),
		peers:     immutable.NewSortedMap[model.NodeName, peer](nil),
		holders:   immutable.NewSortedMap[uint64, holders](nil),
	}
}

// Apply takes changes of the entries and of the work at upstreams.
func (s State) Apply(in step.Input[event.Event]) (State, Out) {
	var out Out
	switch e := in.Event.(type) {
	case event.UpstreamsRead:
		s = s.read(e, in.At)
	case event.UpstreamRegistered:
		s = s.registered(e)
	case event.UpstreamRemoved:
		if e.Revision >= s.revision {
			s.upstreams = s.upstreams.Delete(e.Name)
			s.revision = e.Revision
			s = s.withServices()
		}
	case event.RegistryFailed:
		s.outage = true
	case event.UseChanged:
		s = s.used(e, in.At)
	case event.AttemptJudged:
		s = s.judged(e, in.At, &out)
	case event.RoleOrdered:
		s = s.changing(e.Change, in.At)
		s.changes = append(s.changes[:len(s.changes):len(s.changes)], e.Change)
		s.announceAt = step.Earliest(s.announceAt, in.At.Add(startDelay))
	case event.SyncAnswered:
		s = s.reported(e.Report, true, in.At)
	case event.SyncArrived:
		s = s.reported(e.Report, true, in.At)
	case event.AnnounceArrived:
		s = s.reported(e.Report, false, in.At)
	case event.Tick:
		s = s.expired(in.At, &out).announced(in.At, &out)
	}
	return s, out
}

// Listed tells whether the upstreams were read completely once.
func (s State) Listed() bool { return s.listed }

// Next returns when the part needs a timer event.
func (s State) Next() time.Time { return step.Earliest(s.leaveBy, s.announceAt) }

// Of returns the names of the upstreams of a service.
func (s State) Of(service model.ServiceName) []model.UpstreamName { return s.services[service] }

// Get returns an upstream.
func (s State) Get(name model.UpstreamName) (Upstream, bool) { return s.upstreams.Get(name) }

// ZonesByPrice returns those zones of a list of prices that ever had an upstream, in
// order of price.
func (s State) ZonesByPrice(prices map[model.ZoneName]float64) []model.ZoneName {
	var zones []model.ZoneName
	for zone := range prices {
		if _, found := s.zones[zone]; found {
			zones = append(zones, zone)
		}
	}
	slices.SortFunc(zones, func(a, b model.ZoneName) int {
		return cmp.Or(cmp.Compare(prices[a], prices[b]), cmp.Compare(a, b))
	})
	return zones
}

// Uses returns the work of this node, for its peers.
func (s State) Uses() []model.UpstreamUse {
	var uses []model.UpstreamUse
	for itr := s.upstreams.Iterator(); !itr.Done(); {
		_, u, _ := itr.Next()
		if u.own.Runs > 0 || u.own.Prompt > 0 {
			uses = append(uses, u.own)
		}
	}
	return uses
}

// Usable tells whether the upstream may get requests now.
func (u Upstream) Usable(at time.Time) bool {
	return u.State == model.UpstreamActive && !at.Before(u.changedBy)
}

// Avoided tells whether another upstream is better, because this one rejected a
// request or a connection a short time ago.
func (u Upstream) Avoided(at time.Time) bool { return at.Before(u.avoidUntil) }

// Prompt returns the tokens of prompts that the upstream has yet to read.
func (u Upstream) Prompt() float64 { return u.own.Prompt + u.peers.Prompt }

// Runs returns the requests that the upstream runs.
func (u Upstream) Runs() int { return u.own.Runs + u.peers.Runs }

// Penalty returns the load that recent failures add.
func (u Upstream) Penalty(at time.Time) float64 {
	if u.failures == 0 {
		return 0
	}
	return u.failures * math.Exp(-at.Sub(u.failedAt).Seconds()/failureTerm.Seconds())
}

// read replaces the entries. After an outage of the store, an entry that is
// missing may still return.
func (s State) read(e event.UpstreamsRead, at time.Time) State {
	if e.Revision < s.revision {
		return s
	}
	next := immutable.NewSortedMap[model.UpstreamName, Upstream](nil)
	for _, u := range e.Upstreams {
		next = next.Set(u.Name, s.merged(u))
	}
	s.leaveBy = time.Time{}
	for itr := s.upstreams.Iterator(); !itr.Done(); {
		name, u, _ := itr.Next()
		if _, found := next.Get(name); found {
			continue
		}
		if s.outage {
			u.missingBy = at.Add(returnTerm)
		}
		if u.missingBy.After(at) {
			next = next.Set(name, u)
			s.leaveBy = step.Earliest(s.leaveBy, u.missingBy)
		}
	}
	s.upstreams, s.revision, s.listed, s.outage = next, e.Revision, true, false
	return s.withServices()
}

func (s State) registered(e event.UpstreamRegistered) State {
	if e.Revision < s.revision {
		return s
	}
	s.revision = e.Revision
	s.upstreams = s.upstreams.Set(e.Upstream.Name, s.merged(e.Upstream))
	return s.withServices()
}

// merged returns a new entry with what is known of the same process.
func (s State) merged(u model.Upstream) Upstream {
	old, found := s.upstreams.Get(u.Name)
	if found && old.Incarnation == u.Incarnation && old.Address == u.Address {
		if u.Role != old.Role && old.misdirected > 0 {
			old.misdirected, old.avoidUntil = 0, time.Time{}
		}
		old.Upstream = u
		old.missingBy = time.Time{}
		if u.Role == old.changesTo {
			old.changedBy = time.Time{}
		}
		return old
	}
	return Upstream{
		Upstream: u,
		Hash:     xxhash.Sum64String(string(u.Name)),
		own:      model.UpstreamUse{Upstream: u.Name},
	}
}

func (s State) expired(at time.Time, out *Out) State {
	if s.leaveBy.IsZero() || at.Before(s.leaveBy) {
		return s
	}
	s.leaveBy = time.Time{}
	kept := s.upstreams
	for itr := s.upstreams.Iterator(); !itr.Done(); {
		name, u, _ := itr.Next()
		switch {
		case u.missingBy.IsZero():
		case u.missingBy.After(at):
			s.leaveBy = step.Earliest(s.leaveBy, u.missingBy)
		default:
			kept = kept.Delete(name)
			out.Emit(believe(model.UpstreamGone, u.Upstream))
		}
	}
	s.upstreams = kept
	return s.withServices()
}

func believe(belief model.Belief, u model.Upstream) effect.Effect {
	return effect.Believe{Belief: belief, Subject: string(u.Name), Number: uint64(u.Incarnation)}
}

func (s State) used(e event.UseChanged, at time.Time) State {
	u, found := s.upstreams.Get(e.Upstream)
	if !found {
		return s
	}
	u.own.Prompt = max(0, u.own.Prompt+e.Prompt)
	u.own.Runs = max(0, u.own.Runs+e.Runs)
	s.upstreams = s.upstreams.Set(e.Upstream, u)
	if e.Key != 0 {
		s = s.withHolder(model.PromptPlaced{Upstream: e.Upstream, Key: e.Key})
		s.prompts = append(s.prompts[:len(s.prompts):len(s.prompts)], model.PromptPlaced{Upstream: e.Upstream, Key: e.Key})
	}
	if !slices.Contains(s.dirty, e.Upstream) {
		s.dirty = append(s.dirty[:len(s.dirty):len(s.dirty)], e.Upstream)
	}
	delay := endDelay
	if e.Prompt > 0 || e.Runs > 0 {
		delay = startDelay
	}
	s.announceAt = step.Earliest(s.announceAt, at.Add(delay))
	return s
}

// announced raises what peers have to learn.
func (s State) announced(at time.Time, out *Out) State {
	if s.announceAt.IsZero() || at.Before(s.announceAt) {
		return s
	}
	var uses []model.UpstreamUse
	for _, name := range s.dirty {
		if u, found := s.upstreams.Get(name); found {
			uses = append(uses, u.own)
		}
	}
	if len(uses) > 0 || len(s.changes) > 0 {
		out.Raise(event.AnnounceDue{Uses: uses, Changes: s.changes, Prompts: s.prompts})
	}
	s.dirty, s.changes, s.prompts, s.announceAt = nil, nil, nil, time.Time{}
	return s
}

// changing marks an engine that changes its role, or that was found to have it.
func (s State) changing(change model.RoleChange, at time.Time) State {
	u, found := s.upstreams.Get(change.Upstream)
	if !found || u.Role == change.To && change.Left > 0 {
		return s
	}
	u.changesTo, u.changedBy = change.To, at.Add(change.Left)
	if change.Left == 0 {
		u.Role = change.To
	}
	s.upstreams = s.upstreams.Set(change.Upstream, u)
	return s
}

func (s State) judged(e event.AttemptJudged, at time.Time, out *Out) State {
	u, found := s.upstreams.Get(e.Upstream)
	if !found {
		return s
	}
	switch {
	case e.Unreachable:
		u.avoidUntil = at.Add(min(maxUnreachable, unreachableTerm<<min(u.refusals, 8)))
		u.refusals++
		out.Emit(believe(model.UpstreamAvoided, u.Upstream))
	case e.Misdirected:
		u.avoidUntil = at.Add(min(maxMisdirected, misdirectedTerm<<min(u.misdirected, 8)))
		u.misdirected++
		out.Emit(believe(model.UpstreamAvoided, u.Upstream))
	case e.Rejected:
		u.avoidUntil = at.Add(rejectedTerm)
	case e.Failed:
		u.failures, u.failedAt = u.Penalty(at)+failureWeight, at
	default:
		if u.refusals == 0 && u.misdirected == 0 {
			return s
		}
		u.refusals, u.misdirected = 0, 0
	}
	s.upstreams = s.upstreams.Set(e.Upstream, u)
	return s
}

// reported applies the work of a peer: all of it, or what changed. The sums are
// kept at the upstreams, so that placement reads them without a walk over the
// peers.
func (s State) reported(r model.Report, whole bool, at time.Time) State {
	old, found := s.peers.Get(r.Member.Name)
	if found && r.Member.Incarnation == old.incarnation && r.Seq <= old.seq {
		return s
	}
	uses := old.uses
	if whole || !found || r.Member.Incarnation != old.incarnation {
		uses = immutable.NewSortedMap[model.UpstreamName, model.UpstreamUse](nil)
		s = s.without(old)
	}
	for _, use := range r.Uses {
		last, _ := uses.Get(use.Upstream)
		s = s.withPeer(use.Upstream, use.Prompt-last.Prompt, use.Runs-last.Runs)
		uses = uses.Set(use.Upstream, use)
	}
	s.peers = s.peers.Set(r.Member.Name, peer{at, r.Member.Incarnation, r.Seq, uses})
	for _, change := range r.Changes {
		s = s.changing(change, at)
	}
	for _, p := range r.Prompts {
		s = s.withHolder(p)
	}
	if whole {
		s = s.withoutSilent(at)
	}
	return s
}

// withoutSilent forgets the work of peers that are silent.
func (s State) withoutSilent(at time.Time) State {
	for itr := s.peers.Iterator(); !itr.Done(); {
		name, p, _ := itr.Next()
		if at.Sub(p.at) >= useTerm && p.uses.Len() > 0 {
			s = s.without(p)
			p.uses = immutable.NewSortedMap[model.UpstreamName, model.UpstreamUse](nil)
			s.peers = s.peers.Set(name, p)
		}
	}
	return s
}

// without takes the work of a peer away.
func (s State) without(p peer) State {
	if p.uses == nil {
		return s
	}
	for itr := p.uses.Iterator(); !itr.Done(); {
		name, use, _ := itr.Next()
		s = s.withPeer(name, -use.Prompt, -use.Runs)
	}
	return s
}

// withPeer changes the work of the peers at an upstream.
func (s State) withPeer(name model.UpstreamName, prompt float64, runs int) State {
	u, found := s.upstreams.Get(name)
	if !found {
		return s
	}
	u.peers.Prompt = max(0, u.peers.Prompt+prompt)
	u.peers.Runs = max(0, u.peers.Runs+runs)
	s.upstreams = s.upstreams.Set(name, u)
	return s
}

func (s State) withServices() State {
	services := map[model.ServiceName][]model.UpstreamName{}
	zones := maps.Clone(s.zones)
	if zones == nil {
		zones = map[model.ZoneName]struct{}{}
	}
	for itr := s.upstreams.Iterator(); !itr.Done(); {
		name, u, _ := itr.Next()
		if u.State == model.UpstreamActive {
			services[u.Service] = append(services[u.Service], name)
		}
		zones[u.Zone] = struct{}{}
	}
	s.services, s.zones = services, zones
	return s
}
