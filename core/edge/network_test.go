package edge_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"caroblane/core/alive"
	"caroblane/core/edge"
	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/fleet"
	"caroblane/core/lease"
	"caroblane/core/member"
	"caroblane/core/model"
	"caroblane/core/quota"
	"caroblane/core/scaler"
	"caroblane/core/serve"
	"caroblane/core/site"
	"caroblane/core/usage"
)

const (
	// messageDelay is the time that a message takes, and callTimeout the time after
	// which a call to a node that cannot be reached fails.
	messageDelay = time.Millisecond
	callTimeout  = time.Second
	// restartTime is how long an engine is away after a crash.
	restartTime = 3 * time.Second
)

var networkBounds = model.Bounds{
	RevocationDelay: 5 * time.Second, QuotaWindow: 8 * time.Second, UsageWindow: 5 * time.Second, UsageReportDelay: 10 * time.Second,
	RetryRatio: 0.2, RetrySlack: 40, RetryWindow: 10 * time.Second,
}

// action is something that happens at a time of the simulation.
type action struct {
	at  time.Duration
	seq int
	do  func()
}

type agenda []action

func (a agenda) Len() int { return len(a) }

func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}

func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a *agenda) Push(x any) { *a = append(*a, x.(action)) }

func (a *agenda) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	*a = (*a)[:last]
	return x
}

// simNode is an entry node.
type simNode struct {
	model.Member
	state edge.State
	// tickAt is when the next tick is due, or zero.
	tickAt time.Duration
	cut    bool
	// healedAt is when a node that was cut off was reached again.
	healedAt time.Duration
	down     bool
}

// simEngine is an engine, and the runs that it has.
type simEngine struct {
	model.Upstream
	up   bool
	runs map[*simRun]bool
}

// simRun is an attempt at an engine.
type simRun struct {
	node    *simNode
	request *simRequest
	attempt int
	begun   bool
}

// simRequest is a request of a caller.
type simRequest struct {
	arrivedAt time.Duration
	parts     []uint64
	// begunFirst is set once its answer began at its first attempt.
	begunFirst bool
	// reached is set once it has reached an engine.
	reached  bool
	declined *effect.Decline
}

// reach is the arrival of a request with a crashing part at an engine.
type reach struct {
	at   time.Duration
	node *simNode
}

// network simulates nodes, the messages between them, and engines that crash when they
// begin to write an answer to a crashing part.
type network struct {
	now    time.Duration
	agenda agenda
	seq    int
	random *rand.Rand
	nodes  []*simNode
	// loss is the share of the announcements that are lost.
	loss     float64
	engines  []*simEngine
	revision model.Version
	tickets  model.Ticket
	open     map[model.Ticket]*simRequest
	requests []*simRequest
	// crashing has the crashing parts, reached the requests with each that reached an
	// engine, and crashes the times of the crashes by each.
	crashing map[uint64]bool
	reached  map[uint64][]reach
	crashes  map[uint64][]time.Duration
	bounds   model.Bounds
	service  model.Service
	// registrations are those that nodes have written.
	registrations map[model.NodeName]model.Change
	// placed are the attempts that were sent to engines.
	placed []placed
}

// placed is an attempt that a node sent to an engine.
type placed struct {
	at     time.Duration
	node   model.NodeName
	engine *simEngine
}

// newNetwork starts nodes in zones.
func newNetwork(seed uint64, zones, nodes, engines int) *network {
	return newNetworkWith(networkBounds, model.Service{Name: "app"}, seed, zones, nodes, engines)
}

// newNetworkWith starts nodes with given bounds, whose requests go to a given service.
func newNetworkWith(bounds model.Bounds, service model.Service, seed uint64, zones, nodes, engines int) *network {
	n := &network{
		bounds: bounds, service: service,
		random: rand.New(rand.NewPCG(seed, 1)), open: map[model.Ticket]*simRequest{}, crashing: map[uint64]bool{},
		reached: map[uint64][]reach{}, crashes: map[uint64][]time.Duration{}, revision: 10,
		registrations: map[model.NodeName]model.Change{},
	}
	for i := range engines {
		n.engines = append(n.engines, &simEngine{Upstream: model.Upstream{
			Name: model.UpstreamName(fmt.Sprintf("e%03d", i)), Service: "app", Slots: 64, Incarnation: 1, Zone: zoneName(i % zones),
		}, up: true, runs: map[*simRun]bool{}})
	}
	for i := range nodes {
		n.nodes = append(n.nodes, &simNode{Member: model.Member{
			Name: model.NodeName(fmt.Sprintf("n%03d", i)), Address: fmt.Sprint(i), Zone: zoneName(i % zones), Incarnation: model.Incarnation(i + 1),
		}})
	}
	for _, node := range n.nodes {
		n.start(node)
	}
	return n
}

func zoneName(i int) model.ZoneName { return model.ZoneName(fmt.Sprintf("z%02d", i)) }

