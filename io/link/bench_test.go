package link

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/io/netio"
)

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkCalls measures RPCs between two nodes over loopback: the CPU time of
// client and server, and the bytes in both directions above TCP. The control
// loops are fakes, so the results cover only encoding and HTTP.
// docs/CAPACITY.md cites them.
func BenchmarkCalls(b *testing.B) {
	status := model.PeerStatus{
		Region: "om-north", Name: "om-north-a-01", Incarnation: 1 << 62, Version: 50_000, SettledVersion: 50_000,
		ValidFor: 5 * time.Second, StoreContact: true,
	}
	for name, e := range map[string]func(model.Member) effect.Effect{
		"exchange": func(to model.Member) effect.Effect { return effect.Exchange{Peer: to, Status: status} },
		"borrow": func(to model.Member) effect.Effect {
			return effect.Borrow{Peer: to.Name, Account: "account-1", Seq: 1, Want: model.Allowance{Rate: 5, Burst: 6, Level: 7}}
		},
	} {
		b.Run(name, func(b *testing.B) {
			p, _ := newPeer(b, func(received event.Event) effect.Reply {
				if received, ok := received.(event.ExchangeAsked); ok {
					return effect.ExchangeReply{Ticket: received.Ticket, Status: status}
				}
				return sampleReply(received)
			})
			var bytes atomic.Int64
			transport := NewTransport(netio.System{})
			dial := transport.DialContext
			transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dial(ctx, network, address)
				return countingConn{conn, &bytes}, err
			}
			client, posted := newClient(b, http.RoundTripper(transport), p.member)
			b.ReportAllocs()
			b.ResetTimer()
			before := cpuTime(b)
			for range b.N {
				client.Execute(b.Context(), e(p.member))
				<-p.received
				<-posted
			}
			b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
		})
	}
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
