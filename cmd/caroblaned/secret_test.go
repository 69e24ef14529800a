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

// TestKeyStaysInside guards against an API key that reaches an upstream or the log.
// Callers may also send it in other headers, which are forwarded, and in malformed
// bodies, which appear in error messages.
func TestKeyStaysInside(t *testing.T) {
	t.Parallel()
	in := startInstallation(t, 1)
	var requests atomic.Int64
	upstream := in.startRecorder(func(text string) {
		requests.Add(1)
		if strings.Contains(text, callerKey) {
			t.Errorf("the upstream received the key:\n%s", text)
		}
	})
	in.writeObject("Upstream", "recorder", map[string]any{"Kind": "Plain", "Address": upstream, "Zone": "a", "Slots": 64})
	in.writeObject("Upstream", "recording-engine", map[string]any{
		"Kind": "Engine", "Address": upstream, "Zone": "a", "Slots": 64, "Models": []string{"m2"},
	})
	in.writeObject("Model", "m2", map[string]any{"MaxTokens": 100})
	in.writeObject("Route", "recorded", map[string]any{"Prefix": "/recorded/", "Upstreams": []string{"recorder"}, "Open": true})
	in.waitInForce("Route", "recorded")
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
		t.Errorf("the upstream received only %d requests", n)
	}
	// The headers and bodies of malformed requests must not be logged.
	in.call(0, http.MethodPost, "/v1/chat/completions", callerKey)
	in.call(0, http.MethodPost, "/v1/chat/completions", `{"model":"`+callerKey+`","messages":[]}`)
	in.nodes[0].signal(t, syscall.SIGTERM)
	in.nodes[0].waitExitCode(t)
	if log := in.nodes[0].log.String(); strings.Contains(log, callerKey) || log == "" {
		t.Errorf("log:\n%s", log)
	}
}

// startRecorder starts an upstream that passes a dump of each request to seen and
// responds with an error. It returns the address of the upstream.
func (in *installation) startRecorder(seen func(text string)) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, err := httputil.DumpRequest(r, true)
		if err != nil {
			in.t.Errorf("dumping the request: %v", err)
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
