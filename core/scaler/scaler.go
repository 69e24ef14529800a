// Package scaler is the component that decides how many upstreams a service has
// in each zone and which roles its engines have. Only the holder of the lease
// sends orders.
package scaler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/fleet"
	"caroblane/core/model"
	"caroblane/core/site"
	"caroblane/core/step"
)

const (
	// planInterval is the time between two comparisons of the fleet with its
	// plan.
	planInterval = 500 * time.Millisecond
	// retryDelay is the delay after an order that was refused or not answered.
	retryDelay = 400 * time.Millisecond
	// bootMargin is added to the boot time of an ordered upstream before it is
	// ordered again, to allow for its registration.
	bootMargin = 3 * time.Second
	// roleChangeMargin is added to the time of a role change before the engine
	// gets another order, to allow for its registration in the new role.
	roleChangeMargin = 2 * time.Second
)

// Out holds the effects and events that one Apply call produces.
type Out = step.Out[event.Event, effect.Effect]

// View is the state of other components that Apply reads.
type View struct {
	Site  site.State
	Fleet fleet.State
}

// Policy holds the parameters of the plan.
type Policy struct {
	// CheapShare is the largest share of cheap upstreams, relative to the
	// maximum number of upstreams of a zone. The platform may reclaim cheap
	// upstreams at any time.
	CheapShare float64
	// PrefillShare is the share of the engines that have the prefill role before the
	// demand is known.
	PrefillShare float64
}

// DefaultPolicy returns the policy for a fleet whose cheap upstreams may be
// reclaimed a zone at a time.
func DefaultPolicy() Policy { return Policy{CheapShare: 0.92, PrefillShare: 0.5} }

// upstreamGroup is the upstreams of a service in a zone that are cheap, or
// that are not.
type upstreamGroup struct {
	service model.ServiceName
	zone    model.ZoneName
	cheap   bool
}

// groupSize is the number of upstreams of a group, of those that are not leaving, and of
// those that are also not cold. Those that are leaving count for the maximum, but are no
// capacity, and those that are cold will be.
type groupSize struct{ present, usable, warm int }

// with returns the size with another upstream.
func (g groupSize) with(u fleet.Upstream, at time.Time) groupSize {
	g.present++
	if !u.Leaving() {
		g.usable++
		if !u.Cold(at) {
			g.warm++
		}
	}
	return g
}

// sentOrder is the last order for a group of upstreams or for an engine.
type sentOrder struct {
	op model.Op
	// count is the number of upstreams ordered, or -1 if the order failed;
	// peak is the largest number present since then. For the role of an
	// engine, count is 1 for prefill and 0 for decode.
	count, peak int
	// present is the number of upstreams when the order was sent, with those that are
	// leaving.
	present int
	// pending is set until the order is answered.
	pending bool
	// nextAt is when the next order may be sent.
	nextAt time.Time
}

// State holds the orders that this node has sent since it acquired the lease,
// and the demand.
type State struct {
	policy      Policy
	holdsLease  bool
	epoch       model.Epoch
	leaseUntil  time.Time
	nextPlanAt  time.Time
	callSeq     uint64
	scaleOrders *immutable.SortedMap[upstreamGroup, sentOrder]
	roleOrders  *immutable.SortedMap[model.UpstreamName, sentOrder]
	// demand is the total work received by this node, by service.
	demand *immutable.SortedMap[model.ServiceName, model.ServiceDemand]
	// hasWork is set once any node of the installation has received work.
	hasWork bool
	// peerDemand holds the last totals of the other processes, and loads the smoothed
	// demand of all nodes.
	peerDemand *immutable.SortedMap[model.Incarnation, []model.ServiceDemand]
	// cellDemand has the totals of the nodes of the cell.
	cellDemand *immutable.SortedMap[model.ServiceName, model.ServiceDemand]
	loads      *immutable.SortedMap[model.ServiceName, load]
}

type groupComparer struct{}

