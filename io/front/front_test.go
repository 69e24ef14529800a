package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"caroblane/core/conf"
	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/io/desk"
	"caroblane/io/relay"
)

// control plays the control loop: the test reads the events and answers them.
type control struct {
	events chan event.Event
	full   bool
}

func (c *control) Conf() conf.State { return conf.New() }

func (c *control) Offer(e event.Event) error {
	if c.full {
		return errors.New("full")
	}
	c.events <- e
	return nil
}

func (c *control) Post(_ context.Context, e event.Event) error {
	c.events <- e
	return nil
}

type observer struct{}

func (observer) BetweenTokens(time.Duration) {}
func (observer) FirstToken(time.Duration)    {}
func (observer) Refused(model.Reason)        {}

// rig is a server between a caller and an upstream whose handler the test sets.
type rig struct {
	t        *testing.T
	control  *control
	desk     *desk.Desk
	server   *httptest.Server
	upstream *httptest.Server
}

func newRig(t *testing.T, upstream http.HandlerFunc) *rig {
	t.Helper()
	r := &rig{t: t, control: &control{events: make(chan event.Event, 16)}, desk: desk.New()}
	r.upstream = httptest.NewServer(upstream)
	client := relay.New(relay.Dialer())
	s, err := New(r.control, r.desk, client, observer{}, Options{
		MaxBody: 1 << 20, AdmitWithin: time.Minute, RequestWithin: time.Minute, NodeID: "n",
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

// next waits for the next event, which must be of the wanted type.
func next[E event.Event](r *rig) E {
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

func (r *rig) dispatch(ticket model.Ticket, kind model.UpstreamKind, once bool) {
	r.desk.Deliver(effect.Dispatch{
		Ticket: ticket, Attempt: 1, MustRecord: once,
		Upstream: model.Upstream{Name: "u", Kind: kind, Address: r.upstream.Listener.Addr().String()},
	})
}

// ask sends a request and delivers its answer on a channel.
func (r *rig) ask(ctx context.Context, path, body string) <-chan string {
	answers := make(chan string, 1)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.server.URL+path, strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer secret")
	request.Header.Set("Content-Type", "application/json")
	go func() {
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			answers <- err.Error()
			return
		}
		defer func() { _ = response.Body.Close() }()
		text, err := io.ReadAll(response.Body)
		if err != nil {
			text = append(text, err.Error()...)
		}
		answers <- response.Status + " " + string(text)
	}()
	return answers
}

const chat = `{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}`

// Guards against traffic that waits for a control loop that cannot take it.
func TestFullQueueRefuses(t *testing.T) {
	r := newRig(t, nil)
	r.control.full = true
	if answer := <-r.ask(context.Background(), "/send", "{}"); !strings.Contains(answer, `"Reason":"Overloaded","Execution":"NotRun"`) {
		t.Errorf("answer %s", answer)
	}
}

// Guards against a waiting request that keeps its place when its caller left.
func TestCallerLeavesWhileWaiting(t *testing.T) {
	r := newRig(t, nil)
	ctx, leave := context.WithCancel(context.Background())
	answer := r.ask(ctx, "/send", "{}")
	arrived := next[event.RequestArrived](r)
	leave()
	<-answer
	if gone := next[event.CallerGone](r); gone.Ticket != arrived.Ticket {
		t.Errorf("ticket %d left instead of %d", gone.Ticket, arrived.Ticket)
	}
	r.desk.Deliver(effect.Finish{Ticket: arrived.Ticket})
}

// Guards against a request that may not be repeated and whose outcome is lost
// because its caller left: the attempt goes on and its answer is reported.
func TestCallerLeavesDuringSend(t *testing.T) {
	reached, answer := make(chan struct{}), make(chan struct{})
	r := newRig(t, func(w http.ResponseWriter, _ *http.Request) {
		close(reached)
		<-answer
		_, _ = io.WriteString(w, "done")
	})
	ctx, leave := context.WithCancel(context.Background())
	left := r.ask(ctx, "/send", "{}")
	arrived := next[event.RequestArrived](r)
	r.dispatch(arrived.Ticket, model.UpstreamPlain, true)
	<-reached
	leave()
	<-left
	close(answer)
	ended := next[event.AttemptEnded](r)
	if ended.Outcome != model.Completed || string(ended.Answer.Body) != "done" {
		t.Errorf("attempt ended with %v and answer %q", ended.Outcome, ended.Answer.Body)
	}
	r.desk.Deliver(effect.Finish{Ticket: arrived.Ticket})
}

// Guards against an answer that reaches the caller before its outcome is
// recorded.
func TestSendAnswersAfterRecord(t *testing.T) {
	r := newRig(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
	answer := r.ask(context.Background(), "/send", "{}")
	arrived := next[event.RequestArrived](r)
	r.dispatch(arrived.Ticket, model.UpstreamPlain, true)
	next[event.AttemptEnded](r)
	select {
	case early := <-answer:
		t.Fatalf("caller got %q before the outcome was recorded", early)
	default:
	}
	r.desk.Deliver(effect.Finish{Ticket: arrived.Ticket})
	if got := <-answer; got != "200 OK done" {
		t.Errorf("answer %q", got)
	}
}

// Guards against a cut stream that looks like a whole one.
func TestCutEndsStreamWithReason(t *testing.T) {
	r := newRig(t, func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("X-Request-Id", q.Header.Get("X-Request-Id"))
		w.Header().Set("X-Attempt", q.Header.Get("X-Attempt"))
		_, _ = io.WriteString(w, "id: "+q.Header.Get("X-Request-Id")+"/1/1\ndata: {\"t\":1}\n\n")
		_ = http.NewResponseController(w).Flush()
		<-q.Context().Done()
	})
	answer := r.ask(context.Background(), "/v1/chat/completions", chat)
	arrived := next[event.RequestArrived](r)
	r.dispatch(arrived.Ticket, model.UpstreamEngine, false)
	r.desk.Deliver(effect.Cut{Ticket: arrived.Ticket, Refusal: model.Refusal{
		Reason: model.KeyWasWithdrawn, Execution: model.OutcomeUnknown,
	}})
	ended := next[event.AttemptEnded](r)
	if ended.Outcome != model.CallerLeft {
		t.Errorf("attempt ended with %v", ended.Outcome)
	}
	r.desk.Deliver(effect.Refuse{Ticket: arrived.Ticket, Refusal: model.Refusal{Reason: model.UpstreamLost}})
	if got := <-answer; !strings.Contains(got, `"Reason":"KeyWasWithdrawn"`) || strings.Contains(got, "[DONE]") {
		t.Errorf("answer %q", got)
	}
}

// Guards against a long answer that breaks in the middle and reaches the
// caller as a whole one.
func TestBrokenLongAnswerIsCut(t *testing.T) {
	r := newRig(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 1<<20))
		panic(http.ErrAbortHandler)
	})
	answer := r.ask(context.Background(), "/read", "")
	arrived := next[event.RequestArrived](r)
	r.dispatch(arrived.Ticket, model.UpstreamPlain, false)
	next[event.AttemptEnded](r)
	r.desk.Deliver(effect.Refuse{Ticket: arrived.Ticket, Refusal: model.Refusal{
		Reason: model.UpstreamLost, Execution: model.OutcomeUnknown,
	}})
	if got := <-answer; !strings.HasSuffix(got, "unexpected EOF") {
		t.Errorf("answer ends with %q", got[max(0, len(got)-60):])
	}
}
