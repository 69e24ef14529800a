package link

import (
	"math"
	"testing"

	"caroblane/core/model"
	"caroblane/io/link/wire"
)

// TestOddFeed guards against an upstream with impossible values that a peer passes on:
// it may have read it from the store with an earlier version of the program.
func TestOddFeed(t *testing.T) {
	good := func() *wire.Upstream {
		return &wire.Upstream{Name: "a", Kind: 1, Address: "10.0.0.1:80", Zone: "z", Slots: 8, Service: "app"}
	}
	odd := map[string]func(*wire.Upstream){
		"no name":        func(u *wire.Upstream) { u.Name = "" },
		"no service":     func(u *wire.Upstream) { u.Service = "" },
		"no slots":       func(u *wire.Upstream) { u.Slots = 0 },
		"too many slots": func(u *wire.Upstream) { u.Slots = math.MaxUint32 },
		"no port":        func(u *wire.Upstream) { u.Address = "10.0.0.1" },
		"port zero":      func(u *wire.Upstream) { u.Address = "10.0.0.1:0" },
		"host name":      func(u *wire.Upstream) { u.Address = "host:80" },
		"unknown kind":   func(u *wire.Upstream) { u.Kind = math.MaxUint32 },
		"unknown role":   func(u *wire.Upstream) { u.Role = 3 },
		"unknown state":  func(u *wire.Upstream) { u.State = 3 },
	}
	for name, change := range odd {
		u := good()
		change(u)
		feed := decodeFeed(&wire.FeedResponse{HasUpstreams: true, Upstreams: []*wire.Upstream{u, nil, good()}})
		if len(feed.Upstreams) != 1 || feed.Upstreams[0].Name != "a" || feed.Upstreams[0].Slots != 8 {
			t.Errorf("%s: decoded %+v, want only the good upstream", name, feed.Upstreams)
		}
	}
}

// TestExtremeReport guards against numbers that change on the way to a peer because
// they do not fit their field, so that a full upstream looks idle.
func TestExtremeReport(t *testing.T) {
	for _, c := range []struct {
		prompt float64
		runs   int
		want   model.UpstreamUse
	}{
		{5e9, 5_000_000_000, model.UpstreamUse{Prompt: math.MaxUint32, Runs: math.MaxUint32}},
		{math.Inf(1), math.MaxInt, model.UpstreamUse{Prompt: math.MaxUint32, Runs: math.MaxUint32}},
		{-1, -1, model.UpstreamUse{}},
		{math.NaN(), math.MinInt, model.UpstreamUse{}},
		{1200.5, 2, model.UpstreamUse{Prompt: 1200, Runs: 2}},
	} {
		report := decodeReport(encodeReport(model.Report{Uses: []model.UpstreamUse{{Prompt: c.prompt, Runs: c.runs}}}))
		if report.Uses[0] != c.want {
			t.Errorf("prompt %v, runs %d arrive as %+v, want %+v", c.prompt, c.runs, report.Uses[0], c.want)
		}
	}
}
