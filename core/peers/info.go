package peers

import (
	"cmp"
	"slices"
	"time"

	"caroblane/core/model"
)

// MemberInfo is what this node knows about another member.
type MemberInfo struct {
	Member model.Member
	// Version is a lower bound of the configuration version that the member
	// uses.
	Version model.Version
	// HeardAt is when the last message from the member arrived, or the zero
	// time.
	HeardAt time.Time
	// Stopped is set if the process is proven or declared to have stopped.
	Stopped bool
}

// Others returns the other members of the roster, sorted by name.
func (s State) Others(now time.Time) []MemberInfo {
	var infos []MemberInfo
	for itr := s.peers.Iterator(); !itr.Done(); {
		_, p, _ := itr.Next()
		if !p.former {
			infos = append(infos, MemberInfo{Member: p.member, Version: p.minVersion, HeardAt: p.lastHeardAt, Stopped: p.stopped(now)})
		}
	}
	slices.SortFunc(infos, func(a, b MemberInfo) int { return cmp.Compare(a.Member.Name, b.Member.Name) })
	return infos
}
