package pool_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"caroblane/io/netio"
	"caroblane/io/pool"
)

// closeAfter marks a response after which the server closes the connection.
const closeAfter = "<close>"

// script lists the raw responses of a server, by connection and request. An empty
// response closes the connection.
type script [][]string

// serve starts a server with the given script. It returns the address and a
// function for the number of requests read.
func serve(t *testing.T, s script) (string, func() int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	read := make(chan struct{}, 64)
	go func() {
		for _, responses := range s {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serveConn(c, responses, read)
		}
	}()
	return listener.Addr().String(), func() int { return len(read) }
}

func serveConn(c net.Conn, responses []string, read chan<- struct{}) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for _, response := range responses {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		read <- struct{}{}
		if response == "" {
			return
		}
		text, closing := strings.CutSuffix(response, closeAfter)
		_, _ = io.WriteString(c, text)
		if closing {
			return
		}
	}
	// Wait for the client to close the connection.
	_, _ = io.Copy(io.Discard, reader)
}

func newPool(t *testing.T) *pool.Pool {
	p := pool.New(pool.Options{
		Network:     netio.System{},
		DialTimeout: time.Second, TCPUserTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4, Now: time.Now,
	})
	t.Cleanup(p.Close)
	return p
}

// get sends a request with an ID and returns the response body.
func get(ctx context.Context, p *pool.Pool, address, id string) (string, error) {
	response, err := p.Send(ctx, pool.Request{
		Address: address, Method: "POST", Target: "/a//b?c=%2F", Host: "h.example", Header: http.Header{"Id": {id}}, Body: []byte("body"),
		Matches: func(h http.Header) bool { return h.Get("Id") == id },
	})
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

func ok(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// TestResponses guards against accepting responses to other requests, truncated
// bodies and data that is not an HTTP response.
func TestResponses(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		script script
		want   string
		broken bool
	}{
		"whole":                     {script: script{{ok("1", "hello")}}, want: "hello"},
		"chunked":                   {script: script{{chunked + "2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n"}}, want: "hello"},
		"unframed":                  {script: script{{"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhello" + closeAfter}}, want: "hello"},
		"late response before":      {script: script{{ok("0", "other") + ok("1", "hello")}}, want: "hello"},
		"interim response before":   {script: script{{"HTTP/1.1 100 Continue\r\n\r\n" + ok("1", "hello")}}, want: "hello"},
		"only another response":     {script: script{{ok("0", "other") + closeAfter}}, broken: true},
		"truncated":                 {script: script{{"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhell" + closeAfter}}, broken: true},
		"chunked without its end":   {script: script{{chunked + "5\r\nhello\r\n" + closeAfter}}, broken: true},
		"chunk of wrong length":     {script: script{{chunked + "zz\r\nhello\r\n0\r\n\r\n"}}, broken: true},
		"no response":               {script: script{{""}}, broken: true},
		"not an HTTP response":      {script: script{{"\x00\x01garbage\r\n\r\n"}}, broken: true},
		"unframed other response":   {script: script{{"HTTP/1.1 200 OK\r\nId: 0\r\n\r\nhello" + closeAfter}}, broken: true},
		"many other responses":      {script: script{{strings.Repeat(ok("0", "x"), 20)}}, broken: true},
		"status that is none":       {script: script{{"HTTP/1.1 099 x\r\nId: 1\r\nContent-Length: 2\r\n\r\nhi"}}, broken: true},
		"status 000":                {script: script{{"HTTP/1.1 000 x\r\nId: 1\r\nContent-Length: 2\r\n\r\nhi"}}, broken: true},
		"status without a reason":   {script: script{{"HTTP/1.1 200\r\nId: 1\r\nContent-Length: 2\r\n\r\nhi"}}, want: "hi"},
		"connection ends after all": {script: script{{"HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi"}}, want: "hi"},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := serve(t, c.script)
			got, err := get(t.Context(), newPool(t), address, "1")
			switch {
			case c.broken && !errorx.IsOfType(err, pool.Broken):
				t.Errorf("body %q, error %v; want an error of type Broken", got, err)
			case !c.broken && (err != nil || got != c.want):
				t.Errorf("body %q, error %v; want %q", got, err, c.want)
			}
		})
	}
}

// TestReuse guards against reusing a connection with unread data of an earlier
// response, and against not reusing connections at all.
func TestReuse(t *testing.T) {
	for name, c := range map[string]struct {
		first string
		// connections is the number of connections used by two requests.
		connections int
	}{
		"whole response":     {ok("1", "a"), 1},
		"extra response":     {ok("1", "a") + ok("1", "extra"), 2},
		"connection: close":  {"HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 1\r\n\r\na", 2},
		"idle time is short": {"HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=0\r\nContent-Length: 1\r\n\r\na", 2},
	} {
		t.Run(name, func(t *testing.T) {
			second := script{{c.first, ok("2", "b")}, {ok("2", "c")}}
			address, _ := serve(t, second)
			p := newPool(t)
			if got, err := get(t.Context(), p, address, "1"); err != nil || got != "a" {
				t.Fatalf("first body %q, error %v", got, err)
			}
			want := map[int]string{1: "b", 2: "c"}[c.connections]
			if got, err := get(t.Context(), p, address, "2"); err != nil || got != want {
				t.Errorf("second body %q, error %v; want %q over %d connections", got, err, want, c.connections)
			}
		})
	}
}

// TestUnsent guards against reporting a request as sent although no process
// listened, and against sending a request a second time after it was written.
func TestUnsent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	p := newPool(t)
	if _, err := get(t.Context(), p, address, "1"); !errorx.IsOfType(err, pool.Unsent) {
		t.Errorf("error %v, want Unsent", err)
	}
	if p.Reachable(t.Context(), address) {
		t.Error("Reachable returned true for an address without a listener")
	}
	address, read := serve(t, script{{""}, {ok("1", "again")}})
	if _, err := get(t.Context(), p, address, "1"); !errorx.IsOfType(err, pool.Broken) {
		t.Errorf("error %v, want Broken", err)
	}
	if read() != 1 {
		t.Errorf("server read the request %d times, want 1", read())
	}
}

// TestCancel guards against connections that stay open after the context of the
// request was cancelled.
func TestCancel(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	ctx, cancel := context.WithCancel(t.Context())
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		c, err := listener.Accept()
		cancel()
		if err == nil {
			_, _ = io.Copy(io.Discard, c)
		}
	}()
	if _, err := get(ctx, newPool(t), listener.Addr().String(), "1"); err == nil {
		t.Error("cancelled request returned a response")
	}
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Error("connection not closed within 10 s of the cancellation")
	}
}
