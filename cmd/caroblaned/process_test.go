package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
)

// Guards against a path that works only inside one process.
func TestServe(t *testing.T) {
	t.Parallel()
	in := install(t, 3)
	for node := range in.nodes {
		if err := wholeStream(in.chat(node, 8), 8); err != nil {
			t.Errorf("node %d: %v", node, err)
		}
		whole := in.call(node, http.MethodPost, "/v1/chat/completions", chatBody(3, false, "hello"))
		if whole.status != http.StatusOK || !strings.Contains(whole.body, `"completion_tokens":3`) {
			t.Errorf("node %d: %+v", node, whole)
		}
		if read := in.call(node, http.MethodGet, "/read/x", ""); read.status != http.StatusOK {
			t.Errorf("node %d: %+v", node, read)
		}
	}
	first := in.call(0, http.MethodPost, "/send/1", "{}", "Idempotency-Key", "k1")
	again := in.call(1, http.MethodPost, "/send/1", "{}", "Idempotency-Key", "k1")
	if first.status != http.StatusOK || again.status != http.StatusOK || first.body != again.body {
		t.Errorf("repeat through another node differs:\n%+v\n%+v", first, again)
	}
	if again.header.Get("Idempotent-Replayed") != "true" {
		t.Errorf("repeat was not replayed: %+v", again)
	}
	if n := in.executions()["k1"]; n != 1 {
		t.Errorf("the send ran %d times", n)
	}
}

// Guards against bad input that reaches an upstream or gets no typed answer.
func TestBadInput(t *testing.T) {
	t.Parallel()
	in := install(t, 1)
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
			if want := (refusal{test.reason, "NotRun"}); got.status != test.status || got.refusal() != want {
				t.Errorf("status %d, body %s, error %v; want %d with %+v", got.status, got.body, got.err, test.status, want)
			}
			metrics := httpText(t, "http://"+in.nodes[0].admin+"/metrics")
			if strings.Contains(metrics, fmt.Sprintf("caroblane_refusals_total{reason=%q} 0\n", test.reason)) {
				t.Errorf("counter of %s was not raised", test.reason)
			}
		})
	}
	if runs := in.executions(); len(runs) != 0 {
		t.Errorf("upstream executed %v", runs)
	}
}

// Guards against a planned stop that cuts a stream or ends with an error.
func TestDrainCutsNothing(t *testing.T) {
	t.Parallel()
	in := install(t, 2)
	const tokens = 60
	ended := make(chan answer, 1)
	go func() { ended <- in.chat(0, tokens) }()
	in.eventually("the stream has begun", func() bool { return in.openRequests(0) == 1 })
	in.nodes[0].signal(t, syscall.SIGTERM)
	in.eventually("node 0 is not ready", func() bool { return !in.nodes[0].ready() })
	// The balancer has not seen it yet and sends one more.
	if err := wholeStream(in.chat(0, 3), 3); err != nil {
		t.Errorf("request within the drain notice: %v", err)
	}
	if err := wholeStream(<-ended, tokens); err != nil {
		t.Errorf("stream during the drain: %v", err)
	}
	if code := in.nodes[0].exitCode(t); code != 0 {
		t.Errorf("exit code %d, log:\n%s", code, in.nodes[0].log)
	}
	if err := wholeStream(in.chat(1, 3), 3); err != nil {
		t.Errorf("the other node: %v", err)
	}
}

// Guards against a second execution when the node that sent a request is
// killed before it recorded the outcome, and the caller repeats the request.
func TestKillDuringSend(t *testing.T) {
	t.Parallel()
	in := install(t, 2)
	in.fault(in.plain, `{"SlowBy":"3s"}`)
	ended := make(chan answer, 1)
	go func() { ended <- in.call(0, http.MethodPost, "/send/1", "{}", "Idempotency-Key", "k1") }()
	in.eventually("the send runs", func() bool { return in.executions()["k1"] == 1 })
	in.nodes[0].kill()
	if lost := <-ended; lost.err == nil {
		t.Errorf("the killed node answered %+v", lost)
	}
	again := in.call(1, http.MethodPost, "/send/1", "{}", "Idempotency-Key", "k1")
	if want := (refusal{"EarlierOutcomeUnknown", "OutcomeUnknown"}); again.refusal() != want {
		t.Errorf("repeat got %+v, want %+v", again, want)
	}
	if n := in.executions()["k1"]; n != 1 {
		t.Errorf("the send ran %d times", n)
	}
}

