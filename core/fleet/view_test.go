package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"caroblane/core/event"
	"caroblane/core/fleet"
	"caroblane/core/model"
)

// TestView guards against upstreams that are shown with another standing than the one by
// which requests are placed, and against a view of a large fleet without a limit or
// without the upstreams that get no requests.
func TestView(t *testing.T) {
	var upstreams []model.Upstream
	for i := range 1000 {
		u := engine(model.UpstreamName(fmt.Sprintf("e%04d", i)))
		u.Incarnation = model.Incarnation(i + 1)
		if i == 4 {
			u.State = model.UpstreamDraining
		}
		upstreams = append(upstreams, u)
	}
	s, _ := apply(
		fleet.New(), 0, event.UpstreamsRead{Revision: 1, Upstreams: upstreams},
		event.UpstreamLeaving{Instance: instance(upstreams[500])},
		event.PauseAsked{Instance: instance(upstreams[501]), ReceivedAt: start, Seconds: 9},
		event.AttemptJudged{Upstream: "e0502", Unreachable: true},
		event.RoleOrdered{Change: model.RoleChange{Upstream: "e0503", To: model.RolePrefill, Remaining: 4 * time.Second}},
		event.UseChanged{Upstream: "e0999", Prompt: 5000, Runs: 2},
	)
	counts, shown := s.View(start, 6)
	if want := (model.UpstreamCounts{All: 1000, Leaving: 1, Paused: 1, Avoided: 1, ChangingRole: 1, Inactive: 1}); counts != want {
		t.Errorf("counts %+v, want %+v", counts, want)
	}
	got := ""
	for _, u := range shown {
		got += fmt.Sprintln(u.Name, u.Standing, u.Until.Sub(start).Round(time.Second) > 0, u.Runs, u.Backlog, u.TokenTime)
	}
	want := "e0500 Leaving false 0 0 15µs\ne0501 Paused true 0 0 15µs\ne0502 Avoided true 0 0 15µs\n" +
		"e0503 ChangingRole true 0 0 15µs\ne0004 Inactive false 0 0 15µs\ne0999 Usable false 2 5000 15µs\n"
	if got != want {
		t.Errorf("upstreams\n%swant\n%s", got, want)
	}
}
