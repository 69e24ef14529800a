package main

import (
	"net/http"
	"testing"
)

// TestCrashingRequest guards against a request that crashes one engine after another:
// each crash is counted by the node that saw it, and the request is sent again by other
// nodes and with other parameters. All nodes must refuse it after at most 3 crashes.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name string
		body func(sent int) string
	}{
		{"same request", func(int) string { return chatBody(3, true, "boom") }},
		{"other parameters", func(sent int) string { return chatBody(2+sent, sent%2 == 0, "boom") }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			testCrashingRequest(t, test.body)
		})
	}
}

func testCrashingRequest(t *testing.T, body func(sent int) string) {
	t.Helper()
	in := startInstallation(t, 3)
	for _, engine := range in.engines {
		in.setFaults(engine, `{"CrashMarker":"boom","CrashTerm":"300ms"}`)
	}
	refused := map[int]bool{}
	sent := 0
	in.waitWithin(configTimeout, "all nodes refuse the request", func() bool {
		for node := range in.nodes {
			sent++
			got := in.call(node, http.MethodPost, "/v1/chat/completions", body(sent))
			refused[node] = got.errorBody() == errorBody{"CrashSuspect", "NotRun"}
			sleep(t.Context(), trafficInterval)
		}
		return refused[0] && refused[1] && refused[2]
	})
	crashes := 0
	for _, engine := range in.engines {
		in.waitWithin(configTimeout, "the engine is restarted", func() bool {
			response, err := http.Get("http://" + engine + "/stats")
			if err == nil {
				_ = response.Body.Close()
			}
			return err == nil
		})
		crashes += in.engineStats(engine).Crashes
	}
	t.Logf("%d engine crashes by %d requests", crashes, sent)
	if crashes < 1 || crashes > 3 {
		t.Errorf("%d engine crashes, want 1 to 3", crashes)
	}
	if err := checkStream(in.chat(0, 3), 3); err != nil {
		t.Errorf("another request: %v", err)
	}
}
