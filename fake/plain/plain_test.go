package plain

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"caroblane/fake/gate"
)

// TestExecutions guards against executions that the service does not report.
// Tests of requests that must not be repeated rely on this count.
func TestExecutions(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(listener, NewState(), rand.New(rand.NewPCG(1, 1)), time.Now)
	ctx, stop := context.WithCancel(context.Background())
	go func() { _ = s.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		<-s.Done()
	})
	// Disabling keep-alives prevents retries: when a response is lost on a
	// reused connection, net/http sends a request with an Idempotency-Key
	// again.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	call := func(method, path, body, key, id string) (*http.Response, error) {
		r, err := http.NewRequestWithContext(t.Context(), method, "http://"+s.Addr()+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Idempotency-Key", key)
		r.Header.Set("X-Request-Id", id)
		return client.Do(r)
	}
	for _, c := range []struct {
		name     string
		faults   gate.Faults
		status   string
		key, id  string
		want     int
		executed uint64
	}{
		{"first", gate.Faults{}, "0", "k1", "r1", 200, 1},
		{"second with the same key", gate.Faults{}, "0", "k1", "r2", 200, 2},
		{"without a key", gate.Faults{}, "0", "", "r3", 200, 3},
		{"status", gate.Faults{}, "503", "k2", "r4", 503, 4},
		{"refused", gate.Faults{}, `503,"NotRun":true`, "k5", "r7", 503, 4},
		{"response lost", gate.Faults{LoseAnswers: 1}, "0", "k3", "r5", 0, 5},
		{"down", gate.Faults{Down: true}, "0", "k4", "r6", 0, 5},
	} {
		if err := s.SetFaults(t.Context(), c.faults); err != nil {
			t.Fatal(err)
		}
		set, err := call(http.MethodPost, "/status", `{"Status":`+c.status+`}`, "", "")
		if err != nil || set.StatusCode != http.StatusNoContent {
			t.Fatal(set, err)
		}
		_ = set.Body.Close()
		status := 0
		if response, err := call(http.MethodPost, "/send/it", "body", c.key, c.id); err == nil {
			status = response.StatusCode
			_ = response.Body.Close()
		}
		if status != c.want || s.Snapshot().Inner().ExecutionCount() != c.executed {
			t.Errorf("%s: status %d, %d executions", c.name, status, s.Snapshot().Inner().ExecutionCount())
		}
	}
	response, err := call(http.MethodGet, "/stats", "", "", "")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var stats statsBody
	if err := json.NewDecoder(response.Body).Decode(&stats); err != nil {
		t.Fatal(err)
	}
	if len(stats.Runs) != 4 || stats.Runs[0].Executions != 2 || !slices.Equal(stats.Runs[0].RequestIDs, []string{"r1", "r2"}) ||
		stats.Runs[1].RequestIDs[0] != "r3" || stats.Runs[3].Executions != 1 {
		t.Errorf("got %+v", stats)
	}
}
