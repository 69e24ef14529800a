// Package edge is the root reducer of an entry node on a platform that stores
// the configuration and the registry of upstreams. It passes each external
// event, and the events that its components raise, to the components that handle
// them.
package edge

import (
	"time"

	"caroblane/core/alive"
	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/feed"
	"caroblane/core/fleet"
	"caroblane/core/lease"
	"caroblane/core/member"
	"caroblane/core/model"
	"caroblane/core/quota"
	"caroblane/core/scaler"
	"caroblane/core/serve"
	"caroblane/core/site"
	"caroblane/core/step"
	"caroblane/core/usage"
)

// drainNotice is how long a draining node still accepts requests.
const drainNotice = 2800 * time.Millisecond

// Input is an event with its time and random number.
type Input = step.Input[event.Event]

// Out holds the effects and events that one Apply call of a component produces.
type Out = step.Out[event.Event, effect.Effect]

// State is the complete control state of an entry node.
type State struct {
	feed     feed.State
	site     site.State
	fleet    fleet.State
	alive    alive.State
	member   member.State
	quota    quota.State
	usage    usage.State
	lease    lease.State
	scaler   scaler.State
	serve    serve.State
	draining bool
	// holdsLease is set while this node holds the lease for the duties.
	holdsLease bool
	// stopAcceptingAt is when a draining node stops accepting requests. By then
	// the load balancer has seen two failed readiness checks.
	stopAcceptingAt time.Time
	// announced is what the cell was last told of the configuration and the upstreams.
	announced news
	// reportSeq is the sequence number of the last report to peers.
	reportSeq   uint64
	suspensions step.Suspensions
}

// Components are the initial states of the components of a node.
type Components struct {
	Feed   feed.State
	Site   site.State
	Fleet  fleet.State
	Alive  alive.State
	Member member.State
	Quota  quota.State
	Usage  usage.State
	Lease  lease.State
	Scaler scaler.State
	Serve  serve.State
}

// New returns the state of a node that has just started.
func New(components Components) State {
	return State{
		feed:   components.Feed,
		site:   components.Site,
		fleet:  components.Fleet,
		alive:  components.Alive,
		member: components.Member,
		quota:  components.Quota,
		usage:  components.Usage,
		lease:  components.Lease,
		scaler: components.Scaler,
		serve:  components.Serve,
	}
}

// Apply processes an event and all events that follow from it, and returns the
// next state and the effects.
func (s State) Apply(in Input) (State, []effect.Effect) {
	var effects []effect.Effect
	var suspended time.Duration
	if s.suspensions, suspended = s.suspensions.With(in.Suspended); suspended > 0 {
		effects = append(effects, effect.ReportSuspension{For: suspended, Total: in.Suspended})
	}
	pending := append(make([]event.Event, 0, 4), in.Event)
	for next := 0; next < len(pending); next++ {
		var out Out
		s, out = s.applyOne(in.With(pending[next]))
		effects = append(effects, out.Effects...)
		pending = append(pending, out.Raised...)
	}
	return s, effects
}

// Draining reports whether the node is shutting down.
func (s State) Draining() bool { return s.draining }

// Fleet returns the upstreams known to this node.
func (s State) Fleet() fleet.State { return s.fleet }

// Lease returns the state of the lease for the duties.
func (s State) Lease() lease.State { return s.lease }

// Member returns the other nodes known to this node.
func (s State) Member() member.State { return s.member }

// Next returns when the node needs a Tick, or the zero time if it needs none.
func (s State) Next() time.Time {
	return step.Earliest(s.feed.Next(), s.fleet.Next(), s.alive.Next(), s.member.Next(), s.quota.Next(), s.usage.Next(), s.lease.Next(), s.scaler.Next(), s.serve.Next())
}

// Ready reports whether the node should receive requests.
func (s State) Ready(at time.Time) bool {
	return !s.draining && s.initialized(at) && s.site.Ready(at)
}

// Serve returns the state of the open requests.
func (s State) Serve() serve.State { return s.serve }

// Site returns the current configuration.
func (s State) Site() site.State { return s.site }

