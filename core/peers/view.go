package peers

import (
	"cmp"
	"slices"
	"time"

	"caroblane/core/model"
)

// View is what this node knows of another member.
type View struct {
	Member model.Member
	// Version is a lower bound of the configuration version that the member uses.
	Version model.Version
	// HeardAt is when the member was last heard, or the zero time.
	HeardAt time.Time
	// Stopped tells that the process of the member is proved or stated to have
	// stopped.
	Stopped bool
}

// Others returns the other members of the roster in order of their names.
func (s State) Others(now time.Time) []View {
	var views []View
	for itr := s.peers.Iterator(); !itr.Done(); {
		_, p, _ := itr.Next()
		if !p.former {
			views = append(views, View{Member: p.member, Version: p.version, HeardAt: p.heardAt, Stopped: p.ruledOut(now)})
		}
	}
	slices.SortFunc(views, func(a, b View) int { return cmp.Compare(a.Member.Name, b.Member.Name) })
	return views
}
