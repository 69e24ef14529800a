package member

import (
	"cmp"
	"time"

	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
)

const (
	// syncSpacing is the time between two exchanges that a node of one of several
	// cells starts with the members of its cell in turn. The cost of a node does not
	// depend on the size of its cell.
	syncSpacing = 100 * time.Millisecond
	// relayInterval is the time between two exchanges with the relay of the cell.
	relayInterval = 500 * time.Millisecond
	// cellInterval is the time between two exchanges of complete summaries of a pair of
	// relays, summaryInterval that between two summaries of what changed.
	cellInterval    = time.Second
	summaryInterval = 200 * time.Millisecond
)

func compareZones(a, b model.Member) int { return cmp.Compare(a.Zone, b.Zone) }

// Searches reports whether this node looks for others at short intervals after its start. In
// one of several cells, the relay does so for all.
func (s State) Searches() bool { return s.layout.flat || s.layout.isRelay || !s.anyHeard() }

// Round returns the time in which this node exchanges reports with each node of its cell.
func (s State) Round() time.Duration {
	if s.layout.flat {
		return syncInterval
	}
	return max(syncInterval, syncSpacing*time.Duration(len(s.layout.cell)))
}

// anyHeard reports whether this node has heard from any other one.
func (s State) anyHeard() bool {
	for itr := s.members.Iterator(); !itr.Done(); {
		if _, m, _ := itr.Next(); m.heard {
			return true
		}
	}
	return false
}

// handleTick starts the exchanges that are due.
func (s State) handleTick(in step.Input[event.Event], out *Out) State {
	at := in.At
	if !at.Before(s.nextSyncAt) {
		s = s.withoutSilent(at, out).withLayout(at).withClockCorrection(at, in.TimeOfDay())
		if s.layout.flat {
			s = s.syncPairs(at, out)
		} else {
			s = s.syncNext(at, out)
		}
	}
	if s.layout.flat {
		return s
	}
	return s.syncCells(at, out)
}

// withoutSilent removes the members that have ended or are silent for long. Members
// of other cells are not expected to be heard.
func (s State) withoutSilent(at time.Time, out *Out) State {
	for itr := s.members.Iterator(); !itr.Done(); {
		name, m, _ := itr.Next()
		ended := !m.stoppedAt.IsZero() && at.Sub(m.stoppedAt) >= stoppedRetention
		silent := at.Sub(m.HeardAt) >= unresponsiveRetention && s.InCell(m.Member)
		if ended || silent {
			s.members = s.members.Delete(name)
			out.Emit(beliefEffect(model.PeerForgotten, m.Member))
		}
	}
	return s
}

// syncPairs starts an exchange with each other node. In each pair of nodes, the one
// whose name sorts first does so, and the other one only if it hears nothing.
func (s State) syncPairs(at time.Time, out *Out) State {
	s.nextSyncAt = at.Add(syncInterval)
	for itr := s.members.Iterator(); !itr.Done(); {
		name, m, _ := itr.Next()
		if s.self.Name < name || !m.heard || at.Sub(m.HeardAt) >= 2*syncInterval {
			out.Raise(event.SyncDue{Peer: m.Member})
		}
	}
	return s
}

// syncNext starts an exchange with the next member of the cell.
func (s State) syncNext(at time.Time, out *Out) State {
	s.nextSyncAt = at.Add(max(syncSpacing, syncInterval/time.Duration(max(1, len(s.layout.cell)))))
	if len(s.layout.cell) == 0 {
		return s
	}
	next := s.layout.cell[0]
	for _, m := range s.layout.cell {
		if m.Name > s.lastSynced {
			next = m
			break
		}
	}
	s.lastSynced = next.Name
	out.Raise(event.SyncDue{Peer: next})
	return s
}

// syncCells starts the exchanges of this node with the relay of its cell or, as the
// relay, with those of the other cells.
func (s State) syncCells(at time.Time, out *Out) State {
	if !s.layout.isRelay {
		if !at.Before(s.nextRelayAt) {
			s.nextRelayAt = at.Add(relayInterval)
			out.Raise(event.SyncDue{Peer: s.layout.relay})
		}
		return s
	}
	if !at.Before(s.nextCellAt) {
		s.nextCellAt = at.Add(cellInterval)
		for _, contact := range s.layout.contacts {
			if s.self.Zone < contact.Zone {
				out.Raise(event.SyncDue{Peer: contact})
			}
		}
	}
	if !at.Before(s.nextSummaryAt) {
		s.nextSummaryAt = at.Add(summaryInterval)
		out.Raise(event.SummaryDue{})
	}
	return s
}
