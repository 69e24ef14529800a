package serve

import (
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"caroblane/core/step"
	"caroblane/fake/gate"
)

// quiet is a machine that does nothing.
type quiet struct{}

// token is an answer of which more may follow.
type token struct{ ticket uint64 }

func (q quiet) Apply(step.Input[int]) (quiet, []token) { return q, nil }
func (quiet) Next() time.Time                          { return time.Time{} }
func (t token) Recipient() uint64                      { return t.ticket }
func (token) Final() bool                              { return false }

// TestHangupIsLast guards against a caller that waits forever because an answer
// that its machine gave at the end of the call replaced the hangup that the
// caller had not taken yet.
func TestHangupIsLast(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	initial := gate.New[quiet, int, token](quiet{}, 0, func(uint64) int { return 0 })
	g := NewGated[quiet, int, token](listener, initial, Newest[token], rand.New(rand.NewPCG(1, 2)), time.Now)
	ticket, answers := g.desk.Open()
	for _, effect := range []gate.Effect[token]{
		{Ticket: ticket, Inner: token{ticket}},
		{Ticket: ticket, Action: gate.Abort},
		{Ticket: ticket, Inner: token{ticket}},
	} {
		g.Execute(t.Context(), effect)
	}
	if got := <-answers; got.Action != gate.Abort {
		t.Errorf("the caller gets action %v, want a hangup", got.Action)
	}
}

// TestFaultsInForce guards against faults that are acknowledged before they are
// in force: what a caller reads next then shows the old ones.
func TestFaultsInForce(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	initial := gate.New[quiet, int, token](quiet{}, 0, func(uint64) int { return 0 })
	g := NewGated[quiet, int, token](listener, initial, Newest[token], rand.New(rand.NewPCG(1, 2)), time.Now)
	go g.loop.Run(t.Context())
	for i := range 1000 {
		want := gate.Faults{SlowBy: time.Duration(i)}
		if err := g.SetFaults(t.Context(), want); err != nil {
			t.Fatal(err)
		}
		if got := g.Snapshot().Faults(); got.SlowBy != want.SlowBy {
			t.Fatalf("change %d: faults %+v, want %+v", i, got, want)
		}
	}
}