// Compare implements immutable.Comparer.
func (groupComparer) Compare(a, b upstreamGroup) int {
	cheap := func(g upstreamGroup) int {
		if g.cheap {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.zone, b.zone), cmp.Compare(cheap(a), cheap(b)))
}

func New(policy Policy) State {
	return State{
		policy:     policy,
		demand:     immutable.NewSortedMap[model.ServiceName, model.ServiceDemand](nil),
		cellDemand: immutable.NewSortedMap[model.ServiceName, model.ServiceDemand](nil),
		peerDemand: immutable.NewSortedMap[model.Incarnation, []model.ServiceDemand](nil),
		loads:      immutable.NewSortedMap[model.ServiceName, load](nil),
	}.withoutOrders()
}

// Apply processes changes of the lease, demand and the responses to orders, and
// sends the orders that are due.
func (s State) Apply(in step.Input[event.Event], view View) (State, Out) {
	var out Out
	switch e := in.Event.(type) {
	case event.AuthorityChanged:
		if e.Held && (!s.holdsLease || e.Epoch != s.epoch) {
			s = s.withoutOrders()
			s.nextPlanAt = in.At
		}
		s.holdsLease, s.epoch, s.leaseUntil = e.Held, e.Epoch, e.Until
	case event.DemandArrived:
		s = s.withDemand(e.Demand)
	case event.SyncAnswered:
		s = s.withPeerDemand(e.Report)
	case event.SyncArrived:
		s = s.withPeerDemand(e.Report)
	case event.ScaleAnswered:
		s = s.handleScaleResponse(e.Op, e.Result == model.SendAccepted, in.At, view)
	case event.RoleAnswered:
		s = s.handleRoleResponse(e.Op, e.Result == model.SendAccepted, in.At, view)
		if e.Result != model.SendAccepted && e.Known {
			out.Raise(event.RoleOrdered{Change: model.RoleChange{Upstream: e.Upstream, To: e.Role}})
		}
	case event.SendFailed:
		s = s.handleScaleResponse(e.Op, false, in.At, view).handleRoleResponse(e.Op, false, in.At, view)
	}
	if s.holdsLease && in.At.Before(s.leaseUntil) && !in.At.Before(s.nextPlanAt) && view.Site.HasConfig() && view.Fleet.Listed() {
		s.nextPlanAt = in.At.Add(planInterval)
		s = s.plan(in.At, view, &out)
	}
	return s, out
}

// Demand returns the total work received by this node, which is reported to
// its peers.
func (s State) Demand() []model.ServiceDemand { return listDemand(s.demand) }

// Next returns when the component needs a Tick, or the zero time if it needs
// none.
func (s State) Next() time.Time {
	if !s.holdsLease {
		return time.Time{}
	}
	return s.nextPlanAt
}

func (s State) withDemand(d model.ServiceDemand) State {
	total, _ := s.demand.Get(d.Service)
	total.Service = d.Service
	total.Prompt += d.Prompt
	total.Output += d.Output
	s.demand, s.hasWork = s.demand.Set(d.Service, total), true
	return s.withArrived(d.Service, d.Prompt).withCellDemand(d.Service, d.Prompt)
}

func (s State) withoutOrders() State {
	s.scaleOrders = immutable.NewSortedMap[upstreamGroup, sentOrder](groupComparer{})
	s.roleOrders = immutable.NewSortedMap[model.UpstreamName, sentOrder](nil)
	return s
}

func (s State) nextOp() (State, model.Op) {
	s.callSeq++
	return s, model.Op{Part: model.PartScaler, Seq: s.callSeq}
}

// plan sends the orders that bring the fleet to its planned size and roles.
func (s State) plan(at time.Time, view View, out *Out) State {
	services := view.Site.Site().Services
	for _, name := range slices.Sorted(maps.Keys(services)) {
		service := services[name]
		if service.Scaling.Max > 0 {
			s = s.planScale(at, name, service, view, out)
		}
		if service.Engine {
			s = s.withCurrentLoad(at, name, view).planRoles(at, service, view, out)
		}
	}
	return s
}

