// Package conns holds the connections of callers to an HTTP server. It bounds how long
// a caller may block a write and how long it may be silent, and closes the connections
// of a server that stops without losing a request that has begun to arrive.
//
// net/http does neither: its write deadlines run on while the server is silent, and its
// Shutdown closes a kept connection on which the header of a request is being read.
package conns

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"caroblane/io/clock"
	"caroblane/io/netio"
)

const (
	// firstRequestWait is how long a connection that was opened before a drain may
	// take to send its first request.
	firstRequestWait = 500 * time.Millisecond
	// lastReadWait is how long the last read of a connection waits before it is
	// closed. A read that has reached its deadline returns no bytes, even if some
	// have arrived.
	lastReadWait = time.Millisecond
)

// Errors is the error namespace of this package.
var Errors = errorx.NewNamespace("conns")

// Open means that connections were still open when a drain had to end.
var Open = Errors.NewType("open").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Options configures a Listener.
type Options struct {
	// WriteTimeout is how long a write may wait for the caller without writing a
	// byte. The time between two writes does not count.
	WriteTimeout time.Duration
	// IdleTimeout returns how long a connection may wait for a request, and
	// HeaderTimeout how long the header of a request may take. Both may change.
	IdleTimeout   func() time.Duration
	HeaderTimeout func() time.Duration
	// CrowdedAt is the number of open connections from which on callers should close
	// theirs after a response. Zero means that there is none.
	CrowdedAt int
	Now       func() time.Time
}

// Listener accepts connections of callers and keeps track of them. The server must
// have no timeouts of its own, and ConnState as its hook.
type Listener struct {
	net.Listener
	options Options

	mu   sync.Mutex
	open map[*conn]struct{}
	// queued are the connections that waited to be accepted when the drain began.
	queued []*conn
	// drainedAt is when the drain began, or zero.
	drainedAt time.Time
	// empty is closed once no connection is open after the drain has begun. A
	// connection that is accepted just then is closed later, so that the last one may be
	// closed more than once.
	empty   chan struct{}
	emptied sync.Once
}

// New returns a listener for the connections that another one accepts.
func New(listener net.Listener, options Options) *Listener {
	return &Listener{Listener: listener, options: options, open: map[*conn]struct{}{}, empty: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		if c := l.takeQueued(); c != nil {
			return c, nil
		}
		return nil, err
	}
	c := &conn{Conn: accepted, listener: l, since: l.options.Now()}
	l.mu.Lock()
	l.open[c] = struct{}{}
	l.mu.Unlock()
	c.updateDeadline()
	return c, nil
}

// ConnState is the hook by which an http.Server tells the state of a connection.
func (l *Listener) ConnState(netConn net.Conn, state http.ConnState) {
	c, ok := netConn.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.setPhase(running)
	case http.StateIdle:
		c.setPhase(idle)
	default:
	}
}

// ConnContext is the hook by which an http.Server makes a connection known to the handlers
// of its requests.
func (l *Listener) ConnContext(ctx context.Context, netConn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, netConn)
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// ResetOnClose sets whether the connection of a request is reset when it is closed. A
// response whose end is marked by the end of its connection only would otherwise look
// complete whenever it is cut.
func ResetOnClose(r *http.Request, reset bool) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.resetOnClose = reset
	}
}

// Drain closes the listener and the connections on which no request is received or
// processed, and waits until the other ones are closed as well. The context limits the
// wait.
func (l *Listener) Drain(ctx context.Context) error {
	l.takeOverQueue()
	_ = l.Close()
	l.mu.Lock()
	if l.drainedAt.IsZero() {
		l.drainedAt = l.options.Now()
		if len(l.open) == 0 {
			l.emptied.Do(func() { close(l.empty) })
		}
	}
	conns := make([]*conn, 0, len(l.open))
	for c := range l.open {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		c.updateDeadline()
	}
	select {
	case <-l.empty:
		return nil
	case <-ctx.Done():
		return Open.Wrap(ctx.Err(), "%d connections still open", l.count())
	}
}

