// Package fleet is the component that tracks the upstreams that register
// themselves on a platform: which exist, how loaded they are, and which should
// get no requests for now.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
)

const (
	// peerUseTimeout is how long the last report of a silent peer is used.
	peerUseTimeout = 3 * time.Second
	// startAnnounceDelay and endAnnounceDelay are the delays before peers are
	// told of work that was placed and of work that ended. Changes in between
	// are sent in the same announcement.
	startAnnounceDelay = time.Millisecond
	endAnnounceDelay   = 60 * time.Millisecond
)

// Out holds the effects and events that one Apply call produces.
type Out = step.Out[event.Event, effect.Effect]

// Upstream is an upstream as this node knows it.
type Upstream struct {
	model.Upstream
	Hash uint64
	// goneAt is when an upstream whose entry expired during an outage is
	// removed, unless its entry returns. It is zero while the entry exists.
	goneAt time.Time
	// local is the unfinished work of this node at the upstream, peers that of the
	// other nodes of its cell, and cells that of the nodes of other cells.
	local model.UpstreamUse
	peers model.UpstreamUse
	cells model.UpstreamUse
	// returnedAt is when the upstream may get requests again whose entry returned with a
	// copy of the store after it was removed, or zero.
	returnedAt time.Time
	// nextRole is the role that the engine was ordered to take. Until
	// roleChangeUntil it gets no requests, unless its entry shows the role
	// earlier.
	nextRole        model.Role
	roleChangeUntil time.Time
	// avoidUntil is set when the upstream did not accept a connection or
	// rejected a request.
	avoidUntil      time.Time
	connectFailures int
	avoidedAt       time.Time
	// suspectedBy is the node that last reported that it could not reach the upstream.
	suspectedBy model.NodeName
	suspectedAt time.Time
	// heard is nil for most upstreams, which are copied for each placement.
	heard *heard
	// misdirections counts the requests that the upstream rejected because it
	// differs from its entry, since the entry changed.
	misdirections int
	failureLoad   float64
	failedAt      time.Time
	// pace is the time that an engine takes for a prompt token, relative to the mean
	// of its service. Zero means 1.
	pace float64
	// filled is the number of tokens that prompts have added to the cache of an
	// engine since it started.
	filled float64
	cold   *coldness
	// evacuated is set while the availability zone of the upstream is evacuated.
	evacuated bool
	streams   *streamPace
}

// peer is the unfinished work of another node.
type peer struct {
	at          time.Time
	incarnation model.Incarnation
	seq         uint64
	uses        *immutable.SortedMap[model.UpstreamName, peerUse]
}

// peerUse is the work of a peer at an upstream, as reported at the given time.
type peerUse struct {
	model.UpstreamUse
	at time.Time
}

// State holds the upstreams, sorted by name.
type State struct {
	upstreams *immutable.SortedMap[model.UpstreamName, Upstream]
	peers     *immutable.SortedMap[model.NodeName, peer]
	// services lists the active upstreams of each service. It is rebuilt when
	// an entry changes, and never modified.
	services map[model.ServiceName][]model.UpstreamName
	// zones are the zones that ever had an upstream.
	zones    map[model.ZoneName]struct{}
	revision model.Version
	listed   bool
	// readsRegistry is set if the last list came from the store itself, and no read of it
	// has failed since.
	readsRegistry bool
	contact       contact
	// nextGoneAt is the earliest goneAt, or zero.
	nextGoneAt time.Time
	// dirty lists the upstreams where the work of this node changed since the
	// last announcement. announceAt is when the next one is due.
	dirty      []model.UpstreamName
	announceAt time.Time
	// cellDirty lists the upstreams where the work of the cell changed since the last
	// summary, and summarized is the upstream at which that summary ended.
	cellDirty   []model.UpstreamName
	summarized  model.UpstreamName
	cellPrompts []model.PromptPlaced
	// registrySeq is the number of changes of the list of upstreams.
	registrySeq uint64
	// roleChanges are the role changes that this node ordered since the last
	// announcement.
	roleChanges []model.RoleChange
	// unreachable are the upstreams that this node could not reach since the last
	// announcement.
	unreachable []model.UpstreamName
	// leaving are the upstreams that told this node that they are leaving, since the last
	// announcement.
	leaving []model.UpstreamInstance
	// pauses are the longest pauses of streams that ended since the last announcement.
	pauses []model.StreamPause
	// prompts are the prompts that this node placed since the last
	// announcement.
	prompts []model.PromptPlaced
	// prefixHolders maps the hash of a shared prompt prefix to the engines
	// that have it cached.
	prefixHolders *immutable.SortedMap[uint64, prefixHolders]
	speeds        *immutable.SortedMap[model.ServiceName, speed]
	servicePauses *immutable.SortedMap[model.ServiceName, *streamPace]
	notices       *immutable.SortedMap[model.UpstreamInstance, notice]
	removals      removals
	// wallTime is the common time of day at the event that is processed, or zero if it is
	// not known.
	wallTime    time.Time
	evacuations model.Evacuations
	// evacuationSeq is the number of changes of the evacuated zones.
	evacuationSeq uint64
	// nextPauseEnd is the earliest end of a pause that is not reported yet, or zero.
	nextPauseEnd time.Time
}

