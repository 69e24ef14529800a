package serve

import (
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"caroblane/core/step"
	"caroblane/fake/gate"
)

type noopMachine struct{}

// partialEffect is an effect that is not the last one of its call.
type partialEffect struct{ ticket uint64 }

func (q noopMachine) Apply(step.Input[int]) (noopMachine, []partialEffect) { return q, nil }
func (noopMachine) Next() time.Time                                        { return time.Time{} }
func (t partialEffect) Recipient() uint64                                  { return t.ticket }
func (partialEffect) Final() bool                                          { return false }

// TestAbortIsFinal guards against callers that wait forever: an effect that the
// machine returns while the call ends must not replace an abort that the caller
// has not received yet.
func TestAbortIsFinal(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	initial := gate.New[noopMachine, int, partialEffect](noopMachine{}, 0, func(uint64) int { return 0 })
	s := NewServer[noopMachine, int, partialEffect](listener, initial, KeepLatest[partialEffect], rand.New(rand.NewPCG(1, 2)), time.Now)
	ticket, effects := s.waiters.Register()
	for _, effect := range []gate.Effect[partialEffect]{
		{Ticket: ticket, Inner: partialEffect{ticket}},
		{Ticket: ticket, Action: gate.Abort},
		{Ticket: ticket, Inner: partialEffect{ticket}},
	} {
		s.Execute(t.Context(), effect)
	}
	if got := <-effects; got.Action != gate.Abort {
		t.Errorf("caller gets action %v, want Abort", got.Action)
	}
}

// TestFaultsInForce guards against faults that are acknowledged before they are
// in force, so that the next read returns the old ones.
func TestFaultsInForce(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	initial := gate.New[noopMachine, int, partialEffect](noopMachine{}, 0, func(uint64) int { return 0 })
	s := NewServer[noopMachine, int, partialEffect](listener, initial, KeepLatest[partialEffect], rand.New(rand.NewPCG(1, 2)), time.Now)
	go s.loop.Run(t.Context())
	for i := range 1000 {
		want := gate.Faults{SlowBy: time.Duration(i)}
		if err := s.SetFaults(t.Context(), want); err != nil {
			t.Fatal(err)
		}
		if got := s.Snapshot().Faults(); got.SlowBy != want.SlowBy {
			t.Fatalf("change %d: faults %+v, want %+v", i, got, want)
		}
	}
}
