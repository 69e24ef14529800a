package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// maxAnswer bounds an answer: a page of objects of up to 1 MB each.
const maxAnswer = 64 << 20

// request is a call to the platform.
type request struct {
	method string
	path   string
	header map[string]string
	body   []byte
	// by is the deadline of the call.
	by time.Time
}

// answer is what the platform said, and when the question was sent.
type answer struct {
	status int
	body   []byte
	sentAt time.Time
}

type refusalBody struct {
	Reason    string
	Execution string
	Message   string
}

// caller makes HTTP calls whose errors tell exactly whether the call left.
type caller struct {
	base   string
	client string
	http   *http.Client
	clock  Clock
}

func newCaller(base, client string, connections int, clock Clock) *caller {
	dialer := &net.Dialer{}
	return &caller{
		base:   base,
		client: client,
		clock:  clock,
		http: &http.Client{
			Transport: &http.Transport{
				DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
					conn, err := dialer.DialContext(ctx, network, address)
					if err != nil {
						return nil, err
					}
					return &markedConn{Conn: conn}, nil
				},
				MaxIdleConnsPerHost: connections,
				IdleConnTimeout:     30 * time.Second,
				DisableCompression:  true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// do makes a call. An answer with a status of 300 or more comes back as an
// error of the type Absent, Conflict or Refused if its body says so, and of
// the type Lost otherwise: a proxy on the way may have passed the call on. The
// answer holds the time of sending even with an error.
func (c *caller) do(ctx context.Context, r request) (answer, error) {
	a := answer{sentAt: c.clock.Now()}
	left := r.by.Sub(a.sentAt)
	if left <= 0 {
		return a, Unsent.New("deadline of %s %s passed before it was sent", r.method, r.path)
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	var used connection
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: used.got})
	var body io.Reader
	if r.body != nil {
		body = bytes.NewReader(r.body)
	}
	out, err := http.NewRequestWithContext(ctx, r.method, c.base+r.path, body)
	if err != nil {
		return a, Unsent.Wrap(err, "%s %s", r.method, r.path)
	}
	out.Header.Set("X-Client", c.client)
	for name, value := range r.header {
		out.Header.Set(name, value)
	}
	in, err := c.http.Do(out)
	if err != nil {
		if used.sent() {
			return a, Lost.Wrap(err, "%s %s", r.method, r.path)
		}
		return a, Unsent.Wrap(err, "%s %s", r.method, r.path)
	}
	defer func() { _ = in.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(in.Body, maxAnswer+1))
	if err != nil {
		return a, Lost.Wrap(err, "answer to %s %s was cut", r.method, r.path)
	}
	if len(data) > maxAnswer {
		return a, Lost.New("answer to %s %s has more than %d bytes", r.method, r.path, maxAnswer)
	}
	a.status, a.body = in.StatusCode, data
	if a.status >= http.StatusMultipleChoices {
		return a, refused(r, a)
	}
	return a, nil
}

// refused converts a refusal of the platform into an error.
func refused(r request, a answer) error {
	var body refusalBody
	if err := json.Unmarshal(a.body, &body); err != nil || body.Execution != "NotRun" {
		return Lost.New("%s %s: status %d without a refusal in its body", r.method, r.path, a.status)
	}
	t := Refused
	switch body.Reason {
	case "Conflict", "OldEpoch":
		t = Conflict
	case "NotFound":
		t = Absent
	}
	return t.New("%s %s: status %d, %s: %s", r.method, r.path, a.status, body.Reason, body.Message)
}

// connection is the one that a call was given last. The transport takes
// another one only if no byte of the call was written to the one before.
type connection struct {
	mu     sync.Mutex
	conn   *markedConn
	before int
}

func (u *connection) got(info httptrace.GotConnInfo) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conn, _ = info.Conn.(*markedConn)
	if u.conn != nil {
		u.before = u.conn.count()
	}
}

// sent tells whether a byte of the call may have left, and lets none leave
// from then on.
func (u *connection) sent() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.conn != nil && u.conn.seal() > u.before
}
