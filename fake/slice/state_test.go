package slice

import (
	"container/heap"
	"reflect"
	"testing"
	"time"

	"caroblane/core/policy"
)

// shortConfig returns a load of 15 s that causes each kind of event, with no arrivals
// in the last 5 s.
func shortConfig() Config {
	c := Default()
	c.Load.Phases = []Phase{{5 * time.Second, 95, 400, 120}, {10 * time.Second, 40, 3000, 60}}
	c.Load.End, c.Load.Drain = 10*time.Second, 5*time.Second
	c.Faults = []Fault{{At: 4 * time.Second, Engines: []int{8, 0}}, {At: 7 * time.Second, Engines: []int{8}, Up: true}}
	return c
}

// TestApplyTwice guards against an event that modifies the state it is applied to, for
// example through a slice that both states share.
func TestApplyTwice(t *testing.T) {
	c := shortConfig()
	p := newReactive(c, newPreset(c, policy.Qalam(c.Engine.PrefillRate, c.Engine.DecodeRate)))
	s := newState(c, p)
	l := &simulation[reactive[preset]]{results: append([]job(nil), s.jobs...), ends: make([]int, len(s.jobs))}
	l.commit(s.withInitialEvents())
	for len(l.events) > 0 && l.state.now < c.Load.End+c.Load.Drain {
		e := heap.Pop(&l.events).(event)
		first, second := l.state.apply(e), l.state.apply(e)
		if !reflect.DeepEqual(first.effects, second.effects) || !reflect.DeepEqual(first.engines, second.engines) {
			t.Fatalf("at %v, kind %d: applying the event a second time gave a different result", e.at, e.kind)
		}
		l.commit(first)
	}
	if l.state.interrupted == 0 || l.state.roleChanges == 0 {
		t.Errorf("%d interrupted requests, %d role changes: the load does not cover all kinds of events", l.state.interrupted, l.state.roleChanges)
	}
}

// TestOneToken guards against a request with a single output token that keeps its slot
// on the decode engine. It never reaches that engine, because the prefill engine
// generates the first token.
func TestOneToken(t *testing.T) {
	c := shortConfig()
	c.Faults = nil
	c.Load.Phases = []Phase{{10 * time.Second, 20, 400, 1}}
	c.Load.Drain = time.Minute
	for _, r := range Rows() {
		if f, err := r.Run(c); err != nil || f.Unended != 0 || f.HeldSlots != 0 || f.Good == 0 {
			t.Errorf("%s: %d requests did not end exactly once, %d slots still in use, %v good/s, error %v", r.Name, f.Unended, f.HeldSlots, f.Good, err)
		}
	}
}
