// Package member is the component that tracks the entry nodes of a platform. It
// decides when nodes exchange reports, and derives a common time of day from
// their clocks.
package member

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
)

const (
	// syncInterval is the shortest time between two exchanges of a pair of nodes.
	syncInterval = 300 * time.Millisecond
	// stoppedRetention is how long a member is kept after its process has
	// ended, unresponsiveRetention how long one that does not answer is kept.
	stoppedRetention      = 10 * time.Second
	unresponsiveRetention = time.Minute
	// clockMaxAge is how long a reading of a member's clock is used.
	clockMaxAge = 5 * time.Second
	// initialSyncTimeout is how long a newly started node waits for the first
	// reports of the others. Compared with the records in the store, these
	// reports only add what was admitted in the last second.
	initialSyncTimeout = 150 * time.Millisecond
	// firstStartDelay is how long a node waits for the registrations of the others when
	// all of them start for the first time.
	firstStartDelay = 800 * time.Millisecond
	// maxMembers limits the number of members. Further nodes are ignored.
	maxMembers = 1024
)

// Out holds the effects and events that one Apply call produces.
type Out = step.Out[event.Event, effect.Effect]

// Member is another node.
type Member struct {
	model.Member
	HeardAt time.Time
	// inContact is set if the store answered the member shortly before its last report.
	inContact bool
	// clockOffset is the member's time of day minus the steady time of this
	// node.
	clockOffset time.Duration
	heard       bool
	// failed is set if the member did not answer the last sync.
	failed bool
	// failedAt is when it did not answer.
	failedAt time.Time
	// stoppedAt is when the process of the member was found to have ended or to
	// be leaving. It is zero while the process may be running.
	stoppedAt time.Time
}

// State holds the other nodes, sorted by name.
type State struct {
	self        model.Member
	startAt     time.Time
	settledAt   time.Time
	members     *immutable.SortedMap[model.NodeName, Member]
	nextSyncAt  time.Time
	membersRead bool
	draining    bool
	// cells has the last summary of each other cell. layout is what follows from the
	// members and the summaries.
	cells         *immutable.SortedMap[model.ZoneName, cell]
	layout        *layout
	nextRelayAt   time.Time
	nextCellAt    time.Time
	nextSummaryAt time.Time
	// lastSynced is the member of the cell with which this node exchanged last.
	lastSynced model.NodeName
	// clockCorrection is the common time of day minus the steady time of this
	// node.
	clockCorrection time.Duration
}

// New returns a state without other nodes. If all nodes start for the first time,
// the registered nodes are complete only some time later.
func New(self model.Member, startAt time.Time, firstStart bool) State {
	settledAt := startAt
	if firstStart {
		settledAt = startAt.Add(firstStartDelay)
	}
	return State{
		settledAt:  settledAt,
		self:       self,
		startAt:    startAt,
		members:    immutable.NewSortedMap[model.NodeName, Member](nil),
		cells:      immutable.NewSortedMap[model.ZoneName, cell](nil),
		nextSyncAt: startAt,
	}.withLayout(startAt)
}

// Apply processes registrations and reports of other nodes.
func (s State) Apply(in step.Input[event.Event]) (State, Out) {
	var out Out
	switch e := in.Event.(type) {
	case event.MembersRead:
		s = s.handleMembersRead(e, in.At)
	case event.MemberGone:
		s = s.handleMemberGone(e, in.At)
	case event.SyncAnswered:
		s = s.handleReport(e.Report, in, in.At.Sub(e.SentAt)/2, &out)
	case event.SyncArrived:
		s = s.handleReport(e.Report, in, 0, &out)
		out.Raise(event.SyncAnswerDue{Ticket: e.Ticket, Peer: e.Report.Member})
	case event.AnnounceArrived:
		s = s.handleAnnouncement(e.Report, in.At)
	case event.SyncFailed:
		s = s.handleSyncFailed(e, in.At, &out)
	case event.DrainAsked:
		s.draining = true
		s = s.withLayout(in.At)
	case event.Tick:
		s = s.handleTick(in, &out)
	}
	return s, out
}

// Members returns the other nodes.
func (s State) Members() []Member {
	list := make([]Member, 0, s.members.Len())
	for itr := s.members.Iterator(); !itr.Done(); {
		_, m, _ := itr.Next()
		list = append(list, m)
	}
	return list
}

// Next returns when the component needs a Tick, or the zero time if it needs
// none.
func (s State) Next() time.Time {
	next := s.nextSyncAt
	if s.layout.flat {
		return next
	}
	if s.layout.isRelay {
		return step.Earliest(next, s.nextCellAt, s.nextSummaryAt)
	}
	return step.Earliest(next, s.nextRelayAt)
}

func (s State) Self() model.Member { return s.self }

