// Package lease is the component for a lease in the platform's store. At most
// one process holds it at a time, under an epoch that increases each time the
// holder changes.
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

// Out holds the effects and events that one Apply call produces.
type Out = step.Out[event.Event, effect.Effect]

// State is one process's view of a lease, as its holder or as a candidate.
type State struct {
	settings    Settings
	node        model.NodeName
	incarnation model.Incarnation
	startAt     time.Time
	object      record.Copy[model.Lease]
	// observedVersion is the current version of the object, first observed at
	// observedAt.
	observedVersion model.Version
	observed        bool
	observedAt      time.Time
	callSeq         uint64
	// nonce is the nonce of the last write. writeAmbiguous is set if the
	// outcome of that write is unknown; ambiguousSentAt is then the send time
	// of the first write with this nonce.
	nonce           string
	writeAmbiguous  bool
	ambiguousSentAt time.Time
	// heldUntil is when the authority ends, or when the last one would have ended.
	held      bool
	heldUntil time.Time
	// nextCallAt is when the next call is due.
	nextCallAt time.Time
	failures   int
	draining   bool
	// bystander is set if this process leaves the lease to others.
	bystander bool
	// drainDeadline is when a drain stops trying to release the lease.
	drainDeadline time.Time
	stopped       bool
}

// New returns the state of a candidate that starts at the given time.
func New(settings Settings, node model.NodeName, incarnation model.Incarnation, startAt time.Time) State {
	return State{
		settings:    settings,
		node:        node,
		incarnation: incarnation,
		startAt:     startAt,
		object:      record.New[model.Lease](model.KindLease, settings.Name),
		nextCallAt:  startAt,
	}
}

// Apply processes responses from the store, and raises AuthorityChanged when this
// process acquires, renews or loses the lease.
func (s State) Apply(in step.Input[event.Event]) (State, Out) {
	var out Out
	s = s.expireAuthority(in.At, &out)
	if _, ok := in.Event.(event.DrainAsked); ok {
		s = s.handleDrainAsked(in.At, &out)
	}
	var result record.Result
	s.object, result = s.object.ApplyResponse(in.Event)
	if result != record.Unrelated {
		s = s.handleResult(in, result, &out)
	}
	return s.sendNextCall(in.At, &out), out
}

// WithCandidate returns the state of a process that competes for the lease, or that
// leaves it to others unless it holds it already. All processes are candidates at
// first.
func (s State) WithCandidate(candidate bool) State {
	s.bystander = !candidate
	return s
}

// Held reports whether this process holds the lease at the given time.
func (s State) Held(at time.Time) bool { return s.held && at.Before(s.heldUntil) }

// Next returns when the component needs a Tick, or the zero time if it needs
// none.
func (s State) Next() time.Time {
	var next time.Time
	if s.held {
		next = s.heldUntil
	}
	if !s.stopped && !s.object.InFlight() {
		next = step.Earliest(next, s.nextCallAt)
	}
	return next
}

// Stopped reports whether a drain has released the lease or stopped trying.
func (s State) Stopped() bool { return s.stopped }

// isHolder reports whether the copy of the object names this process as the
// holder, and was written in the present era. A lease of an earlier era ended with it:
// another process may have acquired it since, and the store may have lost that.
func (s State) isHolder() bool {
	lease, found := s.object.Value()
	return found && lease.Holder == s.node && lease.Incarnation == s.incarnation && s.ofThisEra(lease)
}

// ofThisEra reports whether a lease was acquired in the era in which it was read.
func (s State) ofThisEra(lease model.Lease) bool {
	return lease.Epoch.Era() >= s.object.Version().Era()
}

func (s State) expireAuthority(at time.Time, out *Out) State {
	if !s.held || at.Before(s.heldUntil) {
		return s
	}
	return s.endAuthority(out)
}

func (s State) handleDrainAsked(at time.Time, out *Out) State {
	if s.draining {
		return s
	}
	s.draining = true
	s.drainDeadline = at.Add(s.settings.LeaseDuration)
	s.nextCallAt = at
	if s.held {
		s = s.endAuthority(out)
	}
	return s
}

// handleResult updates the authority by the result of a call, and schedules the
// next one.
func (s State) handleResult(in step.Input[event.Event], result record.Result, out *Out) State {
	switch result {
	case record.Written:
		written, _ := in.Event.(event.ObjectWritten)
		s = s.withObservedVersion(in.At)
		s.writeAmbiguous = false
		if s.isHolder() {
			return s.extendAuthority(in.At, written.SentAt, out)
		}
		// The lease was released.
		s.stopped = true
		return s
	case record.Ambiguous:
		if ambiguous, ok := in.Event.(event.ObjectAmbiguous); ok && !s.writeAmbiguous {
			s.writeAmbiguous, s.ambiguousSentAt = true, ambiguous.SentAt
		}
		return s.withBackoff(in)
	case record.Conflict:
		if s.held && !s.writeAmbiguous {
			// Another process wrote the object.
			s = s.endAuthority(out)
		}
		s.nextCallAt = in.At
		return s
	case record.Read:
		return s.handleRead(in.At, out)
	default:
		return s.withBackoff(in)
	}
}

