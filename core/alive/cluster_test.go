package alive_test

import (
	"fmt"
	"slices"
	"time"

	"caroblane/core/alive"
	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
)

var (
	startTime = time.Unix(1_800_000_000, 0)
	bounds    = model.Bounds{RevocationDelay: 5 * time.Second}
)

const (
	// tickInterval is the time between two steps of a simulation.
	tickInterval = 100 * time.Millisecond
	// staleness is the age of the lists that may be stale.
	staleness = 2900 * time.Millisecond
)

// version is the registration of a node from a time on, or its absence.
type version struct {
	from    time.Duration
	version model.Version
	value   model.Registration
	removed bool
}

// store is the store of the platform with the history of the registrations.
type store struct {
	era      model.Era
	revision uint64
	history  map[string][]version
	down     bool
	lists    int
}

func newStore() *store { return &store{history: map[string][]version{}} }

// at returns the registration of a node as it was at a time.
func (s *store) at(name string, at time.Duration) (version, bool) {
	var last version
	for _, v := range s.history[name] {
		if v.from <= at {
			last = v
		}
	}
	return last, last.version != 0 && !last.removed
}

func (s *store) add(name string, at time.Duration, value model.Registration, removed bool) model.Version {
	s.revision++
	v := version{at, model.NewVersion(s.era, s.revision), value, removed}
	s.history[name] = append(s.history[name], v)
	return v.version
}

// restore brings the store back as it was at a time.
func (s *store) restore(now, copied time.Duration) {
	s.era++
	names := map[string]version{}
	for name := range s.history {
		if v, found := s.at(name, copied); found {
			names[name] = v
		}
	}
	s.history = map[string][]version{}
	for name, v := range names {
		s.revision = max(s.revision, v.version.Revision())
		s.history[name] = []version{{now, model.NewVersion(s.era, v.version.Revision()), v.value, false}}
	}
}

// process is a process of a node, or of one that is gone.
type process struct {
	member model.Member
	state  alive.State
	// gone are the nodes that it found gone and that have not shown since that they run.
	gone map[model.NodeName]bool
	// frozen is set while it gets no events, and cut while the store does not answer it.
	frozen, cut bool
	// soundSince is since when it has not lapsed.
	soundSince time.Duration
	events     []event.Event
}

// cluster is some processes and their store.
type cluster struct {
	now       time.Duration
	random    uint64
	store     *store
	processes []*process
	// deaf has the pairs of processes of which the second does not hear the first.
	deaf map[[2]model.NodeName]bool
	// found are the nodes that were found gone although they ran, and wrong those of them that
	// had not lapsed.
	found, wrong []string
}

func newCluster(n int) *cluster {
	c := &cluster{store: newStore(), deaf: map[[2]model.NodeName]bool{}, random: 1}
	for i := range n {
		c.start(model.NodeName(fmt.Sprintf("n%02d", i)))
	}
	return c
}

// start adds a process.
func (c *cluster) start(name model.NodeName) *process {
	c.random++
	m := model.Member{Name: name, Address: string(name), Zone: "z", Incarnation: model.Incarnation(c.random)}
	p := &process{member: m, state: alive.New(m, bounds, startTime.Add(c.now)), gone: map[model.NodeName]bool{}}
	c.processes = append(c.processes, p)
	return p
}

// end removes processes without a sign.
func (c *cluster) end(processes ...*process) {
	c.processes = slices.DeleteFunc(c.processes, func(p *process) bool { return slices.Contains(processes, p) })
}

// cutApart lets no reports pass between two processes.
func (c *cluster) cutApart(a, b *process) {
	c.deaf[[2]model.NodeName{a.member.Name, b.member.Name}] = true
	c.deaf[[2]model.NodeName{b.member.Name, a.member.Name}] = true
}

// run simulates a time.
func (c *cluster) run(d time.Duration) {
	for end := c.now + d; c.now < end; c.now += tickInterval {
		for _, p := range c.processes {
			if p.frozen {
				continue
			}
			for _, from := range c.processes {
				if from != p && !from.frozen && !c.deaf[[2]model.NodeName{from.member.Name, p.member.Name}] {
					c.apply(p, event.SyncArrived{Report: model.Report{Member: from.member}})
				}
			}
			events := p.events
			p.events = nil
			for _, e := range append(events, event.Tick{}) {
				c.apply(p, e)
			}
		}
	}
}

