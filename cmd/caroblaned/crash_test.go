package main

import (
	"net/http"
	"testing"
)

// Guards against a request that crashes engine after engine when it is sent
// again and again through all nodes, also with other parameters (section 7).
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
			crashEngines(t, test.body)
		})
	}
}

func crashEngines(t *testing.T, body func(sent int) string) {
	t.Helper()
	in := install(t, 3)
	for _, engine := range in.engines {
		in.fault(engine, `{"CrashMarker":"boom","CrashTerm":"300ms"}`)
	}
	stopped := map[int]bool{}
	sent := 0
	in.within(configTerm, "all nodes refuse the request", func() bool {
		for node := range in.nodes {
			sent++
			got := in.call(node, http.MethodPost, "/v1/chat/completions", body(sent))
			stopped[node] = got.refusal() == refusal{"CrashSuspect", "NotRun"}
			pause(t.Context(), trafficPause)
		}
		return stopped[0] && stopped[1] && stopped[2]
	})
	crashes := 0
	for _, engine := range in.engines {
		in.within(configTerm, "the engine is back", func() bool {
			response, err := http.Get("http://" + engine + "/stats")
			if err == nil {
				_ = response.Body.Close()
			}
			return err == nil
		})
		crashes += in.engineStats(engine).Crashes
	}
	t.Logf("%d crashes of engines by %d requests", crashes, sent)
	if crashes < 1 || crashes > 3 {
		t.Errorf("%d crashes of engines; want 1 to 3", crashes)
	}
	if err := wholeStream(in.chat(0, 3), 3); err != nil {
		t.Errorf("another request: %v", err)
	}
}
