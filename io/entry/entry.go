// Package entry assembles an entry node from its parts: listeners, control
// loop, executors and traffic.
package entry

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"caroblane/core/claim"
	"caroblane/core/conf"
	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/flow"
	"caroblane/core/lease"
	"caroblane/core/limit"
	"caroblane/core/model"
	"caroblane/core/node"
	"caroblane/core/order"
	"caroblane/core/peers"
	"caroblane/io/admin"
	"caroblane/io/certs"
	"caroblane/io/desk"
	"caroblane/io/front"
	"caroblane/io/link"
	"caroblane/io/loop"
	"caroblane/io/meter"
	"caroblane/io/orders"
	"caroblane/io/plat"
	"caroblane/io/relay"
	"caroblane/io/setup"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	// departTerm bounds the wait for the roster to drop a drained node. Without
	// the store its peers count it as left by its own statement.
	departTerm = 3 * time.Second
)

// Errors is the namespace of this layer's errors.
var Errors = errorx.NewNamespace("entry")

// Failed is the type of errors that end a node.
var Failed = Errors.NewType("failed")

// Listeners are the sockets of a node, opened before it starts. The peer
// listener also proves that no earlier process runs on the same address.
type Listeners struct {
	Callers net.Listener
	Peers   net.Listener
	Admin   net.Listener
}

// Node is one entry node.
type Node struct {
	settings    setup.Settings
	listeners   Listeners
	incarnation model.Incarnation
	log         zerolog.Logger
	clock       plat.Clock
	loop        *loop.Loop[node.State, event.Event, effect.Effect]
	meter       *meter.Meter
	platform    *plat.Client
	orders      *orders.Sender
	relay       *relay.Client
	front       *front.Server
	// certificate is nil where callers use plain text, and authority where
	// peers do.
	certificate *certs.Callers
	authority   *certs.Peers
	link        *link.Client
	peers       http.Handler
	departed    departure
	// leaving is set when readiness has ended before a graceful shutdown.
	leaving atomic.Bool
	// drained gets a value when an operator asks for a drain.
	drained chan struct{}
	done    chan struct{}
}

// control gives traffic its view of the control loop.
type control struct {
	*loop.Loop[node.State, event.Event, effect.Effect]
}

// observer passes measurements of traffic to the meter.
type observer struct{ *meter.Meter }

// executors carries out each effect by every executor; an executor ignores
// the effects of others.
type executors []loop.Executor[effect.Effect]

// departure tells the drain that the roster no longer lists this node.
type departure chan struct{}

// replies hands reply effects to the traffic goroutines.
type replies struct{ desk *desk.Desk }

// Listen opens the listeners that the settings name.
func Listen(settings setup.Settings) (Listeners, error) {
	var l Listeners
	for _, each := range []struct {
		listener *net.Listener
		address  string
	}{
		{&l.Callers, settings.Listen.Callers.String()},
		{&l.Peers, settings.Listen.Peers.String()},
		{&l.Admin, settings.Listen.Admin.String()},
	} {
		listener, err := net.Listen("tcp", each.address)
		if err != nil {
			l.close()
			return Listeners{}, Failed.Wrap(err, "listener on %s", each.address)
		}
		*each.listener = listener
	}
	return l, nil
}

