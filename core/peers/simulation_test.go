package peers_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"caroblane/core/conf"
	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/peers"
	"caroblane/core/step"
)

const (
	region     = model.RegionName("r")
	nodeCount  = 4
	staleAfter = peers.FreshnessTTL + peers.FreshnessTTL/1000
)

// mutation alters the events delivered to a node, to imitate a faulty
// implementation.
type mutation func(event.Event, time.Time) event.Event

type scheduledCall struct {
	at  time.Duration
	seq int
	run func()
}

type callQueue []scheduledCall

func (q callQueue) Len() int { return len(q) }

func (q callQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *callQueue) Push(x any) { *q = append(*q, x.(scheduledCall)) }

func (q *callQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// process is one run of a node.
type process struct {
	sim    *simulation
	index  int
	rate   float64
	self   model.Member
	conf   conf.State
	peers  peers.State
	cursor model.Version
	paused bool
	dead   bool
	left   bool
	// afterLeave is set if an earlier process of the node left gracefully.
	// Peers without the store cannot know that this one has joined.
	afterLeave     bool
	deferredEvents []event.Event
	// observed lists the versions that the store reported to this process, in
	// order of time.
	observed []observed
	mutate   mutation
	timerAt  time.Time
}

type observed struct {
	at      time.Duration
	version model.Version
}

type storeWrite struct {
	at     time.Duration
	change model.Change
}

// simulation runs several nodes in virtual time over an unreliable network and
// store.
type simulation struct {
	now         time.Duration
	queue       callQueue
	seq         int
	rng         *rand.Rand
	nodes       [nodeCount]*process
	storeWrites []storeWrite
	// storeCut and peerCut mark the paths on which all messages are lost.
	storeCut [nodeCount]bool
	peerCut  [nodeCount][nodeCount]bool
	// freshChecks counts the checks of fresh nodes, outageChecks those of nodes
	// that are fresh only by outage mode.
	freshChecks, outageChecks int
	// behindChecks counts the checks of a node whose settled version is above
	// the version of a live process.
	behindChecks int
	mutate       mutation
	violation    error
	// reliable is set if no message is lost or late.
	reliable bool
}

var epoch = time.Unix(1_000_000, 0)

func newSimulation(seed uint64, mutate mutation) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), mutate: mutate}
	for i := range sim.nodes {
		sim.start(i)
	}
	return sim
}

func (sim *simulation) start(i int) {
	p := &process{
		sim: sim, index: i,
		rate: 1 + (sim.rng.Float64()-0.5)/1000,
		self: model.Member{
			Name: model.NodeName(fmt.Sprintf("n%d", i)), Address: fmt.Sprintf("127.0.0.1:%d", 9000+i),
			Incarnation: model.Incarnation(sim.rng.Uint64()),
		},
		mutate: sim.mutate,
	}
	if earlier := sim.nodes[i]; earlier != nil {
		p.afterLeave = earlier.left || earlier.afterLeave
	}
	p.conf, p.peers = conf.New(), peers.New(p.self, region)
	sim.nodes[i] = p
	p.poll()
	if i == 0 {
		p.post(event.AuthorityChanged{Held: true, Epoch: 1})
	}
}

func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.queue, scheduledCall{sim.now + d, sim.seq, run})
}

// delay returns a network delay that is usually short, and sometimes longer
// than FreshnessTTL.
func (sim *simulation) delay() time.Duration {
	d := time.Duration(1+sim.rng.Int64N(20)) * time.Millisecond
	if !sim.reliable && sim.rng.IntN(12) == 0 {
		d += time.Duration(sim.rng.Int64N(int64(8 * time.Second)))
	}
	return d
}

func (sim *simulation) dropped() bool { return !sim.reliable && sim.rng.IntN(20) == 0 }

// run advances the virtual time and executes the calls that are due.
func (sim *simulation) run(d time.Duration) {
	end := sim.now + d
	for len(sim.queue) > 0 && sim.queue[0].at <= end && sim.violation == nil {
		next := heap.Pop(&sim.queue).(scheduledCall)
		sim.now = next.at
		next.run()
		sim.check()
	}
	sim.now = end
	sim.check()
}

func (sim *simulation) version() model.Version { return model.Version(len(sim.storeWrites)) }

func (sim *simulation) writeObject(kind model.Kind, name string, value any) {
	change := model.Change{Kind: kind, Name: name, Version: sim.version() + 1, Generation: 1, Value: value}
	for _, old := range sim.storeWrites {
		if old.change.Kind == kind && old.change.Name == name {
			change.Generation++
		}
	}
	sim.storeWrites = append(sim.storeWrites, storeWrite{sim.now, change})
}

