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
	// syncInterval is the time between two exchanges of a pair of nodes.
	syncInterval = 300 * time.Millisecond
	// earlyReadInterval is the time between reads of the registered nodes
	// during earlyPeriod after the start, when other nodes may be starting too,
	// and until a read succeeds. readInterval applies afterwards.
	earlyReadInterval = 500 * time.Millisecond
	earlyPeriod       = 3 * time.Second
	readInterval      = 10 * time.Second
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
	// recorderCount is the number of nodes that keep records on behalf of all.
	recorderCount = 3
	// maxMembers limits the number of members. Further nodes are ignored.
	maxMembers = 1024
)

// Out holds the effects and events that one Apply call produces.
type Out = step.Out[event.Event, effect.Effect]

// Member is another node.
type Member struct {
	model.Member
	HeardAt time.Time
	// confirmedAt is when the configuration held by the member was last known to
	// be current.
	confirmedAt time.Time
	// clockOffset is the member's time of day minus the steady time of this
	// node.
	clockOffset time.Duration
	heard       bool
	// failed is set if the member did not answer the last sync.
	failed bool
	// stoppedAt is when the process of the member was found to have ended or to
	// be leaving. It is zero while the process may be running.
	stoppedAt time.Time
}

// State holds the other nodes, sorted by name.
type State struct {
	self        model.Member
	startAt     time.Time
	members     *immutable.SortedMap[model.NodeName, Member]
	nextSyncAt  time.Time
	nextReadAt  time.Time
	membersRead bool
	// clockCorrection is the common time of day minus the steady time of this
	// node.
	clockCorrection time.Duration
}

// New returns a state without other nodes.
func New(self model.Member, startAt time.Time) State {
	return State{
		self:       self,
		startAt:    startAt,
		members:    immutable.NewSortedMap[model.NodeName, Member](nil),
		nextSyncAt: startAt,
		nextReadAt: startAt,
	}
}

// Apply processes registrations and reports of other nodes.
func (s State) Apply(in step.Input[event.Event]) (State, Out) {
	var out Out
	switch e := in.Event.(type) {
	case event.MembersRead:
		s = s.handleMembersRead(e, in.At, &out)
	case event.SyncAnswered:
		s = s.handleReport(e.Report, in.At, in.At.Sub(e.SentAt)/2, &out)
	case event.SyncArrived:
		s = s.handleReport(e.Report, in.At, 0, &out)
		out.Raise(event.SyncAnswerDue{Ticket: e.Ticket, Peer: e.Report.Member.Name})
	case event.SyncFailed:
		s = s.handleSyncFailed(e, in.At, &out)
	case event.Tick:
		s = s.handleTick(in.At, &out)
	}
	return s, out
}

