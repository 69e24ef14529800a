// Package pool implements an HTTP/1.1 client with a pool of connections to
// upstreams. In contrast to net/http, it never sends a request a second time once
// a byte of it was written, it reports whether any byte was written, and it closes
// connections on which more bytes than the response were received. A connection
// carries one request at a time.
package pool

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"caroblane/io/netio"
	"caroblane/io/probe"
)

const (
	readBufferSize = 8 << 10
	// maxInlineBody is the maximum size of a request body that is written before the
	// response is read. Larger bodies are written concurrently, because an
	// upstream may respond before it has read the whole request.
	maxInlineBody = 2 << 10
	// failureNotice is how long after a reader the writer of a connection may need to notice
	// that it failed.
	failureNotice = time.Second
	// idleMargin is subtracted from the idle timeout stated by an upstream, so
	// that a connection is not reused while the upstream closes it.
	idleMargin = 500 * time.Millisecond
	// maxHeadBytes limits the status line and the headers of a response, together with
	// those of the responses that are skipped before it, and maxSkippedBody the body of
	// a skipped one. A faulty upstream may send either without end.
	maxHeadBytes   = 64 << 10
	maxSkippedBody = 1 << 20
	// maxResponses is the maximum number of responses read for a request. Interim
	// responses and responses to other requests are skipped.
	maxResponses = 4
	// maxRequests is the number of requests after which a connection is closed. It
	// limits the memory for their IDs.
	maxRequests = 128
	// minStatus is the lowest status of a response. http.ReadResponse also accepts
	// numbers below it, with which a ResponseWriter panics.
	minStatus = 100
)

// Errors is the error namespace of this package.
var Errors = errorx.NewNamespace("pool")

// Error types returned by Send and when reading a response body.
var (
	// Unsent means that no byte of the request was written.
	Unsent = Errors.NewType("unsent").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// Broken means that the response is missing or incomplete. The upstream may
	// have executed the request.
	Broken = Errors.NewType("broken").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// Unfinished means that the body of a response has not ended by the time that was
	// set for it. What was received of the response is in order.
	Unfinished = Errors.NewType("unfinished").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
)

// Options configures a Pool.
type Options struct {
	Network netio.Network
	// DialTimeout is the timeout for opening a connection.
	DialTimeout time.Duration
	// TCPUserTimeout is the time without an acknowledgement of sent data or keep-alive
	// probes after which a connection is closed.
	TCPUserTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept. An upstream can state a
	// shorter time in the Keep-Alive header.
	IdleTimeout time.Duration
	// MaxIdle is the maximum number of idle connections to an address.
	MaxIdle int
	Now     func() time.Time
}

// Request is an HTTP request.
type Request struct {
	Address string
	Method  string
	// Target is the path and query of the URL.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID identifies the request in its responses, if it has one. A connection carries
	// no two requests with the same ID, since Matches could not tell a late response
	// to the first one from the response to the second one.
	ID string
	// Matches reports whether a response with the given headers belongs to the
	// request. Other responses are skipped. If nil, the first one is taken.
	Matches func(http.Header) bool
	// NewConnection requires a new connection.
	NewConnection bool
}

// Pool sends requests and keeps idle connections for reuse.
type Pool struct {
	options Options
	mu      sync.Mutex
	idle    map[string][]*conn
	closed  bool
}

// conn is a connection to an upstream. It must not be reused after
// reusableUntil.
type conn struct {
	net.Conn
	openedAt      time.Time
	received      *limitedReader
	reader        *bufio.Reader
	reusableUntil time.Time
	// carried are the hashes of the IDs of its requests.
	carried []uint64
	// reused is set if the connection has carried a request before.
	reused bool
	// unexpected is set if a response to another request was received while the
	// connection waited for one, and spent if the connection must not be reused.
	unexpected bool
	spent      bool
}

// limitedReader reads from a connection until a number of bytes has been read.
type limitedReader struct {
	source io.Reader
	left   int64
}

// errTooLong means that a response has more bytes than are read of it.
var errTooLong = errors.New("response head is too long")

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errTooLong
	}
	n, err := r.source.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}

// New returns a pool without connections.
func New(options Options) *Pool { return &Pool{options: options, idle: map[string][]*conn{}} }

// dial opens a connection to an address.
func (p *Pool) dial(ctx context.Context, _, address string) (net.Conn, error) {
	return p.options.Network.Dial(ctx, address, netio.Options{
		DialTimeout: p.options.DialTimeout, ProbeInterval: p.options.TCPUserTimeout, AckTimeout: p.options.TCPUserTimeout,
	})
}

// Close closes the idle connections. Connections in use are closed when the
// response body is closed.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, conns := range p.idle {
		for _, c := range conns {
			_ = c.Close()
		}
	}
	p.idle = nil
}

// CloseIdle closes the connections that wait for reuse.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address := range p.idle {
		p.closeIdleLocked(address)
	}
}

// closeIdleTo closes the connections to an address that wait for reuse.
func (p *Pool) closeIdleTo(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleLocked(address)
}

