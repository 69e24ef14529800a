// Package feed is the component that decides where a node gets the configuration and
// the list of upstreams from. In one cell of nodes, and as the relay of a cell, it
// reads the store. Otherwise it takes both from the relay, together with the proof
// that they are current, and reads the store only while such proof is missing.
package feed

import (
	"cmp"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
)

const (
	// defaultApplyWithin is the time in which a change has to be in force if no bound is
	// set.
	defaultApplyWithin = 2 * time.Second
	// readRatio and cellReadRatio are the time between two reads of the configuration by a
	// node for itself and by the relay of a cell, whose members hear of it by their next
	// exchange only, as fractions of the time in which a change has to be in force.
	readRatio     = 0.6
	cellReadRatio = 0.45
	// repeatRatio is the time without an answer after which a read is made again, as such a
	// fraction, so that a change is in force in time although one call was lost.
	repeatRatio = 0.15
	// evacuationRatio is the time between two reads of the evacuations, as a fraction of the
	// time in which one has to be in force: a lost call and the way to the cell fit too.
	evacuationRatio = 0.3
	// patienceRatio is the age of the latest proof from the relay from which on the first
	// node of a cell reads the store itself, as such a fraction. Nodes that sort later
	// begin later, so that not all do at once, but the last one readTime before the change
	// has to be in force. Nodes from maxRank on begin together.
	patienceRatio = 0.75
	readTime      = 150 * time.Millisecond
	maxRank       = 32
	// startPatience is the patience of a node that has just started.
	startPatience = 300 * time.Millisecond
	// layoutTimeout is how long after its start a node waits until the division into
	// cells is known before it reads the store.
	layoutTimeout = 900 * time.Millisecond
	// fetchTimeout is how long a call to a peer counts as open.
	fetchTimeout = 1500 * time.Millisecond
)

// Out holds the effects and events that one Apply call produces.
type Out = step.Out[event.Event, effect.Effect]

// View is the state of other components that Apply reads.
type View struct {
	// Direct is set if this node reads the store for itself or for its cell.
	Direct bool
	// ForCell is set if the other nodes of the cell take what this node reads.
	ForCell bool
	// Known is set once the division into cells is known.
	Known bool
	// Relay is the relay of the cell, and Rank the number of the nodes of the cell that
	// sort before this one.
	Relay model.NodeName
	Rank  int
	// Site is the version of the configuration in force.
	Site model.Version
	// ApplyWithin is the time in which a change has to be in force, or zero.
	ApplyWithin time.Duration
	// EvacuateWithin is the time in which an evacuation has to be in force, or zero if there
	// are none.
	EvacuateWithin time.Duration
}

// list identifies a list of upstreams: the process that has it, and the number of its
// changes there.
type list struct {
	process model.Incarnation
	seq     uint64
}

// proof says that a version of the configuration was the latest one at a time.
type proof struct {
	at   time.Time
	site model.Version
}

// State is where a node gets its configuration from.
type State struct {
	startAt time.Time
	// reading is set while this node reads the store.
	reading bool
	// interval is the time between two reads of the configuration.
	interval time.Duration
	// evacuateWithin is that of the view when reading was last switched.
	evacuateWithin time.Duration
	// provenAt is when the configuration of this node was last known to be current by a
	// proof of the relay.
	provenAt time.Time
	proven   bool
	// offered is the last proof of the relay. It counts once this node has the version that
	// it is for, which may take long to fetch.
	offered proof
	// upstreams is the list of upstreams that was last fetched from a peer.
	upstreams list
	// fetchUntil is when an open call to a peer counts as lost; zero if none is open.
	fetchUntil time.Time
	// decided is set once the first decision has been made.
	decided bool
	view    View
}

// New returns the state of a node that starts at the given time.
func New(startAt time.Time) State { return State{startAt: startAt} }

// Apply processes the reports of peers and what was fetched from them.
func (s State) Apply(in step.Input[event.Event], view View) (State, Out) {
	var out Out
	s.view = view
	switch e := in.Event.(type) {
	case event.SyncAnswered:
		s = s.handleReport(e.Report, e.SentAt, in.At, &out)
	case event.AnnounceArrived:
		s = s.fetchNews(e.Report, in.At, &out)
	case event.FeedAnswered:
		s = s.handleFeedAnswered(e, &out)
	case event.FeedFailed:
		s.fetchUntil = time.Time{}
	}
	return s.acceptOffer().decide(in.At, &out), out
}

// Next returns when the component needs a Tick, or the zero time if it needs none.
func (s State) Next() time.Time {
	switch {
	case !s.decided:
		return s.startAt.Add(layoutTimeout)
	case s.reading:
		return time.Time{}
	default:
		return s.dueAt()
	}
}

