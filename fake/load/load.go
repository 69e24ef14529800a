// Package load sends streamed chat requests at a constant rate and measures the
// responses. It is a fake for the callers of a deployment.
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
	// maxConnections limits the idle connections to one address. It is large so
	// that requests reuse connections instead of waiting for new ones.
	maxConnections    = 512
	maxLineBytes      = 64 << 10
	maxLatencyMicros  = 600_000_000
	significantDigits = 3
)

// Errors is the error namespace of this package.
var Errors = errorx.NewNamespace("load")

// Error types of a request.
var (
	// Refused means that the response was not a stream.
	Refused = Errors.NewType("refused")
	// Incomplete means that the stream ended early.
	Incomplete = Errors.NewType("incomplete")
)

// Target describes where requests are sent.
type Target struct {
	// Addresses are used in turn.
	Addresses []string
	Key       string
	Model     string
}

// Plan describes the number, rate and length of the requests.
type Plan struct {
	Requests int
	// Rate is in requests per second.
	Rate float64
	// MaxTokens is the length of each response.
	MaxTokens int
	Prompt    string
	// Name is the prefix of the request IDs and distinguishes runs.
	Name string
}

// Measurement holds the measured times and length of one complete response.
type Measurement struct {
	FirstToken time.Duration
	Total      time.Duration
	Tokens     int
}

// Report summarizes a run.
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

// NewClient returns a client that keeps connections alive.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxConnections}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Run sends the requests of a plan and waits until all have ended. Requests are
// sent on schedule even if earlier ones are still in flight.
func (c *Client) Run(ctx context.Context, target Target, plan Plan) Report {
	report := Report{
		FirstToken: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		Total:      hdrhistogram.New(1, maxLatencyMicros, significantDigits),
	}
	var mu sync.Mutex
	var inFlight sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / plan.Rate))
	defer ticker.Stop()
	for i := range plan.Requests {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			inFlight.Wait()
			return report
		}
		inFlight.Go(func() {
			measurement, err := c.Chat(ctx, target, plan, i)
			mu.Lock()
			defer mu.Unlock()
			report = report.withResult(measurement, err)
		})
	}
	inFlight.Wait()
	return report
}

// withResult returns the report after one more request.
func (r Report) withResult(measurement Measurement, err error) Report {
	if err != nil {
		r.Failed++
		if r.Fault == nil {
			r.Fault = err
		}
		return r
	}
	r.Answered++
	r.Tokens += measurement.Tokens
	_ = r.FirstToken.RecordValue(measurement.FirstToken.Microseconds()) // Fails only for times beyond any deadline.
	_ = r.Total.RecordValue(measurement.Total.Microseconds())
	return r
}

// Chat sends request number i of a plan and reads its stream to the end.
func (c *Client) Chat(ctx context.Context, target Target, plan Plan, i int) (Measurement, error) {
	body, err := json.Marshal(chatRequest{
		Model: target.Model, Stream: true, MaxTokens: plan.MaxTokens,
		Messages: []chatMessage{{Role: "user", Content: plan.Prompt}},
	})
	if err != nil {
		return Measurement{}, Refused.Wrap(err, "cannot encode request %d", i)
	}
	address := target.Addresses[i%len(target.Addresses)]
	request, err := http.NewRequestWithContext(
		ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return Measurement{}, Refused.Wrap(err, "invalid address %q", address)
	}
	request.Header.Set("Authorization", "Bearer "+target.Key)
	request.Header.Set("Content-Type", "application/json")
	// An engine that is called directly, without an entry node in front, needs
	// both headers.
	request.Header.Set("X-Request-Id", plan.Name+"-"+strconv.Itoa(i))
	request.Header.Set("X-Attempt", "1")
	start := time.Now()
	response, err := c.http.Do(request)
	if err != nil {
		return Measurement{}, Refused.Wrap(err, "no response to request %d", i)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxLineBytes))
		return Measurement{}, Refused.New("request %d refused with status %s: %s", i, response.Status, text)
	}
	return readStream(response.Body, start, i)
}

// readStream measures the stream of request number i.
func readStream(body io.Reader, start time.Time, i int) (Measurement, error) {
	var measurement Measurement
	chunks := 0
	reader := bufio.NewReaderSize(body, maxLineBytes)
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return Measurement{}, Incomplete.Wrap(err, "stream of request %d ended after %d chunks", i, chunks)
		}
		if bytes.HasPrefix(line, []byte("event: error")) {
			data, _ := reader.ReadSlice('\n')
			return Measurement{}, Incomplete.New("stream of request %d ended after %d chunks: %s", i, chunks, data)
		}
		if !bytes.HasPrefix(line, []byte("data:")) {
			continue
		}
		if chunks == 0 {
			measurement.FirstToken = time.Since(start)
		}
		if bytes.HasPrefix(line, []byte("data: [DONE]")) {
			// The last chunk holds the token counts and no token.
			measurement.Tokens, measurement.Total = chunks-1, time.Since(start)
			return measurement, nil
		}
		chunks++
	}
}
