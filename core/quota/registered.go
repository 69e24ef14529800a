package quota

import (
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/model"
)

// registered is a process that the store lists as a node.
type registered struct {
	model.Member
	// seenAt is when this process first read the registration, or when the node last showed
	// in the store that it runs.
	seenAt time.Time
	// stopped is set if the process is known to have ended.
	stopped bool
}

// withRegistered notes the processes that the store lists. Until one of them is heard it
// may admit units without this process knowing.
func (s State) withRegistered(members []model.Member, at time.Time) State {
	next := immutable.NewSortedMap[model.Incarnation, registered](nil)
	for _, m := range members {
		if m.Name == s.self.Name {
			continue
		}
		known, found := s.registered.Get(m.Incarnation)
		if !found {
			known = registered{seenAt: at}
		}
		known.Member = m
		next = next.Set(m.Incarnation, known)
	}
	s.registered = next
	return s
}

// withRegisteredStopped marks the registered processes of a node as ended, except for one.
func (s State) withRegisteredStopped(node model.NodeName, except model.Incarnation) State {
	for itr := s.registered.Iterator(); !itr.Done(); {
		incarnation, r, _ := itr.Next()
		if r.Name == node && incarnation != except && !r.stopped {
			r.stopped = true
			s.registered = s.registered.Set(incarnation, r)
		}
	}
	return s
}

// withGone marks the process of a node as ended that was found gone for good.
func (s State) withGone(m model.Member) State {
	if r, found := s.registered.Get(m.Incarnation); found {
		r.stopped = true
		s.registered = s.registered.Set(m.Incarnation, r)
	}
	if p, found := s.processes.Get(m.Incarnation); found {
		p.stopped = true
		s.processes = s.processes.Set(m.Incarnation, p)
	}
	return s
}

// withShown notes that the process of a node has shown in the store that it runs, so that it
// may admit units although it is not heard.
func (s State) withShown(m model.Member, at time.Time) State {
	if r, found := s.registered.Get(m.Incarnation); found {
		r.stopped, r.seenAt = false, at
		s.registered = s.registered.Set(m.Incarnation, r)
	}
	if p, found := s.processes.Get(m.Incarnation); found && p.stopped {
		p.stopped = false
		s.processes = s.processes.Set(m.Incarnation, p)
	}
	return s
}

// unheard returns the number of nodes that are registered and may be running, and that this
// process has never heard, by themselves or in the sums of their cell. A registration that
// stays without a sign of its node for processRetention counts as left behind.
func (s State) unheard(at time.Time) int {
	if s.registered.Len() == 0 {
		return 0
	}
	running := map[model.NodeName]bool{}
	for itr := s.processes.Iterator(); !itr.Done(); {
		if _, p, _ := itr.Next(); !p.stopped && s.represents(p) {
			running[p.node] = true
		}
	}
	count := 0
	for itr := s.registered.Iterator(); !itr.Done(); {
		incarnation, r, _ := itr.Next()
		if r.stopped || at.Sub(r.seenAt) >= processRetention || running[r.Name] {
			continue
		}
		cell := model.CellIncarnation(r.Zone)
		if sums, found := s.processes.Get(cell); found && !s.cells && at.Sub(sums.reportedAt) < silenceTimeout {
			// The cells have just become one, and the node was heard in the sums until then.
			continue
		}
		if s.cells && r.Zone != s.self.Zone {
			incarnation = cell
		}
		if p, heard := s.processes.Get(incarnation); !heard || !s.represents(p) {
			count++
		}
	}
	return count
}
