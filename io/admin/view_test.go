package admin_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"caroblane/core/model"
	"caroblane/io/admin"
)

// TestView guards against fields that are lost or changed between a node and its
// operators.
func TestView(t *testing.T) {
	at := time.Date(2027, 1, 2, 3, 4, 5, 0, time.UTC)
	want := model.NodeView{
		Node: "n", Zone: "z", Incarnation: 1 << 60, At: at, Version: 4, Fresh: true, Ready: true, Draining: true, HoldsLease: true,
		Relay: "m", Peers: 5, QueuedEvents: 6, Requests: model.RequestCounts{Queue: 1, Prompt: 2, Transfer: 3, Started: 4, Running: 5},
		UpstreamCounts: model.UpstreamCounts{All: 9, Leaving: 1, Paused: 2, Avoided: 3, ChangingRole: 1, Inactive: 1},
		Upstreams: []model.UpstreamView{
			{
				Name: "u", Service: "s", Zone: "z", Role: model.RoleDecode, Standing: model.StandingPaused, Until: at, Runs: 2, Slots: 3,
				Backlog: 7.5, TokenTime: 20 * time.Microsecond,
			},
			{Name: "v", Kind: model.UpstreamPlain, Standing: model.StandingUsable},
		},
		HeldCount: 1, HeldParts: []model.HeldPart{{Part: 1 << 63, Crashes: 2, Trials: 3, TrialAt: at}},
	}
	recorder := httptest.NewRecorder()
	admin.NewViewHandler(func() model.NodeView { return want }).
		ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, admin.PathView, http.NoBody))
	got, err := admin.DecodeView(recorder.Body.Bytes())
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Errorf("view (-want +got), error %v:\n%s", err, diff)
	}
	for _, text := range []string{
		"", "[]", "{}", `{"Node":"n","Upstreams":[{"Standing":"Odd"}]}`, `{"Node":"n","HeldParts":[{"Part":"x"}]}`,
	} {
		if _, err := admin.DecodeView([]byte(text)); err == nil {
			t.Errorf("view %q is accepted", text)
		}
	}
}