func (sim *simulation) rosterVersion() model.Version {
	for i := len(sim.storeWrites) - 1; i >= 0; i-- {
		if sim.storeWrites[i].change.Kind == model.KindRoster {
			return sim.storeWrites[i].change.Version
		}
	}
	return 0
}

// clock returns the time on the clock of the process.
func (p *process) clock() time.Time {
	return epoch.Add(time.Duration(p.index)*time.Hour + time.Duration(float64(p.sim.now)*p.rate))
}

// poll requests changes from the store once per second.
func (p *process) poll() {
	if p.dead {
		return
	}
	sim := p.sim
	sim.schedule(time.Second, p.poll)
	if p.paused {
		return
	}
	sentAt, after := p.clock(), p.cursor
	sim.call(func() bool { return sim.storeCut[p.index] }, func() event.Event {
		changed := event.ConfigChanged{Upto: sim.version(), SentAt: sentAt, FromStore: true}
		for _, old := range sim.storeWrites[after:] {
			changed.Changes = append(changed.Changes, old.change)
		}
		return changed
	}, p, event.StoreFailed{})
}

// call runs serve at the remote end, then delivers its response or the failure to
// p.
func (sim *simulation) call(cut func() bool, serve func() event.Event, p *process, failed event.Event) {
	fail := func() { sim.schedule(time.Second, func() { p.post(failed) }) }
	sim.schedule(sim.delay(), func() {
		if cut() || sim.dropped() {
			fail()
			return
		}
		answer := serve()
		sim.schedule(sim.delay(), func() {
			if cut() || sim.dropped() {
				fail()
				return
			}
			p.post(answer)
		})
	})
}

// post applies an event, or defers it until the process resumes.
func (p *process) post(e event.Event) {
	switch {
	case p.dead || e == nil:
		return
	case p.paused:
		p.deferredEvents = append(p.deferredEvents, e)
		return
	}
	if p.mutate != nil {
		e = p.mutate(e, p.clock())
	}
	if changed, ok := e.(event.ConfigChanged); ok && changed.FromStore {
		p.cursor = max(p.cursor, changed.Upto)
		p.observed = append(p.observed, observed{p.sim.now, changed.Upto})
	}
	before := p.conf.Version()
	for pending := []event.Event{e}; len(pending) > 0; pending = pending[1:] {
		in := step.Input[event.Event]{At: p.clock(), Random: p.sim.rng.Uint64(), Event: pending[0]}
		var out step.Out[event.Event, effect.Effect]
		var more step.Out[event.Event, effect.Effect]
		p.conf, out = p.conf.Apply(in)
		p.peers, more = p.peers.Apply(in)
		pending = append(pending, append(out.Raised, more.Raised...)...)
		for _, f := range append(out.Effects, more.Effects...) {
			p.execute(f)
		}
	}
	if p.conf.Version() < before {
		p.sim.violation = fmt.Errorf("version of %s decreased from %d to %d", p.self.Name, before, p.conf.Version())
	}
	if next := p.peers.Next(); !next.IsZero() && !next.Equal(p.timerAt) {
		p.timerAt = next
		wait := max(time.Millisecond, time.Duration(float64(next.Sub(p.clock()))/p.rate)+1)
		p.sim.schedule(wait, func() {
			if p.timerAt.Equal(next) {
				p.timerAt = time.Time{}
				p.post(event.Tick{})
			}
		})
	}
}

func (p *process) execute(f effect.Effect) {
	sim := p.sim
	switch f := f.(type) {
	case effect.WriteObject:
		sim.call(func() bool { return sim.storeCut[p.index] }, func() event.Event {
			if sim.rosterVersion() != f.IfVersion {
				return event.ObjectConflict{Op: f.Op}
			}
			sim.writeObject(f.Kind, f.Name, f.Value)
			return event.ObjectWritten{Op: f.Op, Version: sim.version()}
		}, p, event.ObjectAmbiguous{Op: f.Op})
	case effect.ReadObject:
		sim.call(func() bool { return sim.storeCut[p.index] }, func() event.Event {
			if version := sim.rosterVersion(); version > 0 {
				return event.ObjectRead{Op: f.Op, Found: true, Object: sim.storeWrites[version-1].change}
			}
			return event.ObjectRead{Op: f.Op}
		}, p, event.ObjectReadFailed{Op: f.Op})
	case effect.Exchange:
		sentAt := p.clock()
		p.ask(f.Peer, event.ExchangeAsked{Status: f.Status}, func(reply effect.Reply) event.Event {
			return event.ExchangeAnswered{Peer: f.Peer, SentAt: sentAt, Status: reply.(effect.ExchangeReply).Status}
		}, func(refused bool) event.Event {
			return event.ExchangeFailed{Peer: f.Peer, SentAt: sentAt, Refused: refused}
		})
	case effect.Fetch:
		p.ask(f.Peer, event.FetchAsked{After: f.After, Clean: f.Clean}, func(reply effect.Reply) event.Event {
			r := reply.(effect.FetchReply)
			return event.FetchAnswered{
				Peer: f.Peer, After: f.After, Changes: r.Changes, Upto: r.Upto, Clean: r.Clean, Floor: r.Floor, Refused: r.Refused,
			}
		}, func(bool) event.Event { return event.FetchFailed{Peer: f.Peer} })
	case effect.Push:
		p.ask(f.Peer, event.PushArrived{Changes: f.Changes, After: f.After, Upto: f.Upto},
			func(effect.Reply) event.Event { return nil }, func(bool) event.Event { return nil })
	}
}

