// Package load sends streamed chat requests at a steady rate and measures the
// answers. It plays the callers of an installation.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/joomcode/errorx"
)

const (
	// maxConnections bounds the idle connections to one address, so that no
	// request waits for a connection.
	maxConnections = 512
	maxLine        = 64 << 10
	maxMicros      = 600_000_000
	significance   = 3
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("load")

// The types of errors of a request.
var (
	// Refused means that the answer was no stream.
	Refused = Errors.NewType("refused")
	// Incomplete means that the stream ended early.
	Incomplete = Errors.NewType("incomplete")
)

// Target is where requests go.
type Target struct {
	// Addresses get the requests in turn.
	Addresses []string
	Key       string
	Model     string
}

// Plan is how many requests are sent, how fast, and how long they are.
type Plan struct {
	Requests int
	// Rate is in requests a second.
	Rate float64
	// MaxTokens is the length of each answer.
	MaxTokens int
	Prompt    string
	// Name distinguishes the request ids of this run.
	Name string
}

// Answer is the measurement of one whole answer.
type Answer struct {
	FirstToken time.Duration
	Total      time.Duration
	Tokens     int
}

// Report sums up a run.
type Report struct {
	Answered int
	Failed   int
	// Fault is the error of the first request that failed.
	Fault  error
	Tokens int
	// FirstToken and Total are in microseconds.
	FirstToken *hdrhistogram.Histogram
	Total      *hdrhistogram.Histogram
}

// chatRequest is the body of a request.
type chatRequest struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Client sends requests.
type Client struct{ http *http.Client }

// NewClient returns a client that keeps its connections.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxConnections}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Run sends the requests of a plan and waits for their ends. Requests are sent
// on time even when earlier ones are late.
func (c *Client) Run(ctx context.Context, target Target, plan Plan) Report {
	report := Report{
		FirstToken: hdrhistogram.New(1, maxMicros, significance),
		Total:      hdrhistogram.New(1, maxMicros, significance),
	}
	var mu sync.Mutex
	var running sync.WaitGroup
	pace := time.NewTicker(time.Duration(float64(time.Second) / plan.Rate))
	defer pace.Stop()
	for i := range plan.Requests {
		select {
		case <-pace.C:
		case <-ctx.Done():
			running.Wait()
			return report
		}
		running.Go(func() {
			answer, err := c.Chat(ctx, target, plan, i)
			mu.Lock()
			defer mu.Unlock()
			report = report.with(answer, err)
		})
	}
	running.Wait()
	return report
}

// with returns the report after one more request.
func (r Report) with(answer Answer, err error) Report {
	if err != nil {
		r.Failed++
		if r.Fault == nil {
			r.Fault = err
		}
		return r
	}
	r.Answered++
	r.Tokens += answer.Tokens
	_ = r.FirstToken.RecordValue(answer.FirstToken.Microseconds()) // A longer time is beyond any deadline.
	_ = r.Total.RecordValue(answer.Total.Microseconds())
	return r
}

// Chat sends request number i of a plan and reads its stream to the end.
func (c *Client) Chat(ctx context.Context, target Target, plan Plan, i int) (Answer, error) {
	body, err := json.Marshal(chatRequest{
		Model: target.Model, Stream: true, MaxTokens: plan.MaxTokens,
		Messages: []chatMessage{{Role: "user", Content: plan.Prompt}},
	})
	if err != nil {
		return Answer{}, Refused.Wrap(err, "request %d", i)
	}
	address := target.Addresses[i%len(target.Addresses)]
	request, err := http.NewRequestWithContext(
		ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return Answer{}, Refused.Wrap(err, "address %q", address)
	}
	request.Header.Set("Authorization", "Bearer "+target.Key)
	request.Header.Set("Content-Type", "application/json")
	// An engine that is called without a node in front needs both.
	request.Header.Set("X-Request-Id", plan.Name+"-"+strconv.Itoa(i))
	request.Header.Set("X-Attempt", "1")
	begun := time.Now()
	response, err := c.http.Do(request)
	if err != nil {
		return Answer{}, Refused.Wrap(err, "request %d", i)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxLine))
		return Answer{}, Refused.New("request %d: status %s: %s", i, response.Status, text)
	}
	return read(response.Body, begun, i)
}

// read measures the stream of request number i.
func read(body io.Reader, begun time.Time, i int) (Answer, error) {
	var answer Answer
	chunks := 0
	lines := bufio.NewReaderSize(body, maxLine)
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			return Answer{}, Incomplete.Wrap(err, "request %d after %d chunks", i, chunks)
		}
		if bytes.HasPrefix(line, []byte("event: error")) {
			fault, _ := lines.ReadSlice('\n')
			return Answer{}, Incomplete.New("request %d after %d chunks: %s", i, chunks, fault)
		}
		if !bytes.HasPrefix(line, []byte("data:")) {
			continue
		}
		if chunks == 0 {
			answer.FirstToken = time.Since(begun)
		}
		if bytes.HasPrefix(line, []byte("data: [DONE]")) {
			// The last chunk has the counts and no token.
			answer.Tokens, answer.Total = chunks-1, time.Since(begun)
			return answer, nil
		}
		chunks++
	}
}
