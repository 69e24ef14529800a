package feed_test

import (
	"testing"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/feed"
	"caroblane/core/model"
	"caroblane/core/step"
)

var start = time.Unix(1_800_000_000, 0)

// applyWithin is the time in which a change of the configuration has to be in force.
const applyWithin = 2 * time.Second

// follower is a node that is not the relay of its cell.
var follower = feed.View{Known: true, Relay: "relay", Rank: 2, Site: 7, ApplyWithin: applyWithin}

func apply(s feed.State, at time.Duration, e event.Event, view feed.View) (feed.State, feed.Out) {
	return s.Apply(step.Input[event.Event]{At: start.Add(at), Event: e}, view)
}

// proof is the answer of the relay to a call that was sent at a time.
func proof(sentAt, age time.Duration, site model.Version, registry uint64) event.SyncAnswered {
	return event.SyncAnswered{SentAt: start.Add(sentAt), Report: model.Report{
		Member: model.Member{Name: "relay", Incarnation: 9}, Confirmed: true, ConfirmationAge: age, Site: site, Registry: registry,
		RegistryConfirmed: true,
	}}
}

func fetches(out feed.Out) int {
	n := 0
	for _, e := range out.Effects {
		if _, ok := e.(effect.FetchFeed); ok {
			n++
		}
	}
	return n
}

// TestReading guards against hundreds of nodes that read the store although their relay
// does, and against nodes that trust a proof for too long.
func TestReading(t *testing.T) {
	direct := feed.View{Direct: true, Known: true}
	for name, c := range map[string]struct {
		view feed.View
		// proofAt and age are those of the last proof, if proofAt is not negative.
		proofAt, age, at time.Duration
		want             bool
	}{
		"relay":                                {direct, -1, 0, 0, true},
		"layout unknown at the start":          {feed.View{}, -1, 0, 100 * time.Millisecond, false},
		"layout unknown for long":              {feed.View{}, -1, 0, time.Second, true},
		"follower at the start":                {follower, -1, 0, 100 * time.Millisecond, false},
		"follower without any proof":           {follower, -1, 0, time.Second, true},
		"follower with a proof":                {follower, 2 * time.Second, 0, 3 * time.Second, false},
		"follower with an old proof":           {follower, 2 * time.Second, 0, 4 * time.Second, true},
		"follower with a proof of an old read": {follower, 2 * time.Second, 1900 * time.Millisecond, 2100 * time.Millisecond, true},
	} {
		s := feed.New(start)
		s, _ = apply(s, 0, event.Tick{}, c.view)
		if c.proofAt >= 0 {
			s, _ = apply(s, c.proofAt, proof(c.proofAt, c.age, 7, 0), c.view)
		}
		s, _ = apply(s, c.at, event.Tick{}, c.view)
		if s.Reading() != c.want {
			t.Errorf("%s: reads the store: %v, want %v", name, s.Reading(), c.want)
		}
	}
}

// TestRelayOutOfContact guards against nodes that follow a relay which the store turns
// away, so that none of the cell learns in time that an upstream leaves, while other cells
// prove that the configuration is current; and against a relay that has yet to read the list
// of upstreams itself.
func TestRelayOutOfContact(t *testing.T) {
	without, other := proof(2*time.Second, 0, 7, 1), proof(2*time.Second, 0, 7, 1)
	without.Report.RegistryConfirmed = false
	cut := proof(2*time.Second, 0, 7, 1)
	cut.Report.RegistryAge = 1600 * time.Millisecond
	other.Report.Member.Name = "other"
	for name, c := range map[string]struct {
		report  event.SyncAnswered
		reading bool
	}{
		"relay in contact":       {proof(2*time.Second, 0, 7, 1), false},
		"relay without the list": {without, true},
		"relay out of contact":   {cut, true},
		"another node":           {other, true},
	} {
		s, _ := apply(feed.New(start), 0, proof(0, 0, 7, 1), follower)
		s, _ = apply(s, 2*time.Second, c.report, follower)
		s, _ = apply(s, 2100*time.Millisecond, event.Tick{}, follower)
		if s.Reading() != c.reading {
			t.Errorf("%s: reads the store: %v, want %v", name, s.Reading(), c.reading)
		}
	}
}

// TestRelayCutOff guards against requests to an upstream that has reported long ago that it
// leaves: the relay is cut off from the store, and the other cells go on to prove the
// configuration to it.
func TestRelayCutOff(t *testing.T) {
	const answeredAt, exchange, readTime = 2 * time.Second, 500 * time.Millisecond, 100 * time.Millisecond
	for _, rank := range []int{0, 5, 12, 50} {
		view := follower
		view.Rank = rank
		s, _ := apply(feed.New(start), answeredAt, proof(answeredAt, 0, 7, 1), view)
		for at := answeredAt; at <= answeredAt+applyWithin-readTime; at += exchange {
			renewed := proof(at, 0, 7, 1)
			renewed.Report.RegistryAge = at - answeredAt
			s, _ = apply(s, at, renewed, view)
		}
		if due := s.Next().Sub(start); !s.Reading() && due > answeredAt+applyWithin-readTime {
			t.Errorf("rank %d: reads the store %v after it last answered the relay, want %v or less", rank, due-answeredAt, applyWithin-readTime)
		}
	}
}

