package node

import (
	"testing"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

// TestOtherRegion guards against members of another region that a node takes
// for its own, because the store holds a roster for each.
func TestOtherRegion(t *testing.T) {
	self := model.Member{Name: "n", Address: "127.0.0.1:1", Incarnation: 1}
	other := model.Member{Name: "o", Address: "127.0.0.1:2", Incarnation: 2}
	s := started(self)
	at := time.Unix(1000, 0)
	s, _ = s.Apply(Input{At: at, Event: event.ConfigChanged{
		Changes: []model.Change{
			{Kind: model.KindRoster, Name: "r", Version: 1, Generation: 1, Value: model.Roster{Members: []model.Member{self}}},
			{Kind: model.KindRoster, Name: "q", Version: 2, Generation: 1, Value: model.Roster{Members: []model.Member{other}}},
		},
		Upto: 2, SentAt: at, FromStore: true,
	}})
	if members := s.Peers().Others(at); len(members) != 0 {
		t.Errorf("members of another region: %+v", members)
	}
	if got := s.Conf().Roster("r").Members; len(got) != 1 || got[0] != self {
		t.Errorf("roster %+v", got)
	}
}

// TestLeaveAfterLastRequest guards against a drained node that stays in the
// roster.
func TestLeaveAfterLastRequest(t *testing.T) {
	self := model.Member{Name: "n", Address: "127.0.0.1:1", Incarnation: 1}
	s := started(self)
	at := time.Unix(1000, 0)
	s, _ = s.Apply(Input{At: at, Event: event.ConfigChanged{
		Changes: []model.Change{
			{Kind: model.KindRoster, Name: "r", Version: 1, Generation: 1, Value: model.Roster{Members: []model.Member{self}}},
		},
		Upto: 1, SentAt: at, FromStore: true,
	}})
	if !s.Peers().Fresh(at) {
		t.Fatal("node is not fresh")
	}
	s, effects := s.Apply(Input{At: at, Event: event.DrainAsked{}})
	written := false
	for _, e := range effects {
		w, ok := e.(effect.WriteObject)
		written = written || ok && w.Kind == model.KindRoster && len(w.Value.(model.Roster).Members) == 0
	}
	if !written || s.Peers().Fresh(at) {
		t.Errorf("roster written: %v, fresh: %v", written, s.Peers().Fresh(at))
	}
}