// handleRead compares the object read from the store with what this process
// knows.
func (s State) handleRead(at time.Time, out *Out) State {
	changed := !s.observed || s.object.Version() != s.observedVersion
	s = s.withObservedVersion(at)
	s.failures = 0
	lease, _ := s.object.Value()
	switch {
	case s.isHolder() && s.writeAmbiguous && lease.Nonce == s.nonce:
		s.writeAmbiguous = false
		return s.extendAuthority(at, s.ambiguousSentAt, out)
	case s.isHolder():
		s.nextCallAt = at
		return s
	}
	if changed {
		// The condition of an ambiguous write can no longer be met.
		s.writeAmbiguous = false
	}
	if s.held {
		s = s.endAuthority(out)
	}
	s.nextCallAt = s.takeoverAt()
	if poll := at.Add(s.settings.PollInterval); poll.Before(s.nextCallAt) {
		s.nextCallAt = poll
	}
	return s
}

// takeoverAt returns when the observed version will have been unchanged for
// long enough. An object that is missing, cannot be decoded or comes from an earlier era
// counts as a lease held by an unknown process. A released lease may be taken at once, but
// not on a VM that held it shortly before: another holder between would have taken turns
// with it. A process that has just started does not know whether an earlier one on its VM
// held it.
func (s State) takeoverAt() time.Time {
	if lease, found := s.object.Value(); found && lease.Holder == "" && s.ofThisEra(lease) {
		heldAt := s.startAt
		if s.heldUntil.After(heldAt) {
			heldAt = s.heldUntil
		}
		if again := heldAt.Add(s.settings.TakeoverDelay()); again.After(s.observedAt) {
			return again
		}
		return s.observedAt
	}
	return s.observedAt.Add(s.settings.TakeoverDelay())
}

// withObservedVersion records when a version was first observed. It uses the
// time of the response, because the store may have applied the write after the
// read was sent.
func (s State) withObservedVersion(at time.Time) State {
	if version := s.object.Version(); !s.observed || version != s.observedVersion {
		s.observedVersion, s.observed, s.observedAt = version, true, at
	}
	return s
}

// extendAuthority extends the authority, counting from when the write was sent.
func (s State) extendAuthority(at, sentAt time.Time, out *Out) State {
	s.failures = 0
	s.nextCallAt = sentAt.Add(s.settings.RenewInterval)
	until := sentAt.Add(s.settings.HoldDuration())
	if s.draining || !at.Before(until) {
		s.nextCallAt = at
		return s
	}
	s.held, s.heldUntil = true, until
	lease, _ := s.object.Value()
	out.Raise(event.AuthorityChanged{Held: true, Epoch: lease.Epoch, Until: until})
	return s
}

func (s State) endAuthority(out *Out) State {
	lease, _ := s.object.Value()
	s.held = false
	out.Raise(event.AuthorityChanged{Epoch: lease.Epoch})
	return s
}

// withBackoff delays the next call after a failure. The delay is random,
// between half the backoff and the full backoff.
func (s State) withBackoff(in step.Input[event.Event]) State {
	backoff := min(s.settings.MaxBackoff, s.settings.MinBackoff<<min(s.failures, 10))
	s.failures++
	half := backoff / 2
	s.nextCallAt = in.At.Add(half + time.Duration(in.Random%uint64(half+1)))
	return s
}

// sendNextCall sends the call that is due.
func (s State) sendNextCall(at time.Time, out *Out) State {
	if s.draining && !s.stopped && !at.Before(s.drainDeadline) {
		s.stopped = true
	}
	if s.stopped || s.object.InFlight() || at.Before(s.nextCallAt) {
		return s
	}
	if s.bystander && !s.isHolder() {
		s.nextCallAt = at.Add(s.settings.PollInterval)
		return s
	}
	if !s.object.Valid() {
		return s.sendRead(out)
	}
	lease, _ := s.object.Value()
	next := model.Lease{Holder: s.node, Incarnation: s.incarnation, Epoch: lease.Epoch}
	switch {
	case s.isHolder() && s.draining:
		return s.sendWrite(model.Lease{Epoch: lease.Epoch}, out)
	case s.draining:
		s.stopped = true
		return s
	case s.isHolder():
		return s.sendWrite(next, out)
	case !at.Before(s.takeoverAt()):
		next.Epoch = s.nextEpoch()
		return s.sendWrite(next, out)
	default:
		return s.sendRead(out)
	}
}

// nextEpoch returns the epoch of a new holder. That of a lease that cannot be decoded is
// unknown, but not above the version of the object: each epoch took a write, and each
// write raises the version.
func (s State) nextEpoch() model.Epoch {
	lease, found := s.object.Value()
	if found {
		return lease.Epoch.Next(s.object.Version())
	}
	return model.Epoch(s.object.Version()) + 1
}

func (s State) sendRead(out *Out) State {
	s.callSeq++
	var read effect.Effect
	s.object, read = s.object.Read(s.op())
	out.Emit(read)
	return s
}

// sendWrite writes the lease. While the outcome of a write is unknown, further
// writes reuse its nonce. If the lease is read back with this nonce, its
// duration counts from the first of these writes.
func (s State) sendWrite(next model.Lease, out *Out) State {
	s.callSeq++
	if !s.writeAmbiguous {
		s.nonce = fmt.Sprintf("%x.%x.%x", uint64(s.incarnation), s.settings.Slot, s.callSeq)
	}
	next.Nonce = s.nonce
	var write effect.Effect
	s.object, write = s.object.Write(s.op(), next, s.nonce)
	out.Emit(write)
	return s
}

func (s State) op() model.Op {
	return model.Op{Part: model.PartLease, Seq: s.callSeq*maxSlots + s.settings.Slot}
}