// WallTime returns the common time of day. It is the median of the clocks of all
// nodes, so that a step of a single clock has no effect.
func (s State) WallTime(at time.Time) time.Time { return s.steadyTime(at).Add(s.clockCorrection) }

// steadyTime returns a time of day that only advances with the clock of the node.
func (s State) steadyTime(at time.Time) time.Time {
	return s.startAt.Round(0).Add(at.Sub(s.startAt))
}

// Synced reports whether the initial sync is complete: the registered nodes
// have been read and each has sent a report or failed to answer, or
// initialSyncTimeout has passed.
func (s State) Synced(at time.Time) bool {
	if at.Sub(s.startAt) >= initialSyncTimeout {
		return true
	}
	for itr := s.members.Iterator(); !itr.Done(); {
		if _, m, _ := itr.Next(); !m.heard && !m.failed {
			return false
		}
	}
	return s.membersRead
}

// withClockCorrection sets the correction to the median of the clocks.
func (s State) withClockCorrection(at, timeOfDay time.Time) State {
	offsets := []time.Duration{timeOfDay.Sub(s.steadyTime(at))}
	for itr := s.members.Iterator(); !itr.Done(); {
		_, m, _ := itr.Next()
		if m.heard && at.Sub(m.HeardAt) < clockMaxAge {
			offsets = append(offsets, m.clockOffset)
		}
	}
	slices.Sort(offsets)
	s.clockCorrection = offsets[(len(offsets)-1)/2]
	return s
}

func (s State) handleReport(report model.Report, in step.Input[event.Event], transit time.Duration, out *Out) State {
	at := in.At
	if report.Member.Name == s.self.Name {
		return s
	}
	m, known := s.members.Get(report.Member.Name)
	if !known && s.members.Len() >= maxMembers {
		return s
	}
	if !m.heard || m.Incarnation != report.Member.Incarnation {
		out.Emit(beliefEffect(model.PeerMet, report.Member))
	}
	m.Member, m.HeardAt, m.heard, m.failed, m.stoppedAt = report.Member, at, true, false, time.Time{}
	m.inContact = report.InContact
	m.clockOffset = report.Wall.Add(transit).Sub(s.steadyTime(at))
	if report.Leaving {
		m.stoppedAt = at
	}
	s.members = s.members.Set(m.Name, m)
	for _, other := range report.Others {
		s = s.withMember(other, at)
	}
	return s.withSummary(report, at).withLayout(at).withClockCorrection(at, in.TimeOfDay())
}

// handleAnnouncement notes that a member is alive.
func (s State) handleAnnouncement(report model.Report, at time.Time) State {
	m, known := s.members.Get(report.Member.Name)
	if known && m.Incarnation == report.Member.Incarnation {
		m.HeardAt, m.heard, m.failed = at, true, false
		s.members = s.members.Set(m.Name, m)
	}
	return s.withSummary(report, at)
}

// withMember adds a node that is not known yet.
func (s State) withMember(other model.Member, at time.Time) State {
	if _, known := s.members.Get(other.Name); known || other.Name == s.self.Name || s.members.Len() >= maxMembers {
		return s
	}
	s.members = s.members.Set(other.Name, Member{Member: other, HeardAt: at})
	return s
}

// handleMembersRead processes the nodes registered in the store. If a process
// replaced another one of the same name, its entry has a new incarnation.
func (s State) handleMembersRead(e event.MembersRead, at time.Time) State {
	if !s.membersRead {
		s.membersRead, s.nextSyncAt = true, at
	}
	for _, m := range e.Members {
		known, found := s.members.Get(m.Name)
		if found && known.Incarnation != m.Incarnation && !known.stoppedAt.IsZero() {
			s.members = s.members.Delete(m.Name)
		}
		s = s.withMember(m, at)
	}
	return s.withLayout(at)
}

// handleMemberGone notes that the process of a node has ended.
func (s State) handleMemberGone(e event.MemberGone, at time.Time) State {
	m, known := s.members.Get(e.Member.Name)
	if !known || m.Incarnation != e.Member.Incarnation || !m.stoppedAt.IsZero() {
		return s
	}
	m.stoppedAt = at
	s.members = s.members.Set(m.Name, m)
	return s.withLayout(at)
}

func (s State) handleSyncFailed(e event.SyncFailed, at time.Time, out *Out) State {
	m, known := s.members.Get(e.Peer)
	if !known {
		return s
	}
	m.failed, m.failedAt = true, at
	if e.Stopped && m.stoppedAt.IsZero() {
		m.stoppedAt = at
		out.Emit(beliefEffect(model.PeerStopped, m.Member))
	}
	s.members = s.members.Set(e.Peer, m)
	return s.withLayout(at)
}

func beliefEffect(belief model.Belief, m model.Member) effect.Effect {
	return effect.Believe{Belief: belief, Subject: string(m.Name), Number: uint64(m.Incarnation)}
}