// OldestHeardAt returns the earliest time of last contact over all members whose
// processes have not ended.
func (s State) OldestHeardAt(at time.Time) time.Time {
	first := at
	for itr := s.members.Iterator(); !itr.Done(); {
		_, m, _ := itr.Next()
		if m.stoppedAt.IsZero() && m.HeardAt.Before(first) {
			first = m.HeardAt
		}
	}
	return first
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
func (s State) Next() time.Time { return step.Earliest(s.nextSyncAt, s.nextReadAt) }

// NodeCount returns the number of nodes, including this one.
func (s State) NodeCount() int { return s.members.Len() + 1 }

// Rank returns the number of nodes whose names sort before that of this node.
func (s State) Rank() int {
	before, _ := s.rank(func(Member) bool { return true })
	return before
}

// ZoneRank returns the number of nodes in the availability zone of this node
// whose names sort before its own, and the number of all nodes in the zone,
// including this one.
func (s State) ZoneRank() (before, all int) {
	return s.rank(func(m Member) bool { return m.Zone == s.self.Zone })
}

func (s State) rank(among func(Member) bool) (before, all int) {
	all = 1
	for itr := s.members.Iterator(); !itr.Done(); {
		name, m, _ := itr.Next()
		if !among(m) {
			continue
		}
		all++
		if name < s.self.Name {
			before++
		}
	}
	return before, all
}

func (s State) Self() model.Member { return s.self }

// Reachable returns the members that are not known to have stopped.
func (s State) Reachable() []model.Member {
	list := make([]model.Member, 0, s.members.Len())
	for itr := s.members.Iterator(); !itr.Done(); {
		if _, m, _ := itr.Next(); m.stoppedAt.IsZero() {
			list = append(list, m.Member)
		}
	}
	return list
}

// WallTime returns the common time of day. It is the median of the clocks of all
// nodes, so that a step of a single clock has no effect.
func (s State) WallTime(at time.Time) time.Time { return s.steadyTime(at).Add(s.clockCorrection) }

// steadyTime returns a time of day that only advances with the monotonic clock.
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

// IsRecorder reports whether this node is one of the recorders: the first nodes
// in order of names that have had contact with the store since the given time.
func (s State) IsRecorder(since time.Time) bool {
	before := 0
	for itr := s.members.Iterator(); !itr.Done(); {
		name, m, _ := itr.Next()
		if name > s.self.Name || before >= recorderCount {
			break
		}
		if m.stoppedAt.IsZero() && m.confirmedAt.After(since) {
			before++
		}
	}
	return before < recorderCount
}

// withClockCorrection sets the correction to the median of the clocks.
func (s State) withClockCorrection(at time.Time) State {
	offsets := []time.Duration{at.Round(0).Sub(s.steadyTime(at))}
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

func (s State) handleReport(report model.Report, at time.Time, transit time.Duration, out *Out) State {
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
	m.confirmedAt = time.Time{}
	if report.Confirmed {
		m.confirmedAt = at.Add(-report.ConfirmationAge)
	}
	m.clockOffset = report.Wall.Add(transit).Sub(s.steadyTime(at))
	if report.Leaving {
		m.stoppedAt = at
	}
	s.members = s.members.Set(m.Name, m)
	for _, other := range report.Others {
		s = s.withMember(other, at)
	}
	return s.withClockCorrection(at)
}

// nextReadTime returns when the registered nodes are read again.
func (s State) nextReadTime(at time.Time) time.Time {
	if !s.membersRead || at.Sub(s.startAt) < earlyPeriod {
		return at.Add(earlyReadInterval)
	}
	return at.Add(readInterval)
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
func (s State) handleMembersRead(e event.MembersRead, at time.Time, out *Out) State {
	if !s.membersRead {
		s.membersRead, s.nextSyncAt = true, at
	}
	s.nextReadAt = s.nextReadTime(at)
	registered := false
	for _, m := range e.Members {
		registered = registered || m == s.self
		known, found := s.members.Get(m.Name)
		if found && known.Incarnation != m.Incarnation && !known.stoppedAt.IsZero() {
			s.members = s.members.Delete(m.Name)
		}
		s = s.withMember(m, at)
	}
	if !registered {
		out.Emit(effect.RegisterMember{Member: s.self})
	}
	return s
}

func (s State) handleSyncFailed(e event.SyncFailed, at time.Time, out *Out) State {
	m, known := s.members.Get(e.Peer)
	if !known {
		return s
	}
	m.failed = true
	if e.Stopped && m.stoppedAt.IsZero() {
		m.stoppedAt = at
		out.Emit(beliefEffect(model.PeerStopped, m.Member))
	} else if !e.Stopped {
		m.stoppedAt = time.Time{}
	}
	s.members = s.members.Set(e.Peer, m)
	return s
}

func beliefEffect(belief model.Belief, m model.Member) effect.Effect {
	return effect.Believe{Belief: belief, Subject: string(m.Name), Number: uint64(m.Incarnation)}
}

// handleTick starts the reads and exchanges that are due. In each pair of
// nodes, the one whose name sorts first starts the exchange. The other one does
// so only if it hears nothing.
func (s State) handleTick(at time.Time, out *Out) State {
	s = s.withClockCorrection(at)
	if !at.Before(s.nextReadAt) {
		s.nextReadAt = s.nextReadTime(at)
		out.Emit(effect.ReadMembers{})
	}
	if at.Before(s.nextSyncAt) {
		return s
	}
	s.nextSyncAt = at.Add(syncInterval)
	for itr := s.members.Iterator(); !itr.Done(); {
		name, m, _ := itr.Next()
		switch {
		case !m.stoppedAt.IsZero() && at.Sub(m.stoppedAt) >= stoppedRetention, at.Sub(m.HeardAt) >= unresponsiveRetention:
			s.members = s.members.Delete(name)
			out.Emit(beliefEffect(model.PeerForgotten, m.Member))
		case s.self.Name < name || !m.heard || at.Sub(m.HeardAt) >= 2*syncInterval:
			out.Raise(event.SyncDue{Peer: m.Member})
		}
	}
	return s
}
