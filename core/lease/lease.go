// Package lease is the decision part for a lease in the platform's store: at
// most one process holds it at a time, under an epoch that rises with each
// change of the holder.
package lease

import (
	"fmt"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/record"
	"caroblane/core/step"
)

// Out is what this part produces in a step.
type Out = step.Out[event.Event, effect.Effect]

// State is the part of one process in a lease, as holder or as candidate.
type State struct {
	settings    Settings
	node        model.NodeName
	incarnation model.Incarnation
	copied      record.Copy[model.Lease]
	// seen is the version that was first seen at seenAt.
	seen     model.Version
	seenOnce bool
	seenAt   time.Time
	calls    uint64
	// nonce is that of the last write. With lost, its answer was lost, and
	// lostAt is when the first write with this nonce was sent.
	nonce  string
	lost   bool
	lostAt time.Time
	held   bool
	until  time.Time
	// callAt is when the next call is due.
	callAt   time.Time
	failures int
	draining bool
	// drainBy is when a drain gives up on releasing the lease.
	drainBy time.Time
	stopped bool
}

// New returns the state of a candidate that starts at a time.
func New(settings Settings, node model.NodeName, incarnation model.Incarnation, startAt time.Time) State {
	return State{
		settings:    settings,
		node:        node,
		incarnation: incarnation,
		copied:      record.New[model.Lease](model.KindLease, settings.Name),
		callAt:      startAt,
	}
}

// Apply takes the answers of the store and raises AuthorityChanged.
func (s State) Apply(in step.Input[event.Event]) (State, Out) {
	var out Out
	s = s.expired(in.At, &out)
	if _, ok := in.Event.(event.DrainAsked); ok {
		s = s.drained(in.At, &out)
	}
	var result record.Result
	s.copied, result = s.copied.Take(in.Event)
	if result != record.Other {
		s = s.taken(in, result, &out)
	}
	return s.advance(in.At, &out), out
}

// Held tells whether this process holds the lease at a time.
func (s State) Held(at time.Time) bool { return s.held && at.Before(s.until) }

// Next returns when the part needs a timer event.
func (s State) Next() time.Time {
	var next time.Time
	if s.held {
		next = s.until
	}
	if !s.stopped && !s.copied.Busy() {
		next = step.Earliest(next, s.callAt)
	}
	return next
}

// Stopped tells that a drain has released the lease, or given up on it.
func (s State) Stopped() bool { return s.stopped }

// mine tells whether the copy names this process as the holder.
func (s State) mine() bool {
	lease, found := s.copied.Value()
	return found && lease.Holder == s.node && lease.Incarnation == s.incarnation
}

func (s State) expired(at time.Time, out *Out) State {
	if !s.held || at.Before(s.until) {
		return s
	}
	return s.withoutAuthority(out)
}

func (s State) drained(at time.Time, out *Out) State {
	if s.draining {
		return s
	}
	s.draining = true
	s.drainBy = at.Add(s.settings.Term)
	s.callAt = at
	if s.held {
		s = s.withoutAuthority(out)
	}
	return s
}

// taken applies the result of a call.
func (s State) taken(in step.Input[event.Event], result record.Result, out *Out) State {
	switch result {
	case record.Written:
		written, _ := in.Event.(event.ObjectWritten)
		s = s.withSight(in.At)
		s.lost = false
		if s.mine() {
			return s.withAuthority(in.At, written.SentAt, out)
		}
		// The lease was released.
		s.stopped = true
		return s
	case record.Lost:
		if ambiguous, ok := in.Event.(event.ObjectAmbiguous); ok && !s.lost {
			s.lost, s.lostAt = true, ambiguous.SentAt
		}
		return s.withPause(in)
	case record.Stale:
		if s.held && !s.lost {
			// Somebody else wrote the object.
			s = s.withoutAuthority(out)
		}
		s.callAt = in.At
		return s
	case record.Read:
		return s.read(in.At, out)
	default:
		return s.withPause(in)
	}
}

