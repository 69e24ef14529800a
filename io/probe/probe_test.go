package probe

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// TestProbe guards against crashes that are not counted because the address of a process
// that ends still accepts a connection, and against sound processes that are taken for
// ended.
func TestProbe(t *testing.T) {
	for name, c := range map[string]struct {
		serve func(net.Listener)
		want  error
	}{
		"ended":           {func(l net.Listener) { _ = l.Close() }, syscall.ECONNREFUSED},
		"ends meanwhile":  {func(l net.Listener) { time.AfterFunc(keptFor/4, func() { _ = l.Close() }) }, syscall.ECONNREFUSED},
		"accepts nothing": {func(net.Listener) {}, nil},
		"too many":        {func(l net.Listener) { go resetAll(l) }, nil},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			c.serve(l)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if err := Probe(ctx, (&net.Dialer{}).DialContext, l.Addr().String()); !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
		})
	}
}

// resetAll resets all connections.
func resetAll(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}
