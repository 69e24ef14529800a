package peers

import (
	"time"

	"caroblane/core/model"
)

// Known is what this node knows of another member.
type Known struct {
	Member model.Member
	// Version is a lower bound of the version that the member uses.
	Version model.Version
	// Accounted tells that the member answered within FreshnessTerm, or that its
	// process has stopped.
	Accounted bool
	// HeardAt is when the member was last heard, or zero.
	HeardAt time.Time
}

// Members returns the other members of the roster in force.
func (s State) Members(now time.Time) []Known {
	var members []Known
	for itr := s.peers.Iterator(); !itr.Done(); {
		_, p, _ := itr.Next()
		if p.former {
			continue
		}
		known := Known{Member: p.member, Version: p.version, Accounted: p.ruledOut(now)}
		if p.heardAt.After(p.seenAt) {
			known.HeardAt = p.heardAt
			known.Accounted = known.Accounted || now.Before(p.heardAt.Add(FreshnessTerm))
		}
		members = append(members, known)
	}
	return members
}
