package fleet_test

import (
	"math"
	"testing"
	"time"

	"caroblane/core/event"
	"caroblane/core/fleet"
	"caroblane/core/model"
)

// TestExtremeValues guards against values at the limits of their types, in entries and
// in reports of peers, that end the process or make an upstream useless for good.
func TestExtremeValues(t *testing.T) {
	odd := model.Upstream{
		Name: "odd", Kind: math.MaxInt, Role: math.MinInt, Zone: "", Service: "llm", Slots: math.MinInt, Incarnation: math.MaxUint64,
	}
	s, _ := apply(fleet.New(), 0, event.UpstreamsRead{Revision: 5, Upstreams: []model.Upstream{engine("a"), odd}})
	extreme := []model.UpstreamUse{
		{Upstream: "a", Prompt: math.MaxUint32, Runs: math.MaxUint32},
		{Upstream: "odd", Prompt: math.MaxUint32, Runs: math.MaxUint32},
		{Upstream: "none", Prompt: -1, Runs: math.MinInt},
	}
	for seq := range uint64(4) {
		r := report("n2", 1, seq+1, extreme...)
		r.Changes = []model.RoleChange{{Upstream: "a", To: math.MaxInt, Remaining: math.MinInt64}}
		r.Prompts = []model.PromptPlaced{{Upstream: "a", PrefixHash: math.MaxUint64, Tokens: math.MaxInt}}
		r.Unreachable = []model.UpstreamName{"a", "odd", "none", ""}
		s, _ = apply(s, time.Second, event.AnnounceArrived{Report: r}, event.SyncAnswered{Report: r})
	}
	s, _ = apply(s, 2*time.Second,
		event.UseChanged{Upstream: "a", Prompt: math.Inf(-1), Runs: math.MinInt},
		event.PromptMeasured{Upstream: "a", Work: math.Inf(1), Took: math.MaxInt64},
		event.PromptMeasured{Upstream: "a", Work: 1e30, Took: 1}, event.Tick{},
		event.UpstreamRegistered{Revision: 6, Upstream: odd}, event.UpstreamRemoved{Revision: 7, Name: ""})
	s, _ = apply(s, 3*time.Second, event.SyncAnswered{Report: report("n2", 1, 99)})
	a, found := s.Get("a")
	if !found || a.RunningRequests() != 0 || a.PromptBacklog() != 0 {
		t.Errorf("upstream a: found %v, %d runs, %v prompt tokens; want none after the last report", found, a.RunningRequests(), a.PromptBacklog())
	}
	if token := s.TokenTime(a); token <= 0 || token > time.Second {
		t.Errorf("a prompt token takes %v", token)
	}
	if len(s.CachedPrefixes(parts(math.MaxUint64), 1)) > 2 {
		t.Error("more engines hold a prefix than there are")
	}
	s, _ = apply(s, 4*time.Second, event.UpstreamRemoved{Revision: 8, Name: "odd"}, event.UpstreamRegistered{Revision: 9, Upstream: engine("odd")})
	if !usable(s, "odd", 4*time.Second) {
		t.Error("upstream odd gets no requests after a good entry")
	}
}
