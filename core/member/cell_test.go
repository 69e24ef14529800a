package member_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"caroblane/core/event"
	"caroblane/core/member"
	"caroblane/core/model"
)

// node returns a member of a zone.
func node(zone model.ZoneName, i int) model.Member {
	name := model.NodeName(fmt.Sprintf("%s-%03d", zone, i))
	return model.Member{Name: name, Address: "10.0.0.1:7600", Zone: zone, Incarnation: model.Incarnation(1000*int(zone[0]) + i)}
}

// nodes returns the members of several zones.
func nodes(perZone int, zones ...model.ZoneName) []model.Member {
	var list []model.Member
	for _, zone := range zones {
		for i := range perZone {
			list = append(list, node(zone, i))
		}
	}
	return list
}

// newMember returns a member that has listed the others and heard from all members of
// its zone.
func newMember(self model.Member, all []model.Member, at time.Duration) member.State {
	s := member.New(self, start, false)
	s, _ = apply(s, at, event.MembersRead{Members: all})
	for _, m := range all {
		if m.Zone == self.Zone && m.Name != self.Name {
			s = hear(s, m, at)
		}
	}
	return s
}

func hear(s member.State, m model.Member, at time.Duration) member.State {
	s, _ = apply(s, at, event.SyncAnswered{Report: model.Report{Member: m, Seq: uint64(at)}, SentAt: start.Add(at)})
	return s
}

// exchanges returns the number of exchanges that a member starts in ten seconds in which all
// others answer.
func exchanges(s member.State, all []model.Member) (syncs int) {
	byName := map[model.NodeName]model.Member{}
	for _, m := range all {
		byName[m.Name] = m
	}
	for at := 10 * time.Second; at < 20*time.Second; at += 20 * time.Millisecond {
		var out member.Out
		s, out = apply(s, at, event.Tick{})
		for _, name := range asked(out) {
			syncs++
			s = hear(s, byName[name], at)
		}
	}
	return syncs
}

// TestFanOut guards against costs of a node that grow with the number of nodes.
func TestFanOut(t *testing.T) {
	for _, i := range []int{0, 5} {
		small, large := nodes(10, "a", "b", "c"), nodes(100, "a", "b", "c")
		few := exchanges(newMember(node("b", i), small, 9*time.Second), small)
		many := exchanges(newMember(node("b", i), large, 9*time.Second), large)
		if float64(many) > 1.3*float64(few) {
			t.Errorf("node %d starts %d exchanges among 30 nodes, %d among 300", i, few, many)
		}
	}
}

// TestRelayBehindGoneNodes guards against cells that do not hear of each other for long after
// all nodes started again, because the first members of a cell by name are gone for good.
func TestRelayBehindGoneNodes(t *testing.T) {
	all := nodes(10, "a", "b")
	s := newMember(node("a", 0), all, 0)
	at, rounds := 10*time.Second, 0
	for ; !slices.Contains(s.Contacts(), node("b", 9)) && rounds < 10; rounds++ {
		for _, gone := range s.Contacts() {
			s, _ = apply(s, at, event.SyncFailed{Peer: gone.Name})
		}
		at += time.Second
		s, _ = apply(s, at, event.Tick{})
	}
	if rounds > 2 {
		t.Errorf("the last of ten nodes is contacted after %d rounds of failed exchanges, want at most 2", rounds)
	}
	s, _ = apply(s, at, event.SyncAnswered{Report: model.Report{Member: node("b", 9), Seq: 1, Nodes: 1}, SentAt: start.Add(at)})
	if got := s.Contacts(); len(got) != 1 || got[0].Name != node("b", 9).Name {
		t.Errorf("contacts %v once the relay is heard, want it alone", got)
	}
}

