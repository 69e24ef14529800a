// Package netio opens the sockets of a node. The network is an interface, so that a node
// also runs on connections that are no sockets.
package netio

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

//go:generate go tool stringer -type=Status -output=netio_string.go

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, the maximum time that sent
// data may remain unacknowledged.
const tcpUserTimeout = 18

// Network opens sockets. Addresses have the form IP:PORT.
type Network interface {
	// Listen returns a listener for TCP connections.
	Listen(ctx context.Context, address string) (net.Listener, error)
	// ListenPacket returns a UDP socket.
	ListenPacket(ctx context.Context, address string) (net.PacketConn, error)
	// Dial opens a TCP connection.
	Dial(ctx context.Context, address string, options Options) (net.Conn, error)
}

// Options are the options of a connection. Zero means the default of the system.
type Options struct {
	// DialTimeout limits opening the connection.
	DialTimeout time.Duration
	// ProbeInterval is the time without data after which the connection is probed, and
	// after which it counts as lost if the probe is not answered.
	ProbeInterval time.Duration
	// AckTimeout is the time without an acknowledgement of sent data after which the
	// connection is closed.
	AckTimeout time.Duration
}

// Status is what has arrived on a connection and was not read yet.
type Status int

// The values of Status.
const (
	// Quiet means that nothing has arrived, and the connection is open.
	Quiet Status = iota
	// Unread means that bytes have arrived.
	Unread
	// Ended means that the peer has closed or reset the connection.
	Ended
)

// Peeker is a connection that is no socket and reports its status itself.
type Peeker interface{ Peek() Status }

// Peek returns the status of a connection without waiting for a read that is running.
// Connections of unknown types count as quiet.
func Peek(c net.Conn) Status {
	if p, ok := c.(Peeker); ok {
		return p.Peek()
	}
	socket, ok := c.(syscall.Conn)
	if !ok {
		return Quiet
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return Ended
	}
	status := Quiet
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		case err != nil || n == 0:
			status = Ended
		default:
			status = Unread
		}
	})
	if err != nil {
		return Ended
	}
	return status
}

// ResetOnClose makes Close of a connection reset it, so that its end cannot pass for a
// regular one.
func ResetOnClose(c net.Conn) {
	if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		// An error means that the connection is closed already.
		_ = tcp.SetLinger(0)
	}
}

// System is the network of the operating system.
type System struct{}

// Listen implements Network.
func (System) Listen(ctx context.Context, address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(ctx, "tcp", address)
}

// ListenPacket implements Network.
func (System) ListenPacket(ctx context.Context, address string) (net.PacketConn, error) {
	return (&net.ListenConfig{}).ListenPacket(ctx, "udp", address)
}

// Dial implements Network.
func (System) Dial(ctx context.Context, address string, options Options) (net.Conn, error) {
	dialer := net.Dialer{Timeout: options.DialTimeout}
	if interval := options.ProbeInterval; interval > 0 {
		dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: 1}
	}
	if timeout := options.AckTimeout; timeout > 0 {
		dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
			})
			return errors.Join(err, optionErr)
		}
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// DialFunc returns a function that dials with the options, in the form in which an
// http.Transport takes it.
func DialFunc(network Network, options Options) func(ctx context.Context, kind, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return network.Dial(ctx, address, options)
	}
}
