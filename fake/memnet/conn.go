package memnet

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"caroblane/io/netio"
)

// maxBuffered is the number of bytes that a connection holds in each direction.
const maxBuffered = 64 << 10

// conn is one end of a connection. It implements net.Conn and netio.Peeker. The mutex of
// the network guards all fields.
type conn struct {
	net           *Net
	local, remote string
	// localHost and remoteHost are the hosts of these addresses.
	localHost, remoteHost string
	peer                  *conn
	// pipe has what the peer has sent.
	pipe                        pipe
	readDeadline, writeDeadline time.Time
	closed, resetOnClose        bool
	options                     netio.Options
	changed                     notifier
}

// pipe is one direction of a connection.
type pipe struct {
	segments []segment
	buffered int
	// arrivedAt is when the last segment arrives, so that none overtakes another one.
	arrivedAt time.Time
	// finished is set once the sender sends no more, and broken why the connection has
	// ended otherwise.
	finished bool
	broken   error
	// silentAt is when the pipe ceased to transport anything, or zero. If probed is set, the
	// probes of its ends are not answered either.
	silentAt time.Time
	probed   bool
}

// segment is sent data that arrives at a time.
type segment struct {
	sentAt, at time.Time
	data       []byte
}

// newConns returns the two ends of a connection that local has opened.
func newConns(n *Net, local, remote string, options netio.Options) (near, far *conn) {
	near = &conn{net: n, local: local, remote: remote, localHost: hostOf(local), remoteHost: hostOf(remote), options: options}
	far = &conn{net: n, local: remote, remote: local, localHost: near.remoteHost, remoteHost: near.localHost, peer: near}
	near.peer = far
	n.conns[near], n.conns[far] = struct{}{}, struct{}{}
	return near, far
}

// way returns the state of the link on which the connection receives.
func (c *conn) way() Link { return c.net.link(c.remoteHost, c.localHost) }

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	for {
		now := time.Now()
		switch {
		case c.closed:
			return 0, opError("read", c.remote, net.ErrClosed)
		case expired(c.readDeadline, now):
			return 0, opError("read", c.remote, os.ErrDeadlineExceeded)
		case c.arrived(now):
			return c.take(b), nil
		case c.pipe.broken != nil:
			return 0, opError("read", c.remote, c.pipe.broken)
		case c.ended(now):
			return 0, io.EOF
		case expired(c.lostAt(), now):
			c.breakLocked(syscall.ETIMEDOUT)
			continue
		}
		c.changed.wait(context.Background(), &c.net.mu, earliest(c.readDeadline, c.nextArrival(), c.lostAt()))
	}
}

// arrived reports whether bytes have arrived.
func (c *conn) arrived(now time.Time) bool {
	return len(c.pipe.segments) > 0 && !c.way().Held && c.pipe.silentAt.IsZero() && !now.Before(c.pipe.segments[0].at)
}

// ended reports whether the regular end of what the peer sends has arrived.
func (c *conn) ended(now time.Time) bool {
	return c.pipe.finished && len(c.pipe.segments) == 0 && !c.way().Held && c.pipe.silentAt.IsZero() && !now.Before(c.pipe.arrivedAt)
}

// nextArrival returns when the next bytes or the end arrive, or zero if that is not known.
func (c *conn) nextArrival() time.Time {
	switch {
	case c.way().Held || !c.pipe.silentAt.IsZero():
		return time.Time{}
	case len(c.pipe.segments) > 0:
		return c.pipe.segments[0].at
	case c.pipe.finished:
		return c.pipe.arrivedAt
	}
	return time.Time{}
}

// lostAt returns when unanswered probes, or sent data that is not acknowledged, end the
// connection, or zero if they do not.
func (c *conn) lostAt() time.Time {
	since := earliest(c.way().heldAtIfHeld(), c.peer.way().heldAtIfHeld())
	if c.pipe.probed {
		since = earliest(since, c.pipe.silentAt)
	}
	if since.IsZero() {
		return time.Time{}
	}
	var at time.Time
	if interval := c.options.ProbeInterval; interval > 0 {
		// One interval until the next probe is sent, and one until it counts as lost.
		at = since.Add(2 * interval)
	}
	if timeout := c.options.AckTimeout; timeout > 0 {
		for _, sent := range c.peer.pipe.segments {
			if sent.sentAt.Before(since) {
				continue
			}
			return earliest(at, sent.sentAt.Add(timeout))
		}
	}
	return at
}

