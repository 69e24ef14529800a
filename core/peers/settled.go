package peers

import (
	"time"

	"caroblane/core/event"
	"caroblane/core/model"
)

// checkpointInterval is the minimum time between two checkpoints. It limits
// their number to FreshnessTTL/checkpointInterval.
const checkpointInterval = FreshnessTTL / 12

// checkpoint records the version that this node held at a time.
type checkpoint struct {
	at      time.Time
	version model.Version
}

// settled holds what this node knows about the settled version.
type settled struct {
	// current is the settled version in the last event raised.
	current model.Version
	// fromPeers is the highest settled version received from a peer.
	fromPeers model.Version
	// memberSince is a version from which on every roster lists this process,
	// or zero.
	memberSince model.Version
	// lastAbsent is the highest version of a roster that did not list this
	// process.
	lastAbsent model.Version
	// checkpoints are sorted by time and version.
	checkpoints []checkpoint
	// heldForTTL is the version that this node held FreshnessTTL ago.
	heldForTTL model.Version
}

func (t settled) withPeerVersion(version model.Version) settled {
	t.fromPeers = max(t.fromPeers, version)
	return t
}

// withAbsence processes a roster that does not list this process.
func (t settled) withAbsence(version model.Version) settled {
	t.lastAbsent = max(t.lastAbsent, version)
	if t.memberSince <= t.lastAbsent {
		t.memberSince = 0
	}
	return t
}

// withPresence processes a roster that lists this process.
func (t settled) withPresence(version model.Version) settled {
	if t.memberSince == 0 && version > t.lastAbsent {
		t.memberSince = version
	}
	return t
}

// withCheckpoint adds a checkpoint for the active version, unless the last
// checkpoint is too recent.
func (t settled) withCheckpoint(version model.Version, now time.Time) settled {
	if n := len(t.checkpoints); n > 0 {
		last := t.checkpoints[n-1]
		if version <= last.version || now.Before(last.at.Add(checkpointInterval)) {
			return t
		}
	}
	t.checkpoints = append(t.checkpoints[:len(t.checkpoints):len(t.checkpoints)], checkpoint{now, version})
	return t
}

// withExpiredCheckpoints drops checkpoints that are older than FreshnessTTL on
// every clock.
func (t settled) withExpiredCheckpoints(now time.Time) settled {
	for len(t.checkpoints) > 0 && !now.Before(t.checkpoints[0].at.Add(extendForDrift(FreshnessTTL))) {
		t.heldForTTL = t.checkpoints[0].version
		t.checkpoints = t.checkpoints[1:]
	}
	return t
}

// nextCheckpoint returns when a checkpoint expires or must be added.
func (t settled) nextCheckpoint(version model.Version) time.Time {
	n := len(t.checkpoints)
	if n == 0 {
		return time.Time{}
	}
	due := t.checkpoints[0].at.Add(extendForDrift(FreshnessTTL))
	if last := t.checkpoints[n-1]; version > last.version && last.at.Add(checkpointInterval).Before(due) {
		due = last.at.Add(checkpointInterval)
	}
	return due
}

// advanceSettled advances the settled version. No fresh member uses a lower
// version, for one of three reasons:
//
//   - A peer reported it as settled. This remains true, because a process can
//     become fresh again only with newer configuration.
//   - Every process that may be a fresh member reported at least this version.
//     A member unknown to this node joined by a later write, so its version is
//     above the one active here.
//   - This node has held the version for FreshnessTTL, and every process that
//     may be a fresh member knows this node as a member. A member with a lower
//     version has not heard from the store in that time, and cannot be in
//     outage mode, because this node answers it with a higher version.
//
// The last two reasons require that no process can be fresh with a roster from
// before this node joined: every process listed in the roster has reported a
// later version or has stopped. For this purpose, evicted processes remain in
// Roster.Former.
func (s State) advanceSettled(now time.Time, out *Out) State {
	s.settled = s.settled.withCheckpoint(s.version, now).withExpiredCheckpoints(now)
	if s.settled.memberSince == 0 {
		// The reasoning does not cover processes that do not see themselves as
		// members. Such a process must not use a share, so it is given no
		// settled version.
		return s
	}
	lowest := s.settled.fromPeers
	if confirmed, ok := s.lowestReported(now); ok {
		lowest = max(lowest, confirmed, s.settled.heldForTTL)
	}
	lowest = min(lowest, s.version)
	if lowest > s.settled.current {
		s.settled.current = lowest
		out.Raise(event.SettledChanged{Version: lowest})
	}
	return s
}

// lowestReported returns the lowest version reported by a process that may be a
// fresh member. It returns false while such a process may have a roster from
// before this node joined.
func (s State) lowestReported(now time.Time) (model.Version, bool) {
	lowest := s.version
	for itr := s.peers.Iterator(); !itr.Done(); {
		_, p, _ := itr.Next()
		if p.stopped(now) || s.formerSettled(p) {
			continue
		}
		if p.minVersion < s.settled.memberSince {
			return 0, false
		}
		lowest = min(lowest, p.minVersion)
	}
	return lowest, true
}

// formerSettled reports whether a former member can no longer be fresh with a
// roster that lists it as a member.
func (s State) formerSettled(p peer) bool { return p.former && p.formerSince <= s.settled.current }
