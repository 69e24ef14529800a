package node

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

// newRegion returns a fresh node without accounts in a region with the given
// number of members, and the other members.
func newRegion(members int) (State, []model.Member) {
	s := newConfiguredNode(0, 0)
	others := make([]model.Member, 0, members-1)
	for i := range members - 1 {
		others = append(others, model.Member{
			Name:        model.NodeName(fmt.Sprintf("node-%d", i)),
			Address:     fmt.Sprintf("10.0.%d.%d:8081", i/250, i%250),
			Zone:        model.ZoneName(fmt.Sprintf("zone-%d", i%4)),
			Incarnation: model.Incarnation(i + 2),
		})
	}
	version := s.conf.Version() + 1
	s, _ = s.Apply(Input{At: laterAt, Random: 1, Event: event.ConfigChanged{
		Changes: []model.Change{{
			Kind: model.KindRoster, Name: "r", Version: version, Generation: 2,
			Value: model.Roster{Region: "r", Members: append([]model.Member{self}, others...)},
		}},
		Upto: version, SentAt: laterAt, FromStore: true,
	}})
	return s, others
}

func statusOf(member model.Member, version model.Version) model.PeerStatus {
	return model.PeerStatus{
		Region: "r", Name: member.Name, Incarnation: member.Incarnation, Version: version, SettledVersion: version,
		ValidFor: 5 * time.Second, StoreContact: true,
	}
}

// BenchmarkMembers measures the reducer's cost of exchanges for several region
// sizes. "asked" responds to a peer's exchange. "sent" starts an exchange by timer
// and processes its response, with one store response per second. "watch"
// processes a store response without changes. docs/CAPACITY.md uses the results.
func BenchmarkMembers(b *testing.B) {
	for _, members := range []int{8, 55, 330} {
		b.Run(fmt.Sprintf("asked/members=%d", members), func(b *testing.B) {
			s, others := newRegion(members)
			version := s.conf.Version()
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				at := laterAt.Add(time.Millisecond)
				s, _ = s.Apply(Input{At: at, Event: event.ExchangeAsked{Status: statusOf(others[i%len(others)], version)}})
			}
		})
		b.Run(fmt.Sprintf("sent/members=%d", members), func(b *testing.B) {
			s, _ := newRegion(members)
			version := s.conf.Version()
			sent := 0
			b.ReportAllocs()
			b.ResetTimer()
			contactAt := laterAt
			for now := laterAt; sent < b.N; {
				var in event.Event = event.Tick{}
				if next := s.Next(); next.After(now) {
					now = next
				}
				if now.Sub(contactAt) >= time.Second {
					contactAt = now
					in = event.ConfigChanged{Upto: version, SentAt: now, FromStore: true}
				}
				var effects []effect.Effect
				s, effects = s.Apply(Input{At: now, Event: in})
				now = now.Add(time.Millisecond)
				for _, e := range effects {
					exchange, ok := e.(effect.Exchange)
					if !ok {
						continue
					}
					sent++
					s, _ = s.Apply(Input{At: now, Event: event.ExchangeAnswered{
						Peer: exchange.Peer, SentAt: now, Status: statusOf(exchange.Peer, version),
					}})
				}
			}
		})
		b.Run(fmt.Sprintf("watch/members=%d", members), func(b *testing.B) {
			s, _ := newRegion(members)
			version := s.conf.Version()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				at := laterAt.Add(time.Millisecond)
				s, _ = s.Apply(Input{At: at, Event: event.ConfigChanged{Upto: version, SentAt: at, FromStore: true}})
			}
		})
	}
}

// BenchmarkMemberMemory measures the live heap for two region sizes, to derive
// the memory per member. Run it with -benchtime 1x.
func BenchmarkMemberMemory(b *testing.B) {
	for _, members := range []int{8, 330} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			for range b.N {
				before := liveHeap()
				s, _ := newRegion(members)
				after := liveHeap()
				runtime.KeepAlive(s)
				b.ReportMetric(float64(after-before), "bytes")
			}
		})
	}
}

// BenchmarkRosterWrite measures the reducer's step for a roster change by number
// of accounts: the base share of each account depends on the members.
func BenchmarkRosterWrite(b *testing.B) {
	for _, accounts := range []int{100, 11000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			s := newConfiguredNode(accounts, 20)
			version, generation := s.conf.Version(), uint64(1)
			now := laterAt
			b.ResetTimer()
			for i := range b.N {
				version++
				generation++
				now = now.Add(3 * time.Second)
				members := []model.Member{self}
				for j := range 54 + i%2 {
					members = append(members, model.Member{
						Name: model.NodeName(fmt.Sprintf("node-%d", j)), Address: fmt.Sprintf("10.0.0.%d:1", j),
						Incarnation: model.Incarnation(j + 2),
					})
				}
				s, _ = s.Apply(Input{At: now, Random: 1, Event: event.ConfigChanged{
					Changes: []model.Change{{
						Kind: model.KindRoster, Name: "r", Version: version, Generation: generation,
						Value: model.Roster{Region: "r", Members: members},
					}},
					Upto: version, SentAt: now, FromStore: true,
				}})
			}
		})
	}
}
