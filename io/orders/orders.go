// Package orders sends the orders of a region's lease holder to engines. Each order
// uses its own connection, so that none is sent after its deadline.
package orders

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sys/unix"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/io/clock"
)

const (
	// readTimeout limits how long a read of an engine's last order may take to
	// be sent.
	readTimeout = 2 * time.Second
	// maxConcurrentCalls limits the calls that run concurrently, and also the
	// calls that wait in the queue.
	maxConcurrentCalls = 32
	maxResponseBytes   = 1 << 20
	// responseTimeout is how long an engine may take to respond after the deadline
	// for sending the request.
	responseTimeout = 2 * time.Second
	// tcpUserTimeout closes a connection whose data the engine's VM does not
	// acknowledge, so that the kernel does not deliver an order late.
	tcpUserTimeout = 2 * time.Second
)

// Errors is the error namespace of this package.
var Errors = errorx.NewNamespace("orders")

// The error types of a call to an engine.
var (
	invalid         = Errors.NewType("invalid")
	tooLate         = Errors.NewType("too_late")
	unanswered      = Errors.NewType("unanswered")
	unknownUpstream = Errors.NewType("unknown_upstream")
	unreachable     = Errors.NewType("unreachable")
)

// Poster queues events for the control loop. Loop in io/loop implements it.
type Poster interface {
	Post(ctx context.Context, e event.Event) error
}

// Sender executes the effects SendOrder and ReadOrder.
type Sender struct {
	lookup func(model.UpstreamName) (model.Upstream, bool)
	poster Poster
	now    func() time.Time
	queue  chan effect.Effect
	done   chan struct{}
}

// wireOrder is the JSON form of an order to an engine.
type wireOrder struct {
	Epoch  model.Epoch
	Seq    uint64
	Intent wireIntent
}

type wireIntent struct {
	Action       string
	Role         string          `json:",omitempty"`
	Model        model.ModelName `json:",omitempty"`
	ModelVersion string          `json:",omitempty"`
	Adapter      string          `json:",omitempty"`
}

// wireOrders is the response of an engine to a read of its orders.
type wireOrders struct{ Last struct{ Seq uint64 } }

// wireRefusal is the response of an engine that refuses an order.
type wireRefusal struct{ Reason, Execution string }

// New returns a sender that finds the addresses of engines with lookup.
func New(
	lookup func(model.UpstreamName) (model.Upstream, bool), poster Poster, now func() time.Time,
) *Sender {
	return &Sender{
		lookup: lookup,
		poster: poster,
		now:    now,
		queue:  make(chan effect.Effect, maxConcurrentCalls),
		done:   make(chan struct{}),
	}
}

// Done is closed when Run has returned.
func (s *Sender) Done() <-chan struct{} { return s.done }

// Execute queues SendOrder and ReadOrder and ignores other effects. If the queue
// is full, it posts SendFailed.
func (s *Sender) Execute(ctx context.Context, e effect.Effect) {
	op, ok := effectOp(e)
	if !ok {
		return
	}
	select {
	case s.queue <- e:
	default:
		go func() { _ = s.poster.Post(ctx, event.SendFailed{Op: op}) }()
	}
}

// Run executes queued effects until the context is cancelled.
func (s *Sender) Run(ctx context.Context) {
	defer close(s.done)
	var running sync.WaitGroup
	for range maxConcurrentCalls {
		running.Go(func() { s.work(ctx) })
	}
	running.Wait()
}

func (s *Sender) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.queue:
			_ = s.poster.Post(ctx, s.execute(ctx, e))
		}
	}
}

func (s *Sender) execute(ctx context.Context, e effect.Effect) event.Event {
	switch e := e.(type) {
	case effect.SendOrder:
		return s.send(ctx, e)
	case effect.ReadOrder:
		return s.read(ctx, e)
	default:
		return event.Tick{}
	}
}

