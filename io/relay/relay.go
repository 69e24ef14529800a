// Package relay sends requests to upstreams and passes their answers on. It
// checks that an answer belongs to the request and is whole.
package relay

import (
	"bytes"
	"context"
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
)

const (
	dialTimeout     = 2 * time.Second
	probeTimeout    = 250 * time.Millisecond
	maxIdlePerHost  = 256
	maxRecordedBody = 2 << 10
	// bufferedAnswer is how much of an answer is held back before the first
	// byte goes to the caller. Until then a repeatable request can be retried.
	bufferedAnswer = 256 << 10
	copyBuffer     = 32 << 10
)

// The headers between nodes and engines.
const (
	headerAttempt   = "X-Attempt"
	headerLastEvent = "Last-Event-ID"
	headerPriority  = "X-Priority"
	headerRequestID = "X-Request-Id"
)

// Errors is the namespace of this layer's errors.
var Errors = errorx.NewNamespace("relay")

// The types of errors that a Sink sees.
var (
	crossed   = Errors.NewType("crossed_answer")
	differs   = Errors.NewType("different_answer")
	failed    = Errors.NewType("failed")
	rejected  = Errors.NewType("rejected")
	truncated = Errors.NewType("truncated_answer")
)

// Attempt is one sending of a request to an upstream.
type Attempt struct {
	RequestID model.RequestID
	Number    int
	Upstream  model.Upstream
	Priority  int
	Method    string
	// Target is the path and query.
	Target string
	Header http.Header
	Body   []byte
	// Stream asks for server-sent events.
	Stream bool
	// Once forbids any resending, also by the HTTP library.
	Once bool
	// Resume is the number of tokens that the caller already has, and Seen the
	// digest of their events.
	Resume int
	Seen   uint64
	// Regenerate asks for the whole answer again, of which the caller gets what
	// follows the tokens that it has.
	Regenerate bool
}

// Client sends attempts.
type Client struct {
	dialer *net.Dialer
	reused *http.Transport
	// fresh opens a connection for each request. net/http resends a request on
	// its own when a reused connection breaks and the request is idempotent by
	// its method or carries an Idempotency-Key.
	fresh *http.Transport
}

// Result tells how an attempt ended.
type Result struct {
	Outcome      model.Outcome
	TokensPassed int
	// Seen is the digest of the events of the tokens passed.
	Seen    uint64
	Crashed bool
	Answer  model.Answer
	Err     error
}

// Sink takes the answer for the caller.
type Sink interface {
	// Begin passes on the status and the headers.
	Begin(status int, header http.Header) error
	// Write passes on bytes of the body.
	Write(p []byte) (int, error)
	// Flush sends what was written.
	Flush() error
}

// New returns a client that opens connections with the given dialer.
func New(dialer *net.Dialer) *Client {
	transport := func() *http.Transport {
		return &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdlePerHost,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
			WriteBufferSize:     copyBuffer,
			ReadBufferSize:      copyBuffer,
		}
	}
	c := &Client{dialer: dialer, reused: transport(), fresh: transport()}
	c.fresh.DisableKeepAlives = true
	return c
}

// Dialer returns the dialer for New.
func Dialer() *net.Dialer { return &net.Dialer{Timeout: dialTimeout} }

// Close closes idle connections.
func (c *Client) Close() {
	c.reused.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Run sends one attempt and passes its answer to the sink.
func (c *Client) Run(ctx context.Context, a Attempt, sink Sink) Result {
	result := c.run(ctx, a, sink)
	if result.TokensPassed == a.Resume {
		result.Seen = a.Seen
	}
	if result.Outcome == model.Broken {
		result.Crashed = c.crashed(ctx, a, result.Err)
	}
	return result
}

func (c *Client) run(ctx context.Context, a Attempt, sink Sink) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	request, err := a.request(ctx)
	if err != nil {
		return Result{Outcome: model.NotSent, TokensPassed: a.Resume, Err: err}
	}
	transport := c.reused
	if a.Once {
		transport = c.fresh
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return a.sendFailed(ctx, err, sent.Load())
	}
	defer func() { _ = response.Body.Close() }()
	if a.isChat() {
		if response.Header.Get(headerRequestID) != string(a.RequestID) ||
			response.Header.Get(headerAttempt) != strconv.Itoa(a.Number) {
			return a.broken(ctx, a.Resume, crossed.New("answer to request %q attempt %q instead of %q attempt %d",
				response.Header.Get(headerRequestID), response.Header.Get(headerAttempt), a.RequestID, a.Number))
		}
		if response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusConflict {
			return Result{
				Outcome:      model.Rejected,
				TokensPassed: a.Resume,
				Err:          rejected.New("upstream answered %s", response.Status),
			}
		}
		if response.StatusCode >= http.StatusInternalServerError {
			return a.broken(ctx, a.Resume, failed.New("upstream answered %s", response.Status))
		}
		if a.Stream && response.StatusCode == http.StatusOK {
			return a.stream(ctx, response, sink)
		}
	}
	return a.copy(ctx, response, sink)
}

