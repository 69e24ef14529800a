package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"caroblane/core/model"
)

// recorder is a Sink that records the response.
type recorder struct {
	bytes.Buffer
	status int
}

func (r *recorder) Begin(status int, _ http.Header) error {
	r.status = status
	return nil
}

func (r *recorder) Flush() error { return nil }

// chunk returns an event of request r1, attempt 1.
func chunk(offset int, text string) string {
	return fmt.Sprintf("id: r1/1/%d\ndata: {\"t\":%q}\n\n", offset, text)
}

// end returns the last events of request r1, attempt 1, with the total of tokens.
func end(total int) string {
	return fmt.Sprintf("id: r1/1/%d\ndata: {\"usage\":{\"completion_tokens\":%d}}\n\nid: r1/1/%d\ndata: [DONE]\n\n", total, total, total)
}

func attemptAt(address string, kind model.UpstreamKind) Attempt {
	return Attempt{
		RequestID: "r1",
		Number:    1,
		Upstream:  model.Upstream{Name: "u", Kind: kind, Address: address},
		Method:    http.MethodPost,
		Target:    "/x",
		Body:      []byte("{}"),
		Stream:    true,
	}
}

// TestStreamFaults guards against streams that are truncated, have gaps or contain
// events of other requests, but are passed to the caller as complete responses.
func TestStreamFaults(t *testing.T) {
	tests := []struct {
		name       string
		body       string
		aborted    bool
		begun      bool
		received   int
		responseTo string
		status     int
		want       Result
		text       string
	}{
		{
			name: "whole", body: chunk(1, "a") + chunk(2, "b") + end(2),
			want: Result{Outcome: model.Completed, TokensPassed: 2}, text: "ab",
		},
		{
			name: "event of another request is dropped",
			body: chunk(1, "a") + "id: r2/1/2\ndata: {\"t\":\"z\"}\n\n" + chunk(2, "b") + end(2),
			want: Result{Outcome: model.Completed, TokensPassed: 2}, text: "ab",
		},
		{
			name: "event of an earlier attempt is dropped",
			body: "id: r1/0/1\ndata: {\"t\":\"z\"}\n\n" + chunk(1, "a") + end(1),
			want: Result{Outcome: model.Completed, TokensPassed: 1}, text: "a",
		},
		{
			name: "end without id belongs to the event before it",
			body: chunk(1, "a") + strings.Replace(end(1), "id: r1/1/1\ndata: [DONE]", "data: [DONE]", 1),
			want: Result{Outcome: model.Completed, TokensPassed: 1}, text: "a",
		},
		{
			name: "end of another request is dropped",
			body: chunk(1, "a") + "id: r2/1/9\ndata: {}\n\ndata: [DONE]\n\n" + chunk(2, "b") + end(2),
			want: Result{Outcome: model.Completed, TokensPassed: 2}, text: "ab",
		},
		{
			name: "gap", body: chunk(1, "a") + chunk(3, "c") + end(3),
			want: Result{Outcome: model.Broken, TokensPassed: 1}, text: "a",
		},
		{
			name: "total does not match", body: chunk(1, "a") + strings.Replace(end(1), ":1}", ":4}", 1),
			want: Result{Outcome: model.Broken, TokensPassed: 1}, text: "a",
		},
		{
			name: "end without total", body: chunk(1, "a") + "id: r1/1/1\ndata: [DONE]\n\n",
			want: Result{Outcome: model.Broken, TokensPassed: 1}, text: "a",
		},
		{
			name: "stream ends early", body: chunk(1, "a"),
			want: Result{Outcome: model.Broken, TokensPassed: 1}, text: "a",
		},
		{
			name: "connection is closed within the stream", body: chunk(1, "a") + chunk(2, "b"), aborted: true,
			want: Result{Outcome: model.Broken, TokensPassed: 2}, text: "ab",
		},
		{
			name: "resumed", body: chunk(3, "c") + end(3), received: 2,
			want: Result{Outcome: model.Completed, TokensPassed: 3}, text: "c",
		},
		{
			name: "response to another request", body: chunk(1, "a") + end(1), responseTo: "r2",
			want: Result{Outcome: model.Broken},
		},
		{
			name: "refusal of another request", status: http.StatusServiceUnavailable, responseTo: "r2",
			want: Result{Outcome: model.Broken},
		},
		{
			name: "unknown model after the begin of a stream", status: http.StatusNotFound, received: 2,
			want: Result{Outcome: model.Broken, TokensPassed: 2},
		},
		{
			name: "unknown model before the first token", status: http.StatusNotFound, begun: true,
			want: Result{Outcome: model.Broken},
		},
		{
			name: "text in place of the rest", body: "{\"error\":{\"message\":\"busy\"}}\n\n", received: 2,
			want: Result{Outcome: model.Broken, TokensPassed: 2},
		},
		{
			name: "failing upstream", status: http.StatusInternalServerError,
			want: Result{Outcome: model.Broken},
		},
		{
			name: "full upstream", status: http.StatusServiceUnavailable, body: `{"Reason":"Full","Execution":"NotRun"}`,
			want: Result{Outcome: model.Rejected},
		},
		{
			// Guards against a second run after an engine failed a request that it had run.
			name: "full upstream that does not state that it did not run", status: http.StatusServiceUnavailable,
			want: Result{Outcome: model.Broken},
		},
		{
			name: "conflict after a run", status: http.StatusConflict, body: `{"Reason":"Failed","Execution":"Ran"}`,
			want: Result{Outcome: model.Broken},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				id := r.Header.Get(headerRequestID)
				if test.responseTo != "" {
					id = test.responseTo
				}
				w.Header().Set(headerRequestID, id)
				w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
				if test.status != 0 {
					w.WriteHeader(test.status)
					text := test.body
					if text == "" {
						text = `{"error":{"message":"failed"}}`
					}
					_, _ = io.WriteString(w, text)
					return
				}
				_, _ = io.WriteString(w, test.body)
				if test.aborted {
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
			}))
			defer server.Close()
			client := New(NewDialer())
			defer client.Close()
			attempt := attemptAt(server.Listener.Addr().String(), model.UpstreamEngine)
			attempt.ReceivedTokens, attempt.Begun = test.received, test.begun
			var sink recorder
			got := client.Run(context.Background(), attempt, &sink)
			got.Err, got.Digest = nil, 0
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("unexpected result (-want +got):\n%s", diff)
			}
			if got.Outcome != model.Completed && (sink.status >= http.StatusBadRequest || strings.Contains(sink.String(), "error")) {
				t.Errorf("caller got status %d and %q", sink.status, sink.String())
			}
			if text := joinTexts(sink.String()); text != test.text {
				t.Errorf("caller got %q, want %q", text, test.text)
			}
		})
	}
}