// Reading reports whether this node reads the store.
func (s State) Reading() bool { return s.reading }

// dueAt returns when this node reads the store unless the relay proves earlier that what
// it has is current.
func (s State) dueAt() time.Time {
	first := scale(s.applyWithin(), patienceRatio)
	last := max(first, s.applyWithin()-readTime)
	delay := time.Duration(min(s.view.Rank, maxRank)) * (last - first) / maxRank
	if !s.proven {
		return s.startAt.Add(startPatience + delay)
	}
	return s.provenAt.Add(first + delay)
}

// applyWithin returns the time in which a change has to be in force.
func (s State) applyWithin() time.Duration {
	return cmp.Or(s.view.ApplyWithin, defaultApplyWithin)
}

// readInterval returns the time between two reads of the configuration.
func (s State) readInterval() time.Duration {
	if s.view.ForCell {
		return scale(s.applyWithin(), cellReadRatio)
	}
	return scale(s.applyWithin(), readRatio)
}

func scale(d time.Duration, ratio float64) time.Duration { return time.Duration(float64(d) * ratio) }

// decide starts or stops reading the store.
func (s State) decide(at time.Time, out *Out) State {
	if !s.view.Known && at.Before(s.startAt.Add(layoutTimeout)) {
		return s
	}
	s.decided = true
	reading := s.view.Direct || !s.view.Known || !at.Before(s.dueAt())
	interval := s.readInterval()
	if reading != s.reading || reading && (interval != s.interval || s.view.EvacuateWithin != s.evacuateWithin) {
		s.reading, s.interval, s.evacuateWithin = reading, interval, s.view.EvacuateWithin
		out.Emit(effect.FollowStore{
			On: reading, Interval: interval, Patience: scale(s.applyWithin(), repeatRatio),
			EvacuationInterval: scale(s.view.EvacuateWithin, evacuationRatio),
		})
	}
	return s
}

// handleReport notes the proof in the answer of the relay. When this node sent its call,
// less the ages that the relay states, it knew of no later version of the configuration, and
// had an answer of the store itself. The list of upstreams is as old as that answer: other
// cells go on to prove the configuration to a relay that is cut off from the store.
func (s State) handleReport(r model.Report, sentAt, at time.Time, out *Out) State {
	if s.isProof(r) {
		s.offered = proof{sentAt.Add(-max(r.ConfirmationAge, r.RegistryAge)), r.Site}
	}
	return s.fetchNews(r, at, out)
}

// acceptOffer notes that the configuration of this node is proved to be current.
func (s State) acceptOffer() State {
	if s.offered.at.IsZero() || s.offered.site > s.view.Site {
		return s
	}
	if !s.proven || s.offered.at.After(s.provenAt) {
		s.provenAt, s.proven = s.offered.at, true
	}
	s.offered = proof{}
	return s
}

// isProof reports whether a report proves that this node need not read the store. The
// proof covers the list of upstreams too, so it comes from the relay, and only while that
// reads the list itself.
func (s State) isProof(r model.Report) bool {
	return r.Confirmed && r.RegistryConfirmed && r.Member.Name == s.view.Relay
}

// fetchNews fetches what a peer has and this node has not: a later configuration, or
// another list of upstreams at the relay.
func (s State) fetchNews(r model.Report, at time.Time, out *Out) State {
	if s.view.Direct || r.Nodes > 0 || at.Before(s.fetchUntil) {
		return s
	}
	isRelay := r.Member.Name == s.view.Relay && r.Registry > 0
	has := list{r.Member.Incarnation, r.Registry}
	if r.Site <= s.view.Site && (!isRelay || has == s.upstreams) {
		return s
	}
	s.fetchUntil = at.Add(fetchTimeout)
	out.Emit(effect.FetchFeed{
		Peer: r.Member, Site: s.view.Site, Process: s.upstreams.process, Registry: s.upstreams.seq,
	})
	return s
}

// handleFeedAnswered passes on what a peer sent.
func (s State) handleFeedAnswered(e event.FeedAnswered, out *Out) State {
	s.fetchUntil = time.Time{}
	if e.Feed.Confirmed {
		out.Raise(event.SiteRead{
			SentAt: e.SentAt.Add(-e.Feed.ConfirmationAge), Revision: e.Feed.Revision, Site: e.Feed.Site, ByPeer: true,
		})
	}
	if e.Feed.Evacuations.Version > 0 {
		out.Raise(event.EvacuationsRead{Evacuations: e.Feed.Evacuations})
	}
	if e.Feed.HasUpstreams {
		s.upstreams = list{e.Feed.Process, e.Feed.Registry}
		out.Raise(event.UpstreamsRead{Revision: e.Feed.RegistryRevision, Upstreams: e.Feed.Upstreams, ByPeer: true})
	}
	return s
}
