package pool_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"

	"caroblane/io/netio"
	"caroblane/io/pool"
)

// longBody is above what is written before the response is read, and above the buffers of
// a connection.
var longBody = bytes.Repeat([]byte("u"), 4_000_000)

// upload sends a long request and reads its response.
func upload(ctx context.Context, p *pool.Pool, address string) ([]byte, error) {
	response, err := p.Send(ctx, pool.Request{Address: address, Method: http.MethodPost, Target: "/", Host: "h", Body: longBody})
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	return io.ReadAll(response.Body)
}

// scriptedConn is a connection with a given response, after which it has ended. Writes
// return writeErr once the response has been read or the connection is closed, or block until
// it is closed if that is nil.
type scriptedConn struct {
	net.Conn
	response *strings.Reader
	writeErr error
	ended    chan struct{}
	closed   chan struct{}
}

func newScriptedConn(response string, writeErr error) *scriptedConn {
	near, _ := net.Pipe()
	return &scriptedConn{
		Conn: near, response: strings.NewReader(response), writeErr: writeErr, ended: make(chan struct{}), closed: make(chan struct{}),
	}
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	n, err := c.response.Read(p)
	if err != nil {
		select {
		case <-c.ended:
		default:
			close(c.ended)
		}
	}
	return n, err
}

func (c *scriptedConn) Write([]byte) (int, error) {
	if c.writeErr == nil {
		<-c.closed
		return 1, net.ErrClosed
	}
	select {
	case <-c.ended:
	case <-c.closed:
	}
	return 1, &net.OpError{Op: "write", Err: c.writeErr}
}

func (c *scriptedConn) Close() error {
	select {
	case <-c.closed:
	default:
		close(c.closed)
	}
	return c.Conn.Close()
}

// scriptedNetwork returns one connection.
type scriptedNetwork struct {
	netio.Network
	conn net.Conn
}

func (n scriptedNetwork) Dial(context.Context, string, netio.Options) (net.Conn, error) {
	return n.conn, nil
}

// TestResetDuringUpload guards against a part of a response without length that counts as
// complete, because the reset that ended it was reported to the writer of the request; and
// against a complete one that does not, because its upstream read no more of the request.
func TestResetDuringUpload(t *testing.T) {
	const whole, part = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "part"
	for name, c := range map[string]struct {
		head     string
		writeErr error
		complete bool
	}{
		"reset seen by the writer":      {whole, syscall.ECONNRESET, false},
		"time-out seen by the writer":   {whole, syscall.ETIMEDOUT, false},
		"closed in good order":          {whole, syscall.EPIPE, true},
		"half closed":                   {whole, nil, true},
		"reset of an HTTP/1.0 answer":   {"HTTP/1.0 200 OK\r\n\r\n", syscall.ECONNRESET, false},
		"reset after a complete length": {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", syscall.ECONNRESET, true},
		"reset within a length":         {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", syscall.ECONNRESET, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				conn := newScriptedConn(c.head+part, c.writeErr)
				p := pool.New(pool.Options{Network: scriptedNetwork{conn: conn}, Now: time.Now})
				body, err := upload(t.Context(), p, "h:1")
				if complete := err == nil; complete != c.complete || string(body) != part {
					t.Errorf("body %q, error %v; want complete: %v", body, err, c.complete)
				}
				if err != nil && !errorx.IsOfType(err, pool.Broken) {
					t.Errorf("error %v, want it of type Broken", err)
				}
			})
		})
	}
}

// TestResetUploads guards against the same with connections of the operating system, whose
// reset reaches writer and reader in either order.
func TestResetUploads(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 4096))
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	for range 100 {
		if body, err := upload(t.Context(), newPool(t), listener.Addr().String()); err == nil {
			t.Fatalf("%q of a response that was reset counts as complete", body)
		}
	}
}
