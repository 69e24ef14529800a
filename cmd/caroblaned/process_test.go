package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
)

// TestServe guards against chats, reads and sends that fail through some node of an
// installation of separate processes, and against a repeated send that is executed
// again because another node received the first one.
func TestServe(t *testing.T) {
	t.Parallel()
	in := startInstallation(t, 3)
	for node := range in.nodes {
		if err := checkStream(in.chat(node, 8), 8); err != nil {
			t.Errorf("node %d: %v", node, err)
		}
		complete := in.call(node, http.MethodPost, "/v1/chat/completions", chatBody(3, false, "hello"))
		if complete.status != http.StatusOK || !strings.Contains(complete.body, `"completion_tokens":3`) {
			t.Errorf("node %d: %+v", node, complete)
		}
		if read := in.call(node, http.MethodGet, "/read/x", ""); read.status != http.StatusOK {
			t.Errorf("node %d: %+v", node, read)
		}
	}
	first := in.call(0, http.MethodPost, "/send/1", "{}", "Idempotency-Key", "k1")
	repeat := in.call(1, http.MethodPost, "/send/1", "{}", "Idempotency-Key", "k1")
	if first.status != http.StatusOK || repeat.status != http.StatusOK || first.body != repeat.body {
		t.Errorf("the repeat through another node got a different response:\n%+v\n%+v", first, repeat)
	}
	if repeat.header.Get("Idempotent-Replayed") != "true" {
		t.Errorf("the repeat was not replayed: %+v", repeat)
	}
	if n := in.executions()["k1"]; n != 1 {
		t.Errorf("the send ran %d times", n)
	}
}

// TestBadInput guards against invalid requests that get a response with the wrong
// reason, are missing in the metrics or reach an upstream. The reason tells a caller
// whether to correct or to repeat the request.
func TestBadInput(t *testing.T) {
	t.Parallel()
	in := startInstallation(t, 1)
	const path = "/v1/chat/completions"
	good := chatBody(1, false, "hello")
	tests := []struct {
		name, method, path, body string
		header                   []string
		status                   int
		reason                   string
	}{
		{"malformed JSON", "POST", path, `{"model":`, nil, 400, "MalformedRequest"},
		{"wrong type", "POST", path, `{"model":"m1","messages":"x"}`, nil, 400, "MalformedRequest"},
		{"no messages", "POST", path, `{"model":"m1","messages":[]}`, nil, 400, "MalformedRequest"},
		{"tokens out of range", "POST", path, chatBody(0, false, "x"), nil, 400, "MalformedRequest"},
		{"wrong method", "PUT", path, good, nil, 400, "MalformedRequest"},
		{"unknown model", "POST", path, strings.Replace(good, "m1", "m9", 1), nil, 404, "UnknownModel"},
		{"body over the limit", "POST", path, strings.Repeat("x", 9<<20), nil, 413, "BodyTooLarge"},
		{"missing key", "POST", path, good, []string{"Authorization", ""}, 401, "MissingKey"},
		{"wrong key", "POST", path, good, []string{"Authorization", "Bearer nobody"}, 401, "KeyUnknown"},
		{"wrong key on a route", "POST", "/send/1", "", []string{"Authorization", "Bearer nobody"}, 401, "KeyUnknown"},
		{"missing idempotency key", "POST", "/send/1", "{}", nil, 400, "MissingIdempotencyKey"},
		{"long idempotency key", "POST", "/send/1", "", []string{"Idempotency-Key", strings.Repeat("k", 257)}, 400, "MalformedRequest"},
		{"unknown route", "GET", "/elsewhere", "", nil, 404, "UnknownRoute"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := in.call(0, test.method, test.path, test.body, test.header...)
			if want := (errorBody{test.reason, "NotRun"}); got.status != test.status || got.errorBody() != want {
				t.Errorf("status %d, body %s, error %v; want %d with %+v", got.status, got.body, got.err, test.status, want)
			}
			metrics := getText(t, "http://"+in.nodes[0].admin+"/metrics")
			if strings.Contains(metrics, fmt.Sprintf("caroblane_refusals_total{reason=%q} 0\n", test.reason)) {
				t.Errorf("the counter of %s was not incremented", test.reason)
			}
		})
	}
	if runs := in.executions(); len(runs) != 0 {
		t.Errorf("the upstream executed %v", runs)
	}
}

// TestDrainCutsNothing guards against requests that fail when a node is stopped by
// SIGTERM: open streams would break if the process exited at once, and new requests
// would be refused because the load balancer notices only within DrainNotice that the
// node is not ready.
func TestDrainCutsNothing(t *testing.T) {
	t.Parallel()
	in := startInstallation(t, 2)
	const tokens = 60
	done := make(chan result, 1)
	go func() { done <- in.chat(0, tokens) }()
	in.eventually("the stream has started", func() bool { return in.openRequests(0) == 1 })
	in.nodes[0].signal(t, syscall.SIGTERM)
	in.eventually("node 0 is not ready", func() bool { return !in.nodes[0].ready() })
	// The load balancer has not noticed it yet and sends another request.
	if err := checkStream(in.chat(0, 3), 3); err != nil {
		t.Errorf("request within DrainNotice: %v", err)
	}
	if err := checkStream(<-done, tokens); err != nil {
		t.Errorf("stream that was open at the drain: %v", err)
	}
	if code := in.nodes[0].waitExitCode(t); code != 0 {
		t.Errorf("exit code %d, log:\n%s", code, in.nodes[0].log)
	}
	if err := checkStream(in.chat(1, 3), 3); err != nil {
		t.Errorf("request to the other node: %v", err)
	}
}