// ask sends a call to whichever process listens at the address of a member.
func (p *process) ask(
	to model.Member, asked event.Event, answered func(effect.Reply) event.Event, failed func(refused bool) event.Event,
) {
	sim := p.sim
	var j int
	_, _ = fmt.Sscanf(string(to.Name), "n%d", &j)
	cut := func() bool { return sim.peerCut[p.index][j] }
	sim.schedule(sim.delay(), func() {
		q := sim.nodes[j]
		switch {
		case cut() || sim.dropped():
			sim.schedule(time.Second, func() { p.post(failed(false)) })
		case q.dead:
			sim.schedule(sim.delay(), func() { p.post(failed(true)) })
		default:
			q.serve(asked, func(reply effect.Reply) {
				sim.schedule(sim.delay(), func() {
					if cut() || sim.dropped() {
						p.post(failed(false))
						return
					}
					p.post(answered(reply))
				})
			})
		}
	})
}

// serve applies a call from a peer and passes on the reply. A paused process
// answers once it has resumed.
func (p *process) serve(asked event.Event, reply func(effect.Reply)) {
	if p.paused {
		p.sim.schedule(time.Second, func() { p.serve(asked, reply) })
		return
	}
	if p.dead {
		return
	}
	in := step.Input[event.Event]{At: p.clock(), Random: p.sim.rng.Uint64(), Event: asked}
	_, out := p.conf.Apply(in)
	_, more := p.peers.Apply(in)
	for _, f := range append(out.Effects, more.Effects...) {
		if r, ok := f.(effect.Reply); ok {
			reply(r)
		}
	}
	p.post(asked)
}

func (p *process) running() bool { return !p.dead && !p.paused }

func (p *process) fresh() bool { return p.running() && p.peers.Fresh(p.clock()) }

func (p *process) isMember(name model.NodeName, id model.Incarnation) bool {
	for _, member := range p.conf.Roster(region).Members {
		if member.Name == name && (id == 0 || member.Incarnation == id) {
			return true
		}
	}
	return false
}

// check records a violation if a safety property does not hold.
func (sim *simulation) check() {
	for _, p := range sim.nodes {
		if sim.violation != nil || !p.running() {
			continue
		}
		if p.fresh() {
			sim.freshChecks++
			sim.checkFresh(p)
		}
		for _, q := range sim.nodes {
			if !q.dead && q.conf.Version() < p.peers.SettledVersion() {
				sim.behindChecks++
			}
			if q.fresh() && q.isMember(q.self.Name, q.self.Incarnation) && q.conf.Version() < p.peers.SettledVersion() {
				sim.violation = fmt.Errorf("at %v: settled version of %s is %d, but %s is fresh at version %d",
					sim.now, p.self.Name, p.peers.SettledVersion(), q.self.Name, q.conf.Version())
			}
		}
	}
}

func (sim *simulation) checkFresh(p *process) {
	limit := sim.now - staleAfter
	if !p.peers.InOutageMode(p.clock()) {
		for _, old := range sim.storeWrites {
			if old.at < limit && old.change.Version > p.conf.Version() {
				sim.violation = fmt.Errorf("at %v: %s is fresh at version %d and lacks version %d, written at %v",
					sim.now, p.self.Name, p.conf.Version(), old.change.Version, old.at)
				return
			}
		}
		return
	}
	sim.outageChecks++
	for _, q := range sim.nodes {
		if q == p || q.dead || !p.isMember(q.self.Name, 0) {
			continue
		}
		if q.afterLeave && !p.isMember(q.self.Name, q.self.Incarnation) {
			continue
		}
		for _, update := range q.observed {
			if update.at < limit && update.version > p.conf.Version() {
				sim.violation = fmt.Errorf("at %v: %s is in outage mode at version %d, but %s learned of version %d at %v",
					sim.now, p.self.Name, p.conf.Version(), q.self.Name, update.version, update.at)
				return
			}
		}
	}
}
