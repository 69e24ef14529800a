package fleet_test

import (
	"testing"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/fleet"
	"caroblane/core/model"
	"caroblane/core/step"
)

// applyEffects applies an event at the given time, and returns the state and the
// reported beliefs.
func applyEffects(s fleet.State, at time.Duration, e event.Event) (fleet.State, []effect.Believe) {
	var beliefs []effect.Believe
	s, out := s.Apply(step.Input[event.Event]{At: start.Add(at), Event: e})
	for _, f := range out.Effects {
		if b, ok := f.(effect.Believe); ok {
			beliefs = append(beliefs, b)
		}
	}
	return s, beliefs
}

func instance(u model.Upstream) model.UpstreamInstance {
	return model.UpstreamInstance{Name: u.Name, Incarnation: u.Incarnation}
}

// TestLeaving guards against an upstream that said that it is leaving and is used again
// after a change of the registry, which may lag behind, and against a new process that
// gets nothing because of what an earlier one said.
func TestLeaving(t *testing.T) {
	x, y := engine("x"), engine("y")
	s, _ := apply(fleet.New(), 0, event.UpstreamsRead{Revision: 5, Upstreams: []model.Upstream{x, y}})
	s, beliefs := applyEffects(s, 0, event.UpstreamLeaving{Instance: instance(x)})
	if len(beliefs) != 1 || beliefs[0] != (effect.Believe{Belief: model.UpstreamLeaving, Subject: "x", Number: 1}) {
		t.Errorf("beliefs %+v, want one that x is leaving", beliefs)
	}
	s, beliefs = applyEffects(s, 0, event.UpstreamLeaving{Instance: instance(x)})
	if len(beliefs) != 0 {
		t.Errorf("a second answer of the upstream is reported as a change: %+v", beliefs)
	}
	moved := x
	moved.Address = "10.0.0.9:80"
	for name, events := range map[string][]event.Event{
		"no change":         nil,
		"list":              {event.UpstreamsRead{Revision: 6, Upstreams: []model.Upstream{x, y}}},
		"entry":             {event.UpstreamRegistered{Revision: 6, Upstream: x}},
		"other address":     {event.UpstreamRegistered{Revision: 6, Upstream: moved}},
		"settings":          {event.SettingsChanged{}},
		"removed and back":  {event.UpstreamRemoved{Revision: 6, Name: "x"}, event.UpstreamRegistered{Revision: 7, Upstream: x}},
		"missing and back":  {event.UpstreamsRead{Revision: 6}, event.UpstreamsRead{Revision: 7, Upstreams: []model.Upstream{x, y}}},
		"served meanwhile":  {event.AttemptJudged{Upstream: "x"}},
		"avoided meanwhile": {event.AttemptJudged{Upstream: "x", Misdirected: true}, event.UpstreamRegistered{Revision: 6, Upstream: x}},
	} {
		after, _ := apply(s, time.Second, events...)
		if usable(after, "x", time.Hour) || !after.Withheld(x, start) || !usable(after, "y", time.Hour) {
			t.Errorf("%s: the upstream that is leaving is used, or another one is not", name)
		}
	}
	next := x
	next.Incarnation = 2
	after, _ := apply(s, time.Second, event.UpstreamRegistered{Revision: 6, Upstream: next})
	if !usable(after, "x", time.Second) || after.Withheld(next, start) || !after.Withheld(x, start) {
		t.Error("the new process is not used, or a request to the earlier one is not withheld")
	}
	after, _ = apply(after, time.Second, event.UpstreamRegistered{Revision: 7, Upstream: x})
	if usable(after, "x", time.Second) {
		t.Error("the upstream that is leaving is used again after an entry of another process")
	}
}

// TestLeavingUnnumbered guards against a process without a number of its own that gets
// nothing although the registry has removed the earlier one of its name.
func TestLeavingUnnumbered(t *testing.T) {
	x := engine("x")
	x.Incarnation = 0
	s, _ := apply(fleet.New(), 0, event.UpstreamsRead{Revision: 5, Upstreams: []model.Upstream{x}}, event.UpstreamLeaving{Instance: instance(x)})
	if usable(s, "x", 0) {
		t.Fatal("the upstream that is leaving is used")
	}
	late, _ := apply(s, 0, event.UpstreamRemoved{Revision: 6, Name: "x"}, event.UpstreamLeaving{Instance: instance(x)})
	for name, removed := range map[string]event.Event{
		"removal": event.UpstreamRemoved{Revision: 6, Name: "x"}, "list": event.UpstreamsRead{Revision: 6},
	} {
		after, _ := apply(s, 0, removed, event.UpstreamRegistered{Revision: 7, Upstream: x})
		if !usable(after, "x", 0) {
			t.Errorf("%s: the next process of the name is not used", name)
		}
	}
	if late, _ = apply(late, 0, event.UpstreamRegistered{Revision: 7, Upstream: x}); !usable(late, "x", 0) {
		t.Error("a late answer of the removed process counts for the next one")
	}
}

