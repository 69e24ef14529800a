package peers

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
)

const (
	// evictTerm is the silence after which the lease holder evicts a member.
	evictTerm = time.Minute
	// maxFormer bounds Roster.Former. At the cap nobody is evicted.
	maxFormer = 512
	// writeTerm bounds the wait for the end of a call to the store.
	writeTerm = 15 * time.Second
	// firstPause and mostPause bound the random pause before a repeated write.
	firstPause = 50 * time.Millisecond
	mostPause  = 4 * time.Second
)

// roster is the roster in force and this node's writes to it.
type roster struct {
	// inForce and value are the roster that the configuration holds.
	inForce model.Version
	value   model.Roster
	// base is the newest known version in the store, with its value.
	base      model.Version
	baseValue model.Roster

	// seq numbers the calls to the store; busy tells that one is in progress,
	// which is given up at giveUpAt.
	seq      uint64
	busy     bool
	giveUpAt time.Time
	// written is the value of the write in progress.
	written model.Roster
	// retryAt is when the next write may be sent, after tries without success.
	retryAt time.Time
	tries   int
}

// lists tells whether a process is a member of the roster in force.
func (r roster) lists(member model.Member) bool { return contains(r.value.Members, member.Incarnation) }

// mentions tells whether the roster in force lists a process at all.
func (r roster) mentions(id model.Incarnation) bool {
	return contains(r.value.Members, id) || contains(r.value.Former, id)
}

func (r roster) withInForce(version model.Version, value model.Roster) roster {
	r.inForce, r.value = version, value
	if version > r.base {
		r.base, r.baseValue = version, value
	}
	return r
}

// withEnd ends the call in progress.
func (r roster) withEnd() roster {
	r.busy, r.giveUpAt = false, time.Time{}
	return r
}

// withPause sets a random pause that grows with each try, so that nodes which
// start together do not write against each other for long.
func (r roster) withPause(in step.Input[event.Event]) roster {
	bound := min(firstPause<<min(r.tries, 10), mostPause)
	r.tries++
	r.retryAt = in.At.Add(time.Duration(in.Draw % uint64(bound)))
	return r
}

func (r roster) withCall(now time.Time) roster {
	r.seq++
	r.busy, r.giveUpAt, r.retryAt = true, now.Add(writeTerm), time.Time{}
	return r
}

func (r roster) op() model.Op { return model.Op{Part: model.PartPeers, Seq: r.seq} }

// awaits tells whether an answer belongs to the call in progress.
func (r roster) awaits(op model.Op) bool { return r.busy && op == r.op() }

// writeDue writes the roster if it should differ from the newest known one.
func (s State) writeDue(in step.Input[event.Event], out *Out) State {
	if s.roster.busy {
		if in.At.Before(s.roster.giveUpAt) {
			return s
		}
		s.roster = s.roster.withEnd()
	}
	if !s.loaded || !s.inContact(in.At) || in.At.Before(s.roster.retryAt) {
		return s
	}
	s.roster.retryAt = time.Time{}
	wanted, changed := s.wanted(in.At)
	if !changed {
		return s
	}
	s.roster = s.roster.withCall(in.At)
	s.roster.written = wanted
	out.Emit(effect.WriteObject{
		Op:        s.roster.op(),
		Kind:      model.KindRoster,
		Name:      string(s.region),
		IfVersion: s.roster.base,
		Value:     wanted,
		Nonce:     fmt.Sprintf("%x.%d", uint64(s.self.Incarnation), s.roster.seq),
	})
	return s
}

// wanted returns the roster as this node wants it, and whether it differs from
// the newest known one.
func (s State) wanted(now time.Time) (model.Roster, bool) {
	base := s.roster.baseValue
	wanted := model.Roster{Region: s.region, Members: slices.Clone(base.Members)}
	changed := false
	for _, former := range base.Former {
		p, ok := s.peers.Get(former.Incarnation)
		if ok && (p.ruledOut(now) || s.settledOut(p)) {
			// Alone it is worth a write only to the lease holder.
			changed = changed || s.authority
			continue
		}
		wanted.Former = append(wanted.Former, former)
	}
	if s.leaving == contains(base.Members, s.self.Incarnation) {
		changed = true
		wanted = s.withoutPlace(wanted)
		if !s.leaving {
			wanted.Members = append(wanted.Members, s.self)
		}
	}
	if s.authority {
		for _, member := range s.silent(now) {
			i := slices.Index(wanted.Members, member)
			if i < 0 || len(wanted.Former) >= maxFormer {
				continue
			}
			changed = true
			wanted.Members = slices.Delete(wanted.Members, i, i+1)
			if p, ok := s.peers.Get(member.Incarnation); ok && !p.ruledOut(now) {
				wanted.Former = append(wanted.Former, member)
			}
		}
	}
	slices.SortFunc(wanted.Members, func(a, b model.Member) int {
		return strings.Compare(string(a.Name), string(b.Name))
	})
	return wanted, changed
}

