package edge

import (
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/feed"
	"caroblane/core/model"
)

// news is what a relay has for the nodes of its cell.
type news struct {
	site     model.Version
	registry uint64
	// evacuations is the number of changes of the evacuated zones.
	evacuations uint64
}

// feedView returns the state of other components that the feed reads.
func (s State) feedView(at time.Time) feed.View {
	rank, _ := s.member.Rank()
	revision, _, _ := s.site.Confirmation(time.Time{})
	return feed.View{
		Direct:         s.member.Flat() || s.member.IsRelay(),
		ForCell:        !s.member.Flat() && s.member.IsRelay(),
		Known:          s.member.Settled(at),
		Relay:          s.member.Relay().Name,
		Rank:           rank,
		Site:           revision,
		ApplyWithin:    s.site.ApplyWithin(),
		EvacuateWithin: s.site.EvacuateWithin(),
	}
}

// feedFor returns what this node has and a peer has not.
func (s State) feedFor(e event.FeedAsked, at time.Time) model.Feed {
	revision, age, confirmed := s.site.Confirmation(at)
	process := s.member.Self().Incarnation
	answer := model.Feed{
		Revision: revision, Confirmed: confirmed, ConfirmationAge: age,
		Process: process, Registry: s.fleet.RegistrySeq(), RegistryRevision: s.fleet.Revision(),
		Evacuations: s.fleet.Evacuations(),
	}
	if revision > e.Site {
		answer.Site = s.site.Site()
	}
	if s.fleet.Listed() && (e.Process != process || e.Registry != answer.Registry) {
		answer.HasUpstreams, answer.Upstreams = true, s.fleet.Upstreams(at)
	}
	return answer
}

// announceNews tells the nodes of the cell that their relay has a later configuration,
// another list of upstreams or other evacuations.
func (s State) announceNews(out *Out) State {
	revision, _, _ := s.site.Confirmation(time.Time{})
	now := news{revision, s.fleet.RegistrySeq(), s.fleet.EvacuationSeq()}
	if now == s.announced {
		return s
	}
	s.announced = now
	if peers := s.member.Reachable(); s.member.IsRelay() && len(peers) > 0 {
		s.reportSeq++
		self := s.member.Self()
		out.Emit(effect.Announce{Peers: peers, Report: model.Report{
			Member: self, Seq: s.reportSeq, Site: revision, Registry: now.registry, Evacuations: s.fleet.Evacuations(),
		}})
	}
	return s
}
