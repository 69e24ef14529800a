package peers

import (
	"time"

	"caroblane/core/event"
	"caroblane/core/model"
)

// markGap is the least time between two marks, which bounds their number at
// FreshnessTerm/markGap.
const markGap = FreshnessTerm / 12

// mark says which version this node held at a time.
type mark struct {
	at      time.Time
	version model.Version
}

// settle is what this node knows of the settled version.
type settle struct {
	// low is the settled version last raised.
	low model.Version
	// gossip is the highest settled version of a peer.
	gossip model.Version
	// since is a version from which on every roster lists this process, or zero.
	since model.Version
	// absent is the highest version of a roster that did not list it.
	absent model.Version
	// marks are sorted by time and version.
	marks []mark
	// expired is the version that this node held FreshnessTerm ago.
	expired model.Version
}

func (t settle) withGossip(low model.Version) settle {
	t.gossip = max(t.gossip, low)
	return t
}

// withAbsence takes a roster that does not list this process.
func (t settle) withAbsence(version model.Version) settle {
	t.absent = max(t.absent, version)
	if t.since <= t.absent {
		t.since = 0
	}
	return t
}

// withPresence takes a roster that lists this process.
func (t settle) withPresence(version model.Version) settle {
	if t.since == 0 && version > t.absent {
		t.since = version
	}
	return t
}

// withHeld marks the version in force, unless the last mark is too young.
func (t settle) withHeld(version model.Version, now time.Time) settle {
	if n := len(t.marks); n > 0 {
		last := t.marks[n-1]
		if version <= last.version || now.Before(last.at.Add(markGap)) {
			return t
		}
	}
	t.marks = append(t.marks[:len(t.marks):len(t.marks)], mark{now, version})
	return t
}

// withTime drops marks that are older than FreshnessTerm on every clock.
func (t settle) withTime(now time.Time) settle {
	for len(t.marks) > 0 && !now.Before(t.marks[0].at.Add(longer(FreshnessTerm))) {
		t.expired = t.marks[0].version
		t.marks = t.marks[1:]
	}
	return t
}

// next returns when a mark expires or is due.
func (t settle) next(version model.Version) time.Time {
	n := len(t.marks)
	if n == 0 {
		return time.Time{}
	}
	next := t.marks[0].at.Add(longer(FreshnessTerm))
	if last := t.marks[n-1]; version > last.version && last.at.Add(markGap).Before(next) {
		next = last.at.Add(markGap)
	}
	return next
}

// withSettled raises the settled version. No fresh member uses a version below
// it, for one of three reasons:
//
//   - A peer has told this node so. The statement stays true, because a process
//     gets fresh again only with newer configuration.
//   - Each process that may be a fresh member reported a version at least as
//     high. A member that this node does not know joined by a later write, and
//     has a version above the one in force here.
//   - This node has held the version for FreshnessTerm, and every process that
//     may be a fresh member knows this node as a member. Then a member with a
//     lower version has had no news of the store, and it cannot be in outage
//     mode, because this node answers it with a higher version.
//
// The last two hold only if no process can be fresh with a roster from before
// this node joined: each one that the roster lists has reported a later version
// or has stopped. Evicted processes stay in Roster.Former for this.
func (s State) withSettled(now time.Time, out *Out) State {
	s.settle = s.settle.withHeld(s.version, now).withTime(now)
	if s.settle.since == 0 {
		// The claims leave out processes that are no members in their own view.
		// One of those must use no share, and so learns no settled version.
		return s
	}
	low := s.settle.gossip
	if confirmed, ok := s.confirmed(now); ok {
		low = max(low, confirmed, s.settle.expired)
	}
	low = min(low, s.version)
	if low > s.settle.low {
		s.settle.low = low
		out.Raise(event.SettledChanged{Low: low})
	}
	return s
}

// confirmed returns the lowest version that a process reported which may be a
// fresh member. It returns false while one may have a roster from before this
// node joined.
func (s State) confirmed(now time.Time) (model.Version, bool) {
	lowest := s.version
	for itr := s.peers.Iterator(); !itr.Done(); {
		_, p, _ := itr.Next()
		if p.ruledOut(now) || s.settledOut(p) {
			continue
		}
		if p.version < s.settle.since {
			return 0, false
		}
		lowest = min(lowest, p.version)
	}
	return lowest, true
}

// settledOut tells that a former member can no longer be fresh with a roster
// that lists it.
func (s State) settledOut(p peer) bool { return p.former && p.removed <= s.settle.low }
