// Package relay sends requests to upstreams and passes the responses to the
// callers. It checks that a response belongs to the request and is complete.
package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"caroblane/core/model"
	"caroblane/io/probe"
)

const (
	dialTimeout     = 2 * time.Second
	probeTimeout    = 250 * time.Millisecond
	maxIdlePerHost  = 256
	maxRecordedBody = 2 << 10
	// maxBufferedBody is how much of a response body is buffered before the first
	// byte is sent to the caller. Until then a repeatable request can be retried.
	maxBufferedBody = 256 << 10
	copyBufferSize  = 32 << 10
)

// Headers of requests to engines and of their responses.
const (
	headerAttempt   = "X-Attempt"
	headerLastEvent = "Last-Event-ID"
	headerPriority  = "X-Priority"
	headerRequestID = "X-Request-Id"
)

// Errors is the error namespace of this package.
var Errors = errorx.NewNamespace("relay")

// Error types of Result.Err.
var (
	crossedResponse   = Errors.NewType("crossed_answer")
	differentResponse = Errors.NewType("different_answer")
	upstreamFailed    = Errors.NewType("failed")
	upstreamRejected  = Errors.NewType("rejected")
	truncatedResponse = Errors.NewType("truncated_answer")
)

// Attempt is a single attempt to send a request to an upstream.
type Attempt struct {
	RequestID model.RequestID
	Number    int
	Upstream  model.Upstream
	Priority  int
	Method    string
	// Target is the path and query of the URL.
	Target string
	Header http.Header
	Body   []byte
	// Stream is set if the response is expected as server-sent events.
	Stream bool
	// Begun is set if the caller has received the begin of a response, which only a
	// stream can continue.
	Begun bool
	// NoResend prevents the HTTP library from sending the request a second time.
	NoResend bool
	// ReceivedTokens is the number of tokens that the caller already has. Digest is
	// the digest of their events.
	ReceivedTokens int
	Digest         uint64
	// Regenerate requests the whole response again instead of its continuation.
	// The caller only gets the part after the tokens that it already has.
	Regenerate bool
}

// Client executes attempts.
type Client struct {
	dialer *net.Dialer
	pooled *http.Transport
	// unpooled opens a new connection for each request. With reused connections,
	// net/http resends a request by itself if the connection breaks and the
	// request has an idempotent method or an Idempotency-Key header.
	unpooled *http.Transport
}

// Result is the outcome of an attempt.
type Result struct {
	Outcome      model.Outcome
	TokensPassed int
	// Digest is the digest of the events of these tokens.
	Digest uint64
	// Crashed is set if the upstream's process ended during the attempt.
	Crashed  bool
	Response model.Response
	Err      error
}

// Sink passes a response to the caller.
type Sink interface {
	// Begin sets the status code and the headers.
	Begin(status int, header http.Header) error
	// Write writes a part of the body.
	Write(p []byte) (int, error)
	// Flush sends the data written so far.
	Flush() error
}

// New returns a client that uses the given dialer for connections.
func New(dialer *net.Dialer) *Client {
	transport := func() *http.Transport {
		return &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdlePerHost,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
			WriteBufferSize:     copyBufferSize,
			ReadBufferSize:      copyBufferSize,
		}
	}
	c := &Client{dialer: dialer, pooled: transport(), unpooled: transport()}
	c.unpooled.DisableKeepAlives = true
	return c
}

// NewDialer returns a dialer with the connection timeout for upstreams.
func NewDialer() *net.Dialer { return &net.Dialer{Timeout: dialTimeout} }

// Close closes the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// Run executes an attempt and passes the response to the sink.
func (c *Client) Run(ctx context.Context, a Attempt, sink Sink) Result {
	result := c.runAttempt(ctx, a, sink)
	if result.TokensPassed == a.ReceivedTokens {
		result.Digest = a.Digest
	}
	if result.Outcome == model.Broken {
		result.Crashed = c.upstreamCrashed(ctx, a, result.Err)
	}
	return result
}

func (c *Client) runAttempt(ctx context.Context, a Attempt, sink Sink) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := a.newRequest(ctx)
	if err != nil {
		return Result{Outcome: model.NotSent, TokensPassed: a.ReceivedTokens, Err: err}
	}
	transport := c.pooled
	if a.NoResend {
		transport = c.unpooled
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return a.failedBeforeHeaders(ctx, err, connected.Load())
	}
	defer func() { _ = response.Body.Close() }()
	if a.isChat() {
		if response.Header.Get(headerRequestID) != string(a.RequestID) ||
			response.Header.Get(headerAttempt) != strconv.Itoa(a.Number) {
			return a.failedAfterSend(ctx, a.ReceivedTokens, crossedResponse.New("response is for request %q attempt %q, want request %q attempt %d",
				response.Header.Get(headerRequestID), response.Header.Get(headerAttempt), a.RequestID, a.Number))
		}
		if statesNotRun(response) {
			return Result{
				Outcome:      model.Rejected,
				TokensPassed: a.ReceivedTokens,
				Err:          upstreamRejected.New("upstream responded with %s", response.Status),
			}
		}
		if response.StatusCode >= http.StatusInternalServerError || response.StatusCode == http.StatusConflict {
			return a.failedAfterSend(ctx, a.ReceivedTokens, upstreamFailed.New("upstream responded with %s", response.Status))
		}
		if a.Stream && response.StatusCode == http.StatusOK {
			return a.passStream(ctx, response, sink)
		}
	}
	if a.Begun || a.ReceivedTokens > 0 {
		return a.failedAfterSend(ctx, a.ReceivedTokens, upstreamFailed.New("upstream responded with %s, which does not continue a stream", response.Status))
	}
	return a.passBody(ctx, response, sink)
}