// Crowded reports whether so many connections are open that callers should close theirs
// after a response.
func (l *Listener) Crowded() bool {
	return l.options.CrowdedAt > 0 && l.count() >= l.options.CrowdedAt
}

func (l *Listener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// drainStart returns when the drain began, or the zero time.
func (l *Listener) drainStart() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.drainedAt
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, found := l.open[c]; !found {
		return
	}
	delete(l.open, c)
	if len(l.open) == 0 && !l.drainedAt.IsZero() {
		l.emptied.Do(func() { close(l.empty) })
	}
}

// phase is what a connection is used for.
type phase int

const (
	// unused: no byte has been received.
	unused phase = iota
	// idle: the last request has been answered, and no byte of the next one has been
	// received.
	idle
	// receiving: a part of a request header has been received.
	receiving
	// running: the request is processed. The server sets the deadlines.
	running
)

// conn is the connection of a caller.
type conn struct {
	net.Conn
	listener *Listener

	mu    sync.Mutex
	phase phase
	// since is when the phase began.
	since time.Time
	// lastRead is set once the connection waits for its last read.
	lastRead bool
	// resetOnClose is set while a response is sent whose end is marked by the end of the
	// connection only.
	resetOnClose bool
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n > 0 {
			c.received()
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.extend() {
			return n, err
		}
	}
}

// Write implements net.Conn. It fails if the caller takes no byte during the write
// timeout, however long the whole write takes.
func (c *conn) Write(b []byte) (int, error) {
	options := c.listener.options
	for written := 0; ; {
		if err := c.SetWriteDeadline(clock.RuntimeDeadline(options.WriteTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(b[written:])
		written += n
		if n == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.remove(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.resetOnClose {
		netio.ResetOnClose(c.Conn)
	}
	return c.Conn.Close()
}

// CloseWrite closes the sending side, so that a caller that is still sending its
// request can read the response.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SetReadDeadline implements net.Conn, with a time of the Go runtime's clock. It has an
// effect only while a request is processed.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == running {
		return c.Conn.SetReadDeadline(deadline)
	}
	return nil
}

// received records that bytes have been received.
func (c *conn) received() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == unused || c.phase == idle {
		c.enter(receiving)
	}
}

func (c *conn) setPhase(next phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enter(next)
}

// enter begins a phase with its deadline. The caller holds the mutex.
func (c *conn) enter(next phase) {
	c.phase, c.since, c.lastRead = next, c.listener.options.Now(), false
	_ = c.Conn.SetReadDeadline(c.toRuntime(c.deadline()))
}

// toRuntime converts a deadline to the clock of the Go runtime.
func (c *conn) toRuntime(deadline time.Time) time.Time {
	return clock.ToRuntime(deadline, c.listener.options.Now())
}

// updateDeadline applies changes of what the deadline depends on. An error means that
// the connection is closed, which the next read reports. An error of Accept would end
// the server.
func (c *conn) updateDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != running {
		_ = c.Conn.SetReadDeadline(c.toRuntime(c.deadline()))
	}
}

// extend reports whether a read whose deadline has passed may be repeated, because the
// limits have changed or because it has to look for bytes a last time.
func (c *conn) extend() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.listener.options.Now()
	deadline := c.deadline()
	switch {
	case c.phase == running:
		return false
	case now.Before(deadline):
	case c.phase == receiving || c.lastRead:
		return false
	default:
		c.lastRead = true
		deadline = now.Add(lastReadWait)
	}
	return c.Conn.SetReadDeadline(c.toRuntime(deadline)) == nil
}

// deadline returns until when a connection may be silent in its phase. The caller
// holds the mutex.
func (c *conn) deadline() time.Time {
	options, drainedAt := c.listener.options, c.listener.drainStart()
	switch c.phase {
	case running:
		return time.Time{}
	case receiving:
		return c.since.Add(options.HeaderTimeout())
	case idle:
		if !drainedAt.IsZero() {
			return drainedAt
		}
	case unused:
		if !drainedAt.IsZero() {
			return drainedAt.Add(firstRequestWait)
		}
	}
	return c.since.Add(options.IdleTimeout())
}