// TestRelay guards against a cell without a relay, or whose nodes disagree about it for
// long after it has stopped or does not answer.
func TestRelay(t *testing.T) {
	all := nodes(10, "a", "b")
	s := newMember(node("b", 3), all, 9*time.Second)
	if s.Flat() || s.IsRelay() || s.Relay().Name != "b-000" {
		t.Fatalf("relay %s, flat %v; want b-000 as the relay of one of two cells", s.Relay().Name, s.Flat())
	}
	for i := range 3 {
		if i == 1 {
			s, _ = apply(s, 9*time.Second, event.SyncFailed{Peer: node("b", i).Name})
			continue
		}
		s, _ = apply(s, 9*time.Second, event.SyncFailed{Peer: node("b", i).Name, Stopped: true})
	}
	if !s.IsRelay() {
		t.Errorf("relay %s after the three nodes before this one failed, want this node", s.Relay().Name)
	}
	s = hear(s, node("b", 1), 9500*time.Millisecond)
	if s.IsRelay() || s.Relay().Name != "b-001" {
		t.Errorf("relay %s after b-001 was heard again", s.Relay().Name)
	}
	for at := 9600 * time.Millisecond; at < 12*time.Second; at += 100 * time.Millisecond {
		for i := 4; i < 10; i++ {
			s = hear(s, node("b", i), at)
		}
		s, _ = apply(s, at, event.Tick{})
	}
	if !s.IsRelay() {
		t.Errorf("relay %s after it was silent for 2.4 s, want this node", s.Relay().Name)
	}
}

// TestAccepts guards against work and units that count twice: once in the report of a
// node and once in the summary of its cell.
func TestAccepts(t *testing.T) {
	cells, flat := newMember(node("b", 0), nodes(10, "a", "b"), 0), newMember(node("b", 0), nodes(3, "a", "b"), 0)
	own, foreign := model.Report{Member: node("b", 1)}, model.Report{Member: node("a", 1)}
	summary, ownSummary := model.Report{Member: node("a", 0), Nodes: 10}, model.Report{Member: node("b", 1), Nodes: 10}
	announced := model.Report{Member: model.Member{Name: "a-001", Incarnation: node("a", 1).Incarnation}}
	for name, c := range map[string]struct {
		state  member.State
		report model.Report
		want   bool
	}{
		"cells, node of this cell":      {cells, own, true},
		"cells, node of another cell":   {cells, foreign, false},
		"cells, announcement elsewhere": {cells, announced, false},
		"cells, summary of another":     {cells, summary, true},
		"cells, summary of this cell":   {cells, ownSummary, false},
		"one cell, node":                {flat, foreign, true},
		"one cell, summary":             {flat, summary, false},
	} {
		if got := c.state.Accepts(c.report); got != c.want {
			t.Errorf("%s: accepted %v, want %v", name, got, c.want)
		}
	}
}

// TestCandidates guards against hundreds of nodes that poll the lease, and against a
// lease that nobody polls.
func TestCandidates(t *testing.T) {
	zones := []model.ZoneName{"a", "b", "c", "d"}
	all := nodes(6, zones...)
	candidates, recorders := 0, 0
	for _, self := range all {
		s := newMember(self, all, 9*time.Second)
		for _, zone := range zones {
			if zone != self.Zone {
				s, _ = apply(s, 9*time.Second, event.AnnounceArrived{Report: model.Report{Member: node(zone, 0), Seq: 1, Nodes: 6}})
			}
		}
		s, _ = apply(s, 9*time.Second+100*time.Millisecond, event.Tick{})
		if s.IsCandidate(start.Add(9 * time.Second)) {
			candidates++
		}
		if s.IsRecorder() {
			recorders++
		}
	}
	if candidates != 2 || recorders != 3 {
		t.Errorf("%d candidates and %d recorders among %d nodes, want 2 and 3", candidates, recorders, len(all))
	}
}

// TestLeavingMember guards against a member that said that it leaves and counts as
// reachable again because an exchange with it fails.
func TestLeavingMember(t *testing.T) {
	s := newMember(self("b"), []model.Member{self("a"), self("b")}, 0)
	s, _ = apply(s, 0, event.SyncAnswered{Report: model.Report{Member: self("a"), Leaving: true}, SentAt: start})
	s, _ = apply(s, time.Second, event.SyncFailed{Peer: "a"})
	if got := len(s.Reachable()); got != 0 {
		t.Errorf("%d reachable members, want none", got)
	}
}
