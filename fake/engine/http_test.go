package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"caroblane/fake/gate"
)

func startEngine(t testing.TB, settings Settings) *Engine {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := New(listener, NewState(settings), rand.New(rand.NewPCG(1, 1)), time.Now)
	ctx, stop := context.WithCancel(context.Background())
	go func() { _ = e.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		<-e.Done()
	})
	return e
}

// chat sends a chat request. The header arguments are pairs of names and
// values.
func chat(t testing.TB, e *Engine, stream bool, tokens int, prompt string, header ...string) (*http.Response, error) {
	t.Helper()
	body := fmt.Sprintf(`{"model":"m","stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, stream, tokens, prompt)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+e.Addr()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return http.DefaultClient.Do(r)
}

type chunk struct {
	Choices []struct {
		Delta        struct{ Content string }
		FinishReason *string `json:"finish_reason"`
	}
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	}
}

// streamResult holds what a client read from a stream.
type streamResult struct {
	ids    []string
	text   string
	finish string
	tokens int
	done   bool
	err    error
}

func readStream(t testing.TB, body io.Reader) streamResult {
	t.Helper()
	var got streamResult
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case name == "id":
			got.ids = append(got.ids, value)
		case value == "[DONE]":
			got.done = true
		case name == "data":
			var c chunk
			if err := json.Unmarshal([]byte(value), &c); err != nil {
				t.Fatalf("%q: %v", value, err)
			}
			got.text += c.Choices[0].Delta.Content
			if c.Choices[0].FinishReason != nil {
				got.finish = *c.Choices[0].FinishReason
				got.tokens = c.Usage.CompletionTokens
			}
		}
	}
	got.err = lines.Err()
	return got
}

// TestStream guards against streams with a wrong end, token count or event ID,
// and against text that differs between a streamed response, one that was cut and
// resumed, and one that is not streamed.
func TestStream(t *testing.T) {
	e := startEngine(t, FastSettings())
	stream := func(tokens int, header ...string) streamResult {
		response, err := chat(t, e, true, tokens, "hello", header...)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
		return readStream(t, response.Body)
	}
	whole := stream(20, "X-Request-Id", "r1", "X-Attempt", "1")
	if !whole.done || whole.finish != "length" || whole.tokens != 20 || whole.err != nil || len(whole.ids) != 21 ||
		whole.ids[0] != "r1/1/1" || whole.ids[20] != "r1/1/20" {
		t.Errorf("whole stream: %+v", whole)
	}
	if err := e.SetEngineFaults(t.Context(), Faults{CutAfter: 7}); err != nil {
		t.Fatal(err)
	}
	cut := stream(20, "X-Request-Id", "r2", "X-Attempt", "1")
	if cut.done || cut.err == nil || len(cut.ids) != 7 {
		t.Errorf("cut stream: %+v", cut)
	}
	if err := e.SetEngineFaults(t.Context(), Faults{Cross: true}); err != nil {
		t.Fatal(err)
	}
	crossed := stream(3, "X-Request-Id", "r3", "X-Attempt", "1")
	if len(crossed.ids) != 5 || strings.HasPrefix(crossed.ids[1], "r3/") {
		t.Errorf("crossed stream: %+v", crossed)
	}
	if err := e.SetEngineFaults(t.Context(), Faults{}); err != nil {
		t.Fatal(err)
	}
	rest := stream(20, "X-Request-Id", "r2", "X-Attempt", "2", "Last-Event-ID", "r2/1/7")
	if cut.text+rest.text != whole.text || !rest.done || rest.tokens != 20 || rest.ids[0] != "r2/2/8" {
		t.Errorf("cut %q, rest %q, whole %q", cut.text, rest.text, whole.text)
	}
	response, err := chat(t, e, false, 20, "hello")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var body struct {
		Choices []struct {
			Message struct{ Content string }
		}
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil || body.Choices[0].Message.Content != whole.text {
		t.Errorf("response without streaming: %+v, error %v", body, err)
	}
}

// TestRefusals guards against refusals that a caller cannot tell from failed
// executions.
func TestRefusals(t *testing.T) {
	settings := FastSettings()
	settings.Models = []string{"other"}
	e := startEngine(t, settings)
	for name, c := range map[string]struct {
		header []string
		status int
		reason string
	}{
		"unknown model":          {nil, 404, "UnknownModel"},
		"not held":               {[]string{"X-Request-Id", "r", "Last-Event-ID", "r/1/3"}, 409, "NotHeld"},
		"event of another":       {[]string{"X-Request-Id", "r", "Last-Event-ID", "s/1/3"}, 400, "Malformed"},
		"event without a number": {[]string{"X-Request-Id", "r", "Last-Event-ID", "r/1"}, 400, "Malformed"},
	} {
		response, err := chat(t, e, true, 1, "x", c.header...)
		if err != nil {
			t.Fatal(err)
		}
		var body struct{ Reason, Execution string }
		err = json.NewDecoder(response.Body).Decode(&body)
		_ = response.Body.Close()
		if id := response.Header.Get("X-Request-Id"); len(c.header) > 0 && id != "r" {
			t.Errorf("%s: response to request %q", name, id)
		}
		if err != nil || response.StatusCode != c.status || body.Reason != c.reason || body.Execution != "NotRun" {
			t.Errorf("%s: status %d, %+v, error %v", name, response.StatusCode, body, err)
		}
	}
}

// TestCrash guards against streams that survive a crash of the engine, and
// against an engine that does not restart.
func TestCrash(t *testing.T) {
	settings := DefaultSettings()
	settings.IterationBase, settings.DecodePerToken = time.Millisecond, 0
	e := startEngine(t, settings)
	if err := e.SetEngineFaults(t.Context(), Faults{CrashMarker: "boom", CrashTerm: 50 * time.Millisecond}); err != nil {
		t.Fatal(err)
	}
	other, err := chat(t, e, true, 100_000, "quiet")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = other.Body.Close() }()
	if marked, err := chat(t, e, true, 1, "with boom inside"); err == nil {
		_ = marked.Body.Close()
		t.Errorf("marked request: status %d", marked.StatusCode)
	}
	if got := readStream(t, other.Body); got.err == nil || got.done {
		t.Errorf("other stream: %+v", got.err)
	}
	for deadline := time.Now().Add(20 * time.Second); ; {
		response, err := chat(t, e, false, 1, "again")
		if err == nil {
			_ = response.Body.Close()
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("engine did not restart: %v", err)
		}
	}
}

// TestDownClosesStreams guards against streams that continue although the
// engine is down.
func TestDownClosesStreams(t *testing.T) {
	settings := DefaultSettings()
	settings.IterationBase, settings.DecodePerToken = time.Millisecond, 0
	e := startEngine(t, settings)
	response, err := chat(t, e, true, 100_000, "quiet")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := e.SetFaults(t.Context(), gate.Faults{Down: true}); err != nil {
		t.Fatal(err)
	}
	if got := readStream(t, response.Body); got.err == nil || got.done {
		t.Errorf("stream: %+v", got.err)
	}
	if response, err := chat(t, e, true, 1, "quiet"); err == nil {
		_ = response.Body.Close()
		t.Errorf("new request: status %d", response.StatusCode)
	}
}

// BenchmarkStream measures the token throughput of one engine with 16
// concurrent clients over loopback.
func BenchmarkStream(b *testing.B) {
	const callers, tokens = 16, 2_000
	e := startEngine(b, FastSettings())
	work := make(chan struct{})
	totals := make(chan int)
	for range callers {
		go func() {
			total := 0
			for range work {
				response, err := chat(b, e, true, tokens, "hello")
				if err != nil {
					b.Error(err)
					continue
				}
				n, err := io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				if err != nil || n < tokens*100 {
					b.Errorf("%d bytes, error %v", n, err)
				}
				total += tokens
			}
			totals <- total
		}()
	}
	for b.Loop() {
		work <- struct{}{}
	}
	close(work)
	total := 0
	for range callers {
		total += <-totals
	}
	b.ReportMetric(float64(total)/b.Elapsed().Seconds(), "tokens/s")
}
