package store

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"caroblane/core/step"
)

// apply applies an event and returns its only response.
func apply(t rapid.TB, s State, at time.Time, e Event) (State, Response) {
	t.Helper()
	s, out := s.Apply(step.Input[Event]{At: at, Event: e})
	if len(out) != 1 {
		t.Fatalf("%T: %d responses", e, len(out))
	}
	return s, out[0]
}

// TestWatchHistory guards against a watch that skips a write which is still in
// the log, delivers writes out of order, or misses the last write of an object.
func TestWatchHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := DefaultLimits()
		limits.LogWrites = rapid.IntRange(1, 8).Draw(t, "log")
		s := NewState(limits)
		at := time.Unix(1000, 0)
		versions := map[string]uint64{}
		generations := map[string]uint64{}
		writes := []Object{}
		// The reader's replica of the store.
		var after uint64
		replica := map[string]Object{}
		// Writes up to this revision may have been coalesced. A page that is
		// not marked as coalesced can follow one that is, because it starts
		// within the log.
		var coalescedUpto uint64
		read := func() {
			for more := true; more; {
				limit := rapid.IntRange(1, 4).Draw(t, "limit")
				var a Response
				s, a = apply(t, s, at, Watch{Ticket: 1, After: after, Limit: limit, Kinds: []string{"A", "B"}, Until: at})
				page := a.Body.(Page)
				if len(page.Objects) > limit {
					t.Fatalf("%d objects, limit %d", len(page.Objects), limit)
				}
				if page.Coalesced {
					coalescedUpto = page.Revision
				}
				last := after
				for _, o := range page.Objects {
					if o.Version <= last {
						t.Fatalf("version %d after %d", o.Version, last)
					}
					last = o.Version
					previous := replica[o.Kind+"/"+o.Name]
					if o.Version > coalescedUpto && o.Generation != previous.Generation+1 {
						t.Fatalf("generation %d after %d at version %d, coalesced up to %d", o.Generation, previous.Generation, o.Version, coalescedUpto)
					}
					replica[o.Kind+"/"+o.Name] = o
				}
				if page.Next != last {
					t.Fatalf("next is %d after %d", page.Next, last)
				}
				after, more = page.Next, page.More
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				kind := rapid.SampledFrom([]string{"A", "B", "Other"}).Draw(t, "kind")
				name := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "name")
				id := kind + "/" + name
				matching := rapid.IntRange(0, 4).Draw(t, "right") > 0
				e := Put{Ticket: 2, Kind: kind, Name: name, IfVersion: versions[id], Value: json.RawMessage("1")}
				e.Delete = versions[id] > 0 && rapid.Bool().Draw(t, "delete")
				if !matching {
					e.IfVersion += 1000
				}
				var a Response
				s, a = apply(t, s, at, e)
				if !matching {
					if a.Status != http.StatusPreconditionFailed {
						t.Fatalf("wrong version: status %d", a.Status)
					}
					return
				}
				o := a.Body.(Object)
				generations[id]++
				if o.Generation != generations[id] || o.Version != uint64(len(writes)+1) {
					t.Fatalf("%s: generation %d, version %d after %d writes", id, o.Generation, o.Version, len(writes))
				}
				versions[id] = o.Version
				if e.Delete {
					versions[id] = 0
				}
				writes = append(writes, o)
			},
			"read": func(*rapid.T) { read() },
		})
		read()
		latest := map[string]Object{}
		for _, o := range writes {
			if o.Kind != "Other" {
				latest[o.Kind+"/"+o.Name] = o
			}
		}
		if fmt.Sprint(replica) != fmt.Sprint(latest) {
			t.Fatalf("reader has %v, store has %v", replica, latest)
		}
	})
}

// TestLongPoll guards against a watch that gets no response after a matching write,
// gets one after another write, or does not time out.
func TestLongPoll(t *testing.T) {
	at := time.Unix(1000, 0)
	s := NewState(DefaultLimits())
	s, out := s.Apply(step.Input[Event]{At: at, Event: Watch{Ticket: 1, Limit: 9, Kinds: []string{"A"}, Until: at.Add(time.Second)}})
	if len(out) != 0 || !s.Next().Equal(at.Add(time.Second)) {
		t.Fatalf("responses %v, next %s", out, s.Next())
	}
	s, out = s.Apply(step.Input[Event]{At: at, Event: Put{Ticket: 2, Kind: "B", Name: "x"}})
	if len(out) != 1 {
		t.Fatalf("write of another kind: %v", out)
	}
	s, out = s.Apply(step.Input[Event]{At: at, Event: Put{Ticket: 3, Kind: "A", Name: "x"}})
	if len(out) != 2 || out[1].Ticket != 1 || out[1].Body.(Page).Next != 2 {
		t.Fatalf("write: %v", out)
	}
	s, _ = s.Apply(step.Input[Event]{At: at, Event: Watch{Ticket: 4, After: 2, Limit: 9, Until: at.Add(time.Second)}})
	s, _ = s.Apply(step.Input[Event]{At: at, Event: Watch{Ticket: 5, After: 2, Limit: 9, Until: at.Add(time.Minute)}})
	s, _ = s.Apply(step.Input[Event]{At: at, Event: Disconnected{Ticket: 5}})
	s, out = s.Apply(step.Input[Event]{At: at.Add(time.Second), Event: Tick{}})
	if len(out) != 1 || out[0].Ticket != 4 || len(out[0].Body.(Page).Objects) != 0 || !s.Next().IsZero() {
		t.Fatalf("after the timeout: %v, next %s", out, s.Next())
	}
}

// TestPlatform guards against a fake platform that hides what tests look
// for: repeated usage reports, a VM list that is out of date, an exceeded rate
// limit.
func TestPlatform(t *testing.T) {
	at := time.Unix(1000, 0)
	limits := DefaultLimits()
	s := NewState(limits)
	for i := range 2 {
		s, _ = apply(t, s, at, PostUsage{Ticket: 1, Report: Report{Window: "7", Usage: json.RawMessage(fmt.Sprint(i))}})
	}
	if reports := s.Reports(); len(reports) != 2 || string(reports[1].Usage) != "1" {
		t.Errorf("reports %v", reports)
	}
	s, _ = s.Apply(step.Input[Event]{At: at, Event: SetVMs{VMs: []VM{{Name: "n1"}}}})
	for _, c := range []struct {
		at   time.Time
		want int
	}{{at, 0}, {at.Add(limits.VMLag - 1), 0}, {at.Add(limits.VMLag), 1}} {
		var a Response
		if s, a = apply(t, s, c.at, GetVMs{Ticket: 1}); len(a.Body.(vmsBody).VMs) != c.want {
			t.Errorf("after %s: %v", c.at.Sub(at), a.Body)
		}
	}
	for i, want := range []int{200, 200, 429} {
		var a Response
		if s, a = apply(t, s, at, GetWeights{Ticket: 1, Model: "m"}); a.Status != want {
			t.Errorf("fetch %d: status %d, want %d", i, a.Status, want)
		}
	}
	big := make(json.RawMessage, limits.ValueBytes+1)
	if _, a := apply(t, s, at, Put{Ticket: 1, Kind: "A", Name: "x", Value: big}); a.Status != http.StatusRequestEntityTooLarge {
		t.Errorf("oversized value: status %d", a.Status)
	}
}