// applyOne passes one event to the components that handle it, in a fixed order.
func (s State) applyOne(in Input) (State, Out) {
	var all, out Out
	switch e := in.Event.(type) {
	case event.DrainAsked:
		s.draining = true
		s.stopAcceptingAt = in.At.Add(drainNotice)
	case event.AuthorityChanged:
		if e.Held != s.holdsLease {
			s.holdsLease = e.Held
			belief := model.LeaseLost
			if e.Held {
				belief = model.LeaseGained
			}
			all.Emit(effect.Believe{Belief: belief, Subject: string(s.member.Self().Name), Number: uint64(e.Epoch)})
		}
	case event.SyncDue:
		s.reportSeq++
		all.Emit(effect.SyncPeer{Peer: e.Peer, Report: s.report(e.Peer, in)})
	case event.SyncAnswerDue:
		s.reportSeq++
		all.Emit(effect.SyncReply{Ticket: e.Ticket, Report: s.report(e.Peer, in)})
	case event.AnnounceDue:
		s, out = s.handleAnnounceDue(e)
		all = all.With(out)
	case event.SummaryDue:
		s, out = s.handleSummaryDue(in.At)
		all = all.With(out)
	case event.SuspicionsDue:
		s, out = s.handleSuspicionsDue(e)
		all = all.With(out)
	case event.AnnounceArrived:
		s.passOn(e.Report, &all)
	case event.FeedAsked:
		all.Emit(effect.FeedReply{Ticket: e.Ticket, Feed: s.feedFor(e, in.At)})
	case event.ConnectionsSilent:
		all.Emit(effect.RenewConnections{})
	}
	to := s.receivers(in.Event)
	if to.has(toFeed) {
		s.feed, out = s.feed.Apply(in, s.feedView(in.At))
		all = all.With(out)
	}
	if to.has(toSite) {
		s.site, out = s.site.Apply(in)
		all = all.With(out)
	}
	if to.has(toFleet) {
		s.fleet, out = s.fleet.WithWallTime(s.member.WallTime(in.At)).Apply(in)
		all = all.With(out)
	}
	if to.has(toAlive) {
		s.alive, out = s.alive.Apply(in, alive.View{Flat: s.member.Flat(), Round: s.member.Round(), Searches: s.member.Searches()})
		all = all.With(out)
	}
	if to.has(toMember) {
		s.member, out = s.member.Apply(in)
		all = all.With(out)
	}
	if to.has(toQuota) {
		s.quota, out = s.quota.Apply(in, quota.View{
			WallTime: s.member.WallTime(in.At), WritesRecords: s.isRecorder(in.At), Cells: !s.member.Flat(), Lapsed: s.alive.Lapsed(in.At),
			Unlimited: s.site.HasConfig() && !s.site.HasLimits(),
		})
		all = all.With(out)
	}
	if to.has(toUsage) {
		s.usage, out = s.usage.Apply(in, s.usageView(in.At))
		all = all.With(out)
	}
	if to.has(toLease) {
		s.lease, out = s.lease.WithCandidate(s.member.IsCandidate(in.At)).Apply(in)
		all = all.With(out)
	}
	if to.has(toScaler) {
		s.scaler, out = s.scaler.Apply(in, scaler.View{Site: s.site, Fleet: s.fleet})
		all = all.With(out)
	}
	if to.has(toServe) {
		s.serve, out = s.serve.Apply(in, s.serveView(in))
		all = all.With(out)
	}
	return s.announceNews(&all), all
}

// initialized reports whether the node has read all the state it needs to
// accept requests.
func (s State) initialized(at time.Time) bool {
	return s.site.HasConfig() && s.fleet.Listed() && s.quota.RecordsRead() && s.member.Synced(at) &&
		(s.site.EvacuateWithin() <= 0 || s.fleet.Evacuations().Version > 0)
}

// isRecorder reports whether this node keeps records: it is in contact with the
// store and among the first of the nodes that are.
func (s State) isRecorder(at time.Time) bool {
	return s.site.InContact(at) && s.member.IsRecorder()
}

// serveView returns the state of other components that request handling reads.
func (s State) serveView(in Input) serve.View {
	rank, nodes := s.member.Rank()
	zoneRank, zoneNodes := s.member.ZoneRank()
	return serve.View{
		Site:            s.site,
		Fleet:           s.fleet,
		Nodes:           s.member.NodeCount(),
		Rank:            rank,
		CellNodes:       nodes,
		ZoneNodes:       zoneNodes,
		ZoneRank:        zoneRank,
		Directory:       s.member.Directory(in.At),
		Node:            s.member.Self().Name,
		Zone:            s.member.Self().Zone,
		PassesNews:      s.member.IsRelay(),
		Random:          in.Random,
		At:              in.At,
		RefusesRequests: s.draining && !in.At.Before(s.stopAcceptingAt),
		Initialized:     s.initialized(in.At),
	}
}
