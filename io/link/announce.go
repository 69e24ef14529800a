package link

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/io/link/wire"
)

const (
	// maxDatagram is the maximum size of an announcement in bytes. It keeps a
	// datagram below the usual MTU, so that it is not fragmented.
	maxDatagram = 1400
	// announceQueueSize is the number of announcements that can wait to be sent.
	// Further ones are dropped; delivery is best effort anyway.
	announceQueueSize = 256
	// readRetryDelay is the delay before reading again after a socket error.
	readRetryDelay = 100 * time.Millisecond
)

// Announcer sends announcements to peers and receives theirs over UDP. An
// announcement is a report of what changed on a node.
type Announcer struct {
	socket net.PacketConn
	poster Poster
	queue  chan effect.Announce
	// dropped counts unsent announcements: one for each that could not be queued,
	// encoded or sent whole, and one for each peer to which sending failed.
	dropped atomic.Int64
	done    chan struct{}
}

// NewAnnouncer returns an announcer that uses the given socket. Run closes the
// socket.
func NewAnnouncer(socket net.PacketConn, poster Poster) *Announcer {
	return &Announcer{
		socket: socket, poster: poster,
		queue: make(chan effect.Announce, announceQueueSize),
		done:  make(chan struct{}),
	}
}

// Done is closed when Run has returned.
func (a *Announcer) Done() <-chan struct{} { return a.done }

// Dropped returns the number of announcements that were not sent.
func (a *Announcer) Dropped() int64 { return a.dropped.Load() }

// Execute queues an effect.Announce for sending and ignores other effects. It
// does not block.
func (a *Announcer) Execute(_ context.Context, e effect.Effect) {
	announce, ok := e.(effect.Announce)
	if !ok {
		return
	}
	select {
	case a.queue <- announce:
	default:
		a.dropped.Add(1)
	}
}

// Run sends and receives announcements until the context is cancelled.
func (a *Announcer) Run(ctx context.Context) {
	defer close(a.done)
	received := make(chan struct{})
	go func() {
		defer close(received)
		a.receive(ctx)
	}()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case e := <-a.queue:
			a.send(e)
		}
	}
	_ = a.socket.Close()
	<-received
}

func (a *Announcer) send(e effect.Announce) {
	parts, left := splitReport(encodeReport(e.Report), maxDatagram)
	if left > 0 {
		a.dropped.Add(1)
	}
	for _, part := range parts {
		text, err := proto.Marshal(part)
		if err != nil {
			a.dropped.Add(1)
			continue
		}
		a.sendTo(e.Peers, text)
	}
}

// sendTo sends a datagram to peers.
func (a *Announcer) sendTo(peers []model.Member, text []byte) {
	for _, peer := range peers {
		address, err := netip.ParseAddrPort(peer.Address)
		if err != nil {
			a.dropped.Add(1)
			continue
		}
		if _, err := a.socket.WriteTo(text, net.UDPAddrFromAddrPort(address)); err != nil {
			a.dropped.Add(1)
		}
	}
}

// receive posts an event for each announcement of a peer. Datagrams that cannot
// be decoded are dropped.
func (a *Announcer) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, _, err := a.socket.ReadFrom(buffer)
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(readRetryDelay):
			}
			continue
		}
		var w wire.Report
		if proto.Unmarshal(buffer[:n], &w) == nil && w.GetMember().GetName() != "" {
			_ = a.poster.Post(ctx, event.AnnounceArrived{Report: decodeReport(&w)})
		}
	}
}
