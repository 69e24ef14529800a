package scaler

import (
	"math"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/fleet"
	"caroblane/core/model"
)

const (
	// roleTolerance is the deviation from the planned share of a role up to which no
	// role changes.
	roleTolerance = 0.1
	// maxChangingShare is the largest share of the engines of a service that change
	// their role at the same time while there is work.
	maxChangingShare = 0.2
)

// roleCandidate is an engine whose role may change.
type roleCandidate struct {
	fleet.Upstream
	// changing is set while the engine changes its role. Its role is then the new one.
	changing bool
	prefill  bool
	// paused is set if the engine asked for a pause and gets no order for now.
	paused bool
}

// planRoles sends the role orders that bring the engines of a service to the share
// of prefill engines that the demand needs.
func (s State) planRoles(at time.Time, service model.Service, view View, out *Out) State {
	engines, prefill, changing := s.roleCandidates(at, service.Name, view)
	n := len(engines)
	if n < 2 {
		return s
	}
	ideal := s.prefillEngines(service, n, view)
	target := min(max(int(math.Round(ideal)), 1), n-1)
	if math.Abs(float64(prefill)-ideal) < max(1, roleTolerance*float64(n)) && prefill > 0 && prefill < n {
		return s
	}
	room := n
	if s.hasWork {
		room = max(1, int(maxChangingShare*float64(n))) - changing
	}
	timeout := service.RoleChangeTime + roleChangeMargin
	for ; prefill != target && room > 0; room-- {
		role := model.RolePrefill
		if prefill > target {
			role = model.RoleDecode
		}
		i, found := nextRoleChange(engines, role)
		if !found {
			return s
		}
		s = s.orderRole(engines[i].Upstream, role, timeout, out)
		engines[i].changing, engines[i].prefill = true, role == model.RolePrefill
		if role == model.RolePrefill {
			prefill++
		} else {
			prefill--
		}
	}
	return s
}

// roleCandidates returns the engines of a service, the number of those that have or
// will have the prefill role, and the number of those that change their role now.
func (s State) roleCandidates(at time.Time, service model.ServiceName, view View) (engines []roleCandidate, prefill, changing int) {
	for _, name := range view.Fleet.ActiveUpstreams(service) {
		u, found := view.Fleet.Get(name)
		if !found || u.Leaving() || u.Evacuated() {
			continue
		}
		c := roleCandidate{Upstream: u, prefill: u.Role == model.RolePrefill, paused: u.Paused(at)}
		if last, found := s.roleOrders.Get(name); found && (last.pending || at.Before(last.nextAt)) {
			c.changing, c.prefill = true, last.count == 1
			changing++
		}
		if c.prefill {
			prefill++
		}
		engines = append(engines, c)
	}
	return engines, prefill, changing
}

// nextRoleChange returns the engine that should take a role next: one of the
// availability zone with the lowest share of the role, an ordinary one for prefill
// and a cheap one for decode, with the least work. When the cheap engines of all
// zones but one are reclaimed, the share of prefill engines then does not fall.
func nextRoleChange(engines []roleCandidate, role model.Role) (int, bool) {
	type zoneCount struct{ matching, all float64 }
	zones := map[model.ZoneName]zoneCount{}
	for _, c := range engines {
		count := zones[c.Zone]
		count.all++
		if c.prefill == (role == model.RolePrefill) {
			count.matching++
		}
		zones[c.Zone] = count
	}
	best, bestCost, found := 0, 0.0, false
	for i, c := range engines {
		if c.changing || c.paused || c.prefill == (role == model.RolePrefill) {
			continue
		}
		count := zones[c.Zone]
		cost := count.matching / count.all
		if c.Cheap == (role == model.RolePrefill) {
			cost++
		}
		cost += float64(c.RunningRequests()) / float64(max(1, c.Slots))
		if !found || cost < bestCost {
			best, bestCost, found = i, cost, true
		}
	}
	return best, found
}

func (s State) orderRole(u fleet.Upstream, role model.Role, timeout time.Duration, out *Out) State {
	s, op := s.nextOp()
	sent := sentOrder{op: op, pending: true}
	if role == model.RolePrefill {
		sent.count = 1
	}
	s.roleOrders = s.roleOrders.Set(u.Name, sent)
	out.Raise(event.RoleOrdered{Change: model.RoleChange{Upstream: u.Name, To: role, Remaining: timeout}})
	out.Emit(effect.OrderRole{Op: op, Upstream: u.Upstream, Role: role, Epoch: s.epoch, NotAfter: s.leaseUntil})
	return s
}

// handleRoleResponse schedules the next order to an engine: after a failed one
// as a retry, after an accepted one once the role had time to change.
func (s State) handleRoleResponse(op model.Op, accepted bool, at time.Time, view View) State {
	for itr := s.roleOrders.Iterator(); !itr.Done(); {
		name, sent, _ := itr.Next()
		if sent.op != op || !sent.pending {
			continue
		}
		sent.pending = false
		sent.nextAt = at.Add(retryDelay)
		if u, found := view.Fleet.Get(name); found && accepted {
			sent.nextAt = at.Add(view.Site.Site().Services[u.Service].RoleChangeTime + roleChangeMargin)
		}
		s.roleOrders = s.roleOrders.Set(name, sent)
		return s
	}
	return s
}
