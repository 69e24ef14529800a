package slice

import (
	"container/heap"
	"reflect"
	"testing"
	"time"

	"caroblane/core/policy"
)

// short is a load with each kind of event in 15 s, the last 5 s without arrivals.
func short() Config {
	c := Default()
	c.Load.Phases = []Phase{{5 * time.Second, 95, 400, 120}, {10 * time.Second, 40, 3000, 60}}
	c.Load.End, c.Load.Drain = 10*time.Second, 5*time.Second
	c.Faults = []Fault{{At: 4 * time.Second, Engines: []int{8, 0}}, {At: 7 * time.Second, Engines: []int{8}, Up: true}}
	return c
}

// TestApplyTwice guards against an event that changes the state that it is
// applied to, through a slice that both states share.
func TestApplyTwice(t *testing.T) {
	c := short()
	p := newFollowing(c, newPreset(c, policy.Qalam(c.Engine.PrefillRate, c.Engine.DecodeRate)))
	s := newState(c, p)
	l := &loop[following[preset]]{results: append([]job(nil), s.jobs...), ends: make([]int, len(s.jobs))}
	l.take(s.begin())
	for len(l.events) > 0 && l.state.now < c.Load.End+c.Load.Drain {
		e := heap.Pop(&l.events).(event)
		first, second := l.state.apply(e), l.state.apply(e)
		if !reflect.DeepEqual(first.effects, second.effects) || !reflect.DeepEqual(first.engines, second.engines) {
			t.Fatalf("at %v, kind %d: a second Apply of the event differs", e.at, e.kind)
		}
		l.take(first)
	}
	if l.state.cuts == 0 || l.state.changes == 0 {
		t.Errorf("%d cuts, %d role changes: the load has not all kinds of events", l.state.cuts, l.state.changes)
	}
}

// TestOneToken guards against a slot that stays in use after a request whose
// first token, from another engine than the others', is also its last one.
func TestOneToken(t *testing.T) {
	c := short()
	c.Faults = nil
	c.Load.Phases = []Phase{{10 * time.Second, 20, 400, 1}}
	c.Load.Drain = time.Minute
	for _, r := range Rows() {
		if f, err := r.Run(c); err != nil || f.Unended != 0 || f.HeldSlots != 0 || f.Good == 0 {
			t.Errorf("%s: %d requests without an end, %d slots held, %v good/s, error %v", r.Name, f.Unended, f.HeldSlots, f.Good, err)
		}
	}
}
