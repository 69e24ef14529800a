// Package alive is the component that keeps the registration of this node in the store, and
// finds out which of the other registered nodes are gone for good.
//
// A node that is not heard may be cut off and still admit requests. A node states in its
// registration which nodes it misses, and one that is missed renews its own registration. If
// it does not while the store answers, it admits nothing, and its registration is removed.
package alive

import (
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/record"
	"caroblane/core/step"
)

// Out holds the effects and events that one Apply call produces.
type Out = step.Out[event.Event, effect.Effect]

// View is the state of other components that Apply reads.
type View struct {
	// Flat is set if all nodes form one cell. Else this node hears only those of its
	// availability zone.
	Flat bool
	// Round is the time in which this node exchanges reports with each node of its cell.
	Round time.Duration
	// Searches is set if this node looks for others at short intervals after its start.
	Searches bool
}

// node is a registered process of another node.
type node struct {
	model.Member
	// version is that of its registration.
	version model.Version
	// listedAt is when a list first had it, and heardAt when it was last heard, or listedAt.
	listedAt, heardAt time.Time
	// stopped is set if its address refused connections since.
	stopped bool
	// unchangedSince is when the first of the lists was asked for that have this version
	// beside the statement of this process that it misses the node. It is zero if the
	// last list does not.
	unchangedSince time.Time
}

// departure is a process that was found gone, whose registration may still be listed.
type departure struct {
	version model.Version
	foundAt time.Time
	// removeAt is when this process removes the registration if it is still listed.
	removeAt time.Time
}

// State is the immutable state of the registrations.
type State struct {
	self    model.Member
	bounds  model.Bounds
	startAt time.Time
	// flat is set if all nodes form one cell.
	flat bool
	// nodes has the other registered nodes, and departed those that were found gone.
	nodes    *immutable.SortedMap[model.NodeName, node]
	departed *immutable.SortedMap[model.NodeName, departure]
	// own is the registration of this node. readOwn is set if it has to be read before
	// it can be written again.
	own     record.Copy[model.Registration]
	readOwn bool
	// renewedAt is when the last write of it that took effect was sent.
	renewedAt   time.Time
	nextWriteAt time.Time
	// isMissed is set if another node states that it misses this one.
	isMissed bool
	// misses are the nodes that this node misses.
	misses []model.NodeName
	// listing is set while a list is asked for with listOp, and exact if it is not stale.
	listing, exact bool
	listOp         model.Op
	// listedAt is when the last list was asked for, and exactAt the last one that was not
	// stale.
	listedAt, exactAt time.Time
	nextListAt        time.Time
	callSeq           uint64
}

// New returns the state of a process that is not registered yet.
func New(self model.Member, bounds model.Bounds, startAt time.Time) State {
	return State{
		self:        self,
		bounds:      bounds,
		startAt:     startAt,
		nodes:       immutable.NewSortedMap[model.NodeName, node](nil),
		departed:    immutable.NewSortedMap[model.NodeName, departure](nil),
		own:         record.New[model.Registration](model.KindMember, string(self.Name)),
		nextListAt:  startAt,
		nextWriteAt: startAt,
	}
}

// Apply processes lists of the registrations, responses to writes of the own one, and
// reports of other nodes.
func (s State) Apply(in step.Input[event.Event], view View) (State, Out) {
	var out Out
	switch e := in.Event.(type) {
	case event.AnnounceArrived:
		return s.withHeard(e.Report, in.At), out
	case event.SyncAnswered:
		return s.withHeard(e.Report, in.At), out
	case event.SyncArrived:
		return s.withHeard(e.Report, in.At), out
	case event.SyncFailed:
		return s.withFailed(e), out
	case event.SettingsChanged:
		s.bounds = e.Bounds
	case event.ObjectsListed:
		if s.listing && e.Op == s.listOp {
			s = s.handleList(e, in, view, &out)
		}
	case event.ObjectReadFailed:
		if s.listing && e.Op == s.listOp {
			s.listing, s.nextListAt = false, in.At.Add(listRetryDelay)
		}
	}
	s = s.handleOwnResponse(in).withFlat(view.Flat, in.At)
	return s.startDueCalls(in.At, view, &out), out
}

// Next returns when the component needs a Tick, or the zero time while it waits for
// responses. Nodes that are missed from then on are found at the ticks of others.
func (s State) Next() time.Time {
	var next time.Time
	if !s.listing {
		next = s.nextListAt
	}
	if at := s.writeDueAt(); !at.IsZero() {
		next = step.Earliest(next, at)
	}
	return next
}

// Lapsed reports whether other nodes may have found this process gone: it has not read for
// too long whether they miss it, or has not renewed its registration although they do.
func (s State) Lapsed(at time.Time) bool {
	return !s.registered() || at.Sub(s.listedAt) >= s.listTerm() || s.isMissed && at.Sub(s.renewedAt) >= renewTerm
}

// registered reports whether the store has the registration of this process.
func (s State) registered() bool {
	value, found := s.own.Value()
	return found && value.Member == s.self && !s.renewedAt.IsZero()
}

// withFlat notes whether all nodes form one cell. When they begin to, the nodes of other
// availability zones were not heard one by one before.
func (s State) withFlat(flat bool, at time.Time) State {
	if flat && !s.flat {
		for itr := s.nodes.Iterator(); !itr.Done(); {
			if name, n, _ := itr.Next(); n.Zone != s.self.Zone {
				n.heardAt = at
				s.nodes = s.nodes.Set(name, n)
			}
		}
	}
	s.flat = flat
	return s
}

// withHeard notes that a node was heard. The next process of the node counts too, as its
// registration replaces that of the one before.
func (s State) withHeard(r model.Report, at time.Time) State {
	n, found := s.nodes.Get(r.Member.Name)
	if !found || r.Nodes > 0 || !n.stopped && at.Sub(n.heardAt) < heardResolution {
		return s
	}
	n.heardAt, n.stopped = at, false
	s.nodes = s.nodes.Set(n.Name, n)
	return s
}

// withFailed notes that the address of a node refuses connections.
func (s State) withFailed(e event.SyncFailed) State {
	if n, found := s.nodes.Get(e.Peer); found && e.Stopped && !n.stopped {
		n.stopped = true
		s.nodes = s.nodes.Set(n.Name, n)
	}
	return s
}

// isSilent reports whether this process should have heard a node by now.
func (s State) isSilent(n node, at time.Time, view View) bool {
	if !view.Flat && n.Zone != s.self.Zone {
		return false
	}
	timeout := max(missTimeout, missRounds*view.Round)
	if n.stopped {
		timeout = max(timeout, stoppedTimeout)
	}
	return at.Sub(n.heardAt) >= timeout
}
