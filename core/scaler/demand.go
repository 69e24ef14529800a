package scaler

import (
	"math"
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/model"
)

const (
	// demandTime is the time constant of the smoothed demand. It is longer than the
	// swings of the mix of requests, because a role change takes an engine away for
	// seconds.
	demandTime = 8 * time.Second
	// prefillFill and decodeFill are the fractions of the time and of the slots of an
	// engine up to which requests wait only briefly.
	prefillFill = 0.6
	decodeFill  = 0.4
	// maxProcesses bounds the processes whose totals are kept. When it is reached, all
	// are dropped and learned again.
	maxProcesses = 4096
	// minDemand is the number of busy engines from which on the demand decides about
	// roles.
	minDemand = 0.5
)

// load is the smoothed demand for a service.
type load struct {
	// arrived is the work of the prompts that arrived since updatedAt, in tokens.
	arrived   float64
	updatedAt time.Time
	// promptRate is in tokens per second. running is the number of requests that
	// engines generate tokens for.
	promptRate, running float64
}

// withArrived counts the work of a prompt.
func (s State) withArrived(service model.ServiceName, prompt float64) State {
	l, _ := s.loads.Get(service)
	l.arrived += prompt
	s.loads = s.loads.Set(service, l)
	return s
}

// withPeerDemand counts what arrived at another process since its previous report.
func (s State) withPeerDemand(r model.Report) State {
	s.hasWork = s.hasWork || len(r.Demand) > 0
	last, known := s.peerDemand.Get(r.Member.Incarnation)
	if s.peerDemand.Len() >= maxProcesses {
		s.peerDemand = immutable.NewSortedMap[model.Incarnation, []model.ServiceDemand](nil)
	}
	s.peerDemand = s.peerDemand.Set(r.Member.Incarnation, r.Demand)
	for _, total := range r.Demand {
		if !known {
			break
		}
		previous := 0.0
		for _, d := range last {
			if d.Service == total.Service {
				previous = d.Prompt
			}
		}
		arrived := max(0, total.Prompt-previous)
		s = s.withArrived(total.Service, arrived)
		if r.Nodes == 0 {
			s = s.withCellDemand(total.Service, arrived)
		}
	}
	return s
}

// withCellDemand counts the work of a prompt that arrived at a node of the cell.
func (s State) withCellDemand(service model.ServiceName, prompt float64) State {
	total, _ := s.cellDemand.Get(service)
	total.Service = service
	total.Prompt += prompt
	s.cellDemand = s.cellDemand.Set(service, total)
	return s
}

// CellDemand returns the work that arrived at the nodes of the cell since this node
// started, which is sent to the other cells.
func (s State) CellDemand() []model.ServiceDemand { return listDemand(s.cellDemand) }

func listDemand(totals *immutable.SortedMap[model.ServiceName, model.ServiceDemand]) []model.ServiceDemand {
	var list []model.ServiceDemand
	for itr := totals.Iterator(); !itr.Done(); {
		_, demand, _ := itr.Next()
		list = append(list, demand)
	}
	return list
}

// withCurrentLoad includes what arrived since the last call in the smoothed demand
// for a service.
func (s State) withCurrentLoad(at time.Time, service model.ServiceName, view View) State {
	running := 0
	for _, name := range view.Fleet.ActiveUpstreams(service) {
		if u, found := view.Fleet.Get(name); found {
			running += u.RunningRequests()
		}
	}
	l, _ := s.loads.Get(service)
	elapsed := at.Sub(l.updatedAt)
	weight := 1 - math.Exp(-elapsed.Seconds()/demandTime.Seconds())
	if !l.updatedAt.IsZero() && elapsed > 0 {
		l.promptRate += weight * (l.arrived/elapsed.Seconds() - l.promptRate)
		l.running += weight * (float64(running) - l.running)
	}
	l.arrived, l.updatedAt = 0, at
	s.loads = s.loads.Set(service, l)
	return s
}

// split returns the numbers of engines that the demand needs for prompts and for
// generating tokens.
func (l load) split(service model.Service, view View) (prefill, decode float64) {
	slots := 1
	if names := view.Fleet.ActiveUpstreams(service.Name); len(names) > 0 {
		if u, found := view.Fleet.Get(names[0]); found {
			slots = max(1, u.Slots)
		}
	}
	prefill = l.promptRate * view.Fleet.ServiceTokenTime(service.Name).Seconds() / prefillFill
	return prefill, l.running / (float64(slots) * decodeFill)
}

// prefillEngines returns the number of n engines of a service that should compute
// prompts. Engines that the demand does not need are divided evenly between the
// roles. If there are too few engines, both roles are equally overloaded.
func (s State) prefillEngines(service model.Service, n int, view View) float64 {
	l, _ := s.loads.Get(service.Name)
	prefill, decode := l.split(service, view)
	needed, all := prefill+decode, float64(n)
	switch {
	case needed < minDemand:
		return s.policy.PrefillShare * all
	case needed < all:
		return prefill + (all-needed)/2
	default:
		return all * prefill / needed
	}
}
