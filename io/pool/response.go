package pool

import (
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"caroblane/io/clock"
	"caroblane/io/netio"
)

// protocolPrefix begins every response, and statusLine matches how each begins.
const protocolPrefix = "HTTP/1."

var statusLine = regexp.MustCompile(`HTTP/1\.\d \d{3}`)

// Response is the response of an upstream. The caller must close the body.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// ConnOpenedAt is when the connection was opened. The same process of the upstream
	// sent all responses on it.
	ConnOpenedAt time.Time
	// EndsWithConnection is set if the response has neither a length nor chunks. The
	// end of its connection then ends the body, so a body that the upstream broke off
	// by closing the connection cannot be told from a complete one.
	EndsWithConnection bool
	body               *body
}

// readResponse reads the response to the request. It skips interim responses and
// late responses to earlier requests.
func (c *conn) readResponse(r Request) (*http.Response, error) {
	for range maxResponses {
		c.received.left = maxHeadBytes
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		c.received.left = math.MaxInt64
		if merged(response) {
			return nil, errors.New("response head contains the begin of another response")
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		if response.StatusCode < minStatus {
			return nil, errors.New("response has an invalid status")
		}
		if r.Matches == nil || r.Matches(response.Header) {
			return response, nil
		}
		c.unexpected, c.spent = true, true
		if response.Close || closeDelimited(response) {
			return nil, errors.New("response belongs to another request")
		}
		skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBody+1))
		if err != nil {
			return nil, err
		}
		if skipped > maxSkippedBody {
			return nil, errors.New("response to another request is too long")
		}
	}
	return nil, errors.New("too many responses to other requests")
}

// merged reports whether a response head is that of two responses, of which the first
// one broke off within a line. It would combine the status of the one with the request
// ID of the other.
func merged(r *http.Response) bool {
	contains := func(text string) bool {
		return strings.Contains(text, protocolPrefix) && statusLine.MatchString(text)
	}
	for _, values := range r.Header {
		if slices.ContainsFunc(values, contains) {
			return true
		}
	}
	return contains(r.Status)
}

// closeDelimited reports whether the end of a response is only marked by closing
// the connection.
func closeDelimited(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// body is a response body. Closing it returns the connection to the pool if the
// connection is reusable.
type body struct {
	pool         *Pool
	conn         *conn
	request      Request
	response     *http.Response
	requestWrite *requestWrite
	stop         func() bool
	complete     bool
	closed       bool
}

// EndAfter limits the time until the body has ended. Reading it then fails with an error of
// type Unfinished. The connection is not used again.
func (r *Response) EndAfter(timeout time.Duration) {
	r.body.conn.spent = true
	// An error means that the connection is closed, which the next read reports.
	_ = r.body.conn.SetReadDeadline(clock.RuntimeDeadline(timeout))
}

// Finish reads the rest of the response and closes the connection. An error of type
// Broken means that the response cannot be relied on to answer the request: it is
// incomplete or has a body above the limit, or there was another response on the
// connection. If the time set by EndAfter has passed, the error is of type Unfinished.
func (r *Response) Finish(limit int64) error {
	defer func() { _ = r.Body.Close() }()
	c := r.body.conn
	c.spent = true
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, limit+1))
	switch {
	case err != nil && c.unexpected:
		return Broken.Wrap(err, "another response from %s before", r.body.request.Address)
	case err != nil:
		return err
	case n > limit:
		return Broken.New("response from %s has a body above %d bytes", r.body.request.Address, limit)
	}
	if c.unexpected || netio.Peek(c.Conn) == netio.Unread || c.reader.Buffered() > 0 {
		return Broken.New("another response from %s on the same connection", r.body.request.Address)
	}
	return nil
}

// Read implements io.Reader. It returns an error of type Broken if the body is
// truncated, and of type Unfinished if it has not ended in time.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.response.Body.Read(p)
	switch {
	case errors.Is(err, io.EOF) && closeDelimited(b.response) && b.requestWrite.failed():
		return n, Broken.Wrap(b.requestWrite.err, "connection to %s failed within the response", b.request.Address)
	case errors.Is(err, io.EOF):
		b.complete = true
		return n, io.EOF
	case errors.Is(err, os.ErrDeadlineExceeded):
		return n, Unfinished.Wrap(err, "response from %s has not ended", b.request.Address)
	case err != nil:
		return n, Broken.Wrap(err, "read response from %s", b.request.Address)
	}
	return n, nil
}

// Close closes the body. It closes the connection if the response was not read
// completely.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if !b.stop() || !b.reusable() {
		return b.conn.Close()
	}
	b.pool.putIdle(b.request.Address, b.conn, b.response.Header)
	return nil
}

// reusable reports whether the connection can be used for another request.
func (b *body) reusable() bool {
	select {
	case <-b.requestWrite.done:
	default:
		return false
	}
	return b.complete && !b.conn.spent && len(b.conn.carried) < maxRequests && b.requestWrite.err == nil && !b.response.Close && !closeDelimited(b.response) &&
		b.conn.reader.Buffered() == 0
}