// joinTexts concatenates the texts of the chunks in a stream.
func joinTexts(stream string) string {
	var joined strings.Builder
	for _, part := range strings.Split(stream, `{"t":"`)[1:] {
		joined.WriteString(part[:strings.IndexByte(part, '"')])
	}
	return joined.String()
}

// TestRegenerate guards against continuing a stream with a regenerated response
// that differs from the part that the caller already has.
func TestRegenerate(t *testing.T) {
	tests := []struct {
		name, firstAttempt, secondAttempt string
		want                              model.Outcome
		passed                            int
		text                              string
	}{
		{"same start", chunk(1, "a") + chunk(2, "b"), secondAttempt(chunk(1, "a")+chunk(2, "b")+chunk(3, "c")) + secondAttempt(end(3)), model.Completed, 3, "abc"},
		{"only the end is missing", chunk(1, "a") + chunk(2, "b"), secondAttempt(chunk(1, "a")+chunk(2, "b")) + secondAttempt(end(2)), model.Completed, 2, "ab"},
		{"other start", chunk(1, "a") + chunk(2, "b"), secondAttempt(chunk(1, "a")+chunk(2, "x")+chunk(3, "c")) + secondAttempt(end(3)), model.Broken, 2, "ab"},
		{"same tokens in another order", chunk(1, "a") + chunk(2, "b"), secondAttempt(chunk(1, "b")+chunk(2, "a")+chunk(3, "c")) + secondAttempt(end(3)), model.Broken, 2, "ab"},
		{"shorter response", chunk(1, "a") + chunk(2, "b"), secondAttempt(chunk(1, "a")) + secondAttempt(end(1)), model.Broken, 2, "ab"},
		{"breaks again before the position", chunk(1, "a") + chunk(2, "b"), secondAttempt(chunk(1, "a")), model.Broken, 2, "ab"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
				w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
				if r.Header.Get(headerLastEvent) != "" {
					t.Errorf("regenerating attempt has header Last-Event-ID %s", r.Header.Get(headerLastEvent))
				}
				body := test.firstAttempt
				if r.Header.Get(headerAttempt) == "2" {
					body = test.secondAttempt
				}
				_, _ = io.WriteString(w, body)
			}))
			defer server.Close()
			client := New(NewDialer())
			defer client.Close()
			var sink recorder
			attempt := attemptAt(server.Listener.Addr().String(), model.UpstreamEngine)
			firstAttempt := client.Run(context.Background(), attempt, &sink)
			attempt.Number, attempt.ReceivedTokens, attempt.Digest, attempt.Regenerate = 2, firstAttempt.TokensPassed, firstAttempt.Digest, true
			got := client.Run(context.Background(), attempt, &sink)
			if got.Outcome != test.want || got.TokensPassed != test.passed {
				t.Errorf("outcome %v after %d tokens, error %v", got.Outcome, got.TokensPassed, got.Err)
			}
			if got.Outcome != model.Completed && (sink.status >= http.StatusBadRequest || strings.Contains(sink.String(), "error")) {
				t.Errorf("caller got status %d and %q", sink.status, sink.String())
			}
			if text := joinTexts(sink.String()); text != test.text {
				t.Errorf("caller got %q, want %q", text, test.text)
			}
		})
	}
}

