package node

import (
	"testing"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

// TestOtherRegion guards against a node that treats the members of another region
// as its own. The store contains one roster for each region.
func TestOtherRegion(t *testing.T) {
	self := model.Member{Name: "n", Address: "127.0.0.1:1", Incarnation: 1}
	other := model.Member{Name: "o", Address: "127.0.0.1:2", Incarnation: 2}
	s := newNode(self)
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

// TestLeaveAfterLastRequest guards against a drained node that remains in the
// roster after its last request has ended.
func TestLeaveAfterLastRequest(t *testing.T) {
	self := model.Member{Name: "n", Address: "127.0.0.1:1", Incarnation: 1}
	s := newNode(self)
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

// TestRegionShares guards against several regions that each admit the full rate
// and burst of an account.
func TestRegionShares(t *testing.T) {
	for _, test := range []struct {
		name     string
		shares   map[model.RegionName]float64
		admitted int
	}{
		{"no shares", nil, 4},
		{"half in this region", map[model.RegionName]float64{"r": 0.5, "q": 0.5}, 2},
		{"none in this region", map[model.RegionName]float64{"q": 1}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newNode(self)
			changes := []model.Change{
				{Kind: model.KindTemplate, Name: "a", Value: model.Template{Rate: 1, Burst: 4, RegionShares: test.shares}},
				{Kind: model.KindKey, Name: "k", Value: model.Key{Account: "a", Hash: keyOf(1)}},
				{Kind: model.KindModel, Name: "m", Value: model.Model{MaxTokens: 1}},
				{Kind: model.KindUpstream, Name: "e", Value: model.Upstream{
					Address: "127.0.0.1:1", Slots: 64, Models: []model.ModelName{"m"},
				}},
				{Kind: model.KindRoster, Name: "r", Value: model.Roster{Region: "r", Members: []model.Member{self}}},
			}
			for i := range changes {
				changes[i].Version, changes[i].Generation = model.Version(i+1), 1
			}
			// The token bucket starts empty and is full after four seconds.
			for i := range 10 {
				now := startAt.Add(time.Duration(i) * time.Second)
				s, _ = s.Apply(Input{At: now, Random: 1 << 40, Event: event.ConfigChanged{
					Changes: changes, Upto: model.Version(len(changes)), SentAt: now, FromStore: true,
				}})
			}
			now, admitted := startAt.Add(9*time.Second), 0
			for ticket := range model.Ticket(8) {
				var effects []effect.Effect
				s, effects = s.Apply(Input{At: now, Event: event.RequestArrived{Ticket: ticket + 1, Request: model.Request{
					HasKey: true, KeyHash: keyOf(1), Model: "m", AdmitBy: now,
				}}})
				for _, e := range effects {
					if _, ok := e.(effect.Dispatch); ok {
						admitted++
					}
				}
			}
			if admitted != test.admitted {
				t.Errorf("admitted %d requests at once, want %d", admitted, test.admitted)
			}
		})
	}
}
