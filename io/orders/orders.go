// Package orders sends the orders of a region's lease holder to engines, each on
// a connection of its own, so that no order leaves after its last moment.
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
)

const (
	readTerm        = 2 * time.Second
	maxOrdersAtOnce = 32
	maxOrderAnswer  = 1 << 20
	// orderAnswerTerm is how long an engine may take to answer an order that
	// was sent in time.
	orderAnswerTerm = 2 * time.Second
	// unacknowledgedTerm ends a connection whose data the engine's VM does not
	// acknowledge, so that the kernel does not deliver an order later.
	unacknowledgedTerm = 2 * time.Second
)

// Errors is the namespace of this layer's errors.
var Errors = errorx.NewNamespace("orders")

// The types of errors of a call to an engine.
var (
	invalid     = Errors.NewType("invalid")
	tooLate     = Errors.NewType("too_late")
	unanswered  = Errors.NewType("unanswered")
	unknown     = Errors.NewType("unknown_upstream")
	unreachable = Errors.NewType("unreachable")
)

// Poster takes the results of orders.
type Poster interface {
	Post(ctx context.Context, e event.Event) error
}

// Sender carries out the effects on engines.
type Sender struct {
	find   func(model.UpstreamName) (model.Upstream, bool)
	poster Poster
	now    func() time.Time
	queue  chan effect.Effect
	done   chan struct{}
}

// wireOrder is an order as engines take it.
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

// wireOrders is what an engine says of its orders.
type wireOrders struct{ Last struct{ Seq uint64 } }

// wireRefusal is an engine's typed refusal.
type wireRefusal struct{ Reason, Execution string }

// New returns an executor that finds the addresses of engines by find.
func New(
	find func(model.UpstreamName) (model.Upstream, bool), poster Poster, now func() time.Time,
) *Sender {
	return &Sender{
		find:   find,
		poster: poster,
		now:    now,
		queue:  make(chan effect.Effect, maxOrdersAtOnce),
		done:   make(chan struct{}),
	}
}

// Done is closed when Run has returned.
func (o *Sender) Done() <-chan struct{} { return o.done }

// Execute queues SendOrder and ReadOrder and ignores other effects. An order
// that finds the queue full counts as failed.
func (o *Sender) Execute(ctx context.Context, e effect.Effect) {
	op, ok := opOf(e)
	if !ok {
		return
	}
	select {
	case o.queue <- e:
	default:
		go func() { _ = o.poster.Post(ctx, event.SendFailed{Op: op}) }()
	}
}

// Run carries out orders until the context ends.
func (o *Sender) Run(ctx context.Context) {
	defer close(o.done)
	var running sync.WaitGroup
	for range maxOrdersAtOnce {
		running.Go(func() { o.work(ctx) })
	}
	running.Wait()
}

func (o *Sender) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-o.queue:
			_ = o.poster.Post(ctx, o.carryOut(ctx, e))
		}
	}
}

func (o *Sender) carryOut(ctx context.Context, e effect.Effect) event.Event {
	switch e := e.(type) {
	case effect.SendOrder:
		return o.send(ctx, e)
	case effect.ReadOrder:
		return o.read(ctx, e)
	default:
		return event.Tick{}
	}
}

// send transmits an order, unless its last moment has passed.
func (o *Sender) send(ctx context.Context, e effect.SendOrder) event.Event {
	body, err := json.Marshal(wireOrder{Epoch: e.Epoch, Seq: e.Seq, Intent: wireIntent{
		Action:       strings.TrimPrefix(e.Intent.Action.String(), "Order"),
		Role:         roleOf(e.Intent),
		Model:        e.Intent.Model,
		ModelVersion: e.Intent.ModelVersion,
		Adapter:      e.Intent.Adapter,
	}})
	if err != nil {
		return event.SendFailed{Op: e.Op}
	}
	status, answer, err := o.call(ctx, e.Upstream, http.MethodPost, body, e.NotAfter)
	var refusal wireRefusal
	switch {
	case err != nil:
		return event.SendFailed{Op: e.Op}
	case status == http.StatusOK:
		return event.SendAnswered{Op: e.Op, Result: model.SendAccepted}
	case json.Unmarshal(answer, &refusal) != nil || refusal.Execution != model.NotRun.String():
		return event.SendFailed{Op: e.Op}
	case refusal.Reason == "OldEpoch":
		return event.SendAnswered{Op: e.Op, Result: model.SendStale}
	default:
		return event.SendAnswered{Op: e.Op, Result: model.SendRefused}
	}
}

func (o *Sender) read(ctx context.Context, e effect.ReadOrder) event.Event {
	status, answer, err := o.call(ctx, e.Upstream, http.MethodGet, nil, o.now().Add(readTerm))
	var orders wireOrders
	if err != nil || status != http.StatusOK || json.Unmarshal(answer, &orders) != nil {
		return event.SendFailed{Op: e.Op}
	}
	return event.LastOrderRead{Op: e.Op, Found: orders.Last.Seq > 0, Seq: orders.Last.Seq}
}

// call makes one HTTP call on a new connection, whose request leaves before
// notAfter or not at all.
func (o *Sender) call(
	ctx context.Context, name model.UpstreamName, method string, body []byte, notAfter time.Time,
) (status int, answer []byte, _ error) {
	upstream, ok := o.find(name)
	if !ok {
		return 0, nil, unknown.New("upstream %q is not configured", name)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+upstream.Address+"/orders", bytes.NewReader(body))
	if err != nil {
		return 0, nil, invalid.Wrap(err, "orders of %q", name)
	}
	var encoded bytes.Buffer
	if err := request.Write(&encoded); err != nil {
		return 0, nil, invalid.Wrap(err, "order to %q", name)
	}
	dialer := net.Dialer{Deadline: notAfter, Control: limitRetransmission}
	conn, err := dialer.DialContext(ctx, "tcp", upstream.Address)
	if err != nil {
		return 0, nil, unreachable.Wrap(err, "upstream %q", name)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetWriteDeadline(notAfter); err != nil {
		return 0, nil, unreachable.Wrap(err, "upstream %q", name)
	}
	if err := conn.SetReadDeadline(notAfter.Add(orderAnswerTerm)); err != nil {
		return 0, nil, unreachable.Wrap(err, "upstream %q", name)
	}
	if !o.now().Before(notAfter) {
		return 0, nil, tooLate.New("order to %q was not sent before %s", name, notAfter)
	}
	if _, err := conn.Write(encoded.Bytes()); err != nil {
		return 0, nil, unreachable.Wrap(err, "upstream %q", name)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return 0, nil, unanswered.Wrap(err, "upstream %q", name)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(io.LimitReader(response.Body, maxOrderAnswer))
	if err != nil {
		return 0, nil, unanswered.Wrap(err, "upstream %q", name)
	}
	return response.StatusCode, answer, nil
}

func roleOf(intent model.OrderIntent) string {
	if intent.Action != model.OrderSetRole {
		return ""
	}
	return strings.TrimPrefix(intent.Role.String(), "Role")
}

func opOf(e effect.Effect) (model.Op, bool) {
	switch e := e.(type) {
	case effect.SendOrder:
		return e.Op, true
	case effect.ReadOrder:
		return e.Op, true
	default:
		return model.Op{}, false
	}
}

// limitRetransmission bounds how long the kernel sends unacknowledged data.
func limitRetransmission(_, _ string, conn syscall.RawConn) error {
	var failure error
	err := conn.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTerm.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
