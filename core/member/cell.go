package member

import (
	"iter"
	"slices"
	"time"

	"caroblane/core/model"
	"caroblane/core/ramp"
)

const (
	// maxFlatNodes is the number of nodes up to which all of them form one cell. With
	// more, the nodes of an availability zone do.
	maxFlatNodes = 16
	// liveTimeout is how long a silent member counts as alive, and startGrace how long
	// after the start of this node members count as alive that it has not heard yet.
	liveTimeout = 2 * time.Second
	startGrace  = 500 * time.Millisecond
	// failedTimeout is how long a member of another cell is not contacted after it did
	// not answer.
	failedTimeout = 3 * time.Second
	// maxContacts is the number of members of another cell that are contacted at once while
	// its relay is not known. The first ones by name may all be gone.
	maxContacts = 4
	// recorderCount is the number of nodes that keep records on behalf of all, and
	// candidateCount that of the nodes that compete for the lease, if not all do.
	recorderCount  = 3
	candidateCount = 2
)

// cell is what a node knows of another cell from its summaries.
type cell struct {
	// relay is the sender of the last summary, which arrived at heardAt.
	relay   model.Member
	heardAt time.Time
	seq     uint64
	// nodes is the number of nodes that the summary covers.
	nodes int
}

// layout is the division of the nodes into cells as this node sees it. The nodes of
// a cell exchange their reports with each other. The relay of a cell, its first live
// node by name, exchanges summaries with the relays of the other cells and passes
// theirs on to its cell. A layout is never modified.
type layout struct {
	// flat is set if all nodes form one cell.
	flat bool
	// cell has the other nodes of this cell, by name, and live those that are alive.
	cell, live []model.Member
	// relay is the relay of this cell; isRelay is set if it is this node.
	relay   model.Member
	isRelay bool
	// contacts are the relays of the other cells, or members among whom they may be, by
	// availability zone.
	contacts []model.Member
	// order is the number of other cells in contact whose availability zone sorts
	// before that of this one.
	order int
	// rank and nodes are the place of this node among the live nodes of its cell and
	// their number; zoneRank and zoneNodes are the same within its availability zone.
	rank, nodes         int
	zoneRank, zoneNodes int
	// allNodes is the number of nodes of all cells.
	allNodes int
	// directory has the nodes of all cells, also those that are not alive.
	directory ramp.Directory
}

// Flat reports whether all nodes form one cell.
func (s State) Flat() bool { return s.layout.flat }

// Settled reports whether the division into cells is known: the registered nodes have
// been read, and they are complete or already form several cells.
func (s State) Settled(at time.Time) bool {
	return s.membersRead && (!s.layout.flat || !at.Before(s.settledAt))
}

// IsRelay reports whether this node exchanges summaries with other cells.
func (s State) IsRelay() bool { return !s.layout.flat && s.layout.isRelay }

// Relay returns the relay of the cell of this node.
func (s State) Relay() model.Member { return s.layout.relay }

// Reachable returns the other members of the cell that are not known to have
// stopped.
func (s State) Reachable() []model.Member { return s.layout.live }

// Contacts returns the relays of the other cells, or members among whom they may be.
func (s State) Contacts() []model.Member { return s.layout.contacts }

// InCell reports whether a member belongs to the cell of this node.
func (s State) InCell(m model.Member) bool { return s.layout.flat || m.Zone == s.self.Zone }

// Accepts reports whether the content of a report counts for this node: reports of
// single nodes within the cell, and summaries of other cells.
func (s State) Accepts(r model.Report) bool {
	if r.Nodes == 0 {
		return s.InCell(s.located(r.Member))
	}
	return !s.layout.flat && r.Member.Zone != s.self.Zone
}

// IsNewSummary reports whether a report is a summary of another cell that is later
// than those seen before.
func (s State) IsNewSummary(r model.Report) bool {
	if r.Nodes == 0 || r.Member.Zone == s.self.Zone {
		return false
	}
	known, _ := s.cells.Get(r.Member.Zone)
	return known.relay.Incarnation != r.Member.Incarnation || r.Seq > known.seq
}

// located returns a member with the availability zone in which it is known.
// Announcements do not state it.
func (s State) located(m model.Member) model.Member {
	if known, found := s.members.Get(m.Name); found && m.Zone == "" {
		m.Zone = known.Zone
	}
	return m
}

// HeardMembers returns the other members of the cell that this node has heard itself not long
// ago. Those that are gone would never be forgotten if nodes told each other of them.
func (s State) HeardMembers(at time.Time) []model.Member {
	var heard []model.Member
	for _, known := range s.layout.cell {
		m, _ := s.members.Get(known.Name)
		if m.heard && m.stoppedAt.IsZero() && at.Sub(m.HeardAt) < stoppedRetention {
			heard = append(heard, m.Member)
		}
	}
	return heard
}

// CellNodes returns the number of live nodes of the cell, including this one.
func (s State) CellNodes() int { return s.layout.nodes }

// NodeCount returns the number of nodes of all cells, including this one.
func (s State) NodeCount() int { return s.layout.allNodes }

// Directory returns the nodes of all cells, also those that are not heard. It is empty
// until the registered nodes are known.
func (s State) Directory(at time.Time) ramp.Directory {
	if !s.Settled(at) {
		return ramp.Directory{}
	}
	return s.layout.directory
}