// take moves arrived bytes to b.
func (c *conn) take(b []byte) int {
	n := 0
	for now := time.Now(); n < len(b) && c.arrived(now); {
		first := &c.pipe.segments[0]
		copied := copy(b[n:], first.data)
		n += copied
		if first.data = first.data[copied:]; len(first.data) == 0 {
			c.pipe.segments = c.pipe.segments[1:]
		}
	}
	c.pipe.buffered -= n
	// The peer may write more.
	c.peer.changed.notify()
	return n
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	written := 0
	for {
		now, out := time.Now(), &c.peer.pipe
		if expired(c.lostAt(), now) {
			c.breakLocked(syscall.ETIMEDOUT)
		}
		switch {
		case c.closed:
			return written, opError("write", c.remote, net.ErrClosed)
		case c.pipe.broken != nil:
			return written, opError("write", c.remote, c.pipe.broken)
		case out.finished:
			return written, opError("write", c.remote, syscall.EPIPE)
		case expired(c.writeDeadline, now):
			return written, opError("write", c.remote, os.ErrDeadlineExceeded)
		case c.peer.closed && out.silentAt.IsZero():
			c.breakLocked(syscall.ECONNRESET)
			return written, opError("write", c.remote, syscall.EPIPE)
		}
		if room := min(maxBuffered-out.buffered, len(b)-written); room > 0 {
			c.send(b[written : written+room])
			written += room
		}
		if written == len(b) {
			return written, nil
		}
		c.changed.wait(context.Background(), &c.net.mu, earliest(c.writeDeadline, c.lostAt()))
	}
}

// send appends bytes to what the peer receives.
func (c *conn) send(b []byte) {
	out := &c.peer.pipe
	now := time.Now()
	out.arrivedAt = latest(out.arrivedAt, now.Add(c.peer.way().Delay))
	out.segments = append(out.segments, segment{now, out.arrivedAt, slices.Clone(b)})
	out.buffered += len(b)
	c.peer.changed.notify()
	if !c.lostAt().IsZero() {
		// A read of this end waits until the connection counts as lost.
		c.changed.notify()
	}
}

// finish ends what this end sends.
func (c *conn) finish() {
	out := &c.peer.pipe
	if !out.finished {
		out.finished, out.arrivedAt = true, latest(out.arrivedAt, time.Now().Add(c.peer.way().Delay))
		c.peer.changed.notify()
	}
}

// CloseWrite ends what this end sends.
func (c *conn) CloseWrite() error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.finish()
	return nil
}

// SetLinger makes Close reset the connection if seconds is zero, as a socket does.
func (c *conn) SetLinger(seconds int) error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.resetOnClose = seconds == 0
	return nil
}

// Close implements net.Conn. Bytes that were not read, or are on their way, reset the
// connection.
func (c *conn) Close() error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if c.closed {
		return opError("close", c.remote, net.ErrClosed)
	}
	c.closed = true
	delete(c.net.conns, c)
	c.changed.notify()
	if c.resetOnClose || len(c.pipe.segments) > 0 {
		if c.peer.pipe.silentAt.IsZero() {
			c.peer.breakLocked(syscall.ECONNRESET)
		}
		return nil
	}
	c.finish()
	return nil
}

// breakLocked ends this end of the connection with an error. What has not arrived yet is
// lost.
func (c *conn) breakLocked(err error) {
	if c.pipe.broken == nil {
		c.pipe.broken = err
		now := time.Now()
		c.pipe.segments = slices.DeleteFunc(c.pipe.segments, func(s segment) bool {
			return s.at.After(now) || c.way().Held || !c.pipe.silentAt.IsZero()
		})
	}
	c.changed.notify()
}

// Peek implements netio.Peeker.
func (c *conn) Peek() netio.Status {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	now := time.Now()
	switch {
	case c.arrived(now):
		return netio.Unread
	case c.closed, c.pipe.broken != nil, c.ended(now), expired(c.lostAt(), now):
		return netio.Ended
	default:
		return netio.Quiet
	}
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return addr(c.local) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return addr(c.remote) }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.readDeadline = t
	c.changed.notify()
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.writeDeadline = t
	c.changed.notify()
	return nil
}

// expired reports whether a deadline that is not zero has passed.
func expired(deadline, now time.Time) bool { return !deadline.IsZero() && !now.Before(deadline) }

func earliest(times ...time.Time) time.Time {
	var first time.Time
	for _, t := range times {
		if !t.IsZero() && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	return first
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
