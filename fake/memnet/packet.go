package memnet

import (
	"context"
	"net"
	"os"
	"slices"
	"time"
)

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
	if p.net.packets[p.address] == p {
		// The next process may have a socket at this address already.
		delete(p.net.packets, p.address)
	}
}

// LocalAddr implements net.PacketConn.
func (p *packetConn) LocalAddr() net.Addr { return addr(p.address) }

// SetDeadline implements net.PacketConn. Deadlines of datagrams are not supported.
func (*packetConn) SetDeadline(time.Time) error { return os.ErrNoDeadline }

// SetReadDeadline implements net.PacketConn.
func (*packetConn) SetReadDeadline(time.Time) error { return os.ErrNoDeadline }

// SetWriteDeadline implements net.PacketConn.
func (*packetConn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
