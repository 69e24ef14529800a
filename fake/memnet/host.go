package memnet

import (
	"context"
	"net"
	"net/netip"
	"os"
	"syscall"
	"time"

	"caroblane/io/netio"
)

// defaultDialTimeout limits opening a connection if the options do not, as a kernel that
// gives up to send opening packets does.
const defaultDialTimeout = 20 * time.Second

// Host is a network as one process uses it. It implements netio.Network.
type Host struct {
	net *Net
	ip  string
	// ended is set once the process counts as ended.
	ended bool
}

var _ netio.Network = &Host{}

// Kill closes the listeners and resets the connections of the host, as the end of its
// process does. What runs on of the process cannot use the network any more.
func (h *Host) Kill() {
	n := h.net
	n.mu.Lock()
	defer n.mu.Unlock()
	h.ended = true
	for address, l := range n.listeners {
		if hostOf(address) == h.ip {
			l.closeLocked()
		}
	}
	for address, p := range n.packets {
		if hostOf(address) == h.ip {
			p.closeLocked()
		}
	}
	n.resetLocked(func(a, b string) bool { return a == h.ip || b == h.ip })
	n.notifyLocked()
}

// Listen implements netio.Network.
func (h *Host) Listen(_ context.Context, address string) (net.Listener, error) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.ended {
		return nil, opError("listen", address, syscall.ENETDOWN)
	}
	if _, found := h.net.listeners[address]; found {
		return nil, opError("listen", address, syscall.EADDRINUSE)
	}
	l := &listener{net: h.net, address: address}
	h.net.listeners[address] = l
	return l, nil
}

// ListenPacket implements netio.Network.
func (h *Host) ListenPacket(_ context.Context, address string) (net.PacketConn, error) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.ended {
		return nil, opError("listen", address, syscall.ENETDOWN)
	}
	if _, found := h.net.packets[address]; found {
		return nil, opError("listen", address, syscall.EADDRINUSE)
	}
	p := &packetConn{net: h.net, address: address}
	h.net.packets[address] = p
	return p, nil
}

// Dial implements netio.Network.
func (h *Host) Dial(ctx context.Context, address string, options netio.Options) (net.Conn, error) {
	timeout := options.DialTimeout
	if timeout <= 0 {
		timeout = defaultDialTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	n, peer := h.net, hostOf(address)
	n.mu.Lock()
	defer n.mu.Unlock()
	for arrival := time.Now().Add(n.link(h.ip, peer).Delay + n.link(peer, h.ip).Delay); ctx.Err() == nil; {
		held := n.link(h.ip, peer).Held || n.link(peer, h.ip).Held
		if !held && !time.Now().Before(arrival) {
			break
		}
		until := arrival
		if held {
			until = time.Time{}
		}
		n.changed.wait(ctx, &n.mu, until)
	}
	switch {
	case ctx.Err() != nil:
		return nil, opError("dial", address, dialError(ctx))
	case h.ended:
		return nil, opError("dial", address, syscall.ENETDOWN)
	}
	l := n.listeners[address]
	if l == nil {
		return nil, opError("dial", address, syscall.ECONNREFUSED)
	}
	n.lastPort++
	local := netip.AddrPortFrom(netip.MustParseAddr(h.ip), n.lastPort).String()
	near, far := newConns(n, local, address, options)
	if n.link(h.ip, peer).Reset || n.link(peer, h.ip).Reset {
		near.breakLocked(syscall.ECONNRESET)
		far.breakLocked(syscall.ECONNRESET)
		return near, nil
	}
	l.queue = append(l.queue, far)
	l.changed.notify()
	return near, nil
}

// dialError returns why a context has ended, a timeout as the net package reports it.
func dialError(ctx context.Context) error {
	if context.Cause(ctx) == context.DeadlineExceeded { //nolint:errorlint // Cause returns the value itself.
		return os.ErrDeadlineExceeded
	}
	return context.Cause(ctx)
}

func opError(op, address string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Addr: addr(address), Err: err}
}

// addr is an address of a connection.
type addr string

func (addr) Network() string  { return "tcp" }
func (a addr) String() string { return string(a) }

// listener implements net.Listener.
type listener struct {
	net     *Net
	address string
	queue   []*conn
	closed  bool
	changed notifier
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	for len(l.queue) == 0 {
		if l.closed {
			return nil, opError("accept", l.address, net.ErrClosed)
		}
		l.changed.wait(context.Background(), &l.net.mu, time.Time{})
	}
	c := l.queue[0]
	l.queue = l.queue[1:]
	return c, nil
}

// Close implements net.Listener. Connections that were not accepted are reset.
func (l *listener) Close() error {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	l.closeLocked()
	return nil
}

func (l *listener) closeLocked() {
	if l.closed {
		return
	}
	l.closed = true
	l.changed.notify()
	delete(l.net.listeners, l.address)
	for _, c := range l.queue {
		c.breakLocked(net.ErrClosed)
		c.peer.breakLocked(syscall.ECONNRESET)
	}
	l.queue = nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return addr(l.address) }
