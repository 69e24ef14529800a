package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"caroblane/core/conf"
	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/io/relay"
	"caroblane/io/ticket"
)

// fakeControl is a fake control loop. The test reads its events and replies
// to them.
type fakeControl struct {
	events chan event.Event
	full   bool
}

func (c *fakeControl) Conf() conf.State { return conf.New() }

func (c *fakeControl) TryPost(e event.Event) error {
	if c.full {
		return errors.New("full")
	}
	c.events <- e
	return nil
}

func (c *fakeControl) Post(_ context.Context, e event.Event) error {
	c.events <- e
	return nil
}

type noopObserver struct{}

func (noopObserver) BetweenTokens(time.Duration) {}
func (noopObserver) FirstToken(time.Duration)    {}
func (noopObserver) Refused(model.Reason)        {}

// testServer is a server with an upstream whose handler the test provides.
type testServer struct {
	t        *testing.T
	control  *fakeControl
	tickets  *ticket.Registry
	server   *httptest.Server
	upstream *httptest.Server
}

func newTestServer(t *testing.T, upstream http.HandlerFunc) *testServer {
	t.Helper()
	r := &testServer{t: t, control: &fakeControl{events: make(chan event.Event, 16)}, tickets: ticket.New()}
	r.upstream = httptest.NewServer(upstream)
	client := relay.New(relay.NewDialer())
	s, err := New(r.control, r.tickets, client, noopObserver{}, Options{
		MaxBody: 1 << 20, AdmissionTimeout: time.Minute, RequestTimeout: time.Minute, NodeID: "n",
	}, time.Now)
	if err != nil {
		t.Fatal(err)
	}
	r.server = httptest.NewServer(s)
	t.Cleanup(func() {
		r.server.Close()
		client.Close()
		r.upstream.Close()
	})
	return r
}

// nextEvent waits for the next event, which must have the type E.
func nextEvent[E event.Event](r *testServer) E {
	r.t.Helper()
	select {
	case e := <-r.control.events:
		wanted, ok := e.(E)
		if !ok {
			r.t.Fatalf("got event %#v", e)
		}
		return wanted
	case <-time.After(20 * time.Second):
		r.t.Fatal("no event")
	}
	var none E
	return none
}

func (r *testServer) dispatch(ticket model.Ticket, kind model.UpstreamKind, mustRecord bool) {
	r.tickets.Deliver(effect.Dispatch{
		Ticket: ticket, Attempt: 1, MustRecord: mustRecord,
		Upstream: model.Upstream{Name: "u", Kind: kind, Address: r.upstream.Listener.Addr().String()},
	})
}

// send sends a request and returns a channel that receives the response.
func (r *testServer) send(ctx context.Context, path, body string) <-chan string {
	responses := make(chan string, 1)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.server.URL+path, strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer secret")
	request.Header.Set("Content-Type", "application/json")
	go func() {
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			responses <- err.Error()
			return
		}
		defer func() { _ = response.Body.Close() }()
		text, err := io.ReadAll(response.Body)
		if err != nil {
			text = append(text, err.Error()...)
		}
		responses <- response.Status + " " + string(text)
	}()
	return responses
}

const chatBody = `{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}`

// TestFullQueueRefuses guards against a request that waits for room in the full
// queue of the control loop. On an overloaded node, more and more requests
// would wait.
func TestFullQueueRefuses(t *testing.T) {
	r := newTestServer(t, nil)
	r.control.full = true
	if response := <-r.send(context.Background(), "/send", "{}"); !strings.Contains(response, `"Reason":"Overloaded","Execution":"NotRun"`) {
		t.Errorf("response %s", response)
	}
}

// TestCallerLeavesWhileWaiting guards against a request that keeps waiting
// after its caller disconnected. Without an attempt to cancel, only the event
// CallerGone ends it.
func TestCallerLeavesWhileWaiting(t *testing.T) {
	r := newTestServer(t, nil)
	ctx, disconnect := context.WithCancel(context.Background())
	response := r.send(ctx, "/send", "{}")
	arrived := nextEvent[event.RequestArrived](r)
	disconnect()
	<-response
	if gone := nextEvent[event.CallerGone](r); gone.Ticket != arrived.Ticket {
		t.Errorf("ticket %d left instead of %d", gone.Ticket, arrived.Ticket)
	}
	r.tickets.Deliver(effect.Finish{Ticket: arrived.Ticket})
}

// TestCallerLeavesDuringSend guards against an attempt of a request that must
// not be sent twice, and that is cancelled when the caller disconnects. Its
// outcome would be unknown, and a repeat of the request could not be replayed.
func TestCallerLeavesDuringSend(t *testing.T) {
	reached, release := make(chan struct{}), make(chan struct{})
	r := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
		close(reached)
		<-release
		_, _ = io.WriteString(w, "done")
	})
	ctx, disconnect := context.WithCancel(context.Background())
	disconnected := r.send(ctx, "/send", "{}")
	arrived := nextEvent[event.RequestArrived](r)
	r.dispatch(arrived.Ticket, model.UpstreamPlain, true)
	<-reached
	disconnect()
	<-disconnected
	close(release)
	ended := nextEvent[event.AttemptEnded](r)
	if ended.Outcome != model.Completed || string(ended.Response.Body) != "done" {
		t.Errorf("attempt ended with %v and response %q", ended.Outcome, ended.Response.Body)
	}
	r.tickets.Deliver(effect.Finish{Ticket: arrived.Ticket})
}

