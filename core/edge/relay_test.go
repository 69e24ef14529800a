package edge_test

import (
	"testing"
	"time"

	"caroblane/core/edge"
	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

// reportAt returns the report with which a node answers a peer.
func reportAt(t *testing.T, s edge.State, at time.Duration) model.Report {
	t.Helper()
	_, effects := apply(s, at, event.SyncArrived{Ticket: 1, Report: model.Report{Member: model.Member{Name: "p", Incarnation: 2}}})
	for _, e := range effects {
		if reply, ok := e.(effect.SyncReply); ok {
			return reply.Report
		}
	}
	t.Fatal("the peer gets no answer")
	return model.Report{}
}

// TestRegistryProof guards against a node that vouches for its list of upstreams although
// the store does not answer it: other nodes go on to prove the configuration to it, it has
// the list from another node, or its last read of the list failed.
func TestRegistryProof(t *testing.T) {
	const age = 3 * time.Second
	listed := event.UpstreamsRead{Revision: 3}
	byPeer := listed
	byPeer.ByPeer = true
	for name, c := range map[string]struct {
		events    []event.Event
		confirmed bool
		age       time.Duration
	}{
		"no answer since the start":       {nil, true, age},
		"configuration proved by a peer":  {[]event.Event{event.SiteRead{SentAt: startTime.Add(age), Revision: 1, ByPeer: true}}, true, age},
		"store answers":                   {[]event.Event{event.SiteRead{SentAt: startTime.Add(age), Revision: 1}}, true, 0},
		"list from a peer":                {[]event.Event{byPeer}, false, age},
		"list cannot be read":             {[]event.Event{event.RegistryFailed{}}, false, age},
		"list is read again":              {[]event.Event{event.RegistryFailed{}, listed}, true, age},
		"list read by itself, as a relay": {[]event.Event{byPeer, listed}, true, age},
	} {
		t.Run(name, func(t *testing.T) {
			s := newNode(t)
			for _, e := range c.events {
				s, _ = apply(s, age, e)
			}
			report := reportAt(t, s, age)
			if report.RegistryConfirmed != c.confirmed || c.confirmed && report.RegistryAge != c.age {
				t.Errorf("confirmed %v, age %v; want %v, %v", report.RegistryConfirmed, report.RegistryAge, c.confirmed, c.age)
			}
		})
	}
}
