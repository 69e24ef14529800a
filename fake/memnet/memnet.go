// Package memnet is a network in memory. Its connections have delays, deadlines and
// buffers as those of a kernel do, and its links can be cut, slowed and silenced. All
// waits are timers and channels, so that a program on it runs on synthetic time.
package memnet

import (
	"context"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"caroblane/io/netio"
)

// defaultDialTimeout limits opening a connection if the options do not, as a kernel that
// gives up to send opening packets does.
const defaultDialTimeout = 20 * time.Second

// firstPort is the port of the first connection that is opened.
const firstPort = 32768

// Link is the state of the way from one host to another. The zero value passes all bytes at
// once.
type Link struct {
	// Delay is the time that bytes and datagrams take.
	Delay time.Duration
	// Held keeps bytes back until the state changes, as lost packets would, and loses
	// datagrams.
	Held bool
	// Reset resets connections, new ones once they are open. The target is not known to have
	// ended, as it would be if it refused them.
	Reset bool
	// heldAt is when bytes began to be kept back.
	heldAt time.Time
}

// WithDelay returns the state with another delay.
func (l Link) WithDelay(d time.Duration) Link { l.Delay = d; return l }

// WithHeld returns the state with bytes kept back or not.
func (l Link) WithHeld(on bool) Link { l.Held = on; return l }

// WithReset returns the state with connections reset or not.
func (l Link) WithReset(on bool) Link { l.Reset = on; return l }

// heldAtIfHeld returns since when bytes are kept back, or zero.
func (l Link) heldAtIfHeld() time.Time {
	if !l.Held {
		return time.Time{}
	}
	return l.heldAt
}

// Way is a direction between two hosts, given as IP addresses.
type Way struct{ From, To string }

// Net is a network. It is safe for concurrent use.
type Net struct {
	mu    sync.Mutex
	links map[Way]Link
	// frozen has the hosts that neither send nor receive, by when that began.
	frozen    map[string]time.Time
	listeners map[string]*listener
	packets   map[string]*packetConn
	conns     map[*conn]struct{}
	lastPort  uint16
	// changed wakes those that wait to open a connection.
	changed notifier
}

// New returns a network without hosts.
func New() *Net {
	return &Net{
		links: map[Way]Link{}, frozen: map[string]time.Time{}, listeners: map[string]*listener{}, packets: map[string]*packetConn{},
		conns: map[*conn]struct{}{}, lastPort: firstPort,
	}
}

// Host returns the network as a process on the host with an IP address uses it.
func (n *Net) Host(ip string) *Host { return &Host{net: n, ip: ip} }

// Set changes the state of a way.
func (n *Net) Set(way Way, change func(Link) Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	link := change(n.links[way])
	if link.Held && !n.links[way].Held {
		link.heldAt = time.Now()
	}
	n.links[way] = link
	if link.Reset {
		n.resetLocked(func(a, b string) bool { return a == way.From && b == way.To || a == way.To && b == way.From })
	}
	n.notifyLocked()
}

// Freeze keeps back all bytes from and to a host, or passes them on.
func (n *Net) Freeze(ip string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, found := n.frozen[ip]; found != on {
		delete(n.frozen, ip)
		if on {
			n.frozen[ip] = time.Now()
		}
	}
	n.notifyLocked()
}

// link returns the state of a way.
func (n *Net) link(from, to string) Link {
	link := n.links[Way{from, to}]
	for _, host := range []string{from, to} {
		if at, found := n.frozen[host]; found {
			link.Held, link.heldAt = true, earliest(link.heldAtIfHeld(), at)
		}
	}
	return link
}

// Silence makes open connections between hosts transport nothing any more, without an end.
// New ones work. If probed is set, connections that probe their peer end by that.
func (n *Net) Silence(match func(from, to string) bool, probed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.pipe.silentAt.IsZero() && match(c.localHost, c.remoteHost) {
			c.pipe.silentAt, c.pipe.probed = time.Now(), probed
			c.peer.pipe.silentAt, c.peer.pipe.probed = time.Now(), probed
		}
	}
	n.notifyLocked()
}

// resetLocked resets the connections between the hosts that match accepts.
func (n *Net) resetLocked(match func(a, b string) bool) {
	for c := range n.conns {
		if match(c.localHost, c.remoteHost) {
			c.breakLocked(syscall.ECONNRESET)
			c.peer.breakLocked(syscall.ECONNRESET)
		}
	}
}

// notifyLocked wakes all that wait for a change of links or of connections.
func (n *Net) notifyLocked() {
	n.changed.notify()
	for c := range n.conns {
		c.changed.notify()
	}
}

// notifier wakes the goroutines that wait for a change. The mutex of the network guards it.
type notifier struct{ changed chan struct{} }

// notify wakes all that wait.
func (s *notifier) notify() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// wait waits for a change until ctx ends, and at most until a time unless that is zero. The
// caller must hold mu, which is released meanwhile.
func (s *notifier) wait(ctx context.Context, mu *sync.Mutex, until time.Time) {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	changed := s.changed
	mu.Unlock()
	defer mu.Lock()
	var expired <-chan time.Time
	if !until.IsZero() {
		timer := time.NewTimer(time.Until(until))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-changed:
	case <-expired:
	case <-ctx.Done():
	}
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

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

// packetConn implements net.PacketConn.
type packetConn struct {
	net      *Net
	address  string
	received []datagram
	closed   bool
	changed  notifier
}

type datagram struct {
	at   time.Time
	from string
	data []byte
}

// ReadFrom implements net.PacketConn.
func (p *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	for {
		var next time.Time
		if p.closed {
			return 0, nil, opError("read", p.address, net.ErrClosed)
		}
		if len(p.received) > 0 {
			d := p.received[0]
			if next = d.at; !time.Now().Before(next) {
				p.received = p.received[1:]
				return copy(b, d.data), addr(d.from), nil
			}
		}
		p.changed.wait(context.Background(), &p.net.mu, next)
	}
}

// WriteTo implements net.PacketConn. A datagram to an address without a socket is lost.
func (p *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	if p.closed {
		return 0, opError("write", p.address, net.ErrClosed)
	}
	link := p.net.link(hostOf(p.address), hostOf(to.String()))
	if target := p.net.packets[to.String()]; target != nil && !link.Held && !link.Reset {
		target.received = append(target.received, datagram{time.Now().Add(link.Delay), p.address, slices.Clone(b)})
		target.changed.notify()
	}
	return len(b), nil
}

// Close implements net.PacketConn.
func (p *packetConn) Close() error {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	p.closeLocked()
	return nil
}

func (p *packetConn) closeLocked() {
	p.closed = true
	p.changed.notify()
	delete(p.net.packets, p.address)
}

// LocalAddr implements net.PacketConn.
func (p *packetConn) LocalAddr() net.Addr { return addr(p.address) }

// SetDeadline implements net.PacketConn. Deadlines of datagrams are not supported.
func (*packetConn) SetDeadline(time.Time) error { return os.ErrNoDeadline }

// SetReadDeadline implements net.PacketConn.
func (*packetConn) SetReadDeadline(time.Time) error { return os.ErrNoDeadline }

// SetWriteDeadline implements net.PacketConn.
func (*packetConn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
