// Package feed is the component that decides where a node gets the configuration and
// the list of upstreams from. In one cell of nodes, and as the relay of a cell, it
// reads the store. Otherwise it takes both from the relay, together with the proof
// that they are current, and reads the store only while such proof is missing.
package feed

import (
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
)

const (
	// patience is the age of the latest proof from the relay from which on a node reads
	// the store itself. It is rankDelay longer for each node of the cell that sorts
	// before, up to maxRank of them, so that not all nodes begin at once.
	patience  = 1500 * time.Millisecond
	rankDelay = 60 * time.Millisecond
	maxRank   = 12
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
	// Known is set once the division into cells is known.
	Known bool
	// Relay is the relay of the cell, and Rank the number of the nodes of the cell that
	// sort before this one.
	Relay model.NodeName
	Rank  int
	// Site is the version of the configuration in force.
	Site model.Version
}

// list identifies a list of upstreams: the process that has it, and the number of its
// changes there.
type list struct {
	process model.Incarnation
	seq     uint64
}

// State is where a node gets its configuration from.
type State struct {
	startAt time.Time
	// reading is set while this node reads the store.
	reading bool
	// provenAt is when what the relay has was last known to be current.
	provenAt time.Time
	proven   bool
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
	return s.decide(in.At, &out), out
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
	delay := time.Duration(min(s.view.Rank, maxRank)) * rankDelay
	if !s.proven {
		return s.startAt.Add(startPatience + delay)
	}
	return s.provenAt.Add(patience + delay)
}

// decide starts or stops reading the store.
func (s State) decide(at time.Time, out *Out) State {
	if !s.view.Known && at.Before(s.startAt.Add(layoutTimeout)) {
		return s
	}
	s.decided = true
	reading := s.view.Direct || !s.view.Known || !at.Before(s.dueAt())
	if reading != s.reading {
		s.reading = reading
		out.Emit(effect.FollowStore{On: reading})
	}
	return s
}

// handleReport notes the proof in the answer of the relay. It knew no later version when
// this node sent its call, less the age that it states.
func (s State) handleReport(r model.Report, sentAt, at time.Time, out *Out) State {
	if provenAt := sentAt.Add(-r.ConfirmationAge); s.isProof(r) && (!s.proven || provenAt.After(s.provenAt)) {
		s.provenAt, s.proven = provenAt, true
	}
	return s.fetchNews(r, at, out)
}

// isProof reports whether a report proves that this node need not read the store. The
// proof covers the list of upstreams too, so it comes from the relay, and only while the
// store answers the relay itself: other cells prove the configuration alone.
func (s State) isProof(r model.Report) bool {
	return r.Confirmed && r.InContact && r.Member.Name == s.view.Relay
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
	if e.Feed.HasUpstreams {
		s.upstreams = list{e.Feed.Process, e.Feed.Registry}
		out.Raise(event.UpstreamsRead{Revision: e.Feed.RegistryRevision, Upstreams: e.Feed.Upstreams})
	}
	return s
}
