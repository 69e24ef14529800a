package quota_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"caroblane/core/event"
	"caroblane/core/model"
)

// TestAbandonedRegistration guards against a limit of which a share is reserved for nodes that
// are gone, whose registrations stay in the store.
func TestAbandonedRegistration(t *testing.T) {
	hidden := func(n *node, at time.Duration) float64 {
		for _, e := range n.apply(at, event.QuotaAsked{Ticket: 1, Account: account, Units: 1e9}) {
			if refused, ok := e.(event.QuotaRefused); ok {
				return refused.Check.Hidden
			}
		}
		return -1
	}
	members := []model.Member{{Name: "a", Incarnation: 2}, {Name: "b", Incarnation: 3}, {Name: "n", Incarnation: 1}, {Name: "n", Incarnation: 4}}
	for name, c := range map[string]struct {
		events []event.Event
		at     time.Duration
		want   float64
	}{
		"silent":                   {nil, time.Second, limit * 2.0 / 3},
		"refused connections":      {[]event.Event{event.SyncFailed{Peer: "a", Stopped: true}, event.SyncFailed{Peer: "b", Stopped: true}}, time.Second, 0},
		"refused and read again":   {[]event.Event{event.SyncFailed{Peer: "a", Stopped: true}, event.MembersRead{Members: members}}, time.Second, limit / 2.0},
		"no answer":                {[]event.Event{event.SyncFailed{Peer: "a"}}, time.Second, limit * 2.0 / 3},
		"heard":                    {[]event.Event{event.SyncArrived{Report: model.Report{Member: members[0], Seq: 1}}}, 500 * time.Millisecond, limit / 3.0},
		"heard as another process": {[]event.Event{event.SyncArrived{Report: model.Report{Member: model.Member{Name: "a", Incarnation: 7}, Seq: 1}}}, 500 * time.Millisecond, limit / 3.0},
		"removed from the store":   {[]event.Event{event.MembersRead{Members: members[2:]}}, time.Second, 0},
		"gone":                     {[]event.Event{event.MemberGone{Member: members[0]}, event.MemberGone{Member: members[1]}}, time.Second, 0},
		"gone and read again":      {[]event.Event{event.MemberGone{Member: members[0]}, event.MembersRead{Members: members}}, time.Second, limit / 2.0},
		"gone and shown":           {[]event.Event{event.MemberGone{Member: members[0]}, event.MemberShown{Member: members[0]}}, time.Second, limit * 2.0 / 3},
		"heard, then gone":         {[]event.Event{event.SyncArrived{Report: model.Report{Member: members[0], Seq: 1}}, event.MemberGone{Member: members[0]}}, 5 * time.Second, limit / 2.0},
		"heard, gone and shown":    {[]event.Event{event.SyncArrived{Report: model.Report{Member: members[0], Seq: 1}}, event.MemberGone{Member: members[0]}, event.MemberShown{Member: members[0]}}, 5 * time.Second, limit * 2.0 / 3},
		"left behind":              {[]event.Event{event.MembersRead{Members: members}}, time.Minute + time.Second, -0.4 * (0.1*limit + 1000)},
	} {
		n := newNode("n", 1, 0)
		n.apply(0, event.Tick{})
		for _, e := range append([]event.Event{event.MembersRead{Members: members}}, c.events...) {
			n.apply(0, e)
		}
		if got := hidden(n, c.at); math.Abs(got-c.want) > 1e-6 {
			t.Errorf("%s: %.1f hidden units, want %.1f", name, got, c.want)
		}
	}
}

// TestLapsedNode guards against units that a node admits while it hears no other one, and the
// others may have found it gone and hold back nothing for it.
func TestLapsedNode(t *testing.T) {
	for name, c := range map[string]struct {
		lapsed, heard bool
		want          bool
	}{
		"hears nobody":         {false, false, true},
		"lapsed, hears nobody": {true, false, false},
		"lapsed, hears most":   {true, true, true},
	} {
		n := newNode("n", 1, 0)
		n.lapsed = c.lapsed
		var members []model.Member
		for i := range 4 {
			members = append(members, model.Member{Name: model.NodeName(fmt.Sprint(i)), Incarnation: model.Incarnation(i + 2)})
		}
		n.apply(0, event.Tick{})
		n.apply(0, event.MembersRead{Members: members})
		for _, m := range members {
			if c.heard {
				n.apply(0, event.SyncArrived{Report: model.Report{Member: m, Seq: 1}})
			}
		}
		if got := n.request(time.Second, 1); got != c.want {
			t.Errorf("%s: admitted %v, want %v", name, got, c.want)
		}
	}
}

// TestShownForLong guards against a node that is cut off for longer than a minute, shows in the
// store that it runs, and is taken for left behind.
func TestShownForLong(t *testing.T) {
	n, other := newNode("n", 1, 0), model.Member{Name: "a", Incarnation: 2}
	n.apply(0, event.Tick{})
	n.apply(0, event.MembersRead{Members: []model.Member{other}})
	for at := 3 * time.Second; at < 2*time.Minute; at += 3 * time.Second {
		n.apply(at, event.MemberShown{Member: other})
	}
	if got := n.request(2*time.Minute, 0.6*limit); got {
		t.Error("more than half of the limit was admitted beside a node that runs and is not heard")
	}
}
