package serve

import (
	"time"

	"caroblane/core/fleet"
	"caroblane/core/model"
	"caroblane/core/ramp"
)

// coldRetryDelay is the time after which a caller may retry if the upstreams that have
// room are cold and got from this node what they bear.
const coldRetryDelay = 500 * time.Millisecond

// coldFull reports whether an upstream is cold and may get nothing from this node for now.
func (v View) coldFull(u fleet.Upstream, service model.Service) bool {
	if service.ColdPerSecond <= 0 || !u.Cold(v.At) {
		return false
	}
	limits := ramp.Limits{PerSecond: service.ColdPerSecond, Overshoot: v.bounds.ColdOvershoot, Slack: v.bounds.ColdSlack}
	return !u.ColdSends().Admit(limits.Part(u.Hash, v.Node, v.Directory.In(u.Zone)), v.At)
}

// anyColdFull reports whether an upstream of a service gets nothing only because it is cold.
func (v View) anyColdFull(service model.Service) bool {
	for _, name := range v.Fleet.ActiveUpstreams(service.Name) {
		if u, found := v.Fleet.Get(name); found && u.Usable(v.At) && v.coldFull(u, service) {
			return true
		}
	}
	return false
}
