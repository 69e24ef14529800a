package edge_test

import (
	"testing"
	"time"

	"caroblane/core/alive"
	"caroblane/core/edge"
	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/fleet"
	"caroblane/core/lease"
	"caroblane/core/member"
	"caroblane/core/model"
	"caroblane/core/quota"
	"caroblane/core/scaler"
	"caroblane/core/serve"
	"caroblane/core/site"
	"caroblane/core/usage"
)

var startTime = time.Unix(1_800_000_000, 0)

// newNode returns a started node that has read all the state it needs.
func newNode(t *testing.T) edge.State {
	t.Helper()
	bounds := model.Bounds{
		RevocationDelay: 5 * time.Second, QuotaWindow: 8 * time.Second, UsageWindow: 5 * time.Second, UsageReportDelay: 10 * time.Second, RetrySlack: 40, RetryWindow: 10 * time.Second,
	}
	self := model.Member{Name: "n", Incarnation: 1}
	s := edge.New(edge.Components{
		Site: site.New(bounds), Fleet: fleet.New(), Alive: alive.New(self, bounds, startTime), Member: member.New(self, startTime, false), Quota: quota.New(self, bounds, startTime),
		Usage: usage.New(self, bounds), Lease: lease.New(lease.DefaultSettings("r"), "n", 1, startTime), Scaler: scaler.New(scaler.Policy{}),
		Serve: serve.New(bounds),
	})
	s, effects := apply(s, 0, event.Tick{})
	for _, e := range effects {
		if list, ok := e.(effect.ListObjects); ok {
			s, _ = apply(s, 0, event.ObjectsListed{Op: list.Op})
		}
	}
	s, _ = apply(s, 0, event.MembersRead{})
	s, _ = apply(s, 0, event.SiteRead{SentAt: startTime, Revision: 1, Site: &model.Site{
		Revision: 1, Services: map[model.ServiceName]model.Service{"app": {Name: "app"}},
		Routes: []model.SiteRoute{{
			Host: "h", Prefix: "/", Public: true, Timeout: time.Second, Attempts: 1,
			Services: []model.Share{{Service: "app", Weight: 1}},
		}},
	}})
	if s.Ready(startTime) {
		t.Fatal("ready before the upstreams were read")
	}
	s, _ = apply(s, 0, event.UpstreamsRead{Revision: 2, Upstreams: []model.Upstream{{Name: "u", Service: "app", Slots: 6}}})
	if !s.Ready(startTime) {
		t.Fatal("not ready after all state was read")
	}
	return s
}

func apply(s edge.State, at time.Duration, e event.Event) (edge.State, []effect.Effect) {
	return s.Apply(edge.Input{At: startTime.Add(at), Event: e})
}

// accepts reports whether a request that arrives at a time is forwarded to an
// upstream.
func accepts(s edge.State, at time.Duration) bool {
	_, effects := apply(s, at, event.SiteArrived{Ticket: 1, Request: model.SiteRequest{
		ID: "r", Host: "h", Path: "/x", ArrivedAt: startTime.Add(at), CallerDeadline: startTime.Add(at + time.Second),
	}})
	for _, e := range effects {
		if _, ok := e.(effect.Forward); ok {
			return true
		}
	}
	return false
}

// TestDrain guards against a shutdown that refuses requests before the load
// balancer has noticed it, that accepts requests until the process is killed,
// or that does not fail the readiness check.
func TestDrain(t *testing.T) {
	s := newNode(t)
	if !accepts(s, 100*time.Millisecond) {
		t.Fatal("request refused by a running node")
	}
	s, _ = apply(s, 200*time.Millisecond, event.DrainAsked{})
	if s.Ready(startTime.Add(200 * time.Millisecond)) {
		t.Error("ready although the node is draining")
	}
	if !accepts(s, 2*time.Second) {
		t.Error("request refused 1.8 s into the drain, before the load balancer can have noticed it")
	}
	if accepts(s, 3500*time.Millisecond) {
		t.Error("request accepted 3.3 s into the drain")
	}
}