// TestResponseFollowsRecord guards against a response that reaches the caller
// before its outcome is recorded. If the node stopped in between, a repeat of
// the request could not be replayed.
func TestResponseFollowsRecord(t *testing.T) {
	r := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
	response := r.send(context.Background(), "/send", "{}")
	arrived := nextEvent[event.RequestArrived](r)
	r.dispatch(arrived.Ticket, model.UpstreamPlain, true)
	nextEvent[event.AttemptEnded](r)
	select {
	case early := <-response:
		t.Fatalf("the caller received %q before the outcome was recorded", early)
	default:
	}
	r.tickets.Deliver(effect.Finish{Ticket: arrived.Ticket})
	if got := <-response; got != "200 OK done" {
		t.Errorf("response %q", got)
	}
}

// TestCutEndsStreamWithReason guards against a stream that is ended early and
// looks complete or gives the wrong reason: the reducer refuses the request
// after its attempt was cancelled, but with the reason UpstreamLost.
func TestCutEndsStreamWithReason(t *testing.T) {
	r := newTestServer(t, func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("X-Request-Id", q.Header.Get("X-Request-Id"))
		w.Header().Set("X-Attempt", q.Header.Get("X-Attempt"))
		_, _ = io.WriteString(w, "id: "+q.Header.Get("X-Request-Id")+"/1/1\ndata: {\"t\":1}\n\n")
		_ = http.NewResponseController(w).Flush()
		<-q.Context().Done()
	})
	response := r.send(context.Background(), "/v1/chat/completions", chatBody)
	arrived := nextEvent[event.RequestArrived](r)
	r.dispatch(arrived.Ticket, model.UpstreamEngine, false)
	r.tickets.Deliver(effect.Cut{Ticket: arrived.Ticket, Refusal: model.Refusal{
		Reason: model.KeyWasWithdrawn, Execution: model.OutcomeUnknown,
	}})
	ended := nextEvent[event.AttemptEnded](r)
	if ended.Outcome != model.CallerLeft {
		t.Errorf("attempt ended with %v", ended.Outcome)
	}
	r.tickets.Deliver(effect.Refuse{Ticket: arrived.Ticket, Refusal: model.Refusal{Reason: model.UpstreamLost}})
	if got := <-response; !strings.Contains(got, `"Reason":"KeyWasWithdrawn"`) || strings.Contains(got, "[DONE]") {
		t.Errorf("response %q", got)
	}
}

// TestErrorWithinStream guards against the error of the next upstream within a stream
// that has begun and broken off, before its first token or after it.
func TestErrorWithinStream(t *testing.T) {
	for name, first := range map[string]string{"role only": "0", "token": "1"} {
		t.Run(name, func(t *testing.T) {
			var attempts atomic.Int32
			r := newTestServer(t, func(w http.ResponseWriter, q *http.Request) {
				w.Header().Set("X-Request-Id", q.Header.Get("X-Request-Id"))
				w.Header().Set("X-Attempt", q.Header.Get("X-Attempt"))
				if attempts.Add(1) > 1 {
					w.WriteHeader(http.StatusNotFound)
					_, _ = io.WriteString(w, `{"error":"canary"}`)
					return
				}
				_, _ = io.WriteString(w, "id: "+q.Header.Get("X-Request-Id")+"/1/"+first+"\ndata: {\"t\":1}\n\n")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			})
			response := r.send(context.Background(), "/v1/chat/completions", chatBody)
			arrived := nextEvent[event.RequestArrived](r)
			r.dispatch(arrived.Ticket, model.UpstreamEngine, false)
			nextEvent[event.AttemptEnded](r)
			r.dispatch(arrived.Ticket, model.UpstreamEngine, false)
			if ended := nextEvent[event.AttemptEnded](r); ended.Outcome != model.Broken {
				t.Errorf("second attempt ended with %v, want Broken", ended.Outcome)
			}
			r.tickets.Deliver(effect.Refuse{Ticket: arrived.Ticket, Refusal: model.Refusal{
				Reason: model.StreamTruncated, Execution: model.OutcomeUnknown,
			}})
			if got := <-response; strings.Contains(got, "canary") || !strings.Contains(got, `"Reason":"StreamTruncated"`) {
				t.Errorf("response %q", got)
			}
		})
	}
}

// TestBrokenLongResponseIsAborted guards against a truncated response that
// looks complete. A long response is forwarded before its end is known, so if
// it breaks off, the status has already been sent, and only closing the
// connection tells the caller.
func TestBrokenLongResponseIsAborted(t *testing.T) {
	r := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 1<<20))
		panic(http.ErrAbortHandler)
	})
	response := r.send(context.Background(), "/read", "")
	arrived := nextEvent[event.RequestArrived](r)
	r.dispatch(arrived.Ticket, model.UpstreamPlain, false)
	nextEvent[event.AttemptEnded](r)
	r.tickets.Deliver(effect.Refuse{Ticket: arrived.Ticket, Refusal: model.Refusal{
		Reason: model.UpstreamLost, Execution: model.OutcomeUnknown,
	}})
	if got := <-response; !strings.HasSuffix(got, "unexpected EOF") {
		t.Errorf("response ends with %q", got[max(0, len(got)-60):])
	}
}