// New returns a state without upstreams.
func New() State {
	return State{
		upstreams:     immutable.NewSortedMap[model.UpstreamName, Upstream](nil),
		peers:         immutable.NewSortedMap[model.NodeName, peer](nil),
		prefixHolders: immutable.NewSortedMap[uint64, prefixHolders](nil),
		speeds:        immutable.NewSortedMap[model.ServiceName, speed](nil),
		servicePauses: immutable.NewSortedMap[model.ServiceName, *streamPace](nil),
		notices:       immutable.NewSortedMap[model.UpstreamInstance, notice](instanceComparer{}),
		removals:      newRemovals(),
	}
}

// WithWallTime returns the state with the common time of day at the next event.
func (s State) WithWallTime(wallTime time.Time) State {
	s.wallTime = wallTime
	return s
}

// Apply processes changes of the registry, of the work at upstreams and of their
// roles, and the reports of peers.
func (s State) Apply(in step.Input[event.Event]) (State, Out) {
	var out Out
	s = s.handleEvacuationReport(in.Event, in.At, &out)
	switch e := in.Event.(type) {
	case event.UpstreamsRead:
		s = s.handleUpstreamsRead(e, in.At, &out)
	case event.UpstreamRegistered:
		s = s.handleUpstreamRegistered(e, in.At, &out)
	case event.UpstreamRemoved:
		if e.Revision >= s.revision {
			s = s.withoutEntry(e.Name, e.Revision, in.At)
			s.revision = e.Revision
			s.registrySeq++
			s = s.withServiceIndex()
		}
	case event.RegistryFailed:
		s.contact, s.readsRegistry = s.contact.WithFailure(in.At), false
	case event.SiteRead:
		s.contact = s.contact.WithAnswer(e.SentAt)
	case event.UseChanged:
		s = s.handleUseChanged(e, in.At)
	case event.AttemptJudged:
		s = s.handleAttemptJudged(e, in.At, &out)
	case event.UpstreamCold:
		s = s.handleUpstreamCold(e, in.At, &out)
	case event.UpstreamLeaving:
		s = s.handleUpstreamLeaving(e, in.At, &out)
	case event.PauseAsked:
		s = s.handlePauseAsked(e, in.At, &out)
	case event.AttemptSettled:
		s = s.handleAttemptSettled(e)
	case event.PauseMeasured:
		s = s.handlePauseMeasured(e.Pause, in.At)
	case event.PromptMeasured:
		s = s.handlePromptMeasured(e)
	case event.RoleOrdered:
		s = s.withRoleChange(e.Change, in.At)
		s.roleChanges = append(s.roleChanges[:len(s.roleChanges):len(s.roleChanges)], e.Change)
		s.announceAt = step.Earliest(s.announceAt, in.At.Add(startAnnounceDelay))
	case event.SyncAnswered:
		s = s.withProof(e).handleReport(e.Report, true, in.At)
	case event.SyncArrived:
		s = s.handleReport(e.Report, true, in.At)
	case event.AnnounceArrived:
		s = s.handleReport(e.Report, false, in.At)
	case event.Tick:
		s = s.removeGone(in.At, &out).endPauses(in.At, &out).announce(in.At, &out)
	}
	return s, out
}

// Listed reports whether the upstreams have been listed at least once.
func (s State) Listed() bool { return s.listed }

// ReadsRegistry reports whether this node has its list of upstreams from the store itself.
func (s State) ReadsRegistry() bool { return s.readsRegistry }

// RegistrySeq returns the number of changes of the list of upstreams.
func (s State) RegistrySeq() uint64 { return s.registrySeq }

// Revision returns the revision of the store up to which the upstreams are known.
func (s State) Revision() model.Version { return s.revision }

// Upstreams returns the entries of all upstreams, with the times that are left now.
func (s State) Upstreams(at time.Time) []model.Upstream {
	list := make([]model.Upstream, 0, s.upstreams.Len())
	for itr := s.upstreams.Iterator(); !itr.Done(); {
		_, u, _ := itr.Next()
		u.ColdLeft = u.coldLeft(at)
		list = append(list, u.Upstream)
	}
	return list
}

