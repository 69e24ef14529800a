package serve_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"caroblane/core/event"
	"caroblane/core/model"
)

// TestLargeTokenCounts guards against a declared number of tokens that overflows the
// estimate of the wait: the request was then taken for one that is served at once and sent
// to an engine.
func TestLargeTokenCounts(t *testing.T) {
	for _, tokens := range []int{1e6, 1e9, 1e10, 1e12, 1e15, math.MaxInt} {
		for _, role := range []model.Role{model.RoleBoth, model.RolePrefill} {
			t.Run(fmt.Sprint(tokens, role), func(t *testing.T) {
				h := newHarness()
				config := newSite()
				config.Revision = 4
				config.Services["llm"] = model.Service{Name: "llm", Engine: true, TokenBytes: 18432, LinkMbps: 140_000}
				config.Routes = append(config.Routes, model.SiteRoute{
					Name: "chat", Host: "h", Prefix: "/chat/", Stream: true, Services: []model.Share{{Service: "llm", Weight: 1}},
					Timeout: 2 * time.Second, Attempts: 1, Objective: 200 * time.Millisecond, FirstEventTimeout: time.Second,
				})
				h.apply(event.UpstreamsRead{Revision: 4, Upstreams: []model.Upstream{
					{Name: "e", Address: "e", Slots: 6, Service: "llm", Role: role},
					{Name: "f", Address: "f", Slots: 6, Service: "llm", Role: model.RoleDecode},
				}})
				h.site, _ = h.site.Apply(h.in(event.SiteRead{SentAt: startTime, Revision: 4, Site: config}))
				h.apply(event.SiteArrived{Ticket: 1, Request: model.SiteRequest{
					ID: "r", Host: "h", Path: "/chat/1", HasKey: true, KeyHash: key, ArrivedAt: startTime,
					CallerDeadline: startTime.Add(time.Second), PromptTokens: tokens, OutputTokens: tokens, HasTokenCounts: true,
				}})
				d, declined := h.lastDecline()
				if h.forward != nil || !declined || d.Reason != model.Overloaded || d.Execution != model.NotRun {
					t.Fatalf("forward %+v, decline %+v; want Overloaded, not run", h.forward, d)
				}
				if d.Wait.FirstEvent < time.Second || d.Wait.Queued < 0 {
					t.Errorf("estimated wait %+v, want more than the timeout", d.Wait)
				}
			})
		}
	}
}
