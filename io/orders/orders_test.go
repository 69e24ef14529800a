package orders

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/fake/engine"
)

// eventQueue is a Poster that collects events.
type eventQueue chan event.Event

func (q eventQueue) Post(_ context.Context, e event.Event) error {
	q <- e
	return nil
}

// startSender runs a sender and a fake engine that is known as upstream "e". It
// returns the engine's address, the sender and its posted events.
func startSender(t *testing.T) (address string, sender *Sender, posted eventQueue) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	fake := engine.New(listener, engine.NewState(engine.FastSettings()), rand.New(rand.NewPCG(1, 2)), time.Now)
	ended := make(chan error, 1)
	go func() { ended <- fake.Run(ctx) }()
	address = listener.Addr().String()
	posted = make(eventQueue, 16)
	sender = New(func(name model.UpstreamName) (model.Upstream, bool) {
		return model.Upstream{Name: name, Address: address}, name == "e"
	}, posted, time.Now)
	go sender.Run(ctx)
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		<-sender.Done()
	})
	return address, sender, posted
}

func newOrder(seq uint64, epoch model.Epoch) effect.SendOrder {
	return effect.SendOrder{
		Op: model.Op{Part: model.PartOrder, Seq: seq}, Upstream: "e", Seq: seq, Epoch: epoch,
		Intent:   model.OrderIntent{Action: model.OrderSetRole, Role: model.RoleDecode},
		NotAfter: time.Now().Add(2 * time.Second),
	}
}

// TestSendOrder guards against an order whose result is reported wrongly, and
// against one that is sent after its deadline.
func TestSendOrder(t *testing.T) {
	answered := func(seq uint64, result model.SendResult) event.Event {
		return event.SendAnswered{Op: model.Op{Part: model.PartOrder, Seq: seq}, Result: result}
	}
	failed := func(seq uint64) event.Event {
		return event.SendFailed{Op: model.Op{Part: model.PartOrder, Seq: seq}}
	}
	late := newOrder(2, 5)
	late.NotAfter = time.Now().Add(-time.Millisecond)
	elsewhere := newOrder(2, 5)
	elsewhere.Upstream = "unknown"
	malformed := newOrder(2, 5)
	malformed.Intent = model.OrderIntent{Action: model.OrderLoadModel}
	tests := []struct {
		name   string
		faults string
		send   effect.SendOrder
		want   event.Event
		// last is the sequence number of the engine's last order afterwards.
		last uint64
	}{
		{"accepted", "", newOrder(2, 5), answered(2, model.SendAccepted), 2},
		{"old epoch", "", newOrder(2, 3), answered(2, model.SendStale), 1},
		{"refused by the engine", "", malformed, answered(2, model.SendRefused), 1},
		{"deadline has passed", "", late, failed(2), 1},
		{"unknown upstream", "", elsewhere, failed(2), 1},
		{"response is lost after the order took effect", `{"LoseAnswers":1}`, newOrder(2, 5), failed(2), 2},
		{"engine closes the connection", `{"Down":true}`, newOrder(2, 5), failed(2), 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, sender, posted := startSender(t)
			ctx := context.Background()
			sender.Execute(ctx, newOrder(1, 4))
			if diff := cmp.Diff(answered(1, model.SendAccepted), <-posted); diff != "" {
				t.Fatalf("first order (-want +got):\n%s", diff)
			}
			setFaults(t, address, test.faults)
			sender.Execute(ctx, test.send)
			if diff := cmp.Diff(test.want, <-posted); diff != "" {
				t.Errorf("result (-want +got):\n%s", diff)
			}
			setFaults(t, address, `{}`)
			read := model.Op{Part: model.PartOrder, Seq: 99}
			sender.Execute(ctx, effect.ReadOrder{Op: read, Upstream: "e"})
			if diff := cmp.Diff(event.Event(event.LastOrderRead{Op: read, Found: true, Seq: test.last}), <-posted); diff != "" {
				t.Errorf("last order (-want +got):\n%s", diff)
			}
		})
	}
}

func setFaults(t *testing.T, address, faults string) {
	t.Helper()
	if faults == "" {
		return
	}
	response, err := http.Post("http://"+address+"/faults", "application/json", strings.NewReader(faults))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		t.Fatalf("faults %s: %s", faults, response.Status)
	}
}