func (a Attempt) isChat() bool { return a.Upstream.Kind == model.UpstreamEngine }

func (a Attempt) newRequest(ctx context.Context) (*http.Request, error) {
	url := "http://" + a.Upstream.Address + a.Target
	request, err := http.NewRequestWithContext(ctx, a.Method, url, bytes.NewReader(a.Body))
	if err != nil {
		return nil, Errors.NewType("invalid_target").Wrap(err, "invalid request target %q", a.Target)
	}
	request.Header = a.Header.Clone()
	if request.Header == nil {
		request.Header = http.Header{}
	}
	request.Header.Set(headerRequestID, string(a.RequestID))
	request.Header.Set(headerAttempt, strconv.Itoa(a.Number))
	request.Header.Set(headerPriority, strconv.Itoa(a.Priority))
	if a.ReceivedTokens > 0 && !a.Regenerate {
		request.Header.Set(headerLastEvent, eventID{a.RequestID, a.Number - 1, a.ReceivedTokens}.String())
	}
	return request, nil
}

// failedBeforeHeaders classifies an error that occurred before the response
// headers were received.
func (a Attempt) failedBeforeHeaders(ctx context.Context, err error, connected bool) Result {
	if !connected {
		if ctx.Err() != nil {
			return Result{Outcome: model.CallerLeft, TokensPassed: a.ReceivedTokens, Err: err}
		}
		return Result{Outcome: model.NotSent, TokensPassed: a.ReceivedTokens, Err: err}
	}
	return a.failedAfterSend(ctx, a.ReceivedTokens, err)
}

// maxRefusalBytes limits the refusal of an engine, which has some hundred bytes.
const maxRefusalBytes = 64 << 10

// wireRefusal is the part of an engine's refusal that says whether it executed the request.
type wireRefusal struct{ Execution string }

// statesNotRun reports whether a response is a refusal in which the engine states that it did
// not execute the request. The status alone does not: an engine in trouble may answer with it
// after a run.
func statesNotRun(response *http.Response) bool {
	if response.StatusCode != http.StatusServiceUnavailable && response.StatusCode != http.StatusConflict {
		return false
	}
	var refusal wireRefusal
	err := json.NewDecoder(io.LimitReader(response.Body, maxRefusalBytes)).Decode(&refusal)
	return err == nil && refusal.Execution == model.NotRun.String()
}

// failedAfterSend classifies an error of a request that may have reached the
// upstream. passed is the number of tokens passed to the caller.
func (a Attempt) failedAfterSend(ctx context.Context, passed int, err error) Result {
	if ctx.Err() != nil {
		return Result{Outcome: model.CallerLeft, TokensPassed: passed, Err: err}
	}
	return Result{Outcome: model.Broken, TokensPassed: passed, Err: err}
}

// upstreamCrashed reports whether the upstream's process has ended: the connection
// was broken and the VM refuses new ones. A network failure alone must not count,
// because the crash is attributed to the request.
func (c *Client) upstreamCrashed(ctx context.Context, a Attempt, err error) bool {
	if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) &&
		!errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return errors.Is(probe.Probe(ctx, c.dialer.DialContext, a.Upstream.Address), syscall.ECONNREFUSED)
}

// passBody passes a response that is not an event stream to the sink. It buffers
// up to maxBufferedBody bytes first, so that the caller receives a short response
// either completely or not at all.
func (a Attempt) passBody(ctx context.Context, response *http.Response, sink Sink) Result {
	buf := make([]byte, 0, min(maxBufferedBody, max(512, int(response.ContentLength)+1)))
	buf, complete, err := readUpTo(response.Body, buf, maxBufferedBody)
	if err != nil {
		return a.failedAfterSend(ctx, 0, err)
	}
	if err := sink.Begin(response.StatusCode, response.Header); err != nil {
		return Result{Outcome: model.CallerLeft, Err: err}
	}
	recorded := model.Response{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type")}
	if complete && len(buf) <= maxRecordedBody {
		recorded.Body = buf
	} else {
		recorded.Truncated = true
	}
	tokens := 0
	if a.isChat() && complete {
		tokens, _ = completionTokens(buf)
	}
	_, writeErr := sink.Write(buf)
	if !complete {
		if _, err := io.CopyBuffer(writerOnly{sink}, response.Body, make([]byte, copyBufferSize)); err != nil {
			return Result{Outcome: model.Broken, TokensPassed: 1, Err: err}
		}
	}
	if writeErr != nil {
		// The upstream completed the request; only sending to the caller failed.
		return Result{Outcome: model.Completed, TokensPassed: tokens, Response: recorded, Err: writeErr}
	}
	return Result{Outcome: model.Completed, TokensPassed: tokens, Response: recorded}
}

// readUpTo reads into buf until EOF, an error, or until it has limit bytes.
// Complete is set if it reached EOF.
func readUpTo(r io.Reader, buf []byte, limit int) (_ []byte, complete bool, _ error) {
	for len(buf) < limit {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := r.Read(buf[len(buf):min(cap(buf), limit)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			return buf, true, nil
		}
		if err != nil {
			return buf, false, err
		}
	}
	return buf, false, nil
}

// writerOnly hides any io.ReaderFrom implementation of a sink from io.CopyBuffer,
// which would then not use its buffer.
type writerOnly struct{ io.Writer }