// secondAttempt converts events of attempt 1 to events of attempt 2.
func secondAttempt(events string) string { return strings.ReplaceAll(events, "id: r1/1/", "id: r1/2/") }

// TestUnreachableIsNotSent guards against treating a request as possibly executed
// although no connection to the upstream was opened.
func TestUnreachableIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	client := New(NewDialer())
	got := client.Run(context.Background(), attemptAt(address, model.UpstreamPlain), &recorder{})
	if got.Outcome != model.NotSent {
		t.Fatalf("outcome is %v, want NotSent", got.Outcome)
	}
}

// TestCrashIsRecognised guards against mistaking the crash of an upstream for a
// network failure. The request that caused the crash would then be sent to the
// next upstream without being counted.
func TestCrashIsRecognised(t *testing.T) {
	for name, end := range map[string]func(net.Listener, net.Conn){
		"address first": func(l net.Listener, c net.Conn) {
			_ = l.Close()
			_ = c.Close()
		},
		"connection first": func(l net.Listener, c net.Conn) {
			_ = c.Close()
			time.Sleep(2 * time.Millisecond)
			_ = l.Close()
		},
	} {
		t.Run(name, func(t *testing.T) { testCrashIsRecognised(t, end) })
	}
}

// testCrashIsRecognised runs an attempt at an upstream that ends when it has read the
// request.
func testCrashIsRecognised(t *testing.T, end func(net.Listener, net.Conn)) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1024))
		end(listener, conn)
	}()
	client := New(NewDialer())
	got := client.Run(context.Background(), attemptAt(listener.Addr().String(), model.UpstreamEngine), &recorder{})
	<-ended
	if got.Outcome != model.Broken || !got.Crashed {
		t.Errorf("outcome %v, crashed %v: %v", got.Outcome, got.Crashed, got.Err)
	}
}

// TestOnceIsNotResent guards against a second execution caused by net/http, which
// resends GET requests and requests with an Idempotency-Key header when a reused
// connection breaks.
func TestOnceIsNotResent(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			var executed atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/warm" {
					return
				}
				executed.Add(1)
				panic(http.ErrAbortHandler)
			}))
			defer server.Close()
			client := New(NewDialer())
			defer client.Close()
			attempt := attemptAt(server.Listener.Addr().String(), model.UpstreamPlain)
			attempt.Method, attempt.Body, attempt.NoResend = method, nil, true
			attempt.Header = http.Header{"Idempotency-Key": {"k"}}
			warm := attempt
			warm.Target = "/warm"
			if got := client.Run(context.Background(), warm, &recorder{}); got.Outcome != model.Completed {
				t.Fatalf("first request: outcome %v, error %v, want Completed", got.Outcome, got.Err)
			}
			if got := client.Run(context.Background(), attempt, &recorder{}); got.Outcome != model.Broken {
				t.Fatalf("outcome is %v, want Broken", got.Outcome)
			}
			if n := executed.Load(); n != 1 {
				t.Fatalf("the upstream executed the request %d times, want 1", n)
			}
		})
	}
}

// TestForwardHeaderDropsKey guards against forwarding the caller's API key to an
// upstream.
func TestForwardHeaderDropsKey(t *testing.T) {
	header := http.Header{
		"Authorization": {"Bearer secret-1"}, "X-Api-Key": {"secret-1"}, "Cookie": {"secret-1"},
		"X-Forwarded-Authorization": {"other", "Bearer secret-1"},
		"Connection":                {"X-Private"}, "X-Private": {"1"}, "X-Attempt": {"7"}, "Accept": {"text/plain"},
	}
	want := http.Header{"Accept": {"text/plain"}}
	if diff := cmp.Diff(want, ForwardHeader(header)); diff != "" {
		t.Errorf("unexpected forwarded headers (-want +got):\n%s", diff)
	}
}