// withoutPlace removes this process and earlier ones at its place. An earlier
// process at the same address has ended, because this one listens there. One
// with the same name and another address may still run.
func (s State) withoutPlace(wanted model.Roster) model.Roster {
	var members []model.Member
	for _, member := range wanted.Members {
		switch {
		case member.Incarnation == s.self.Incarnation || member.Address == s.self.Address:
		case member.Name == s.self.Name:
			wanted.Former = append(wanted.Former, member)
		default:
			members = append(members, member)
		}
	}
	wanted.Members = members
	wanted.Former = slices.DeleteFunc(wanted.Former, func(former model.Member) bool {
		return former.Incarnation == s.self.Incarnation || former.Address == s.self.Address
	})
	return wanted
}

// withDeparture tells once that the store's roster no longer lists this process
// on its way out.
func (s State) withDeparture(out *Out) State {
	if s.leaving && !s.departed && !contains(s.roster.baseValue.Members, s.self.Incarnation) {
		s.departed = true
		out.Emit(effect.Departed{})
	}
	return s
}

// silent returns the members to evict. A node that hears none of several others
// is more likely cut off itself, and evicts only those whose end is proved.
func (s State) silent(now time.Time) []model.Member {
	var members []model.Member
	heard, others := 0, 0
	for itr := s.peers.Iterator(); !itr.Done(); {
		_, p, _ := itr.Next()
		if p.former {
			continue
		}
		others++
		if now.Before(p.heardAt.Add(2 * FreshnessTerm)) {
			heard++
		}
	}
	for itr := s.peers.Iterator(); !itr.Done(); {
		_, p, _ := itr.Next()
		if p.former || now.Before(p.heardAt.Add(evictTerm)) {
			continue
		}
		if heard > 0 || others == 1 || p.ruledOut(now) {
			members = append(members, p.member)
		}
	}
	return members
}

// written takes the end of a write that took effect.
func (s State) written(e event.ObjectWritten) State {
	if !s.roster.awaits(e.Op) {
		return s
	}
	r := s.roster.withEnd()
	r.tries = 0
	if e.Version > r.base {
		r.base, r.baseValue = e.Version, r.written
	}
	s.roster = r
	return s
}

// conflicted reads the roster after a write that did not take effect or may
// have. Members are sets, so reading them back tells whether it did.
func (s State) conflicted(op model.Op, now time.Time, out *Out) State {
	if !s.roster.awaits(op) {
		return s
	}
	s.roster = s.roster.withCall(now)
	out.Emit(effect.ReadObject{Op: s.roster.op(), Kind: model.KindRoster, Name: string(s.region)})
	return s
}

// read takes the roster that was read back. The next write follows after a
// pause, unless the roster is as wanted.
func (s State) read(e event.ObjectRead, in step.Input[event.Event]) State {
	if !s.roster.awaits(e.Op) {
		return s
	}
	r := s.roster.withEnd().withPause(in)
	switch value, ok := e.Object.Value.(model.Roster); {
	case !e.Found || e.Object.Deleted:
		r.base, r.baseValue = 0, model.Roster{Region: s.region}
	case e.Object.Version < r.base:
	case ok:
		r.base, r.baseValue = e.Object.Version, value
	default:
		// An object that cannot be decoded is replaced by the roster in force.
		r.base, r.baseValue = e.Object.Version, r.value
	}
	s.roster = r
	if !contains(r.baseValue.Members, s.self.Incarnation) {
		s.settle = s.settle.withAbsence(r.base)
	}
	return s
}

// unsent repeats a call that had no effect.
func (s State) unsent(op model.Op, in step.Input[event.Event]) State {
	if s.roster.awaits(op) {
		s.roster = s.roster.withEnd().withPause(in)
	}
	return s
}

func contains(members []model.Member, id model.Incarnation) bool {
	return slices.ContainsFunc(members, func(m model.Member) bool { return m.Incarnation == id })
}
