package memnet_test

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"caroblane/fake/memnet"
	"caroblane/io/netio"
)

const (
	nearHost, farHost = "10.0.0.1", "10.0.0.2"
	farAddress        = farHost + ":80"
)

// open returns a network and both ends of a connection on it.
func open(t *testing.T, options netio.Options) (n *memnet.Net, near, far net.Conn) {
	t.Helper()
	n = memnet.New()
	l, err := n.Host(farHost).Listen(t.Context(), farAddress)
	if err != nil {
		t.Fatal(err)
	}
	if near, err = n.Host(nearHost).Dial(t.Context(), farAddress, options); err != nil {
		t.Fatal(err)
	}
	if far, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	return n, near, far
}

// TestEnds guards against connections that end in another way than those of a kernel, and
// against ends that arrive before the bytes that were sent.
func TestEnds(t *testing.T) {
	for name, c := range map[string]struct {
		act  func(n *memnet.Net, far net.Conn)
		want error
		peek netio.Status
	}{
		"open":        {func(*memnet.Net, net.Conn) {}, os.ErrDeadlineExceeded, netio.Quiet},
		"closed":      {func(_ *memnet.Net, far net.Conn) { _ = far.Close() }, io.EOF, netio.Ended},
		"half closed": {func(_ *memnet.Net, far net.Conn) { _ = far.(interface{ CloseWrite() error }).CloseWrite() }, io.EOF, netio.Ended},
		"reset": {func(_ *memnet.Net, far net.Conn) {
			netio.ResetOnClose(far)
			_ = far.Close()
		}, syscall.ECONNRESET, netio.Ended},
		"link reset": {func(n *memnet.Net, _ net.Conn) {
			n.Set(memnet.Way{From: farHost, To: nearHost}, func(l memnet.Link) memnet.Link { return l.WithReset(true) })
		}, syscall.ECONNRESET, netio.Ended},
		"silenced": {func(n *memnet.Net, far net.Conn) {
			n.Silence(func(string, string) bool { return true }, false)
			_ = far.Close()
		}, os.ErrDeadlineExceeded, netio.Quiet},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, near, far := open(t, netio.Options{})
				_, _ = io.WriteString(far, "sent")
				text := make([]byte, 4)
				if _, err := io.ReadFull(near, text); err != nil || string(text) != "sent" {
					t.Fatalf("read %q, error %v", text, err)
				}
				c.act(n, far)
				if got := netio.Peek(near); got != c.peek {
					t.Errorf("status %v, want %v", got, c.peek)
				}
				_ = near.SetReadDeadline(time.Now().Add(time.Minute))
				if _, err := near.Read(text); !errors.Is(err, c.want) {
					t.Errorf("read ended with %v, want %v", err, c.want)
				}
			})
		})
	}
}

// TestLostConnection guards against connections that notice a silent or cut peer in another
// time than the options say.
func TestLostConnection(t *testing.T) {
	hold := func(n *memnet.Net) {
		n.Set(memnet.Way{From: nearHost, To: farHost}, func(l memnet.Link) memnet.Link { return l.WithHeld(true) })
	}
	silence := func(probed bool) func(*memnet.Net) {
		return func(n *memnet.Net) { n.Silence(func(string, string) bool { return true }, probed) }
	}
	for name, c := range map[string]struct {
		options netio.Options
		fault   func(*memnet.Net)
		// after is when a read ends, or zero if it does not.
		after time.Duration
	}{
		"cut, no options":         {netio.Options{}, hold, 0},
		"cut, probes":             {netio.Options{ProbeInterval: time.Second}, hold, 2 * time.Second},
		"cut, unacknowledged":     {netio.Options{ProbeInterval: time.Minute, AckTimeout: 3 * time.Second}, hold, 3 * time.Second},
		"silent, probes answered": {netio.Options{ProbeInterval: time.Second}, silence(false), 0},
		"silent, probes lost":     {netio.Options{ProbeInterval: time.Second}, silence(true), 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, near, _ := open(t, c.options)
				c.fault(n)
				_, _ = io.WriteString(near, "sent")
				start := time.Now()
				_ = near.SetReadDeadline(start.Add(time.Hour))
				_, err := near.Read(make([]byte, 1))
				if took := time.Since(start); c.after > 0 && (took != c.after || !errors.Is(err, syscall.ETIMEDOUT)) {
					t.Errorf("read ended after %v with %v, want ETIMEDOUT after %v", took, err, c.after)
				} else if c.after == 0 && !errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("read ended after %v with %v, want none before its deadline", took, err)
				}
			})
		})
	}
}

