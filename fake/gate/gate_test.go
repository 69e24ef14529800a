package gate

import (
	"slices"
	"testing"
	"time"

	"caroblane/core/step"
)

// echo is a machine that counts its events and answers each with the count.
type echo struct{ count int }

type echoed struct {
	ticket uint64
	count  int
}

func (echoed) Last() bool   { return true }
func (e echoed) To() uint64 { return e.ticket }

// Apply takes the ticket as event.
func (s echo) Apply(in step.Input[uint64]) (echo, []echoed) {
	s.count++
	return s, []echoed{{ticket: in.Event, count: s.count}}
}

func (echo) Next() time.Time { return time.Time{} }

// TestFaults guards against a fault that has the wrong effect on the machine
// behind the gate: tests of the node would then prove nothing.
func TestFaults(t *testing.T) {
	start := time.Unix(1000, 0)
	call := func(ticket uint64) Call[uint64] {
		return Call[uint64]{Ticket: ticket, Client: "n1", Write: true, Inner: ticket}
	}
	change := func(f Faults) Change[uint64] { return Change[uint64]{Faults: f} }
	for name, c := range map[string]struct {
		events []Event[uint64]
		// after is the time between two events.
		after time.Duration
		want  []Effect[echoed]
		count int
	}{
		"none":     {[]Event[uint64]{call(1)}, 0, []Effect[echoed]{{1, Pass, echoed{1, 1}}}, 1},
		"down":     {[]Event[uint64]{change(Faults{Down: true}), call(1)}, 0, []Effect[echoed]{{Ticket: 1, Action: Hangup}}, 0},
		"cut off":  {[]Event[uint64]{change(Faults{DropClients: []string{"n1"}}), call(1)}, 0, []Effect[echoed]{{Ticket: 1, Action: Hangup}}, 0},
		"lost one": {[]Event[uint64]{change(Faults{LoseAnswers: 1}), call(1), call(2)}, 0, []Effect[echoed]{{Ticket: 1, Action: Hangup}, {2, Pass, echoed{2, 2}}}, 2},
		"lost all": {[]Event[uint64]{change(Faults{LoseAnswersAfterWrite: true}), call(1), call(2)}, 0, []Effect[echoed]{{Ticket: 1, Action: Hangup}, {Ticket: 2, Action: Hangup}}, 2},
		"paused":   {[]Event[uint64]{change(Faults{Pause: true}), call(1)}, 0, nil, 0},
		"resumed":  {[]Event[uint64]{change(Faults{Pause: true}), call(1), change(Faults{})}, 0, []Effect[echoed]{{1, Pass, echoed{1, 1}}}, 1},
		"paused, then down": {
			[]Event[uint64]{change(Faults{Pause: true}), call(1), change(Faults{Down: true})},
			0,
			[]Effect[echoed]{{Ticket: 1, Action: Hangup}},
			0,
		},
		"slow, not due": {[]Event[uint64]{change(Faults{SlowBy: time.Minute}), call(1), Tick[uint64]{}}, time.Second, nil, 1},
		"slow, due":     {[]Event[uint64]{change(Faults{SlowBy: time.Second}), call(1), Tick[uint64]{}}, time.Second, []Effect[echoed]{{1, Pass, echoed{1, 1}}}, 1},
		"rate": {
			[]Event[uint64]{change(Faults{WritesPerSecond: 1}), call(1), call(2)},
			time.Millisecond,
			[]Effect[echoed]{{1, Pass, echoed{1, 1}}, {Ticket: 2, Action: Limit}},
			1,
		},
		"rate refilled": {
			[]Event[uint64]{change(Faults{WritesPerSecond: 1}), call(1), call(2)},
			time.Second,
			[]Effect[echoed]{{1, Pass, echoed{1, 1}}, {2, Pass, echoed{2, 2}}},
			2,
		},
	} {
		s := New[echo, uint64, echoed](echo{}, 0, func(ticket uint64) uint64 { return ticket })
		var got []Effect[echoed]
		at := start
		for _, e := range c.events {
			at = at.Add(c.after)
			var out []Effect[echoed]
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

// mute is a machine that never answers.
type mute struct{ gone []uint64 }

func (s mute) Apply(in step.Input[uint64]) (mute, []echoed) {
	if in.Event > 100 {
		s.gone = append(slices.Clone(s.gone), in.Event-100)
	}
	return s, nil
}

func (mute) Next() time.Time { return time.Time{} }

// TestSever guards against an open watch or stream that still gets answers from
// a system that is down or behind a partition.
func TestSever(t *testing.T) {
	s := New[mute, uint64, echoed](mute{}, 0, func(ticket uint64) uint64 { return ticket + 100 })
	apply := func(e Event[uint64]) (out []Effect[echoed]) {
		s, out = s.Apply(step.Input[Event[uint64]]{At: time.Unix(1, 0), Event: e})
		return out
	}
	apply(Call[uint64]{Ticket: 1, Client: "n1", Inner: 1})
	apply(Call[uint64]{Ticket: 2, Client: "n2", Inner: 2})
	apply(Call[uint64]{Ticket: 3, Client: "n2", Inner: 3})
	apply(Gone[uint64]{Ticket: 3})
	out := apply(Change[uint64]{Faults: Faults{DropClients: []string{"n1"}}})
	if len(out) != 1 || out[0] != (Effect[echoed]{Ticket: 1, Action: Hangup}) {
		t.Errorf("partition: got %v", out)
	}
	if out = apply(Change[uint64]{Faults: Faults{Down: true}}); len(out) != 1 || out[0].Ticket != 2 {
		t.Errorf("outage: got %v", out)
	}
	if !slices.Equal(s.Inner().gone, []uint64{3, 1, 2}) {
		t.Errorf("machine was told of %v", s.Inner().gone)
	}
}