// TestNextRead guards against a node without a proof that sleeps on.
func TestNextRead(t *testing.T) {
	s, _ := apply(feed.New(start), time.Second, proof(time.Second, 0, 7, 0), follower)
	next := s.Next()
	if next.IsZero() {
		t.Fatal("no time for the next decision")
	}
	s, _ = apply(s, next.Sub(start), event.Tick{}, follower)
	if !s.Reading() {
		t.Errorf("does not read the store at %v, for which it asked", next.Sub(start))
	}
}

// TestFetch guards against a configuration or a change of the upstreams that a follower
// does not notice, and against fetching again and again what it has.
func TestFetch(t *testing.T) {
	s, out := apply(feed.New(start), 0, proof(0, 0, 7, 0), follower)
	if fetches(out) != 0 {
		t.Fatal("fetches although the relay has nothing new")
	}
	s, out = apply(s, time.Second, proof(time.Second, 0, 8, 3), follower)
	if fetches(out) != 1 {
		t.Fatal("does not fetch a later configuration")
	}
	if _, again := apply(s, time.Second, proof(time.Second, 0, 8, 3), follower); fetches(again) != 0 {
		t.Error("fetches again while a call is open")
	}
	site := &model.Site{Revision: 8}
	s, out = apply(s, 1100*time.Millisecond, event.FeedAnswered{SentAt: start.Add(time.Second), Feed: model.Feed{
		Revision: 8, Confirmed: true, ConfirmationAge: 300 * time.Millisecond, Site: site,
		Process: 9, Registry: 3, RegistryRevision: 20, HasUpstreams: true, Upstreams: []model.Upstream{{Name: "u"}},
	}}, follower)
	read, ok := out.Raised[0].(event.SiteRead)
	if !ok || read.Site != site || read.SentAt.Sub(start) != 700*time.Millisecond {
		t.Errorf("raised %+v, want the configuration as read 300 ms before the call", out.Raised[0])
	}
	if list, ok := out.Raised[1].(event.UpstreamsRead); !ok || list.Revision != 20 || len(list.Upstreams) != 1 {
		t.Errorf("raised %+v, want the upstreams", out.Raised[1])
	}
	current := follower
	current.Site = 8
	if _, out = apply(s, 2*time.Second, proof(2*time.Second, 0, 8, 3), current); fetches(out) != 0 {
		t.Error("fetches what it has")
	}
	if _, out = apply(s, 2*time.Second, event.AnnounceArrived{Report: model.Report{
		Member: model.Member{Name: "relay", Incarnation: 9}, Site: 8, Registry: 4,
	}}, current); fetches(out) != 1 {
		t.Error("does not fetch upstreams that the relay announced")
	}
	s, _ = apply(s, 2*time.Second, proof(2*time.Second, 0, 9, 3), current)
	s, _ = apply(s, 2*time.Second, event.FeedFailed{}, current)
	if _, out = apply(s, 2*time.Second, proof(2*time.Second, 0, 9, 3), current); fetches(out) != 1 {
		t.Error("does not fetch again after a call has failed")
	}
}

// TestLostRelay guards against a change of the configuration that comes late in a cell
// whose relay was lost just after it had read the one before.
func TestLostRelay(t *testing.T) {
	// readTime is what is left for the read itself.
	const provenAt, readTime = 2 * time.Second, 100 * time.Millisecond
	for _, rank := range []int{0, 5, 12, 50} {
		view := follower
		view.Rank = rank
		s, _ := apply(feed.New(start), provenAt, proof(provenAt, 0, 7, 0), view)
		if due := s.Next().Sub(start) - provenAt; due > applyWithin-readTime || due < 1500*time.Millisecond {
			t.Errorf("rank %d: reads the store %v after the last proof, want 1.5 s to %v", rank, due, applyWithin-readTime)
		}
	}
}

// TestConfigNotFetched guards against a node that keeps an old configuration, because its
// relay proves a later one that cannot be fetched.
func TestConfigNotFetched(t *testing.T) {
	s, _ := apply(feed.New(start), 0, proof(0, 0, 7, 0), follower)
	for at := 500 * time.Millisecond; at <= applyWithin; at += 500 * time.Millisecond {
		s, _ = apply(s, at, proof(at, 0, 8, 0), follower)
		s, _ = apply(s, at, event.FeedFailed{}, follower)
	}
	if !s.Reading() {
		t.Errorf("does not read the store %v after the last proof of its own version", applyWithin)
	}
}

// TestLostRead guards against a change of the configuration that comes late because one
// call for it was lost.
func TestLostRead(t *testing.T) {
	// exchange is the time until the members of a cell hear of a change from their relay,
	// and readTime what the second call takes.
	const exchange, readTime = 500 * time.Millisecond, 100 * time.Millisecond
	for name, c := range map[string]struct {
		forCell bool
		rest    time.Duration
	}{
		"node":  {false, readTime},
		"relay": {true, readTime + exchange},
	} {
		_, out := apply(feed.New(start), 0, event.Tick{}, feed.View{Direct: true, Known: true, ForCell: c.forCell, ApplyWithin: applyWithin})
		follow, ok := out.Effects[0].(effect.FollowStore)
		if !ok || !follow.On || follow.Patience <= 0 {
			t.Fatalf("%s: effect %+v, want reads with a patience", name, out.Effects[0])
		}
		if total := follow.Interval + follow.Patience + c.rest; total > applyWithin {
			t.Errorf("%s: a change is in force after %v, want at most %v", name, total, applyWithin)
		}
	}
}
