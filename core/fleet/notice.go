package fleet

import (
	"cmp"
	"time"

	"caroblane/core/event"
	"caroblane/core/model"
)

const (
	// maxNotices is the number of notices beyond which those of instances that the
	// registry does not list are dropped, the oldest first.
	maxNotices = 1024
	// maxLeavingHints limits the leaving upstreams in an announcement, so that it fits a
	// datagram. The others follow in the next ones.
	maxLeavingHints = 12
	// leavingHintTime is how long the report of a peer that an upstream is leaving
	// lowers its preference. By then this node has learned it from the upstream, if it
	// is true.
	leavingHintTime = 3 * time.Second
)

// notice is what an instance of an upstream said about itself in its answers to this
// node. It is kept apart from the entry of the registry, which may lag behind, expire
// or come from a peer whose list is older.
type notice struct {
	// at is when the instance was last heard.
	at      time.Time
	leaving bool
	pause   pause
	// statements are what the answers said, as far as a later entry may show that they came
	// from another process. They are never modified.
	statements []statement
}

// heard is what is known of an upstream besides its entry. It is never modified.
type heard struct {
	notice notice
	// hintedUntil is the time until which reports of peers that the upstream is leaving
	// lower its preference.
	hintedUntil time.Time
}

// newHeard returns nil if there is nothing to keep.
func newHeard(n notice, hintedUntil time.Time) *heard {
	if n.empty() && hintedUntil.IsZero() {
		return nil
	}
	return &heard{n, hintedUntil}
}

type instanceComparer struct{}

// Compare implements immutable.Comparer.
func (instanceComparer) Compare(a, b model.UpstreamInstance) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
}

func instanceOf(u model.Upstream) model.UpstreamInstance {
	return model.UpstreamInstance{Name: u.Name, Incarnation: u.Incarnation}
}

// Leaving reports whether the upstream said that it is leaving.
func (u Upstream) Leaving() bool { return u.notice().leaving }

// LeavingHinted reports whether a peer said recently that the upstream is leaving.
func (u Upstream) LeavingHinted(at time.Time) bool { return at.Before(u.hintedUntil()) }

// notice returns what the instance said about itself.
func (u Upstream) notice() notice {
	if u.heard == nil {
		return notice{}
	}
	return u.heard.notice
}

func (u Upstream) hintedUntil() time.Time {
	if u.heard == nil {
		return time.Time{}
	}
	return u.heard.hintedUntil
}

// empty reports whether the instance said nothing that still counts.
func (n notice) empty() bool { return !n.leaving && n.pause.until.IsZero() }

// Withheld reports whether nothing may be sent to an instance of an upstream, even if
// it was placed there before.
func (s State) Withheld(u model.Upstream, at time.Time) bool {
	n := s.noticeOf(instanceOf(u))
	return s.evacuations.Has(u.Zone) || n.leaving || n.pause.runs(at) || s.anyStatement(u, func(st statement) bool {
		return st.leaving || at.Before(st.pausedUntil)
	})
}

// Leaves reports whether an instance of an upstream said that it is leaving, even if the
// registry no longer lists it.
func (s State) Leaves(u model.Upstream) bool { return s.noticeOf(instanceOf(u)).leaving }

// admits reports whether a request may be placed at the instance.
func (n notice) admits(at time.Time) bool { return !n.leaving && n.pause.admits(at) }

func (s State) noticeOf(instance model.UpstreamInstance) notice {
	n, _ := s.notices.Get(instance)
	return n
}

func (s State) handleUpstreamLeaving(e event.UpstreamLeaving, at time.Time, out *Out) State {
	st := statement{source: s.sourceOf(e.Conn, at), leaving: true}
	return s.handleStatement(s.responder(e.Instance, st), st, at, out)
}

// noticeFor returns the notice of an instance that is to be changed. A process without
// a number of its own is only known while the registry lists it.
func (s State) noticeFor(instance model.UpstreamInstance) (n notice, ok bool) {
	return s.noticeOf(instance), instance.Incarnation != 0 || s.lists(instance)
}

// lists reports whether the registry lists an instance.
func (s State) lists(instance model.UpstreamInstance) bool {
	u, found := s.upstreams.Get(instance.Name)
	return found && u.Incarnation == instance.Incarnation
}

func (s State) withNotice(instance model.UpstreamInstance, n notice) State {
	if n.empty() {
		s.notices = s.notices.Delete(instance)
	} else {
		s.notices = s.notices.Set(instance, n)
	}
	if u, found := s.upstreams.Get(instance.Name); found && u.Incarnation == instance.Incarnation {
		u.heard = newHeard(n, u.hintedUntil())
		s.upstreams = s.upstreams.Set(u.Name, u)
	}
	if s.notices.Len() <= maxNotices {
		return s
	}
	var oldest model.UpstreamInstance
	var oldestAt time.Time
	for itr := s.notices.Iterator(); !itr.Done(); {
		other, n, _ := itr.Next()
		if !s.lists(other) && (oldestAt.IsZero() || n.at.Before(oldestAt)) {
			oldest, oldestAt = other, n.at
		}
	}
	s.notices = s.notices.Delete(oldest)
	return s
}

// withoutUnnumbered drops the notice of a process without a number of its own, whose
// entry was removed. A later entry of that name is taken for another process.
func (s State) withoutUnnumbered(name model.UpstreamName) State {
	s.notices = s.notices.Delete(model.UpstreamInstance{Name: name})
	return s
}

// withLeavingHint notes that a peer reports an upstream as leaving. The peer may be
// wrong, or mean another process, so that the upstream is only preferred less.
func (s State) withLeavingHint(instance model.UpstreamInstance, at time.Time) State {
	u, found := s.upstreams.Get(instance.Name)
	if !found || u.Incarnation != instance.Incarnation {
		return s
	}
	u.heard = newHeard(u.notice(), at.Add(leavingHintTime))
	s.upstreams = s.upstreams.Set(u.Name, u)
	return s
}
