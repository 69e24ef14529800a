package alive

import (
	"slices"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/record"
	"caroblane/core/step"
)

// list is a list of the registrations, as this process reads it.
type list struct {
	sentAt time.Time
	// exact is set if the list is not stale.
	exact bool
	// era is that of the latest version in it.
	era model.Era
	// stated are the nodes that the listed registration of this process states as missed.
	stated []model.NodeName
	// names are those of all registrations in it.
	names map[model.NodeName]bool
}

// handleList processes a list of the registrations. The nodes in it that are not known to be
// gone are raised as event.MembersRead.
func (s State) handleList(e event.ObjectsListed, in step.Input[event.Event], view View, out *Out) State {
	l := list{sentAt: e.SentAt, exact: s.exact, names: map[model.NodeName]bool{}}
	s.listing, s.listedAt = false, e.SentAt
	if l.exact {
		if e.SentAt.Sub(s.exactAt) > s.listTerm() {
			// A node could not renew its registration if the store was away meanwhile.
			s = s.withoutEvidence()
		}
		s.exactAt = e.SentAt
	}
	for _, object := range e.Objects {
		l.era = max(l.era, object.Version.Era())
		if r, ok := object.Value.(model.Registration); ok {
			l.names[r.Name] = true
			if r.Name == s.self.Name {
				s = s.withOwnListed(r, object.Version)
				l.stated = r.Misses
			}
		}
	}
	if !l.names[s.self.Name] && (l.exact || e.SentAt.Sub(s.renewedAt) >= maxStaleness) && !s.own.InFlight() {
		s.own, s.readOwn = record.New[model.Registration](model.KindMember, string(s.self.Name)), false
	}
	var members []model.Member
	removals := 0
	s.isMissed = false
	for _, object := range e.Objects {
		r, ok := object.Value.(model.Registration)
		if !ok {
			continue
		}
		s.isMissed = s.isMissed || slices.Contains(r.Misses, s.self.Name)
		if d, found := s.departed.Get(r.Name); found && object.Version <= d.version {
			if !in.At.Before(d.removeAt) && removals < maxRemovals {
				s = s.removeRegistration(r.Name, d, in.At, out)
				removals++
			}
			continue
		}
		members = append(members, r.Member)
		if r.Name != s.self.Name {
			s = s.withListed(r, object.Version, l, in, view, out)
		}
	}
	s = s.withoutUnlisted(l, in.At, view, out)
	s.nextListAt = s.nextListTime(in.At, view)
	out.Raise(event.MembersRead{Members: members})
	return s
}

// nextListTime returns when the next list is asked for: at the interval, or as soon as it can
// show that a node is gone.
func (s State) nextListTime(at time.Time, view View) time.Time {
	next := at.Add(s.listInterval())
	if view.Searches && at.Sub(s.startAt) < searchPeriod {
		next = at.Add(searchInterval)
	}
	for itr := s.nodes.Iterator(); !itr.Done(); {
		if _, n, _ := itr.Next(); !n.unchangedSince.IsZero() {
			if shown := n.unchangedSince.Add(s.departTerm()); shown.Before(next) {
				next = shown
			}
		}
	}
	if !at.Before(next) {
		return at.Add(listRetryDelay)
	}
	return next
}

// withListed notes a registration of another node.
func (s State) withListed(
	r model.Registration, version model.Version, l list, in step.Input[event.Event], view View, out *Out,
) State {
	n, found := s.nodes.Get(r.Name)
	switch {
	case found && version < n.version:
		// The list is older than another one.
		return s
	case !found || n.Incarnation != r.Incarnation:
		n = node{Member: r.Member, version: version, listedAt: in.At, heardAt: in.At}
		if _, departed := s.departed.Get(r.Name); departed {
			s.departed = s.departed.Delete(r.Name)
			out.Raise(event.MemberShown{Member: r.Member})
		}
	case version != n.version:
		n.Member, n.version, n.unchangedSince = r.Member, version, time.Time{}
		out.Raise(event.MemberShown{Member: r.Member})
	}
	if l.exact {
		stated := slices.Contains(l.stated, r.Name) && s.isSilent(n, in.At, view)
		switch {
		case !stated:
			n.unchangedSince = time.Time{}
		case n.unchangedSince.IsZero():
			n.unchangedSince = l.sentAt
		case l.sentAt.Sub(n.unchangedSince) >= s.departTerm():
			return s.withDeparted(n, in, out)
		}
	}
	s.nodes = s.nodes.Set(n.Name, n)
	return s
}

// withDeparted notes that the process of a node is gone. The nodes that find it so remove
// its registration at different times, so that mostly one of them does.
func (s State) withDeparted(n node, in step.Input[event.Event], out *Out) State {
	spread := time.Duration(in.Random % uint64(s.listInterval()))
	s.nodes = s.nodes.Delete(n.Name)
	s.departed = s.departed.Set(n.Name, departure{version: n.version, foundAt: in.At, removeAt: in.At.Add(spread)})
	out.Emit(effect.Believe{Belief: model.PeerGone, Subject: string(n.Name), Number: uint64(n.Incarnation)})
	out.Raise(event.MemberGone{Member: n.Member})
	return s
}

// removeRegistration removes the registration of a node that is gone, unless the node has
// renewed it.
func (s State) removeRegistration(name model.NodeName, d departure, at time.Time, out *Out) State {
	d.removeAt = at.Add(maxStaleness + s.listInterval())
	s.departed = s.departed.Set(name, d)
	s.callSeq++
	out.Emit(effect.WriteObject{Op: s.lastOp(), Kind: model.KindMember, Name: string(name), IfVersion: d.version, Delete: true})
	return s
}

// withoutUnlisted drops the nodes that a list lacks. Another node removed their registration
// because they are gone, unless the store came back from a copy that lacks it.
func (s State) withoutUnlisted(l list, at time.Time, view View, out *Out) State {
	for itr := s.nodes.Iterator(); !itr.Done(); {
		name, n, _ := itr.Next()
		if l.names[name] || !l.exact && l.sentAt.Sub(n.listedAt) < maxStaleness {
			continue
		}
		s.nodes = s.nodes.Delete(name)
		if s.isSilent(n, at, view) && n.version.Era() == l.era {
			out.Raise(event.MemberGone{Member: n.Member})
		}
	}
	for itr := s.departed.Iterator(); !itr.Done(); {
		if name, d, _ := itr.Next(); !l.names[name] && l.sentAt.Sub(d.foundAt) >= maxStaleness {
			s.departed = s.departed.Delete(name)
		}
	}
	return s
}

// withoutEvidence forgets since when registrations are unchanged.
func (s State) withoutEvidence() State {
	for itr := s.nodes.Iterator(); !itr.Done(); {
		if name, n, _ := itr.Next(); !n.unchangedSince.IsZero() {
			n.unchangedSince = time.Time{}
			s.nodes = s.nodes.Set(name, n)
		}
	}
	return s
}

// withOwnListed notes the version of the own registration, or of that of an earlier process
// of this node.
func (s State) withOwnListed(r model.Registration, version model.Version) State {
	if !s.own.InFlight() && version > s.own.Version() {
		s.own, s.readOwn = s.own.WithValue(version, r), false
	}
	return s
}
