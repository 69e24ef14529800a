package node

import (
	"time"

	"caroblane/core/model"
)

// View returns what the node shows its operators, without its name and without its
// upstreams, whose load it does not know over all nodes.
func (s State) View(at time.Time) model.NodeView {
	fresh, draining := s.peers.Fresh(at), s.flow.Draining()
	view := model.NodeView{
		At:         at,
		Version:    s.conf.Version(),
		Fresh:      fresh,
		Ready:      fresh && !draining && s.limit.Settled(at),
		Draining:   draining,
		HoldsLease: s.lease.Held(at),
	}
	for _, member := range s.peers.Others(at) {
		if !member.Stopped {
			view.Peers++
		}
	}
	view.Requests.Queue = s.limit.Queued() + s.flow.Queued()
	view.Requests.Started = max(0, s.flow.Open()-view.Requests.Queue)
	return view
}