func (p *Pool) closeIdleLocked(address string) {
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

// Reachable reports whether a TCP connection to an address can be opened.
func (p *Pool) Reachable(ctx context.Context, address string) bool {
	c, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// Probe is probe.Probe with the dialer of the pool.
func (p *Pool) Probe(ctx context.Context, address string) error {
	return probe.Probe(ctx, p.dial, address)
}

// Send sends a request and returns once the response headers have been read. The
// connection is closed if the context is cancelled before the body is closed. A
// request is only retried if no byte of it was written to a reused connection.
func (p *Pool) Send(ctx context.Context, r Request) (*Response, error) {
	head := r.head()
	for {
		c, reused, err := p.conn(ctx, r)
		if err != nil {
			return nil, err
		}
		response, err := p.roundTrip(ctx, c, r, head)
		if err != nil && reused && errorx.IsOfType(err, Unsent) && ctx.Err() == nil {
			// The upstream closed the idle connection.
			continue
		}
		return response, err
	}
}

// head returns the request line and the headers.
func (r Request) head() []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// conn returns an idle connection if one is usable, or else a new one.
func (p *Pool) conn(ctx context.Context, r Request) (_ *conn, reused bool, _ error) {
	for !r.NewConnection {
		c := p.takeIdle(r.Address)
		if c == nil {
			break
		}
		if p.options.Now().Before(c.reusableUntil) && !slices.Contains(c.carried, r.key()) && c.usable() {
			c.reused = true
			return c, true, nil
		}
		_ = c.Close()
	}
	raw, err := p.dial(ctx, "tcp", r.Address)
	if err != nil {
		return nil, false, Unsent.Wrap(err, "connect to %s", r.Address)
	}
	received := &limitedReader{source: raw, left: math.MaxInt64}
	return &conn{
		Conn: raw, openedAt: p.options.Now(), received: received, reader: bufio.NewReaderSize(received, readBufferSize),
	}, false, nil
}

func (p *Pool) takeIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	last := conns[len(conns)-1]
	if len(conns) == 1 {
		delete(p.idle, address)
	} else {
		p.idle[address] = conns[:len(conns)-1]
	}
	return last
}

// putIdle makes a connection available for reuse after a complete response.
func (p *Pool) putIdle(address string, c *conn, header http.Header) {
	idleTimeout := p.options.IdleTimeout
	if timeout, ok := keepAliveTimeout(header); ok {
		idleTimeout = min(idleTimeout, timeout-idleMargin)
	}
	c.reusableUntil = p.options.Now().Add(idleTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || idleTimeout <= 0 || len(p.idle[address]) >= p.options.MaxIdle {
		_ = c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// keepAliveTimeout returns the timeout in the Keep-Alive header.
func keepAliveTimeout(header http.Header) (time.Duration, bool) {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

// usable reports whether an idle connection is still open and has no unread data.
func (c *conn) usable() bool { return c.reader.Buffered() == 0 && netio.Peek(c.Conn) == netio.Quiet }

// key returns the hash under which a connection remembers the request.
func (r Request) key() uint64 { return xxhash.Sum64String(r.ID) }

// requestWrite is the state of writing a request, which may be concurrent with
// reading the response.
type requestWrite struct {
	written atomic.Int64
	err     error
	done    chan struct{}
}

// roundTrip sends a request on a connection and reads the response headers.
func (p *Pool) roundTrip(ctx context.Context, c *conn, r Request, head []byte) (*Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	if r.ID != "" {
		c.carried = append(c.carried, r.key())
	}
	s := &requestWrite{done: make(chan struct{})}
	if len(r.Body) <= maxInlineBody {
		s.write(c, append(head, r.Body...))
	} else {
		go s.write(c, append(head[:len(head):len(head)], r.Body...))
	}
	response, err := c.readResponse(r) //nolint:bodyclose // The body of Response closes it.
	if err == nil {
		select {
		case <-s.done:
		default:
			// The upstream may not read the rest of the request.
			c.spent = true
		}
		body := &body{pool: p, conn: c, request: r, response: response, requestWrite: s, stop: stop}
		return &Response{
			Status: response.StatusCode, Header: response.Header, Body: body, body: body,
			ConnOpenedAt: c.openedAt, EndsWithConnection: closeDelimited(response),
		}, nil
	}
	stop()
	_ = c.Close()
	<-s.done
	if c.reused && unanswered(ctx, err) {
		// Connections to an address fall silent together.
		p.closeIdleTo(r.Address)
	}
	if s.written.Load() == 0 {
		return nil, Unsent.Wrap(err, "connection to %s closed before the request was written", r.Address)
	}
	return nil, Broken.Wrap(err, "no response from %s", r.Address)
}

// unanswered reports whether a response was given up for want of bytes, rather than because
// its caller left.
func unanswered(ctx context.Context, err error) bool {
	cause := context.Cause(ctx)
	return errors.Is(err, syscall.ETIMEDOUT) || cause != nil && !errors.Is(cause, context.Canceled)
}

// failed reports whether the connection failed while the request was written, after a read
// has found its end. The kernel reports a reset once, to the writer or to the reader of a
// connection; if it is the writer, the reader finds the same end as after an upstream that
// closes in good order. The end of such an upstream comes before any reset, and the writer
// gets EPIPE, or goes on writing.
func (s *requestWrite) failed() bool {
	timer := time.NewTimer(failureNotice)
	defer timer.Stop()
	select {
	case <-s.done:
		return s.err != nil && !errors.Is(s.err, syscall.EPIPE)
	case <-timer.C:
		return false
	}
}

func (s *requestWrite) write(c *conn, b []byte) {
	n, err := c.Write(b)
	s.written.Store(int64(n))
	s.err = err
	close(s.done)
}