// start starts the process of a node, or another one.
func (n *network) start(node *simNode) {
	at := startTime.Add(n.now)
	node.Incarnation += 1000
	node.down = false
	node.state = edge.New(edge.Components{
		Site: site.New(n.bounds), Fleet: fleet.New(), Alive: alive.New(node.Member, n.bounds, at), Member: member.New(node.Member, at, false),
		Quota: quota.New(node.Member, n.bounds, at), Usage: usage.New(node.Member, n.bounds),
		Lease:  lease.New(lease.DefaultSettings("r"), node.Name, node.Incarnation, at),
		Scaler: scaler.New(scaler.Policy{}), Serve: serve.New(n.bounds),
	})
	n.apply(node, event.Tick{})
	n.readStore(node)
	var upstreams []model.Upstream
	for _, e := range n.engines {
		upstreams = append(upstreams, e.Upstream)
	}
	n.apply(node, event.UpstreamsRead{Revision: n.revision, Upstreams: upstreams})
}

// readStore lets a node read its configuration every second.
func (n *network) readStore(node *simNode) {
	process := node.Incarnation
	n.apply(node, event.SiteRead{SentAt: startTime.Add(n.now), Revision: 1, Site: &model.Site{
		Revision: 1, Services: map[model.ServiceName]model.Service{"app": n.service},
		Routes: []model.SiteRoute{{
			Host: "h", Prefix: "/", Public: true, Timeout: 20 * time.Second, Attempts: 3, Repeat: model.RepeatFreely, Stream: true,
			Services: []model.Share{{Service: "app", Weight: 1}},
		}},
	}})
	n.after(time.Second, func() {
		if node.Incarnation == process && !node.down {
			n.readStore(node)
		}
	})
}

func (n *network) after(d time.Duration, do func()) {
	n.seq++
	heap.Push(&n.agenda, action{n.now + d, n.seq, do})
}

// run simulates a time.
func (n *network) run(d time.Duration) {
	end := n.now + d
	for len(n.agenda) > 0 && n.agenda[0].at <= end {
		next := heap.Pop(&n.agenda).(action)
		n.now = next.at
		next.do()
	}
	n.now = end
}

// apply applies an event at a node and carries out the effects.
func (n *network) apply(node *simNode, e event.Event) {
	if node.down {
		return
	}
	var effects []effect.Effect
	node.state, effects = node.state.Apply(edge.Input{At: startTime.Add(n.now), Random: n.random.Uint64(), Event: e})
	for _, f := range effects {
		n.execute(node, f)
	}
	next := max(node.state.Next().Sub(startTime), n.now+time.Millisecond)
	if node.tickAt > n.now && node.tickAt <= next {
		return
	}
	node.tickAt = next
	n.after(next-n.now, func() {
		if node.tickAt == n.now {
			node.tickAt = 0
			n.apply(node, event.Tick{})
		}
	})
}

func (n *network) execute(node *simNode, f effect.Effect) {
	switch f := f.(type) {
	case effect.ListObjects:
		listed := event.ObjectsListed{Op: f.Op, SentAt: startTime.Add(n.now)}
		if f.Kind == model.KindMember {
			for _, other := range n.nodes {
				listed.Objects = append(listed.Objects, n.registration(other.Name))
			}
		}
		n.after(messageDelay, func() { n.apply(node, listed) })
	case effect.ReadObject:
		if f.Kind == model.KindMember {
			read := event.ObjectRead{Op: f.Op, SentAt: startTime.Add(n.now), Found: true, Object: n.registration(node.Name)}
			n.after(messageDelay, func() { n.apply(node, read) })
		}
	case effect.WriteObject:
		if f.Kind == model.KindMember {
			written := n.writeRegistration(f)
			n.after(messageDelay, func() { n.apply(node, written) })
		}
	case effect.FetchFeed:
		n.after(messageDelay, func() { n.apply(node, event.FeedFailed{}) })
	case effect.Announce:
		for _, peer := range f.Peers {
			if n.random.Float64() < n.loss {
				continue
			}
			n.send(node, peer, func(to *simNode) { n.apply(to, event.AnnounceArrived{Report: f.Report}) }, func() {})
		}
	case effect.SyncPeer:
		n.sync(node, f)
	case effect.Forward:
		n.forward(node, f)
	case effect.Decline:
		n.open[f.Ticket].declined = &f
		delete(n.open, f.Ticket)
	case effect.Finish:
		delete(n.open, f.Ticket)
	}
}

// send delivers a message, or calls failed after a while if it cannot be delivered.
func (n *network) send(from *simNode, to model.Member, deliver func(*simNode), failed func()) {
	i := slices.IndexFunc(n.nodes, func(other *simNode) bool { return other.Name == to.Name })
	target := n.nodes[i]
	if from.cut || target.cut || target.down {
		n.after(callTimeout, failed)
		return
	}
	n.after(messageDelay+time.Duration(n.random.IntN(int(messageDelay))), func() { deliver(target) })
}

