package cmds_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"caroblane/core/model"
	"caroblane/io/admin"
	"caroblane/io/cmds"
)

// newView returns the view of a node with an upstream in each unusual standing.
func newView(name string) model.NodeView {
	at := time.Unix(1_800_000_000, 0)
	return model.NodeView{
		Node: model.NodeName(name), Zone: "a", At: at, Version: 3, Fresh: true, Ready: true, HoldsLease: true, Relay: model.NodeName(name),
		Requests:       model.RequestCounts{Queue: 3, Prompt: 2, Transfer: 1, Running: 40},
		UpstreamCounts: model.UpstreamCounts{All: 2, Leaving: 1, Paused: 1},
		Upstreams: []model.UpstreamView{
			{Name: "engine-2", Zone: "a", Role: model.RoleDecode, Standing: model.StandingLeaving, Slots: 64},
			{
				Name: "engine-1", Zone: "a", Role: model.RolePrefill, Standing: model.StandingPaused, Until: at.Add(5 * time.Second),
				Runs: 2, Slots: 64, Backlog: 9000, TokenTime: 20 * time.Microsecond,
			},
		},
		HeldCount: 1, HeldParts: []model.HeldPart{{Part: 0xfe, Crashes: 2, Trials: 1, TrialAt: at.Add(10 * time.Second)}},
	}
}

// TestTopOfManyNodes guards against a view of hundreds of nodes that asks all of them at
// once, keeps all their upstreams in memory, is wider than a terminal, or waits for each
// silent node in turn. Every third answer is larger than a view may be.
func TestTopOfManyNodes(t *testing.T) {
	const nodes, maxHeap = 330, 64 << 20
	var open, most, asked atomic.Int64
	view := newView("node")
	for i := range model.MaxShownUpstreams {
		view.Upstreams = append(view.Upstreams, model.UpstreamView{Name: model.UpstreamName(fmt.Sprint(strings.Repeat("x", 200), i))})
	}
	proper := admin.NewViewHandler(func() model.NodeView { return view })
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := open.Add(1)
		defer open.Add(-1)
		for {
			highest := most.Load()
			if now <= highest || most.CompareAndSwap(highest, now) {
				break
			}
		}
		if asked.Add(1)%3 == 0 {
			_, _ = w.Write(make([]byte, 2*admin.MaxViewBytes))
			return
		}
		proper.ServeHTTP(w, r)
	}))
	defer server.Close()
	var list []string
	for i := range nodes {
		list = append(list, fmt.Sprintf("node-with-a-long-name-%03d=%s", i, server.Listener.Addr()))
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	startAt := time.Now()
	code, out, errs := run(cmds.Env{Now: time.Now}, "", "--admin", strings.Join(list, ","), "top", "--once")
	runtime.ReadMemStats(&after)
	if code != cmds.CodeOK || errs != "" {
		t.Fatalf("exit code %d, %s", code, errs)
	}
	if n := strings.Count(out, "\nnode-with-"); n < nodes {
		t.Errorf("%d rows, want %d", n, nodes)
	}
	for _, line := range strings.Split(out, "\n") {
		if len([]rune(line)) > 80 {
			t.Errorf("line of %d characters: %q", len([]rune(line)), line)
		}
	}
	if most.Load() > 32 {
		t.Errorf("%d queries at a time, want 32 at most", most.Load())
	}
	if grown := int64(after.HeapInuse) - int64(before.HeapInuse); grown > maxHeap {
		t.Errorf("heap grew by %d bytes", grown)
	}
	t.Logf("%v for %d nodes, up to %d queries at a time", time.Since(startAt), nodes, most.Load())
}

// TestTopRepeats guards against a view that ends when a node stops to answer, and one that
// does not end when it is interrupted.
func TestTopRepeats(t *testing.T) {
	node := startFakeNode("entry-1", nil, "")
	defer node.Close()
	ctx, interrupt := context.WithCancel(context.Background())
	defer interrupt()
	rounds := 0
	var out strings.Builder
	env := cmds.Env{Out: &out, Err: &out, Now: time.Now, Wait: func(ctx context.Context, interval time.Duration) error {
		if rounds++; rounds == 1 {
			node.Close()
		} else {
			interrupt()
		}
		if interval != 3*time.Second {
			t.Errorf("interval %s", interval)
		}
		return ctx.Err()
	}}
	code := cmds.Run(ctx, []string{"caroblane", "--json", "--admin", "entry-1=" + node.Listener.Addr().String(), "top", "--interval", "3s"}, env)
	if code != cmds.CodeOK {
		t.Fatalf("exit code %d: %s", code, out.String())
	}
	var answers []string
	for decoder := json.NewDecoder(strings.NewReader(out.String())); decoder.More(); {
		var document struct{ Nodes []struct{ Answer string } }
		if err := decoder.Decode(&document); err != nil {
			t.Fatal(err)
		}
		answers = append(answers, document.Nodes[0].Answer)
	}
	if len(answers) != 2 || answers[0] != "ok" || !strings.Contains(answers[1], "does not respond") {
		t.Errorf("answers %q", answers)
	}
}
