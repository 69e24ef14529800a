package fleet

import (
	"slices"
	"time"

	"caroblane/core/effect"
	"caroblane/core/model"
	"caroblane/core/step"
)

const (
	// leavingTolerance and pauseTolerance are how much earlier than the stated start of a
	// process a connection to it may seem to be opened, because clocks differ and a process
	// may state its start late. A process that is taken for leaving by mistake gets nothing
	// for good, while a pause ends by itself.
	leavingTolerance = 100 * time.Millisecond
	pauseTolerance   = time.Second
	// maxStatements limits the statements that are kept of an instance. Beyond it, the one
	// on the oldest connection is dropped.
	maxStatements = 8
)

// source is the connection on which an upstream answered, and thereby its process.
type source struct {
	address string
	// openedAt is the common time of day at which the connection was opened, or zero if it
	// is not known.
	openedAt time.Time
}

// statement is what an answer said of its upstream.
type statement struct {
	source
	leaving     bool
	pausedUntil time.Time
}

// isOf reports whether the process of an entry, or a later one with its name, made the
// statement. The earlier ones had ended before it started.
func (a statement) isOf(u model.Upstream) bool {
	tolerance := pauseTolerance
	if a.leaving {
		tolerance = leavingTolerance
	}
	return !a.openedAt.IsZero() && !u.StartedAt.IsZero() && a.address == u.Address &&
		!a.openedAt.Before(u.StartedAt.Add(-tolerance))
}

// covers reports whether another statement adds nothing, whichever process it came from.
func (a statement) covers(b statement) bool {
	return a.address == b.address && !a.openedAt.Before(b.openedAt) && (a.leaving || !b.leaving) &&
		!a.pausedUntil.Before(b.pausedUntil)
}

// withStatement returns the statements of an instance with another one.
func withStatement(list []statement, st statement) []statement {
	if st.openedAt.IsZero() || slices.ContainsFunc(list, func(old statement) bool { return old.covers(st) }) {
		return list
	}
	next := slices.DeleteFunc(slices.Clone(list), st.covers)
	next = append(next, st)
	slices.SortFunc(next, func(a, b statement) int { return b.openedAt.Compare(a.openedAt) })
	return next[:min(len(next), maxStatements)]
}

// sourceOf returns the source of an answer that arrived at the given time.
func (s State) sourceOf(conn model.UpstreamConn, at time.Time) source {
	if conn.OpenedAt.IsZero() || s.wallTime.IsZero() {
		return source{}
	}
	return source{address: conn.Address, openedAt: s.wallTime.Add(-at.Sub(conn.OpenedAt))}
}

// responder returns the instance that made a statement in the answer to a request that was
// sent to another one: the process that is listed now may have answered before its entry
// arrived.
func (s State) responder(sentTo model.UpstreamInstance, st statement) model.UpstreamInstance {
	if u, found := s.upstreams.Get(sentTo.Name); found && st.isOf(u.Upstream) {
		return instanceOf(u.Upstream)
	}
	return sentTo
}

// handleStatement notes what an instance said of itself.
func (s State) handleStatement(instance model.UpstreamInstance, st statement, at time.Time, out *Out) State {
	n, ok := s.noticeFor(instance)
	if !ok {
		return s
	}
	if st.leaving && !n.leaving {
		out.Emit(effect.Believe{
			Belief: model.UpstreamLeaving, Subject: string(instance.Name), Number: uint64(instance.Incarnation),
		})
		s.leaving = append(s.leaving[:len(s.leaving):len(s.leaving)], instance)
		s.announceAt = step.Earliest(s.announceAt, at.Add(startAnnounceDelay))
	}
	n.at, n.leaving = at, n.leaving || st.leaving
	n.statements = withStatement(n.statements, st)
	if n.pause = n.pause.extended(instance, st.pausedUntil, at, out); n.pause.runs(at) {
		s.nextPauseEnd = step.Earliest(s.nextPauseEnd, n.pause.until)
	}
	return s.withNotice(instance, n)
}

// handleProcess notes for a process, when its first entry arrives, what it said of itself
// while the registry still listed an earlier one, or none.
func (s State) handleProcess(u model.Upstream, at time.Time, out *Out) State {
	if s.lists(instanceOf(u)) {
		return s
	}
	for _, st := range s.statementsOf(u) {
		if st.leaving || st.pausedUntil.After(at) {
			s = s.handleStatement(instanceOf(u), st, at, out)
		}
	}
	return s
}

// anyStatement reports whether the process of an upstream, or a later one at its address, made a
// statement under another entry. A request that was placed before that entry arrived reaches
// the later process.
func (s State) anyStatement(u model.Upstream, matches func(statement) bool) bool {
	return slices.ContainsFunc(s.statementsOf(u), matches)
}

// statementsOf returns the statements under other entries with the name of an upstream that its
// process made, or a later one at its address.
func (s State) statementsOf(u model.Upstream) []statement {
	var all []statement
	itr := s.notices.Iterator()
	itr.Seek(model.UpstreamInstance{Name: u.Name})
	for !itr.Done() {
		instance, n, _ := itr.Next()
		if instance.Name != u.Name {
			break
		}
		for _, st := range n.statements {
			if instance.Incarnation != u.Incarnation && st.isOf(u) {
				all = append(all, st)
			}
		}
	}
	return all
}
