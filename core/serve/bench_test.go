package serve_test

import (
	"fmt"
	"testing"
	"time"

	"caroblane/core/event"
	"caroblane/core/fleet"
	"caroblane/core/model"
	"caroblane/core/serve"
	"caroblane/core/site"
)

// BenchmarkPlacement measures the placement of one prompt, from its arrival to the first
// attempt, by the number of engines.
func BenchmarkPlacement(b *testing.B) {
	for _, engines := range []int{20, 120, 1900} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			h := newHarness()
			config := newSite()
			config.Services["llm"] = model.Service{Name: "llm", Engine: true, KVCapacity: 400_000}
			config.Routes[2].Services = []model.Share{{Service: "llm", Weight: 1}}
			var upstreams []model.Upstream
			for i := range engines {
				u := model.Upstream{
					Name: model.UpstreamName(fmt.Sprintf("e%04d", i)), Kind: model.UpstreamEngine, Service: "llm", Slots: 64, Zone: "z", Role: model.RolePrefill,
				}
				if i%3 == 0 {
					u.Role = model.RoleDecode
				}
				upstreams = append(upstreams, u)
			}
			siteState, _ := site.New(bounds).Apply(h.in(event.SiteRead{SentAt: startTime, Revision: 3, Site: config}))
			fleetState, _ := fleet.New().Apply(h.in(event.UpstreamsRead{Revision: 4, Upstreams: upstreams}))
			view := serve.View{
				Site: siteState, Fleet: fleetState, Nodes: 9, CellNodes: 9, ZoneNodes: 3, Zone: "z", At: startTime, Initialized: true,
			}
			arrived := h.in(event.SiteArrived{Ticket: 1, Request: model.SiteRequest{
				Host: "h", Path: "/stream/1", HasKey: true, KeyHash: key, PromptTokens: 9000, ArrivedAt: startTime,
				Parts: []model.PromptPart{{Hash: 1, Tokens: 6000}, {Hash: 2, Tokens: 3000}}, CallerDeadline: startTime.Add(time.Second),
			}})
			granted := h.in(event.QuotaGranted{Ticket: 1})
			b.ReportAllocs()
			for b.Loop() {
				state, _ := serve.New(bounds).Apply(arrived, view)
				_, _ = state.Apply(granted, view)
			}
		})
	}
}

// BenchmarkRequest measures a stream of a plain service from its arrival to its end.
func BenchmarkRequest(b *testing.B) {
	h := newHarness()
	view := serve.View{Site: h.site, Fleet: h.fleet, Nodes: 9, CellNodes: 9, ZoneNodes: 3, Zone: "z", At: startTime, Initialized: true}
	events := []event.Event{
		event.SiteArrived{Ticket: 1, Request: model.SiteRequest{
			Host: "h", Path: "/stream/1", HasKey: true, KeyHash: key, ArrivedAt: startTime, CallerDeadline: startTime.Add(time.Second),
		}},
		event.QuotaGranted{Ticket: 1},
		event.ForwardBegan{Ticket: 1, Attempt: 1, Status: 200},
		event.ForwardEnded{Ticket: 1, Attempt: 1, Outcome: model.Completed, Status: 200, Passed: true},
	}
	state := serve.New(bounds)
	b.ReportAllocs()
	for b.Loop() {
		for _, e := range events {
			state, _ = state.Apply(h.in(e), view)
		}
	}
	if state.Open() != 0 {
		b.Fatalf("%d requests are open", state.Open())
	}
}
