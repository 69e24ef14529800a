package conns_test

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"caroblane/io/conns"
)

const writeTimeout = 5 * time.Second

// pipeListener accepts the connections sent to it. It lets tests run with fake time.
type pipeListener chan net.Conn

// Accept implements net.Listener.
func (l pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close implements net.Listener.
func (l pipeListener) Close() error {
	close(l)
	return nil
}

// Addr implements net.Listener.
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial returns both ends of an accepted connection.
func dial(t *testing.T) (accepted, caller net.Conn) {
	t.Helper()
	pipes := make(pipeListener, 1)
	server, caller := net.Pipe()
	pipes <- server
	accepted, err := conns.New(pipes, conns.Options{WriteTimeout: writeTimeout, Now: time.Now}).Accept()
	if err != nil {
		t.Fatal(err)
	}
	return accepted, caller
}

// TestWriteTimeout guards against a caller that does not read and holds a goroutine
// for ever, and against a caller that reads slowly, or after a silence of the server,
// and loses a part of its response.
func TestWriteTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		accepted, caller := dial(t)
		read := make(chan string, 1)
		go func() {
			var text []byte
			b := make([]byte, 1)
			for {
				time.Sleep(writeTimeout - time.Second)
				n, err := caller.Read(b)
				text = append(text, b[:n]...)
				if err != nil {
					read <- string(text)
					return
				}
			}
		}()
		for _, text := range []string{"a slow caller", " reads all"} {
			if n, err := accepted.Write([]byte(text)); err != nil || n != len(text) {
				t.Errorf("wrote %d bytes of %q, error %v", n, text, err)
			}
			time.Sleep(3 * writeTimeout)
		}
		if err := accepted.Close(); err != nil {
			t.Fatal(err)
		}
		if got := <-read; got != "a slow caller reads all" {
			t.Errorf("caller read %q", got)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		accepted, caller := dial(t)
		go func() { _, _ = io.ReadFull(caller, make([]byte, 2)) }()
		started := time.Now()
		n, err := accepted.Write([]byte("some"))
		if n != 2 || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("wrote %d bytes to a caller that reads 2, error %v; want a timeout", n, err)
		}
		if took := time.Since(started); took > 2*writeTimeout {
			t.Errorf("write blocked for %v, want at most %v", took, 2*writeTimeout)
		}
	})
}
