// Package memnet is a network in memory. Its connections have delays, deadlines and
// buffers as those of a kernel do, and its links can be cut, slowed and silenced. All
// waits are timers and channels, so that a program on it runs on synthetic time.
package memnet

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

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