// sync carries out an exchange of reports.
func (n *network) sync(node *simNode, f effect.SyncPeer) {
	sentAt := startTime.Add(n.now)
	n.send(node, f.Peer, func(to *simNode) {
		if to.down {
			return
		}
		var effects []effect.Effect
		to.state, effects = to.state.Apply(edge.Input{
			At: startTime.Add(n.now), Random: n.random.Uint64(), Event: event.SyncArrived{Ticket: 1 << 60, Report: f.Report},
		})
		for _, e := range effects {
			reply, isReply := e.(effect.SyncReply)
			if !isReply {
				n.execute(to, e)
				continue
			}
			n.send(to, node.Member, func(back *simNode) {
				n.apply(back, event.SyncAnswered{Report: reply.Report, SentAt: sentAt})
			}, func() {})
		}
		n.apply(to, event.CallerGone{Ticket: 1 << 60})
	}, func() { n.apply(node, event.SyncFailed{Peer: f.Peer.Name}) })
}

// arrive sends a request with the given parts to a random node, or to the next one if
// that is not ready.
func (n *network) arrive(parts ...uint64) {
	first := n.random.IntN(len(n.nodes))
	for i := range n.nodes {
		node := n.nodes[(first+i)%len(n.nodes)]
		if !node.down && node.state.Ready(startTime.Add(n.now)) {
			n.arriveAt(node, parts...)
			return
		}
	}
}

// arriveAt sends a request with the given parts to a node.
func (n *network) arriveAt(node *simNode, parts ...uint64) {
	arrived := model.SiteRequest{Fingerprint: n.random.Uint64()}
	for _, id := range append(slices.Clone(parts), n.random.Uint64()) {
		arrived.Parts = append(arrived.Parts, model.PromptPart{Hash: id, ID: id, Tokens: 100})
	}
	n.arriveWith(node, arrived, parts)
}

// arriveWith sends a request to a node that crashes engines if one of the given parts does.
func (n *network) arriveWith(node *simNode, arrived model.SiteRequest, parts []uint64) {
	n.tickets++
	request := &simRequest{arrivedAt: n.now, parts: parts}
	n.open[n.tickets] = request
	n.requests = append(n.requests, request)
	arrived.Host, arrived.Path = "h", "/x"
	arrived.ArrivedAt, arrived.CallerDeadline = startTime.Add(n.now), startTime.Add(n.now+20*time.Second)
	n.apply(node, event.SiteArrived{Ticket: n.tickets, Request: arrived})
}

// forward runs an attempt at an engine: it waits for its prompt, writes its answer and
// completes it.
func (n *network) forward(node *simNode, f effect.Forward) {
	i := slices.IndexFunc(n.engines, func(e *simEngine) bool { return e.Name == f.Upstream.Name })
	engine, request := n.engines[i], n.open[f.Ticket]
	ended := event.ForwardEnded{Ticket: f.Ticket, Attempt: f.Attempt}
	end := func(outcome model.Outcome) {
		ended.Outcome, ended.Passed = outcome, outcome != model.NotSent && ended.Passed
		n.apply(node, ended)
	}
	if !engine.up {
		n.after(messageDelay, func() { end(model.NotSent) })
		return
	}
	request.reached = true
	n.placed = append(n.placed, placed{n.now, node.Name, engine})
	for _, part := range request.parts {
		if n.crashing[part] {
			n.reached[part] = append(n.reached[part], reach{n.now, node})
		}
	}
	run := &simRun{node, request, f.Attempt, false}
	engine.runs[run] = true
	n.after(time.Duration(50+n.random.IntN(350))*time.Millisecond, func() {
		if !engine.runs[run] {
			return
		}
		for _, part := range request.parts {
			if n.crashing[part] {
				n.crashes[part] = append(n.crashes[part], n.now)
				n.crash(engine)
				return
			}
		}
		run.begun = true
		request.begunFirst = request.begunFirst || f.Attempt == 1
		n.after(messageDelay, func() {
			n.apply(node, event.ForwardBegan{Ticket: f.Ticket, Attempt: f.Attempt})
		})
		n.after(time.Duration(300+n.random.IntN(3000))*time.Millisecond, func() {
			if engine.runs[run] {
				delete(engine.runs, run)
				ended.Status = 200
				end(model.Completed)
			}
		})
	})
	n.onCrash(engine, run, func() {
		ended.Crashed, ended.Passed = true, run.begun
		end(model.Broken)
	})
}

// onCrash registers what happens to a run when its engine crashes.
func (n *network) onCrash(engine *simEngine, run *simRun, do func()) {
	process := engine.Incarnation
	var watch func()
	watch = func() {
		switch {
		case engine.Incarnation == process && engine.up && engine.runs[run]:
			n.after(20*time.Millisecond, watch)
		case engine.runs[run]:
			delete(engine.runs, run)
			do()
		}
	}
	n.after(20*time.Millisecond, watch)
}

// crash ends the process of an engine. Another one starts after a while.
func (n *network) crash(engine *simEngine) {
	engine.up = false
	n.after(restartTime, func() {
		engine.up = true
		engine.Incarnation++
		n.revision++
		for _, node := range n.nodes {
			n.apply(node, event.UpstreamRegistered{Upstream: engine.Upstream, Revision: n.revision})
		}
	})
}
