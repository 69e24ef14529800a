package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
)

// Guards against a caller's key that reaches an upstream or a log (G4).
func TestKeyStaysInside(t *testing.T) {
	t.Parallel()
	in := install(t, 1)
	var requests atomic.Int64
	upstream := in.recorder(func(text string) {
		requests.Add(1)
		if strings.Contains(text, callerKey) {
			t.Errorf("upstream got the key:\n%s", text)
		}
	})
	in.write("Upstream", "recorder", map[string]any{"Kind": "Plain", "Address": upstream, "Zone": "a", "Slots": 64})
	in.write("Upstream", "recording-engine", map[string]any{
		"Kind": "Engine", "Address": upstream, "Zone": "a", "Slots": 64, "Models": []string{"m2"},
	})
	in.write("Model", "m2", map[string]any{"MaxTokens": 100})
	in.write("Route", "recorded", map[string]any{"Prefix": "/recorded/", "Upstreams": []string{"recorder"}, "Open": true})
	in.inForce("Route", "recorded")
	chat := strings.Replace(chatBody(1, true, "x"), modelName, "m2", 1)
	for i, headers := range [][]string{
		nil,
		{"X-Api-Key", callerKey},
		{"Cookie", "key=" + callerKey},
		{"Proxy-Authorization", "Bearer " + callerKey},
		{"X-Forwarded-Authorization", "Bearer " + callerKey},
		{"Authorization", "bearer  " + callerKey},
	} {
		in.call(0, http.MethodPost, "/v1/chat/completions", chat, headers...)
		in.call(0, http.MethodPost, "/recorded/x", "{}", append([]string{"Idempotency-Key", fmt.Sprint("k", i)}, headers...)...)
	}
	if n := requests.Load(); n < 6 {
		t.Errorf("the upstream got only %d requests", n)
	}
	// Malformed requests must not be logged with their headers or bodies.
	in.call(0, http.MethodPost, "/v1/chat/completions", callerKey)
	in.call(0, http.MethodPost, "/v1/chat/completions", `{"model":"`+callerKey+`","messages":[]}`)
	in.nodes[0].signal(t, syscall.SIGTERM)
	in.nodes[0].exitCode(t)
	if log := in.nodes[0].log.String(); strings.Contains(log, callerKey) || log == "" {
		t.Errorf("log:\n%s", log)
	}
}

// recorder starts an upstream that shows each request, as it came, to seen and
// answers it with an error. It returns the upstream's address.
func (in *installation) recorder(seen func(text string)) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, err := httputil.DumpRequest(r, true)
		if err != nil {
			in.t.Errorf("request was not read: %v", err)
		}
		seen(string(text))
		for _, name := range []string{"X-Request-Id", "X-Attempt"} {
			w.Header().Set(name, r.Header.Get(name))
		}
		w.WriteHeader(http.StatusBadRequest)
	}))
	in.t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}
