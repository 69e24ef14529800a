// Package probe finds out whether the process behind an address has ended.
package probe

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"caroblane/io/clock"
)

const (
	// keptFor is how long a process has to keep a new connection. The kernel closes the
	// sockets of a process that ends in any order, so the address may still accept
	// connections when those of requests have been reset; it resets them at once.
	keptFor = 20 * time.Millisecond
	// maxTries limits the connections of a probe. A process that has too many resets new
	// ones.
	maxTries = 3
)

// Dial opens a connection, as the method DialContext of net.Dialer does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Probe opens a connection to an address and closes it. It returns nil if the process there
// keeps the connection or goes on accepting some, and the error of the last connection
// otherwise, which is ECONNREFUSED if the process has ended.
func Probe(ctx context.Context, dial Dial, address string) error {
	for range maxTries {
		conn, err := dial(ctx, "tcp", address)
		if err != nil && !errors.Is(err, syscall.ECONNRESET) {
			return err
		}
		if err == nil && isKept(conn) {
			return nil
		}
	}
	return nil
}

// isKept reports whether the peer keeps a connection open, and closes it.
func isKept(conn net.Conn) bool {
	defer func() { _ = conn.Close() }()
	if err := conn.SetReadDeadline(clock.RuntimeDeadline(keptFor)); err != nil {
		return false
	}
	n, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	return n > 0 || errors.As(err, &timeout) && timeout.Timeout()
}
