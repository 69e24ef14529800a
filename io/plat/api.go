package plat

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

const (
	// maxResponseBytes limits a response in bytes. A page of objects can exceed it; the
	// watch then requests smaller pages.
	maxResponseBytes = 64 << 20
	// maxSendTries limits the attempts to send a call on idle connections that
	// the platform has already closed.
	maxSendTries = 3
)

// request is an HTTP request to the platform.
type request struct {
	method   string
	path     string
	header   map[string]string
	body     []byte
	deadline time.Time
}

// response is an HTTP response of the platform. sentAt is when its request was
// sent.
type response struct {
	status int
	body   []byte
	sentAt time.Time
}

type refusalBody struct {
	Reason    string
	Execution string
	Message   string
}

// api sends HTTP requests. Its errors tell whether any byte of a request may have
// been sent.
type api struct {
	base   string
	client string
	http   *http.Client
	clock  Clock
	// maxBytes limits the body of a response.
	maxBytes int64
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

func newAPI(base, client string, connections int, dial dialFunc, clock Clock) *api {
	return &api{
		base:     base,
		client:   client,
		clock:    clock,
		maxBytes: maxResponseBytes,
		http: &http.Client{
			Transport: &http.Transport{
				DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
					conn, err := dial(ctx, network, address)
					if err != nil {
						return nil, err
					}
					return &trackedConn{Conn: conn}, nil
				},
				MaxIdleConnsPerHost: connections,
				IdleConnTimeout:     30 * time.Second,
				DisableCompression:  true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// do sends a request and reads the response. A status of 300 or more results in
// an error of type Absent, Conflict or Refused if the body has a refusal of the
// platform, and of type Lost otherwise, because a proxy may have forwarded the
// request. The response holds the time of sending even if there is an error.
func (a *api) do(ctx context.Context, req request) (response, error) {
	resp := response{sentAt: a.clock.Now()}
	timeout := req.deadline.Sub(resp.sentAt)
	if timeout <= 0 {
		return resp, Unsent.New("%s %s: deadline passed before the request was sent", req.method, req.path)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	httpResp, err := a.send(ctx, req)
	if err != nil {
		a.abandonSilent(ctx)
		return resp, err
	}
	defer func() { _ = httpResp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(httpResp.Body, a.maxBytes+1))
	if err != nil {
		a.abandonSilent(ctx)
		return resp, Lost.Wrap(err, "%s %s: response truncated", req.method, req.path)
	}
	if int64(len(data)) > a.maxBytes {
		return resp, Oversized.New("%s %s: response exceeds %d bytes", req.method, req.path, a.maxBytes)
	}
	resp.status, resp.body = httpResp.StatusCode, data
	if resp.status >= http.StatusMultipleChoices {
		return resp, refusalError(req, resp)
	}
	return resp, nil
}

// abandonSilent closes the idle connections if a call timed out: connections fall silent
// together, and each of them would cost another call its timeout.
func (a *api) abandonSilent(ctx context.Context) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		a.http.CloseIdleConnections()
	}
}

// send sends a request and returns the response with an unread body. The platform
// closes idle connections, so a request of which no byte was sent on a reused
// connection is sent again on another one. http.Transport does so only for some
// errors.
func (a *api) send(ctx context.Context, req request) (*http.Response, error) {
	for try := 1; ; try++ {
		var tracker connTracker
		traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: tracker.got})
		var body io.Reader
		if req.body != nil {
			body = bytes.NewReader(req.body)
		}
		httpReq, err := http.NewRequestWithContext(traced, req.method, a.base+req.path, body)
		if err != nil {
			return nil, Unsent.Wrap(err, "%s %s", req.method, req.path)
		}
		httpReq.Header.Set("X-Client", a.client)
		for name, value := range req.header {
			httpReq.Header.Set(name, value)
		}
		httpResp, err := a.http.Do(httpReq)
		if err == nil {
			return httpResp, nil
		}
		sent, reused := tracker.seal()
		if sent {
			return nil, Lost.Wrap(err, "%s %s", req.method, req.path)
		}
		if !reused || try == maxSendTries || ctx.Err() != nil {
			return nil, Unsent.Wrap(err, "%s %s", req.method, req.path)
		}
	}
}

// refusalError converts an unsuccessful response into an error.
func refusalError(req request, resp response) error {
	var body refusalBody
	if err := json.Unmarshal(resp.body, &body); err != nil || body.Execution != "NotRun" {
		return Lost.New("%s %s: status %d without a valid refusal in the body", req.method, req.path, resp.status)
	}
	t := Refused
	switch body.Reason {
	case "Conflict", "OldEpoch":
		t = Conflict
	case "NotFound":
		t = Absent
	}
	return t.New("%s %s: status %d, %s: %s", req.method, req.path, resp.status, body.Reason, body.Message)
}

// connTracker tracks the connection that a request was last assigned. The
// transport assigns another one only if no byte of the request was written to the
// previous one.
type connTracker struct {
	mu           sync.Mutex
	assigned     bool
	conn         *trackedConn
	writesBefore int
	reused       bool
}

func (t *connTracker) got(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reused = info.Reused
	conn := info.Conn
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	t.assigned = true
	t.conn, _ = conn.(*trackedConn)
	if t.conn != nil {
		t.writesBefore = t.conn.writeCount()
	}
}

// seal stops further writes to the connection. It reports whether any byte of the
// request may have been sent, and whether the connection was reused.
func (t *connTracker) seal() (sent, reused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return t.assigned, t.reused
	}
	return t.conn.seal() > t.writesBefore, t.reused
}