// send sends an order, unless its deadline NotAfter has passed.
func (s *Sender) send(ctx context.Context, e effect.SendOrder) event.Event {
	body, err := json.Marshal(wireOrder{Epoch: e.Epoch, Seq: e.Seq, Intent: wireIntent{
		Action:       strings.TrimPrefix(e.Intent.Action.String(), "Order"),
		Role:         roleName(e.Intent),
		Model:        e.Intent.Model,
		ModelVersion: e.Intent.ModelVersion,
		Adapter:      e.Intent.Adapter,
	}})
	if err != nil {
		return event.SendFailed{Op: e.Op}
	}
	status, responseBody, err := s.call(ctx, e.Upstream, http.MethodPost, body, e.NotAfter)
	var refusal wireRefusal
	switch {
	case err != nil:
		return event.SendFailed{Op: e.Op}
	case status == http.StatusOK:
		return event.SendAnswered{Op: e.Op, Result: model.SendAccepted}
	case json.Unmarshal(responseBody, &refusal) != nil || refusal.Execution != model.NotRun.String():
		return event.SendFailed{Op: e.Op}
	case refusal.Reason == "OldEpoch":
		return event.SendAnswered{Op: e.Op, Result: model.SendStale}
	default:
		return event.SendAnswered{Op: e.Op, Result: model.SendRefused}
	}
}

func (s *Sender) read(ctx context.Context, e effect.ReadOrder) event.Event {
	status, responseBody, err := s.call(ctx, e.Upstream, http.MethodGet, nil, s.now().Add(readTimeout))
	var orders wireOrders
	if err != nil || status != http.StatusOK || json.Unmarshal(responseBody, &orders) != nil {
		return event.SendFailed{Op: e.Op}
	}
	return event.LastOrderRead{Op: e.Op, Found: orders.Last.Seq > 0, Seq: orders.Last.Seq}
}

// call sends an HTTP request on a new connection. The request is sent before
// notAfter or not at all.
func (s *Sender) call(
	ctx context.Context, name model.UpstreamName, method string, body []byte, notAfter time.Time,
) (status int, responseBody []byte, _ error) {
	upstream, ok := s.lookup(name)
	if !ok {
		return 0, nil, unknownUpstream.New("upstream %q is not configured", name)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+upstream.Address+"/orders", bytes.NewReader(body))
	if err != nil {
		return 0, nil, invalid.Wrap(err, "create request to upstream %q", name)
	}
	var encoded bytes.Buffer
	if err := request.Write(&encoded); err != nil {
		return 0, nil, invalid.Wrap(err, "encode request to upstream %q", name)
	}
	sendBy := clock.ToRuntime(notAfter, s.now())
	dialer := net.Dialer{Deadline: sendBy, Control: setTCPUserTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", upstream.Address)
	if err != nil {
		return 0, nil, unreachable.Wrap(err, "connect to upstream %q", name)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetWriteDeadline(sendBy); err != nil {
		return 0, nil, unreachable.Wrap(err, "set write deadline for upstream %q", name)
	}
	if err := conn.SetReadDeadline(sendBy.Add(responseTimeout)); err != nil {
		return 0, nil, unreachable.Wrap(err, "set read deadline for upstream %q", name)
	}
	if !s.now().Before(notAfter) {
		return 0, nil, tooLate.New("request to upstream %q was not sent before %s", name, notAfter)
	}
	if _, err := conn.Write(encoded.Bytes()); err != nil {
		return 0, nil, unreachable.Wrap(err, "write to upstream %q", name)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return 0, nil, unanswered.Wrap(err, "read response of upstream %q", name)
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, unanswered.Wrap(err, "read response of upstream %q", name)
	}
	return response.StatusCode, responseBody, nil
}

func roleName(intent model.OrderIntent) string {
	if intent.Action != model.OrderSetRole {
		return ""
	}
	return strings.TrimPrefix(intent.Role.String(), "Role")
}

func effectOp(e effect.Effect) (model.Op, bool) {
	switch e := e.(type) {
	case effect.SendOrder:
		return e.Op, true
	case effect.ReadOrder:
		return e.Op, true
	default:
		return model.Op{}, false
	}
}

// setTCPUserTimeout limits how long the kernel retransmits unacknowledged data.
func setTCPUserTimeout(_, _ string, conn syscall.RawConn) error {
	var optErr error
	err := conn.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
