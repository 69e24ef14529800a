package gate

import (
	"slices"
	"testing"
	"time"

	"caroblane/core/step"
)

// echoMachine counts its events and responds to each with the count.
type echoMachine struct{ count int }

type echoResponse struct {
	ticket uint64
	count  int
}

func (echoResponse) Final() bool         { return true }
func (e echoResponse) Recipient() uint64 { return e.ticket }

// Apply takes the ticket as event.
func (s echoMachine) Apply(in step.Input[uint64]) (echoMachine, []echoResponse) {
	s.count++
	return s, []echoResponse{{ticket: in.Event, count: s.count}}
}

func (echoMachine) Next() time.Time { return time.Time{} }

// TestFaults guards against faults with a wrong effect on the inner machine.
// Tests that inject faults between an entry node and a remote system would then
// prove nothing.
func TestFaults(t *testing.T) {
	start := time.Unix(1000, 0)
	call := func(ticket uint64) Call[uint64] {
		return Call[uint64]{Ticket: ticket, Client: "n1", Write: true, Inner: ticket}
	}
	change := func(f Faults) SetFaults[uint64] { return SetFaults[uint64]{Faults: f} }
	for name, c := range map[string]struct {
		events []Event[uint64]
		// after is the time before each event.
		after time.Duration
		want  []Effect[echoResponse]
		count int
	}{
		"none":     {[]Event[uint64]{call(1)}, 0, []Effect[echoResponse]{{1, Deliver, echoResponse{1, 1}}}, 1},
		"down":     {[]Event[uint64]{change(Faults{Down: true}), call(1)}, 0, []Effect[echoResponse]{{Ticket: 1, Action: Abort}}, 0},
		"cut off":  {[]Event[uint64]{change(Faults{DropClients: []string{"n1"}}), call(1)}, 0, []Effect[echoResponse]{{Ticket: 1, Action: Abort}}, 0},
		"lost one": {[]Event[uint64]{change(Faults{LoseAnswers: 1}), call(1), call(2)}, 0, []Effect[echoResponse]{{Ticket: 1, Action: Abort}, {2, Deliver, echoResponse{2, 2}}}, 2},
		"lost all": {[]Event[uint64]{change(Faults{LoseAnswersAfterWrite: true}), call(1), call(2)}, 0, []Effect[echoResponse]{{Ticket: 1, Action: Abort}, {Ticket: 2, Action: Abort}}, 2},
		"paused":   {[]Event[uint64]{change(Faults{Pause: true}), call(1)}, 0, nil, 0},
		"resumed":  {[]Event[uint64]{change(Faults{Pause: true}), call(1), change(Faults{})}, 0, []Effect[echoResponse]{{1, Deliver, echoResponse{1, 1}}}, 1},
		"paused, then down": {
			[]Event[uint64]{change(Faults{Pause: true}), call(1), change(Faults{Down: true})},
			0,
			[]Effect[echoResponse]{{Ticket: 1, Action: Abort}},
			0,
		},
		"slow, not due": {[]Event[uint64]{change(Faults{SlowBy: time.Minute}), call(1), Tick[uint64]{}}, time.Second, nil, 1},
		"slow, due":     {[]Event[uint64]{change(Faults{SlowBy: time.Second}), call(1), Tick[uint64]{}}, time.Second, []Effect[echoResponse]{{1, Deliver, echoResponse{1, 1}}}, 1},
		"rate": {
			[]Event[uint64]{change(Faults{WritesPerSecond: 1}), call(1), call(2)},
			time.Millisecond,
			[]Effect[echoResponse]{{1, Deliver, echoResponse{1, 1}}, {Ticket: 2, Action: RateLimit}},
			1,
		},
		"rate refilled": {
			[]Event[uint64]{change(Faults{WritesPerSecond: 1}), call(1), call(2)},
			time.Second,
			[]Effect[echoResponse]{{1, Deliver, echoResponse{1, 1}}, {2, Deliver, echoResponse{2, 2}}},
			2,
		},
	} {
		s := New[echoMachine, uint64, echoResponse](echoMachine{}, 0, func(ticket uint64) uint64 { return ticket })
		var got []Effect[echoResponse]
		at := start
		for _, e := range c.events {
			at = at.Add(c.after)
			var out []Effect[echoResponse]
			s, out = s.Apply(step.Input[Event[uint64]]{At: at, Event: e})
			got = append(got, out...)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
		if s.Inner().count != c.count {
			t.Errorf("%s: %d calls took effect, want %d", name, s.Inner().count, c.count)
		}
	}
}

// silentMachine never responds.
type silentMachine struct{ disconnected []uint64 }

func (s silentMachine) Apply(in step.Input[uint64]) (silentMachine, []echoResponse) {
	if in.Event > 100 {
		s.disconnected = append(slices.Clone(s.disconnected), in.Event-100)
	}
	return s, nil
}

func (silentMachine) Next() time.Time { return time.Time{} }

// TestAbortOpenCalls guards against open watches and streams that still get
// responses while the system is down or unreachable.
func TestAbortOpenCalls(t *testing.T) {
	s := New[silentMachine, uint64, echoResponse](silentMachine{}, 0, func(ticket uint64) uint64 { return ticket + 100 })
	apply := func(e Event[uint64]) (out []Effect[echoResponse]) {
		s, out = s.Apply(step.Input[Event[uint64]]{At: time.Unix(1, 0), Event: e})
		return out
	}
	apply(Call[uint64]{Ticket: 1, Client: "n1", Inner: 1})
	apply(Call[uint64]{Ticket: 2, Client: "n2", Inner: 2})
	apply(Call[uint64]{Ticket: 3, Client: "n2", Inner: 3})
	apply(Disconnected[uint64]{Ticket: 3})
	out := apply(SetFaults[uint64]{Faults: Faults{DropClients: []string{"n1"}}})
	if len(out) != 1 || out[0] != (Effect[echoResponse]{Ticket: 1, Action: Abort}) {
		t.Errorf("partition: got %v", out)
	}
	if out = apply(SetFaults[uint64]{Faults: Faults{Down: true}}); len(out) != 1 || out[0].Ticket != 2 {
		t.Errorf("outage: got %v", out)
	}
	if !slices.Equal(s.Inner().disconnected, []uint64{3, 1, 2}) {
		t.Errorf("inner machine got disconnects of %v", s.Inner().disconnected)
	}
}