// all returns this node and the others.
func (s State) all() iter.Seq[model.Member] {
	return func(yield func(model.Member) bool) {
		if !yield(s.self) {
			return
		}
		for itr := s.members.Iterator(); !itr.Done(); {
			if _, m, _ := itr.Next(); !yield(m.Member) {
				return
			}
		}
	}
}

// Rank returns the number of live nodes of the cell whose names sort before that of
// this node, and the number of all of them.
func (s State) Rank() (before, all int) { return s.layout.rank, s.layout.nodes }

// ZoneRank is Rank within the availability zone of this node.
func (s State) ZoneRank() (before, all int) { return s.layout.zoneRank, s.layout.zoneNodes }

// IsCandidate reports whether this node competes for the lease: in one cell all nodes
// do, else the relays of the first cells.
func (s State) IsCandidate(at time.Time) bool {
	return s.Settled(at) && (s.layout.flat || s.layout.isRelay && s.layout.order < candidateCount)
}

// IsRecorder reports whether this node is one of the recorders: the first nodes
// in order of names that are in contact with the store, or the relays of the first
// cells.
func (s State) IsRecorder() bool {
	if !s.layout.flat {
		return s.layout.isRelay && s.layout.order < recorderCount
	}
	before := 0
	for itr := s.members.Iterator(); !itr.Done(); {
		name, m, _ := itr.Next()
		if name > s.self.Name || before >= recorderCount {
			break
		}
		if m.stoppedAt.IsZero() && m.inContact {
			before++
		}
	}
	return before < recorderCount
}

// OldestHeardAt returns the earliest time of last contact over the members of the
// cell whose processes have not ended, and the other cells.
func (s State) OldestHeardAt(at time.Time) time.Time {
	first := at
	for itr := s.members.Iterator(); !itr.Done(); {
		_, m, _ := itr.Next()
		if s.InCell(m.Member) && m.stoppedAt.IsZero() && m.HeardAt.Before(first) {
			first = m.HeardAt
		}
	}
	if s.layout.flat {
		return first
	}
	for itr := s.cells.Iterator(); !itr.Done(); {
		if _, c, _ := itr.Next(); c.heardAt.Before(first) {
			first = c.heardAt
		}
	}
	return first
}

// withSummary notes the sender and the size of a summary of another cell.
func (s State) withSummary(r model.Report, at time.Time) State {
	if !s.IsNewSummary(r) {
		return s
	}
	relay := s.located(r.Member)
	if known, found := s.members.Get(r.Member.Name); found && relay.Address == "" {
		relay.Address = known.Address
	}
	s.cells = s.cells.Set(r.Member.Zone, cell{relay: relay, heardAt: at, seq: r.Seq, nodes: r.Nodes})
	return s
}

// isAlive reports whether a member of the cell is assumed to serve requests.
func (s State) isAlive(m Member, at time.Time) bool {
	switch {
	case !m.stoppedAt.IsZero():
		return false
	case !m.heard:
		return !m.failed && at.Sub(s.startAt) < startGrace
	default:
		return !m.failed && at.Sub(m.HeardAt) < liveTimeout
	}
}

// withLayout derives the layout from the members.
func (s State) withLayout(at time.Time) State {
	next := &layout{flat: s.members.Len() < maxFlatNodes, relay: s.self, isRelay: !s.draining, nodes: 1, zoneNodes: 1}
	contacts := map[model.ZoneName][]model.Member{}
	counts := map[model.ZoneName]int{}
	for itr := s.members.Iterator(); !itr.Done(); {
		name, m, _ := itr.Next()
		if m.Zone != s.self.Zone {
			counts[m.Zone]++
			if len(contacts[m.Zone]) < maxContacts && m.stoppedAt.IsZero() && (!m.failed || at.Sub(m.failedAt) >= failedTimeout) {
				contacts[m.Zone] = append(contacts[m.Zone], m.Member)
			}
		} else {
			next.zoneNodes++
			if name < s.self.Name {
				next.zoneRank++
			}
		}
		if !next.flat && m.Zone != s.self.Zone {
			continue
		}
		next.cell = append(next.cell, m.Member)
		if m.stoppedAt.IsZero() && (next.flat || s.isAlive(m, at)) {
			next.live = append(next.live, m.Member)
		}
	}
	next.allNodes = s.members.Len() + 1
	next.directory = ramp.NewDirectory(s.all())
	if !next.flat {
		next = s.withCells(next, contacts, counts, at)
	}
	next.nodes = len(next.live) + 1
	if next.flat {
		next.nodes = next.allNodes
	}
	for _, m := range next.cell {
		if m.Name < s.self.Name {
			next.rank++
		}
	}
	if len(next.live) > 0 && (next.live[0].Name < s.self.Name || s.draining) {
		next.relay, next.isRelay = next.live[0], false
	}
	s.layout = next
	return s
}

// withCells completes a layout with several cells. A cell whose summaries arrive is
// reached through their sender.
func (s State) withCells(next *layout, contacts map[model.ZoneName][]model.Member, counts map[model.ZoneName]int, at time.Time) *layout {
	next.allNodes = len(next.live) + 1
	for zone, count := range counts {
		if known, heard := s.cells.Get(zone); heard {
			count = known.nodes
			if at.Sub(known.heardAt) < liveTimeout {
				contacts[zone] = []model.Member{known.relay}
				if zone < s.self.Zone {
					next.order++
				}
			}
		}
		next.allNodes += count
		next.contacts = append(next.contacts, contacts[zone]...)
	}
	slices.SortStableFunc(next.contacts, compareZones)
	return next
}