// New returns a node that is not running.
func New(
	settings setup.Settings, listeners Listeners, incarnation model.Incarnation, log zerolog.Logger, clock plat.Clock,
) (*Node, error) {
	n := &Node{
		settings:    settings,
		listeners:   listeners,
		incarnation: incarnation,
		log:         log,
		clock:       clock,
		departed:    make(departure, 1),
		drained:     make(chan struct{}, 1),
		done:        make(chan struct{}),
	}
	replyDesk := desk.New()
	all := &executors{}
	self := model.Member{
		Name:        settings.Node.Name,
		Address:     listeners.Peers.Addr().String(),
		Zone:        settings.Node.Zone,
		Incarnation: incarnation,
	}
	leased := lease.DefaultSettings(settings.Node.Region)
	waiting := limit.DefaultOptions()
	waiting.MaxWaitingTotal = settings.Limits.MaxWaiting
	initial := node.New(node.Parts{
		Peers: peers.New(self, settings.Node.Region),
		Limit: limit.New(self.Name, limit.Mix(), waiting),
		Claim: claim.New(claim.DefaultSettings(), incarnation),
		Lease: lease.New(leased, self.Name, incarnation, clock.Now()),
		Order: order.New(order.DefaultSettings(), self.Name, incarnation),
		Flow:  flow.New(settings.Limits.MaxOpen),
	})
	n.loop = loop.New[node.State, event.Event, effect.Effect](
		initial, all, event.Tick{}, settings.Limits.QueueCapacity, random(), clock.Now)
	n.meter = meter.New(n.reading)
	posts := counted{control{n.loop}, n.meter}
	platform := plat.DefaultSettings("http://"+settings.Platform.Address.String(), string(settings.Node.Name))
	platform.Lease = leased.Name
	n.platform = plat.New(platform, posts, random(), clock)
	n.orders = orders.New(n.upstream, posts, clock.Now)
	var err error
	if n.authority, err = peerAuthority(settings.TLS, clock.Now); err != nil {
		return nil, err
	}
	scheme, transport := peerTransport(n.authority)
	n.link = link.New(link.Options{
		Self:         self,
		Scheme:       scheme,
		HTTP:         &http.Client{Transport: transport},
		LookupMember: n.member,
		Now:          clock.Now,
	}, posts)
	n.peers = link.NewHandler(self, posts, replyDesk)
	*all = executors{replies{replyDesk}, n.meter, counter{n.meter}, n.platform, n.orders, n.link, n.departed}
	n.relay = relay.New(relay.Dialer())
	if n.certificate, err = callerCertificate(settings.TLS, clock.Now); err != nil {
		return nil, err
	}
	n.front, err = front.New(posts, replyDesk, n.relay, observer{n.meter}, front.Options{
		MaxBody:       int64(settings.Limits.MaxBody),
		AdmitWithin:   settings.Limits.AdmitWithin,
		RequestWithin: settings.Limits.RequestWithin,
		NodeID:        string(settings.Node.Name) + "-" + strconv.FormatUint(uint64(incarnation), 36),
	}, clock.Now)
	if err != nil {
		return nil, Failed.Wrap(err, "caller API")
	}
	return n, nil
}

// Done is closed when Run has returned.
func (n *Node) Done() <-chan struct{} { return n.done }

// Run serves until the context ends, then drains, and returns nil if no
// request was cut.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.done)
	control, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var running sync.WaitGroup
	running.Go(func() { n.loop.Run(control) })
	running.Go(func() { n.platform.Run(control) })
	running.Go(func() { n.orders.Run(control) })
	running.Go(func() { n.link.Run(control) })
	peerServer := n.server(n.peers)
	running.Go(func() { _ = n.servePeers(peerServer) })
	administered := make(chan error, 1)
	go func() { administered <- admin.Serve(control, n.listeners.Admin, n.admin()) }()
	callers := n.server(http.HandlerFunc(n.serveCaller))
	ended := make(chan error, 1)
	go func() { ended <- n.serveCallers(callers) }()
	n.log.Info().Str("Callers", n.listeners.Callers.Addr().String()).Msg("node started")
	var failure error
	select {
	case failure = <-ended:
		failure = Failed.Wrap(failure, "caller listener")
	case failure = <-administered:
		failure = Failed.Wrap(failure, "admin listener")
		administered <- nil
	case <-n.drained:
		failure = n.drain(control, callers)
	case <-ctx.Done():
		failure = n.drain(control, callers)
	}
	stop()
	// The peer listener is the last one to close: a refused connection tells
	// the peers that this process admits nothing any more.
	_ = peerServer.Close()
	running.Wait()
	failure = cmp.Or(failure, <-administered)
	n.relay.Close()
	n.listeners.close()
	n.log.Info().Msg("node stopped")
	return failure
}

// drain ends the node without cutting a request, up to the deadline.
func (n *Node) drain(ctx context.Context, callers *http.Server) error {
	n.leaving.Store(true)
	n.log.Info().Msg("readiness ended")
	if err := n.clock.Wait(ctx, n.settings.Limits.DrainNotice); err != nil {
		return Failed.Wrap(err, "drain notice")
	}
	by := n.clock.Now().Add(n.settings.Limits.DrainDeadline)
	if err := n.loop.Post(ctx, event.DrainAsked{}); err != nil {
		return Failed.Wrap(err, "drain")
	}
	n.log.Info().Int("Open", n.loop.Snapshot().Flow().Open()).Msg("drain started")
	ctx, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		_ = callers.Close()
		return Failed.Wrap(err, "requests were still open at the drain deadline")
	}
	ctx, cancel = context.WithTimeout(ctx, departTerm)
	defer cancel()
	select {
	case <-n.departed:
	case <-ctx.Done():
		n.log.Warn().Msg("node left without an answer of the store")
	}
	return nil
}

