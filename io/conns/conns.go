// Package conns holds the connections of callers to an HTTP server. It bounds how long
// a caller may block a write.
package conns

import (
	"errors"
	"net"
	"os"
	"time"
)

// Options configures a Listener.
type Options struct {
	// WriteTimeout is how long a write may wait for the caller without writing a
	// byte. The time between two writes does not count.
	WriteTimeout time.Duration
	Now          func() time.Time
}

// Listener accepts connections of callers.
type Listener struct {
	net.Listener
	options Options
}

// New returns a listener for the connections that another one accepts.
func New(listener net.Listener, options Options) *Listener {
	return &Listener{Listener: listener, options: options}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted, listener: l}, nil
}

// conn is the connection of a caller.
type conn struct {
	net.Conn
	listener *Listener
}

// Write implements net.Conn. It fails if the caller takes no byte during the write
// timeout, however long the whole write takes.
func (c *conn) Write(b []byte) (int, error) {
	options := c.listener.options
	for written := 0; ; {
		if err := c.SetWriteDeadline(options.Now().Add(options.WriteTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(b[written:])
		written += n
		if n == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
	}
}

// CloseWrite closes the sending side, so that a caller that is still sending its
// request can read the response.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return errors.ErrUnsupported
}