// read compares the object with what this process knows.
func (s State) read(at time.Time, out *Out) State {
	moved := !s.seenOnce || s.copied.Version() != s.seen
	s = s.withSight(at)
	s.failures = 0
	lease, _ := s.copied.Value()
	switch {
	case s.mine() && s.lost && lease.Nonce == s.nonce:
		s.lost = false
		return s.withAuthority(at, s.lostAt, out)
	case s.mine():
		s.callAt = at
		return s
	}
	if moved {
		// The condition of a lost write can no longer be met.
		s.lost = false
	}
	if s.held {
		s = s.withoutAuthority(out)
	}
	s.callAt = s.takeoverAt()
	if poll := at.Add(s.settings.PollEvery); poll.Before(s.callAt) {
		s.callAt = poll
	}
	return s
}

// takeoverAt returns when the version seen has been unchanged for long enough.
// A lease whose object is missing counts as held by an unknown process.
func (s State) takeoverAt() time.Time {
	if lease, found := s.copied.Value(); found && lease.Holder == "" {
		return s.seenAt
	}
	return s.seenAt.Add(s.settings.WaitTerm())
}

// withSight notes when a version was first seen. The time is that of the
// answer: the store may have applied the write after the read was sent.
func (s State) withSight(at time.Time) State {
	if version := s.copied.Version(); !s.seenOnce || version != s.seen {
		s.seen, s.seenOnce, s.seenAt = version, true, at
	}
	return s
}

// withAuthority extends the authority, counted from when the write was sent.
func (s State) withAuthority(at, sentAt time.Time, out *Out) State {
	s.failures = 0
	s.callAt = sentAt.Add(s.settings.RenewEvery)
	until := sentAt.Add(s.settings.HeldTerm())
	if s.draining || !at.Before(until) {
		s.callAt = at
		return s
	}
	s.held, s.until = true, until
	lease, _ := s.copied.Value()
	out.Raise(event.AuthorityChanged{Held: true, Epoch: lease.Epoch, Until: until})
	return s
}

func (s State) withoutAuthority(out *Out) State {
	lease, _ := s.copied.Value()
	s.held = false
	out.Raise(event.AuthorityChanged{Epoch: lease.Epoch})
	return s
}

// withPause delays the next call after a failed one, by between half the pause
// and the whole.
func (s State) withPause(in step.Input[event.Event]) State {
	pause := min(s.settings.RetryMax, s.settings.RetryMin<<min(s.failures, 10))
	s.failures++
	half := pause / 2
	s.callAt = in.At.Add(half + time.Duration(in.Draw%uint64(half+1)))
	return s
}

// advance makes the call that is due.
func (s State) advance(at time.Time, out *Out) State {
	if s.draining && !s.stopped && !at.Before(s.drainBy) {
		s.stopped = true
	}
	if s.stopped || s.copied.Busy() || at.Before(s.callAt) {
		return s
	}
	if !s.copied.Known() {
		return s.withRead(out)
	}
	lease, _ := s.copied.Value()
	next := model.Lease{Holder: s.node, Incarnation: s.incarnation, Epoch: lease.Epoch}
	switch {
	case s.mine() && s.draining:
		return s.withWrite(model.Lease{Epoch: lease.Epoch}, out)
	case s.draining:
		s.stopped = true
		return s
	case s.mine():
		return s.withWrite(next, out)
	case !at.Before(s.takeoverAt()):
		next.Epoch++
		return s.withWrite(next, out)
	default:
		return s.withRead(out)
	}
}

func (s State) withRead(out *Out) State {
	s.calls++
	var read effect.Effect
	s.copied, read = s.copied.Read(s.op())
	out.Emit(read)
	return s
}

// withWrite writes the lease. While the answer to a write is lost, further
// writes have the same nonce, and reading it back counts from the first.
func (s State) withWrite(next model.Lease, out *Out) State {
	s.calls++
	if !s.lost {
		s.nonce = fmt.Sprintf("%x.%x.%x", uint64(s.incarnation), s.settings.Slot, s.calls)
	}
	next.Nonce = s.nonce
	var write effect.Effect
	s.copied, write = s.copied.Write(s.op(), next, s.nonce)
	out.Emit(write)
	return s
}

func (s State) op() model.Op {
	return model.Op{Part: model.PartLease, Seq: s.calls*slots + s.settings.Slot}
}