// planScale orders upstreams in each zone that is not evacuated: the minimum number of ordinary
// ones, and cheap ones on top of them. Ordinary upstreams beyond the minimum
// are released once the cheap ones are present, or at once while there is no
// work.
func (s State) planScale(
	at time.Time, name model.ServiceName, service model.Service, view View, out *Out,
) State {
	sizes := map[upstreamGroup]groupSize{}
	for _, u := range view.Fleet.ActiveUpstreams(name) {
		if upstream, found := view.Fleet.Get(u); found {
			group := upstreamGroup{name, upstream.Zone, upstream.Cheap}
			sizes[group] = sizes[group].with(upstream, at)
		}
	}
	zones := view.Fleet.ZonesByPrice(service.Scaling.Prices)
	minOrdinary := max(1, service.Scaling.Min)
	maxCheap := min(service.Scaling.Max-minOrdinary, int(s.policy.CheapShare*float64(service.Scaling.Max)))
	if slices.ContainsFunc(zones, view.Fleet.Evacuations().Has) {
		// The other zones have to do the work of the evacuated one.
		maxCheap = service.Scaling.Max - minOrdinary
	}
	for _, zone := range zones {
		if view.Fleet.Evacuations().Has(zone) {
			continue
		}
		ordinary, cheap := upstreamGroup{name, zone, false}, upstreamGroup{name, zone, true}
		// The maximum applies to ordinary and cheap upstreams together.
		count := min(maxCheap, service.Scaling.Max-max(minOrdinary, sizes[ordinary].present))
		s = s.orderScale(at, cheap, count, sizes[cheap], service, out)
		if sizes[cheap].warm >= count || !s.hasWork {
			s = s.orderScale(at, ordinary, minOrdinary, sizes[ordinary], service, out)
		}
	}
	return s
}

// orderScale orders the planned count for a group if it differs from the last
// order, or if upstreams are missing. Before nextAt it does so only if
// upstreams disappeared or the count grew.
func (s State) orderScale(
	at time.Time, g upstreamGroup, count int, size groupSize, service model.Service, out *Out,
) State {
	last, found := s.scaleOrders.Get(g)
	current := size.usable
	// Whether the platform counts an upstream that is leaving is not known, so its end is
	// a reason for another order too.
	lost := current < last.peak || current < count && size.present < last.present
	if found && current > last.peak {
		last.peak = current
		s.scaleOrders = s.scaleOrders.Set(g, last)
	}
	increased := last.count >= 0 && count > last.count
	if last.pending || at.Before(last.nextAt) && !lost && !increased || found && last.count == count && current >= count {
		return s
	}
	s, op := s.nextOp()
	s.scaleOrders = s.scaleOrders.Set(g, sentOrder{op: op, count: count, peak: current, present: size.present, pending: true})
	out.Emit(effect.OrderScale{
		Op: op, Service: service.Name, Zone: g.zone, Cheap: g.cheap, Count: count, Epoch: s.epoch, NotAfter: s.leaseUntil,
	})
	return s
}

// handleScaleResponse schedules the next order for a group: after a failed one
// as a retry, after an accepted one once the upstreams had time to start.
func (s State) handleScaleResponse(op model.Op, accepted bool, at time.Time, view View) State {
	for itr := s.scaleOrders.Iterator(); !itr.Done(); {
		g, sent, _ := itr.Next()
		if sent.op != op || !sent.pending {
			continue
		}
		sent.pending = false
		sent.nextAt = at.Add(retryDelay)
		if accepted {
			sent.nextAt = at.Add(view.Site.Site().Services[g.service].Scaling.Boot + bootMargin)
		} else {
			sent.count = -1
		}
		s.scaleOrders = s.scaleOrders.Set(g, sent)
		return s
	}
	return s
}