// TestLink guards against bytes that overtake others or the delay of their link, that are
// lost in a cut, and against writes that do not wait for a peer that reads nothing.
func TestLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, near, far := open(t, netio.Options{})
		way := memnet.Way{From: farHost, To: nearHost}
		n.Set(way, func(l memnet.Link) memnet.Link { return l.WithDelay(3 * time.Second) })
		start := time.Now()
		_, _ = io.WriteString(far, "first ")
		n.Set(way, func(l memnet.Link) memnet.Link { return l.WithDelay(0) })
		_, _ = io.WriteString(far, "second")
		n.Set(way, func(l memnet.Link) memnet.Link { return l.WithHeld(true) })
		time.AfterFunc(5*time.Second, func() { n.Set(way, func(l memnet.Link) memnet.Link { return l.WithHeld(false) }) })
		text := make([]byte, len("first second"))
		if _, err := io.ReadFull(near, text); err != nil || string(text) != "first second" || time.Since(start) != 5*time.Second {
			t.Errorf("read %q after %v, error %v; want all after 5 s", text, time.Since(start), err)
		}
		_ = far.SetWriteDeadline(time.Now().Add(time.Second))
		const sent = 1 << 20
		if written, err := far.Write(make([]byte, sent)); written == 0 || written == sent || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%d bytes written to a peer that reads nothing, error %v; want some, and a timeout", written, err)
		}
	})
}

// TestKill guards against a process that still uses the network after its end, and against
// another one that cannot use its addresses.
func TestKill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		ended := n.Host(farHost)
		if _, err := ended.Listen(t.Context(), farAddress); err != nil {
			t.Fatal(err)
		}
		socket, err := ended.ListenPacket(t.Context(), farAddress)
		if err != nil {
			t.Fatal(err)
		}
		addr := socket.LocalAddr()
		ended.Kill()
		if _, err := n.Host(nearHost).Dial(t.Context(), farAddress, netio.Options{}); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("a connection to the ended process: error %v, want ECONNREFUSED", err)
		}
		if _, err := n.Host(farHost).Listen(t.Context(), farAddress); err != nil {
			t.Errorf("the next process cannot listen: %v", err)
		}
		if _, err := socket.WriteTo([]byte("late"), addr); err == nil {
			t.Error("the ended process can still send datagrams")
		}
		next, err := n.Host(farHost).ListenPacket(t.Context(), farAddress)
		if err != nil {
			t.Fatal(err)
		}
		_ = socket.Close()
		sender, err := n.Host(nearHost).ListenPacket(t.Context(), nearHost+":80")
		if err != nil {
			t.Fatal(err)
		}
		received := make(chan int, 1)
		go func() {
			got, _, _ := next.ReadFrom(make([]byte, 8))
			received <- got
		}()
		_, _ = sender.WriteTo([]byte("text"), next.LocalAddr())
		synctest.Wait()
		select {
		case got := <-received:
			if got != len("text") {
				t.Errorf("the next process received %d bytes, want 4", got)
			}
		default:
			t.Error("the next process gets no datagrams after the ended one has closed its socket")
		}
		_ = next.Close()
		if _, err := ended.Dial(t.Context(), farAddress, netio.Options{}); !errors.Is(err, syscall.ENETDOWN) {
			t.Errorf("a connection of the ended process: error %v, want ENETDOWN", err)
		}
	})
}
