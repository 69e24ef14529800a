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

// handleOwnResponse processes the response to a call for the own registration.
func (s State) handleOwnResponse(in step.Input[event.Event]) State {
	var result record.Result
	s.own, result = s.own.ApplyResponse(in.Event)
	switch result {
	case record.Unrelated:
	case record.Read:
		s.readOwn, s.nextWriteAt = false, in.At
	case record.Written:
		if written, ok := in.Event.(event.ObjectWritten); ok {
			s.renewedAt = written.SentAt
		}
		s.nextWriteAt = in.At.Add(writeInterval)
		if len(s.stated()) > 0 {
			// The list that follows is the first one with the statement.
			s.nextListAt = in.At
		}
	case record.Conflict, record.Ambiguous:
		s.readOwn, s.nextWriteAt = true, in.At.Add(writeRetryDelay)
	default:
		s.nextWriteAt = in.At.Add(writeRetryDelay)
	}
	return s
}

// stated returns the nodes that the own registration states as missed.
func (s State) stated() []model.NodeName {
	value, found := s.own.Value()
	if !found || value.Member != s.self {
		return nil
	}
	return value.Misses
}

// writeDueAt returns when the own registration is to be written, or the zero time.
func (s State) writeDueAt() time.Time {
	switch {
	case s.own.InFlight() || s.listedAt.IsZero():
		return time.Time{}
	case s.readOwn || !s.registered() || s.changesStatement():
		return s.nextWriteAt
	case s.isMissed && s.nextWriteAt.Before(s.renewedAt.Add(renewInterval)):
		return s.renewedAt.Add(renewInterval)
	case s.isMissed:
		return s.nextWriteAt
	default:
		return time.Time{}
	}
}

// changesStatement reports whether the own registration lacks a node that is missed, or still
// makes one renew its registration that is heard again.
func (s State) changesStatement() bool {
	stated := s.stated()
	for _, name := range s.misses {
		if !slices.Contains(stated, name) {
			return true
		}
	}
	for _, name := range stated {
		if _, listed := s.nodes.Get(name); listed && !slices.Contains(s.misses, name) {
			return true
		}
	}
	return false
}

// startDueCalls starts the calls to the store that are due.
func (s State) startDueCalls(at time.Time, view View, out *Out) State {
	s = s.withMisses(at, view, out)
	if !s.listing && !at.Before(s.nextListAt) {
		s.callSeq++
		s.listing, s.listOp, s.exact = true, s.lastOp(), len(s.misses) > 0
		out.Emit(effect.ListObjects{Op: s.listOp, Kind: model.KindMember, MayBeStale: !s.exact})
	}
	if due := s.writeDueAt(); due.IsZero() || at.Before(due) {
		return s
	}
	var call effect.Effect
	s.callSeq++
	if s.readOwn {
		s.own, call = s.own.Read(s.lastOp())
	} else {
		s.own, call = s.own.Write(s.lastOp(), model.Registration{Member: s.self, Misses: s.misses}, "")
	}
	out.Emit(call)
	return s
}

// withMisses determines the nodes that this node misses.
func (s State) withMisses(at time.Time, view View, out *Out) State {
	var misses []model.NodeName
	for itr := s.nodes.Iterator(); !itr.Done() && len(misses) < maxMisses; {
		name, n, _ := itr.Next()
		if !s.isSilent(n, at, view) {
			continue
		}
		misses = append(misses, name)
		if !slices.Contains(s.misses, name) {
			out.Emit(effect.Believe{Belief: model.PeerMissed, Subject: string(name), Number: uint64(n.Incarnation)})
		}
	}
	s.misses = misses
	return s
}

// lastOp identifies the last call.
func (s State) lastOp() model.Op { return model.Op{Part: model.PartMember, Seq: s.callSeq} }