func (c *cluster) apply(p *process, e event.Event) {
	c.random = c.random*6364136223846793005 + 1442695040888963407
	var out alive.Out
	p.state, out = p.state.Apply(
		step.Input[event.Event]{At: startTime.Add(c.now), Random: c.random >> 11, Event: e},
		alive.View{Flat: true, Round: 300 * time.Millisecond, Searches: true},
	)
	for _, e := range out.Raised {
		switch e := e.(type) {
		case event.MemberGone:
			p.gone[e.Member.Name] = true
			for _, other := range c.processes {
				if other.member != e.Member || other.frozen {
					continue
				}
				c.found = append(c.found, fmt.Sprintf("%v: %s found %s gone", c.now, p.member.Name, other.member.Name))
				if !other.state.Lapsed(startTime.Add(c.now)) {
					c.wrong = append(c.wrong, c.found[len(c.found)-1])
				}
			}
		case event.MemberShown:
			delete(p.gone, e.Member.Name)
		}
	}
	for _, f := range out.Effects {
		if answer := c.call(p, f); answer != nil {
			p.events = append(p.events, answer)
		}
	}
}

// call carries out a call to the store. The answer arrives with the next step.
func (c *cluster) call(p *process, f effect.Effect) event.Event {
	sentAt, away := startTime.Add(c.now), c.store.down || p.cut
	switch f := f.(type) {
	case effect.ListObjects:
		if away {
			return event.ObjectReadFailed{Op: f.Op}
		}
		c.store.lists++
		of := c.now
		if f.MayBeStale {
			of -= staleness
		}
		listed := event.ObjectsListed{Op: f.Op, SentAt: sentAt}
		for name := range c.store.history {
			if v, found := c.store.at(name, of); found {
				listed.Objects = append(listed.Objects, model.Change{Kind: model.KindMember, Name: name, Version: v.version, Value: v.value})
			}
		}
		return listed
	case effect.ReadObject:
		if away {
			return event.ObjectReadFailed{Op: f.Op}
		}
		v, found := c.store.at(f.Name, c.now)
		if !found {
			return event.ObjectRead{Op: f.Op, SentAt: sentAt, Object: model.Change{Version: model.NewVersion(c.store.era, 0)}}
		}
		return event.ObjectRead{Op: f.Op, SentAt: sentAt, Found: true, Object: model.Change{Name: f.Name, Version: v.version, Value: v.value}}
	case effect.WriteObject:
		if away {
			return event.ObjectUnsent{Op: f.Op}
		}
		v, found := c.store.at(f.Name, c.now)
		if !found {
			v.version = model.NewVersion(c.store.era, 0)
		}
		if v.version.Revision() != f.IfVersion.Revision() || found && v.version != f.IfVersion {
			return event.ObjectConflict{Op: f.Op, SentAt: sentAt}
		}
		value, _ := f.Value.(model.Registration)
		return event.ObjectWritten{Op: f.Op, SentAt: sentAt, Version: c.store.add(f.Name, c.now, value, f.Delete)}
	default:
		return nil
	}
}

// registered returns the nodes that are registered.
func (c *cluster) registered() []string {
	var names []string
	for name := range c.store.history {
		if _, found := c.store.at(name, c.now); found {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// learnTerm is the time within which a process that has not lapsed itself learns that a node
// which it found gone goes on: until its next list, which may be stale.
const learnTerm = 8 * time.Second

// check verifies that no process that may admit requests was found gone, or still counts as
// gone long after it went on.
func (c *cluster) check(t interface{ Fatalf(string, ...any) }) {
	if len(c.wrong) > 0 {
		t.Fatalf("found gone, but running and not lapsed: %v", c.wrong)
	}
	for _, p := range c.processes {
		if p.frozen || p.state.Lapsed(startTime.Add(c.now)) {
			p.soundSince = c.now
		}
	}
	for _, p := range c.processes {
		for _, other := range c.processes {
			if p != other && p.gone[other.member.Name] && c.now-max(p.soundSince, other.soundSince) > learnTerm {
				t.Fatalf("%v: %s still takes %s for gone, which runs since %v", c.now, p.member.Name, other.member.Name, other.soundSince)
			}
		}
	}
}