// serveCaller passes a request on. While the node is leaving, callers are told
// to use another connection next time.
func (n *Node) serveCaller(w http.ResponseWriter, r *http.Request) {
	if n.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	n.front.ServeHTTP(w, r)
}

// member returns the member of a name in the roster in force.
func (n *Node) member(name model.NodeName) (model.Member, bool) {
	for _, member := range n.loop.Snapshot().Conf().Roster(n.settings.Node.Region).Members {
		if member.Name == name {
			return member, true
		}
	}
	return model.Member{}, false
}

// upstream returns an upstream of the configuration in force.
func (n *Node) upstream(name model.UpstreamName) (model.Upstream, bool) {
	return n.loop.Snapshot().Conf().Upstream(name)
}

// admin returns the handler of the admin listener.
func (n *Node) admin() http.Handler {
	commands := admin.Commands{
		Drain: func(context.Context) error {
			select {
			case n.drained <- struct{}{}:
			default:
				// A drain was asked for already.
			}
			return nil
		},
		Forget: func(ctx context.Context, name model.NodeName) error {
			return n.loop.Post(ctx, event.ForgetAsked{Name: name})
		},
	}
	return admin.New(n.status, commands, n.meter.Handler(), n.loop.Done())
}

func (n *Node) status() admin.Status {
	state, now := n.loop.Snapshot(), n.clock.Now()
	members := []admin.Member{}
	for _, v := range state.Peers().Others(now) {
		members = append(members, admin.Member{
			Name: v.Member.Name, Address: v.Member.Address, Zone: v.Member.Zone,
			Version: v.Version, Stopped: v.Stopped, HeardAt: v.HeardAt,
		})
	}
	return admin.Status{
		CertificateFault: n.certificateFault(),
		Node:             n.settings.Node.Name,
		Incarnation:      n.incarnation,
		Region:           n.settings.Node.Region,
		Zone:             n.settings.Node.Zone,
		Version:          state.Conf().Version(),
		Fresh:            state.Peers().Fresh(now),
		Settled:          state.Limit().Settled(now),
		Draining:         n.leaving.Load() || state.Flow().Draining(),
		OpenRequests:     state.Flow().Open(),
		Faults:           state.Conf().Faults(),
		Members:          members,
	}
}

func (n *Node) reading() meter.Reading {
	state := n.loop.Snapshot()
	return meter.Reading{
		Version:        state.Conf().Version(),
		Fresh:          state.Peers().Fresh(n.clock.Now()),
		LeaseHeld:      state.Lease().Held(n.clock.Now()),
		Settled:        state.Limit().Settled(n.clock.Now()),
		Waiting:        state.Limit().Waiting(),
		WaitingForSlot: state.Flow().Waiting(),
		Open:           state.Flow().Open(),
		Queued:         n.loop.Queued(),
		Faults:         len(state.Conf().Faults()),
	}
}

func (n *Node) server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// Conf returns the configuration in force.
func (c control) Conf() conf.State { return c.Snapshot().Conf() }

// Execute carries out an effect.
func (all *executors) Execute(ctx context.Context, e effect.Effect) {
	for _, executor := range *all {
		executor.Execute(ctx, e)
	}
}

// Refused counts a request that the reducer has not seen.
func (o observer) Refused(reason model.Reason) {
	o.Execute(context.Background(), effect.CountRefusal{Reason: reason})
}

// Execute takes the end of the membership.
func (d departure) Execute(_ context.Context, e effect.Effect) {
	if _, ok := e.(effect.Departed); ok {
		select {
		case d <- struct{}{}:
		default:
			// The end is known already.
		}
	}
}

// Execute hands a reply to the holder of its ticket.
func (r replies) Execute(_ context.Context, e effect.Effect) {
	if reply, ok := e.(effect.Reply); ok {
		r.desk.Deliver(reply)
	}
}

func (l Listeners) close() {
	for _, listener := range []net.Listener{l.Callers, l.Admin, l.Peers} {
		if listener == nil {
			continue
		}
		if err := listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			continue
		}
	}
}

func random() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