// TestLeavingHint guards against upstreams that a node leaves out on the word of its
// peers, which may be wrong, and against a hint that is not sent or not heeded.
func TestLeavingHint(t *testing.T) {
	x := engine("x")
	listed := event.UpstreamsRead{Revision: 5, Upstreams: []model.Upstream{x, engine("y")}}
	own, _ := apply(fleet.New(), 0, listed, event.UpstreamLeaving{Instance: instance(x)})
	_, raised := apply(own, own.Next().Sub(start), event.Tick{})
	if len(raised) != 1 {
		t.Fatalf("raised %v, want one announcement", raised)
	}
	due, _ := raised[0].(event.AnnounceDue)
	if len(due.Leaving) != 1 || due.Leaving[0] != instance(x) {
		t.Fatalf("announced %+v, want that x is leaving", due)
	}
	peer, _ := apply(fleet.New(), 0, listed)
	for i, name := range []model.NodeName{"n1", "n2", "n3"} {
		peer, _ = apply(peer, time.Duration(i)*time.Millisecond, event.AnnounceArrived{Report: model.Report{
			Member: model.Member{Name: name, Incarnation: 1}, Seq: 1, LeavingUpstreams: due.Leaving,
		}})
		u, _ := peer.Get("x")
		if at := start.Add(10 * time.Millisecond); !u.Usable(at) || u.Avoided(at) || !u.LeavingHinted(at) || peer.Withheld(x, start) {
			t.Errorf("after the word of %d peers: usable %v, avoided %v, hinted %v", i+1, u.Usable(at), u.Avoided(at), u.LeavingHinted(at))
		}
	}
	if u, _ := peer.Get("x"); u.LeavingHinted(start.Add(time.Minute)) {
		t.Error("the hint of a peer counts without end")
	}
	other := x
	other.Incarnation = 9
	changed, _ := apply(peer, 0, event.UpstreamRegistered{Revision: 6, Upstream: other})
	if u, _ := changed.Get("x"); u.LeavingHinted(start.Add(10 * time.Millisecond)) {
		t.Error("the hint counts for a new process")
	}
}

// TestLeavingAnnounced guards against announcements that do not fit a datagram, and
// against upstreams that are not announced, when many leave at once.
func TestLeavingAnnounced(t *testing.T) {
	s := fleet.New()
	const many = 100
	for i := range many {
		s, _ = apply(s, 0, event.UpstreamLeaving{Instance: model.UpstreamInstance{Name: "x", Incarnation: model.Incarnation(i + 1)}})
	}
	announced := map[model.UpstreamInstance]bool{}
	for range many {
		if s.Next().IsZero() {
			break
		}
		var raised []event.Event
		s, raised = apply(s, s.Next().Sub(start), event.Tick{})
		due, ok := raised[0].(event.AnnounceDue)
		if !ok || len(due.Leaving) > 12 {
			t.Fatalf("announced %d upstreams at once, want at most 12", len(due.Leaving))
		}
		for _, i := range due.Leaving {
			announced[i] = true
		}
	}
	if len(announced) != many {
		t.Errorf("announced %d of %d upstreams", len(announced), many)
	}
}

// TestNoticesBounded guards against memory that grows with each upstream that ever left,
// and against forgetting one that the registry still lists.
func TestNoticesBounded(t *testing.T) {
	x := engine("x")
	s, _ := apply(fleet.New(), 0, event.UpstreamsRead{Revision: 5, Upstreams: []model.Upstream{x}}, event.UpstreamLeaving{Instance: instance(x)})
	const many = 3000
	for i := range many {
		s, _ = apply(s, time.Duration(i)*time.Millisecond, event.UpstreamLeaving{Instance: model.UpstreamInstance{Name: "gone", Incarnation: model.Incarnation(i + 1)}})
	}
	kept := 0
	for i := range many {
		if s.Withheld(model.Upstream{Name: "gone", Incarnation: model.Incarnation(i + 1)}, start) {
			kept++
		}
	}
	if kept > 1024 || kept < 512 || !s.Withheld(x, start) || !s.Withheld(model.Upstream{Name: "gone", Incarnation: many}, start) {
		t.Errorf("%d notices of departed upstreams are kept; listed one kept: %v", kept, s.Withheld(x, start))
	}
}
