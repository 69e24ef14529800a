package member_test

import (
	"testing"
	"time"

	"caroblane/core/event"
	"caroblane/core/member"
	"caroblane/core/model"
	"caroblane/core/step"
)

var start = time.Unix(1_800_000_000, 0)

func apply(s member.State, at time.Duration, e event.Event) (member.State, member.Out) {
	return s.Apply(step.Input[event.Event]{At: start.Add(at), Event: e})
}

func self(name model.NodeName) model.Member {
	return model.Member{Name: name, Address: "10.0.0.1:7600", Zone: "z", Incarnation: 1}
}

// asked returns the peers that are due for an exchange.
func asked(out member.Out) []model.NodeName {
	var names []model.NodeName
	for _, e := range out.Raised {
		if due, ok := e.(event.SyncDue); ok {
			names = append(names, due.Peer.Name)
		}
	}
	return names
}

// TestDiscovery guards against nodes that start at the same time and do not
// find each other, and against a node that counts as synced before the others
// have answered.
func TestDiscovery(t *testing.T) {
	s := member.New(self("b"), start, false)
	s, _ = apply(s, 0, event.Tick{})
	if s.Synced(start) {
		t.Fatal("synced before the nodes were read")
	}
	if !s.Searches() {
		t.Fatal("a node that knows no other does not look for them")
	}
	s, _ = apply(s, 10*time.Millisecond, event.MembersRead{})
	s, _ = apply(s, 20*time.Millisecond, event.MembersRead{Members: []model.Member{self("a"), self("b"), self("c")}})
	if s.Synced(start.Add(30 * time.Millisecond)) {
		t.Error("synced before the other nodes have answered")
	}
	s, out := apply(s, 40*time.Millisecond, event.Tick{})
	if got := asked(out); len(got) != 2 {
		t.Errorf("asked %v, want both nodes, as neither has sent a report", got)
	}
	s, _ = apply(s, 50*time.Millisecond, event.SyncAnswered{Report: model.Report{Member: self("a")}, SentAt: start})
	s, _ = apply(s, 60*time.Millisecond, event.SyncFailed{Peer: "c", Stopped: true})
	if !s.Synced(start.Add(70 * time.Millisecond)) {
		t.Error("not synced although every node has answered or failed to answer")
	}
	if got := len(s.Reachable()); got != 1 {
		t.Errorf("%d reachable nodes, want 1, as the process of the other has ended", got)
	}
	s, out = apply(s, time.Second, event.Tick{})
	if got := asked(out); len(got) != 2 {
		t.Errorf("asked %v, want a, silent for two sync intervals, and c", got)
	}
	if _, out = apply(s, 2*time.Minute, event.Tick{}); len(asked(out)) != 0 {
		t.Error("a node that has been silent for two minutes is still asked")
	}
}

// TestGoneMember guards against machines that are gone for good and are asked for reports, make
// several cells of few nodes, and never are forgotten because nodes tell each other of them.
func TestGoneMember(t *testing.T) {
	s := member.New(self("a"), start, false)
	all := []model.Member{self("a"), self("b")}
	for i := range 20 {
		all = append(all, self(model.NodeName(rune('c'+i))))
	}
	s, _ = apply(s, 0, event.MembersRead{Members: all})
	for _, m := range all[1:] {
		s, _ = apply(s, time.Second, event.SyncAnswered{Report: model.Report{Member: m}, SentAt: start.Add(time.Second)})
	}
	if s.Flat() || len(s.HeardMembers(start.Add(time.Second))) != 21 {
		t.Fatalf("flat %v, %d nodes heard; want several cells of 22 nodes", s.Flat(), len(s.HeardMembers(start.Add(time.Second))))
	}
	for _, m := range all[2:] {
		s, _ = apply(s, 10*time.Second, event.MemberGone{Member: m})
	}
	if heard := s.HeardMembers(start.Add(10 * time.Second)); len(heard) != 1 || heard[0].Name != "b" {
		t.Errorf("tells others of %v, want b only", heard)
	}
	s, _ = apply(s, 21*time.Second, event.SyncAnswered{Report: model.Report{Member: all[1], Seq: 1}, SentAt: start.Add(21 * time.Second)})
	if s, _ = apply(s, 22*time.Second, event.Tick{}); !s.Flat() || s.NodeCount() != 2 {
		t.Errorf("flat %v, %d nodes after 20 of 22 are gone; want one cell of two", s.Flat(), s.NodeCount())
	}
}

// TestWallTime guards against usage windows that follow a step of a single
// clock.
func TestWallTime(t *testing.T) {
	s := member.New(self("a"), start, false)
	for _, name := range []model.NodeName{"b", "c"} {
		s, _ = apply(s, time.Second, event.SyncAnswered{
			Report: model.Report{Member: model.Member{Name: name}, Wall: start.Add(time.Second)}, SentAt: start.Add(time.Second),
		})
	}
	// The clock of c jumps ahead by a minute.
	s, _ = apply(s, 2*time.Second, event.SyncAnswered{
		Report: model.Report{Member: model.Member{Name: "c"}, Wall: start.Add(62 * time.Second)}, SentAt: start.Add(2 * time.Second),
	})
	if got := s.WallTime(start.Add(3 * time.Second)); got.Sub(start) != 3*time.Second {
		t.Errorf("time of day is %v after the start, want 3 s", got.Sub(start))
	}
}

// TestRecorders guards against records that no node keeps because the first
// nodes have lost contact with the store.
func TestRecorders(t *testing.T) {
	s := member.New(self("d"), start, false)
	report := func(name model.NodeName, inContact bool) {
		s, _ = apply(s, time.Minute, event.SyncAnswered{
			Report: model.Report{Member: model.Member{Name: name}, Confirmed: true, InContact: inContact}, SentAt: start.Add(time.Minute),
		})
	}
	for _, name := range []model.NodeName{"a", "b", "c"} {
		report(name, true)
	}
	if s.IsRecorder() {
		t.Error("the fourth node is a recorder although three nodes before it are in contact with the store")
	}
	// The configuration of b is still proven, by its peers.
	report("b", false)
	if !s.IsRecorder() {
		t.Error("the fourth node is not a recorder although one of the three before it has lost contact with the store")
	}
}
