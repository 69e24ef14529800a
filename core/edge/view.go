package edge

import (
	"time"

	"caroblane/core/model"
)

// View returns what the node shows its operators.
func (s State) View(at time.Time) model.NodeView {
	self := s.member.Self()
	revision, _, _ := s.site.Confirmation(at)
	view := model.NodeView{
		Node:        self.Name,
		Zone:        self.Zone,
		Incarnation: self.Incarnation,
		At:          at,
		Version:     revision,
		Fresh:       s.site.Fresh(at),
		Ready:       s.Ready(at),
		Draining:    s.draining,
		HoldsLease:  s.lease.Held(at),
		Peers:       len(s.member.Reachable()),
		Requests:    s.serve.Requests(),
	}
	if !s.member.Flat() {
		view.Relay = s.member.Relay().Name
	}
	view.UpstreamCounts, view.Upstreams = s.fleet.View(at, model.MaxShownUpstreams)
	view.HeldCount, view.HeldParts = s.serve.HeldParts(self.Name, at, model.MaxShownParts)
	return view
}