// Guards against a lost answer of the store that is taken for a failed write,
// and against a send while the store is away.
func TestSendDuringStoreFaults(t *testing.T) {
	t.Parallel()
	in := install(t, 2)
	in.fault(in.store, `{"LoseAnswers":2}`)
	if got := in.call(0, http.MethodPost, "/send/1", "{}", "Idempotency-Key", "k1"); got.status != http.StatusOK {
		t.Errorf("with lost answers: %+v", got)
	}
	in.fault(in.store, `{"Down":true}`)
	down := in.call(0, http.MethodPost, "/send/2", "{}", "Idempotency-Key", "k2")
	if want := (refusal{"ClaimUnavailable", "NotRun"}); down.refusal() != want {
		t.Errorf("store down: got %+v, want %+v", down, want)
	}
	in.fault(in.store, `{}`)
	in.eventually("sends work again", func() bool {
		return in.call(1, http.MethodPost, "/send/2", "{}", "Idempotency-Key", "k2").status == http.StatusOK
	})
	if runs := in.executions(); runs["k1"] != 1 || runs["k2"] != 1 {
		t.Errorf("executions: %v", runs)
	}
}

// Guards against a withdrawn key that goes on working for a connected caller.
func TestWithdrawKey(t *testing.T) {
	t.Parallel()
	in := install(t, 2)
	ended := make(chan answer, 1)
	go func() { ended <- in.chat(0, 4000) }()
	in.eventually("the stream has begun", func() bool { return in.openRequests(0) == 1 })
	in.write("Key", "key", map[string]any{
		"Account": "account", "Hash": keyHash(callerKey), "State": "Withdrawn",
	})
	if cut := <-ended; !strings.Contains(cut.body, "KeyWasWithdrawn") {
		t.Errorf("the open stream ended with %s %v", tail(cut.body), cut.err)
	}
	for node := range in.nodes {
		in.eventually("the key is refused", func() bool {
			return in.chat(node, 1).refusal() == refusal{"KeyWasWithdrawn", "NotRun"}
		})
	}
}

// Guards against engines that are cut and streams that are resumed with a gap
// or a doubled token.
func TestResumeCutStream(t *testing.T) {
	t.Parallel()
	in := install(t, 1)
	whole := in.chat(0, 12)
	for _, engine := range in.engines {
		in.fault(engine, `{"CutAfter":7}`)
	}
	cut := in.chat(0, 12)
	if err := wholeStream(cut, 12); err != nil {
		t.Fatal(err)
	}
	if contents(cut.body) != contents(whole.body) {
		t.Errorf("resumed answer differs:\n%s\n%s", contents(whole.body), contents(cut.body))
	}
}

// Guards against an answer that is lost with its engine: another engine
// generates it again, and the caller gets what it does not have yet.
func TestRegenerateAfterEngineLoss(t *testing.T) {
	t.Parallel()
	in := install(t, 1)
	const tokens = 400
	ended := make(chan answer, 1)
	go func() { ended <- in.chat(0, tokens) }()
	in.eventually("the stream has tokens", func() bool {
		return !strings.Contains(httpText(t, "http://"+in.nodes[0].admin+"/metrics"), "caroblane_first_token_seconds_count 0\n")
	})
	running := -1
	in.eventually("an engine reports the stream", func() bool {
		for i, engine := range in.engines {
			if strings.Contains(httpText(t, "http://"+engine+"/load"), `"Running":1`) {
				running = i
			}
		}
		return running >= 0
	})
	in.standIns[running].kill()
	lost := <-ended
	if err := wholeStream(lost, tokens); err != nil {
		t.Fatal(err)
	}
	if whole := in.chat(0, tokens); contents(whole.body) != contents(lost.body) {
		t.Errorf("answers differ:\n%s\n%s", contents(whole.body), contents(lost.body))
	}
	if metrics := httpText(t, "http://"+in.nodes[0].admin+"/metrics"); !strings.Contains(metrics, `caroblane_retries_total{reason="RetryRegenerated"} 1`) {
		t.Error("the answer was not generated again")
	}
}

func contents(stream string) string {
	var text strings.Builder
	for _, part := range strings.Split(stream, `"content":"`)[1:] {
		text.WriteString(part[:strings.IndexByte(part, '"')])
	}
	return text.String()
}