// Next returns when the component needs a Tick, or the zero time if it needs
// none.
func (s State) Next() time.Time { return step.Earliest(s.nextGoneAt, s.announceAt, s.nextPauseEnd) }

// ActiveUpstreams returns the names of the active upstreams of a service.
func (s State) ActiveUpstreams(service model.ServiceName) []model.UpstreamName {
	return s.services[service]
}

func (s State) Get(name model.UpstreamName) (Upstream, bool) { return s.upstreams.Get(name) }

// ZonesByPrice returns the zones of a price list that ever had an upstream,
// cheapest first.
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

// Uses returns the unfinished work of this node, which is reported to its
// peers.
func (s State) Uses() []model.UpstreamUse {
	var uses []model.UpstreamUse
	for itr := s.upstreams.Iterator(); !itr.Done(); {
		_, u, _ := itr.Next()
		if u.local.Runs > 0 || u.local.Prompt > 0 {
			uses = append(uses, u.local)
		}
	}
	return uses
}

// Usable reports whether the upstream may get requests at the given time.
func (u Upstream) Usable(at time.Time) bool {
	return u.State == model.UpstreamActive && !u.evacuated && !at.Before(u.returnedAt) && !at.Before(u.roleChangeUntil) &&
		u.notice().admits(at)
}

// PromptBacklog returns the number of prompt tokens that the upstream has yet to
// process.
func (u Upstream) PromptBacklog() float64 { return u.local.Prompt + u.peers.Prompt + u.cells.Prompt }

// RunningRequests returns the number of requests running at the upstream.
func (u Upstream) RunningRequests() int { return u.local.Runs + u.peers.Runs + u.cells.Runs }

func (s State) handleUseChanged(e event.UseChanged, at time.Time) State {
	u, found := s.upstreams.Get(e.Upstream)
	if !found {
		return s
	}
	u.local.Prompt = max(0, u.local.Prompt+e.Prompt)
	u.local.Runs = max(0, u.local.Runs+e.Runs)
	if e.Prompt > 0 || e.Runs > 0 {
		u = u.withColdSend(at)
	}
	s.upstreams = s.upstreams.Set(e.Upstream, u)
	if e.Prompt > 0 || e.Runs > 0 {
		s = s.withTrial(u, at)
	}
	for _, placed := range placedPrompts(e.Upstream, e.Parts, e.Cached) {
		s = s.withCellPrompt(placed)
		s = s.withPrompt(placed, at)
		s.prompts = append(s.prompts[:len(s.prompts):len(s.prompts)], placed)
	}
	s.dirty = withName(s.dirty, e.Upstream)
	s.cellDirty = withName(s.cellDirty, e.Upstream)
	delay := endAnnounceDelay
	if e.Prompt > 0 || e.Runs > 0 {
		delay = startAnnounceDelay
	}
	s.announceAt = step.Earliest(s.announceAt, at.Add(delay))
	return s
}

// announce raises what has to be announced to the peers.
func (s State) announce(at time.Time, out *Out) State {
	if s.announceAt.IsZero() || at.Before(s.announceAt) {
		return s
	}
	var uses []model.UpstreamUse
	for _, name := range s.dirty {
		if u, found := s.upstreams.Get(name); found {
			uses = append(uses, u.local)
		}
	}
	hints := s.leaving[:min(len(s.leaving), maxLeavingHints)]
	if len(uses) > 0 || len(s.roleChanges) > 0 || len(s.unreachable) > 0 || len(hints) > 0 || len(s.pauses) > 0 {
		out.Raise(event.AnnounceDue{
			Uses: uses, Changes: s.roleChanges, Prompts: s.prompts, Unreachable: s.unreachable, Leaving: hints,
			Pauses: s.pauses,
		})
	}
	s.dirty, s.roleChanges, s.prompts, s.unreachable, s.announceAt = nil, nil, nil, nil, time.Time{}
	s.pauses = nil
	if s.leaving = s.leaving[len(hints):]; len(s.leaving) > 0 {
		s.announceAt = at.Add(startAnnounceDelay)
	}
	return s
}

// withRoleChange marks an engine as changing its role. A change with no time
// left means that the engine confirmed the role.
func (s State) withRoleChange(change model.RoleChange, at time.Time) State {
	u, found := s.upstreams.Get(change.Upstream)
	if !found || u.Role == change.To && change.Remaining > 0 {
		return s
	}
	u.nextRole, u.roleChangeUntil = change.To, at.Add(change.Remaining)
	if change.Remaining == 0 {
		u.Role = change.To
	}
	s.upstreams = s.upstreams.Set(change.Upstream, u)
	return s
}