func (a Attempt) isChat() bool { return a.Upstream.Kind == model.UpstreamEngine }

func (a Attempt) request(ctx context.Context) (*http.Request, error) {
	url := "http://" + a.Upstream.Address + a.Target
	request, err := http.NewRequestWithContext(ctx, a.Method, url, bytes.NewReader(a.Body))
	if err != nil {
		return nil, Errors.NewType("invalid_target").Wrap(err, "request target %q", a.Target)
	}
	request.Header = a.Header.Clone()
	if request.Header == nil {
		request.Header = http.Header{}
	}
	request.Header.Set(headerRequestID, string(a.RequestID))
	request.Header.Set(headerAttempt, strconv.Itoa(a.Number))
	request.Header.Set(headerPriority, strconv.Itoa(a.Priority))
	if a.Resume > 0 && !a.Regenerate {
		request.Header.Set(headerLastEvent, eventID{a.RequestID, a.Number - 1, a.Resume}.String())
	}
	return request, nil
}

// sendFailed classifies an error before the answer's headers.
func (a Attempt) sendFailed(ctx context.Context, err error, sent bool) Result {
	if !sent {
		if ctx.Err() != nil {
			return Result{Outcome: model.CallerLeft, TokensPassed: a.Resume, Err: err}
		}
		return Result{Outcome: model.NotSent, TokensPassed: a.Resume, Err: err}
	}
	return a.broken(ctx, a.Resume, err)
}

// broken classifies an error after the request may have reached the upstream.
func (a Attempt) broken(ctx context.Context, passed int, err error) Result {
	if ctx.Err() != nil {
		return Result{Outcome: model.CallerLeft, TokensPassed: passed, Err: err}
	}
	return Result{Outcome: model.Broken, TokensPassed: passed, Err: err}
}

// crashed tells whether the upstream's process has ended: its connection broke
// and its VM refuses new ones. A network fault alone must not count, or the
// request would be blamed for it.
func (c *Client) crashed(ctx context.Context, a Attempt, err error) bool {
	if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) &&
		!errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := c.dialer.DialContext(ctx, "tcp", a.Upstream.Address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// copy passes on an answer that is no event stream. It holds back the first
// part, so that a short answer reaches the caller whole or not at all.
func (a Attempt) copy(ctx context.Context, response *http.Response, sink Sink) Result {
	held := make([]byte, 0, min(bufferedAnswer, max(512, int(response.ContentLength)+1)))
	held, whole, err := readUpTo(response.Body, held, bufferedAnswer)
	if err != nil {
		return a.broken(ctx, 0, err)
	}
	if err := sink.Begin(response.StatusCode, response.Header); err != nil {
		return Result{Outcome: model.CallerLeft, Err: err}
	}
	answer := model.Answer{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type")}
	if whole && len(held) <= maxRecordedBody {
		answer.Body = held
	} else {
		answer.Truncated = true
	}
	tokens := 0
	if a.isChat() && whole {
		tokens, _ = totalTokens(held)
	}
	_, writeErr := sink.Write(held)
	if !whole {
		if _, err := io.CopyBuffer(writerOnly{sink}, response.Body, make([]byte, copyBuffer)); err != nil {
			return Result{Outcome: model.Broken, TokensPassed: 1, Err: err}
		}
	}
	if writeErr != nil {
		// The upstream answered whole; only the caller did not get it.
		return Result{Outcome: model.Completed, TokensPassed: tokens, Answer: answer, Err: writeErr}
	}
	return Result{Outcome: model.Completed, TokensPassed: tokens, Answer: answer}
}

// readUpTo reads until the end, an error, or limit bytes.
func readUpTo(r io.Reader, held []byte, limit int) (_ []byte, whole bool, _ error) {
	for len(held) < limit {
		if len(held) == cap(held) {
			held = append(held, 0)[:len(held)]
		}
		n, err := r.Read(held[len(held):min(cap(held), limit)])
		held = held[:len(held)+n]
		if errors.Is(err, io.EOF) {
			return held, true, nil
		}
		if err != nil {
			return held, false, err
		}
	}
	return held, false, nil
}

// writerOnly hides other methods of a sink from io.CopyBuffer.
type writerOnly struct{ io.Writer }