// TestKillDuringSend guards against a request that is executed twice: the node that
// sent it is killed before it recorded the outcome, and the caller repeats the request
// through another node.
func TestKillDuringSend(t *testing.T) {
	t.Parallel()
	in := startInstallation(t, 2)
	in.setFaults(in.plain, `{"SlowBy":"3s"}`)
	done := make(chan result, 1)
	go func() { done <- in.call(0, http.MethodPost, "/send/1", "{}", "Idempotency-Key", "k1") }()
	in.eventually("the send runs", func() bool { return in.executions()["k1"] == 1 })
	in.nodes[0].kill()
	if lost := <-done; lost.err == nil {
		t.Errorf("got a response from the killed node: %+v", lost)
	}
	repeat := in.call(1, http.MethodPost, "/send/1", "{}", "Idempotency-Key", "k1")
	if want := (errorBody{"EarlierOutcomeUnknown", "OutcomeUnknown"}); repeat.errorBody() != want {
		t.Errorf("repeat got %+v, want %+v", repeat, want)
	}
	if n := in.executions()["k1"]; n != 1 {
		t.Errorf("the send ran %d times", n)
	}
}

// TestSendDuringStoreFaults guards against a write that took effect but is treated as
// failed because the response of the store was lost, and against a send without a claim
// while the store is unavailable.
func TestSendDuringStoreFaults(t *testing.T) {
	t.Parallel()
	in := startInstallation(t, 2)
	in.setFaults(in.store, `{"LoseAnswers":2}`)
	if got := in.call(0, http.MethodPost, "/send/1", "{}", "Idempotency-Key", "k1"); got.status != http.StatusOK {
		t.Errorf("with lost responses of the store: %+v", got)
	}
	in.setFaults(in.store, `{"Down":true}`)
	down := in.call(0, http.MethodPost, "/send/2", "{}", "Idempotency-Key", "k2")
	if want := (errorBody{"ClaimUnavailable", "NotRun"}); down.errorBody() != want {
		t.Errorf("store down: got %+v, want %+v", down, want)
	}
	in.setFaults(in.store, `{}`)
	in.eventually("sends succeed again", func() bool {
		return in.call(1, http.MethodPost, "/send/2", "{}", "Idempotency-Key", "k2").status == http.StatusOK
	})
	if runs := in.executions(); runs["k1"] != 1 || runs["k2"] != 1 {
		t.Errorf("executions: %v", runs)
	}
}

// TestWithdrawKey guards against a withdrawn key that still works: for a stream that
// was admitted before the withdrawal, or on a node that has not applied it.
func TestWithdrawKey(t *testing.T) {
	t.Parallel()
	in := startInstallation(t, 2)
	done := make(chan result, 1)
	go func() { done <- in.chat(0, 4000) }()
	in.eventually("the stream has started", func() bool { return in.openRequests(0) == 1 })
	in.writeObject("Key", "key", map[string]any{
		"Account": "account", "Hash": keyHash(callerKey), "State": "Withdrawn",
	})
	if cut := <-done; !strings.Contains(cut.body, "KeyWasWithdrawn") {
		t.Errorf("the open stream ended with %s, error %v", tail(cut.body), cut.err)
	}
	for node := range in.nodes {
		in.eventually("the key is refused", func() bool {
			return in.chat(node, 1).errorBody() == errorBody{"KeyWasWithdrawn", "NotRun"}
		})
	}
}

// TestResumeCutStream guards against missing or repeated tokens when the connection to
// the engine is cut in the middle of a stream and the node resumes the stream.
func TestResumeCutStream(t *testing.T) {
	t.Parallel()
	in := startInstallation(t, 1)
	complete := in.chat(0, 12)
	for _, engine := range in.engines {
		in.setFaults(engine, `{"CutAfter":7}`)
	}
	cut := in.chat(0, 12)
	if err := checkStream(cut, 12); err != nil {
		t.Fatal(err)
	}
	if contentOf(cut.body) != contentOf(complete.body) {
		t.Errorf("resumed response differs from the uninterrupted one:\n%s\n%s", contentOf(complete.body), contentOf(cut.body))
	}
}

// TestRegenerateAfterEngineLoss guards against a response that ends early, or repeats
// tokens, when its engine is killed. Another engine generates the response again from
// the start, and the node must skip the tokens that the caller already has.
func TestRegenerateAfterEngineLoss(t *testing.T) {
	t.Parallel()
	in := startInstallation(t, 1)
	const tokens = 400
	done := make(chan result, 1)
	go func() { done <- in.chat(0, tokens) }()
	in.eventually("the stream has tokens", func() bool {
		return !strings.Contains(getText(t, "http://"+in.nodes[0].admin+"/metrics"), "caroblane_first_token_seconds_count 0\n")
	})
	running := -1
	in.eventually("an engine reports the stream", func() bool {
		for i, engine := range in.engines {
			if strings.Contains(getText(t, "http://"+engine+"/load"), `"Running":1`) {
				running = i
			}
		}
		return running >= 0
	})
	in.fakes[running].kill()
	lost := <-done
	if err := checkStream(lost, tokens); err != nil {
		t.Fatal(err)
	}
	if complete := in.chat(0, tokens); contentOf(complete.body) != contentOf(lost.body) {
		t.Errorf("response differs from the uninterrupted one:\n%s\n%s", contentOf(complete.body), contentOf(lost.body))
	}
	if metrics := getText(t, "http://"+in.nodes[0].admin+"/metrics"); !strings.Contains(metrics, `caroblane_retries_total{reason="RetryRegenerated"} 1`) {
		t.Error("the response was not regenerated")
	}
}

// contentOf returns the concatenated tokens of an event stream.
func contentOf(stream string) string {
	var text strings.Builder
	for _, part := range strings.Split(stream, `"content":"`)[1:] {
		text.WriteString(part[:strings.IndexByte(part, '"')])
	}
	return text.String()
}
