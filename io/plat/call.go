package plat

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

const (
	// maxAnswer bounds an answer. A page of objects may be above it; it is then
	// asked for in smaller parts.
	maxAnswer = 64 << 20
	// maxTries bounds the tries of a call on idle connections that turn out to
	// be closed.
	maxTries = 3
)

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
	// most bounds an answer in bytes.
	most int64
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

func newCaller(base, client string, connections int, dial dialFunc, clock Clock) *caller {
	return &caller{
		base:   base,
		client: client,
		clock:  clock,
		most:   maxAnswer,
		http: &http.Client{
			Transport: &http.Transport{
				DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
					conn, err := dial(ctx, network, address)
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
	in, err := c.send(ctx, r)
	if err != nil {
		return a, err
	}
	defer func() { _ = in.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(in.Body, c.most+1))
	if err != nil {
		return a, Lost.Wrap(err, "answer to %s %s was cut", r.method, r.path)
	}
	if int64(len(data)) > c.most {
		return a, Oversized.New("answer to %s %s has more than %d bytes", r.method, r.path, c.most)
	}
	a.status, a.body = in.StatusCode, data
	if a.status >= http.StatusMultipleChoices {
		return a, refused(r, a)
	}
	return a, nil
}

// send sends a call and returns the head of its answer. The platform closes
// idle connections; a call that could not leave on one is sent on another. The
// transport itself does that for some errors only.
func (c *caller) send(ctx context.Context, r request) (*http.Response, error) {
	for try := 1; ; try++ {
		var used connection
		traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: used.got})
		var body io.Reader
		if r.body != nil {
			body = bytes.NewReader(r.body)
		}
		out, err := http.NewRequestWithContext(traced, r.method, c.base+r.path, body)
		if err != nil {
			return nil, Unsent.Wrap(err, "%s %s", r.method, r.path)
		}
		out.Header.Set("X-Client", c.client)
		for name, value := range r.header {
			out.Header.Set(name, value)
		}
		in, err := c.http.Do(out)
		if err == nil {
			return in, nil
		}
		sent, reused := used.seal()
		if sent {
			return nil, Lost.Wrap(err, "%s %s", r.method, r.path)
		}
		if !reused || try == maxTries || ctx.Err() != nil {
			return nil, Unsent.Wrap(err, "%s %s", r.method, r.path)
		}
	}
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
	given  bool
	conn   *markedConn
	before int
	reused bool
}

func (u *connection) got(info httptrace.GotConnInfo) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reused = info.Reused
	conn := info.Conn
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	u.given = true
	u.conn, _ = conn.(*markedConn)
	if u.conn != nil {
		u.before = u.conn.count()
	}
}

// seal lets no further byte of the call leave. It tells whether one may have
// left before, and whether the connection had carried a call before.
func (u *connection) seal() (sent, reused bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conn == nil {
		return u.given, u.reused
	}
	return u.conn.seal() > u.before, u.reused
}
