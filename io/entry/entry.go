// Package entry assembles an entry node from its listeners, control loop, effect
// executors and request handling.
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
	"caroblane/io/clock"
	"caroblane/io/front"
	"caroblane/io/link"
	"caroblane/io/logs"
	"caroblane/io/loop"
	"caroblane/io/meter"
	"caroblane/io/orders"
	"caroblane/io/plat"
	"caroblane/io/relay"
	"caroblane/io/setup"
	"caroblane/io/ticket"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	// departureTimeout is how long a drained node waits to be removed from the
	// roster. If the store is unavailable, its peers learn from the node itself
	// that it has left.
	departureTimeout = 3 * time.Second
)

// Errors is the error namespace of this package.
var Errors = errorx.NewNamespace("entry")

// Failed is the error type for failures to start or run a node.
var Failed = Errors.NewType("failed")

// Listeners are the listening sockets of a node, opened before the node starts.
// Opening the peer listener also ensures that no earlier process is still running
// on the same address.
type Listeners struct {
	Callers net.Listener
	Peers   net.Listener
	Admin   net.Listener
}

// Clock is the clock of a node.
type Clock interface {
	loop.Clock
	plat.Clock
}

// Node is an entry node.
type Node struct {
	settings    setup.Settings
	listeners   Listeners
	incarnation model.Incarnation
	log         zerolog.Logger
	clock       Clock
	loop        *loop.Loop[node.State, event.Event, effect.Effect]
	metrics     *meter.Metrics
	platform    *plat.Client
	orders      *orders.Sender
	relay       *relay.Client
	front       *front.Server
	// callerCerts is nil if callers use plain HTTP, and peerCerts is nil if peers
	// do.
	callerCerts *certs.CallerTLS
	peerCerts   *certs.PeerTLS
	link        *link.Client
	peers       http.Handler
	departed    departureSignal
	// leaving is set at the start of a graceful shutdown, when the node stops being
	// ready.
	leaving atomic.Bool
	// drainRequested receives a value when an operator requests a drain.
	drainRequested chan struct{}
	done           chan struct{}
}

// control implements front.Control with the control loop.
type control struct {
	*loop.Loop[node.State, event.Event, effect.Effect]
}

// observer implements front.Observer with the metrics.
type observer struct{ *meter.Metrics }

// multiExecutor passes each effect to all its executors. An executor ignores the
// effects that it is not responsible for.
type multiExecutor []loop.Executor[effect.Effect]

// departureSignal receives a value when this node has been removed from the roster.
type departureSignal chan struct{}

// replyExecutor delivers reply effects to the goroutines that handle requests.
type replyExecutor struct{ tickets *ticket.Registry }

// Listen opens the listeners at the configured addresses.
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
			return Listeners{}, Failed.Wrap(err, "listen on %s", each.address)
		}
		*each.listener = listener
	}
	return l, nil
}

// New returns a node that is not running yet.
func New(
	settings setup.Settings, listeners Listeners, incarnation model.Incarnation, log zerolog.Logger, clock Clock,
) (*Node, error) {
	n := &Node{
		settings:       settings,
		listeners:      listeners,
		incarnation:    incarnation,
		log:            log,
		clock:          clock,
		departed:       make(departureSignal, 1),
		drainRequested: make(chan struct{}, 1),
		done:           make(chan struct{}),
	}
	tickets := ticket.New()
	executors := &multiExecutor{}
	self := model.Member{
		Name:        settings.Node.Name,
		Address:     listeners.Peers.Addr().String(),
		Zone:        settings.Node.Zone,
		Incarnation: incarnation,
	}
	leaseSettings := lease.DefaultSettings(settings.Node.Region)
	limitOptions := limit.DefaultOptions()
	limitOptions.MaxWaitingTotal = settings.Limits.MaxWaiting
	initial := node.New(node.Components{
		Peers: peers.New(self, settings.Node.Region),
		Limit: limit.New(self.Name, limit.Hybrid(), limitOptions),
		Claim: claim.New(claim.DefaultSettings(), incarnation),
		Lease: lease.New(leaseSettings, self.Name, incarnation, clock.Now()),
		Order: order.New(order.DefaultSettings(), self.Name, incarnation),
		Flow:  flow.New(settings.Limits.MaxOpen),
	})
	n.loop = loop.New[node.State, event.Event, effect.Effect](
		initial, executors, event.Tick{}, settings.Limits.QueueCapacity, newRand(), clock)
	n.metrics = meter.New(n.readMetrics)
	poster := countingControl{control{n.loop}, n.metrics}
	platform := plat.DefaultSettings("http://"+settings.Platform.Address.String(), string(settings.Node.Name))
	platform.Lease = leaseSettings.Name
	n.platform = plat.New(platform, poster, newRand(), clock)
	n.orders = orders.New(n.upstream, poster, clock.Now)
	var err error
	if n.peerCerts, err = loadPeerCerts(settings.TLS, clock.Now); err != nil {
		return nil, err
	}
	scheme, transport := peerTransport(n.peerCerts)
	n.link = link.New(link.Options{
		Self:         self,
		Scheme:       scheme,
		HTTP:         &http.Client{Transport: transport},
		LookupMember: n.member,
		Now:          clock.Now,
	}, poster)
	n.peers = link.NewHandler(self, poster, tickets)
	*executors = multiExecutor{replyExecutor{tickets}, n.metrics, effectCounter{n.metrics}, logs.SuspensionLogger{Log: log}, n.platform, n.orders, n.link, n.departed}
	n.relay = relay.New(relay.NewDialer())
	if n.callerCerts, err = loadCallerCerts(settings.TLS, clock.Now); err != nil {
		return nil, err
	}
	n.front, err = front.New(poster, tickets, n.relay, observer{n.metrics}, front.Options{
		MaxBody:          int64(settings.Limits.MaxBody),
		AdmissionTimeout: settings.Limits.AdmitWithin,
		RequestTimeout:   settings.Limits.RequestWithin,
		NodeID:           string(settings.Node.Name) + "-" + strconv.FormatUint(uint64(incarnation), 36),
	}, clock.Now)
	if err != nil {
		return nil, Failed.Wrap(err, "set up the caller API")
	}
	return n, nil
}

// Done is closed when Run has returned.
func (n *Node) Done() <-chan struct{} { return n.done }

// Run serves requests until the context is cancelled or a drain is requested, then
// drains the node. It returns nil if no request was aborted.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.done)
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var running sync.WaitGroup
	running.Go(func() { n.loop.Run(runCtx) })
	running.Go(func() { n.platform.Run(runCtx) })
	running.Go(func() { n.orders.Run(runCtx) })
	running.Go(func() { n.link.Run(runCtx) })
	peerServer := n.newServer(n.peers)
	running.Go(func() { _ = n.servePeers(peerServer) })
	adminErr := make(chan error, 1)
	go func() { adminErr <- admin.Serve(runCtx, n.listeners.Admin, n.admin()) }()
	callers := n.newServer(http.HandlerFunc(n.serveCaller))
	callersErr := make(chan error, 1)
	go func() { callersErr <- n.serveCallers(callers) }()
	n.log.Info().Str("Callers", n.listeners.Callers.Addr().String()).Msg("node started")
	var failure error
	select {
	case failure = <-callersErr:
		failure = Failed.Wrap(failure, "caller listener")
	case failure = <-adminErr:
		failure = Failed.Wrap(failure, "admin listener")
		adminErr <- nil
	case <-n.drainRequested:
		failure = n.drain(runCtx, callers)
	case <-ctx.Done():
		failure = n.drain(runCtx, callers)
	}
	stop()
	// The peer listener is closed last: peers take a refused connection as proof
	// that this process no longer admits requests.
	_ = peerServer.Close()
	running.Wait()
	failure = cmp.Or(failure, <-adminErr)
	n.relay.Close()
	n.listeners.close()
	n.log.Info().Msg("node stopped")
	return failure
}

// drain shuts the node down without aborting requests, unless they are still open
// at the drain deadline. During the notice period the node is not ready, but still
// accepts requests.
func (n *Node) drain(ctx context.Context, callers *http.Server) error {
	n.leaving.Store(true)
	n.log.Info().Msg("shutdown requested; reporting not ready")
	if err := n.clock.Wait(ctx, n.settings.Limits.DrainNotice); err != nil {
		return Failed.Wrap(err, "wait for the drain notice period")
	}
	deadline := n.clock.Now().Add(n.settings.Limits.DrainDeadline)
	if err := n.loop.Post(ctx, event.DrainAsked{}); err != nil {
		return Failed.Wrap(err, "drain")
	}
	n.log.Info().Int("Open", n.loop.Snapshot().Flow().Open()).Msg("drain started")
	ctx, cancel := clock.WithDeadline(ctx, n.clock.Now, deadline)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		_ = callers.Close()
		return Failed.Wrap(err, "requests were still open at the drain deadline")
	}
	ctx, cancel = context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	select {
	case <-n.departed:
	case <-ctx.Done():
		n.log.Warn().Msg("store did not confirm that the node left the roster; stopping anyway")
	}
	return nil
}

// serveCaller handles a request. While the node is shutting down, it asks callers
// to open a new connection for their next request.
func (n *Node) serveCaller(w http.ResponseWriter, r *http.Request) {
	if n.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	n.front.ServeHTTP(w, r)
}

// member returns a member of the current roster by name.
func (n *Node) member(name model.NodeName) (model.Member, bool) {
	for _, member := range n.loop.Snapshot().Conf().Roster(n.settings.Node.Region).Members {
		if member.Name == name {
			return member, true
		}
	}
	return model.Member{}, false
}

// upstream returns an upstream of the current configuration by name.
func (n *Node) upstream(name model.UpstreamName) (model.Upstream, bool) {
	return n.loop.Snapshot().Conf().Upstream(name)
}

// admin returns the HTTP handler of the admin listener.
func (n *Node) admin() http.Handler {
	commands := admin.Commands{
		Drain: func(context.Context) error {
			select {
			case n.drainRequested <- struct{}{}:
			default:
				// A drain has already been requested.
			}
			return nil
		},
		Forget: func(ctx context.Context, name model.NodeName) error {
			return n.loop.Post(ctx, event.ForgetAsked{Name: name})
		},
	}
	return admin.New(n.status, n.view, commands, n.metrics.Handler(), n.loop.Done())
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

// view returns what the node shows its operators.
func (n *Node) view() model.NodeView {
	view := n.loop.Snapshot().View(n.clock.Now()).WithQueuedEvents(n.loop.Queued())
	view.Node, view.Zone, view.Incarnation = n.settings.Node.Name, n.settings.Node.Zone, n.incarnation
	view.Draining = view.Draining || n.leaving.Load()
	view.Ready = view.Ready && !view.Draining
	return view
}

func (n *Node) readMetrics() meter.GaugeValues {
	state := n.loop.Snapshot()
	return meter.GaugeValues{
		Version:        state.Conf().Version(),
		Fresh:          state.Peers().Fresh(n.clock.Now()),
		LeaseHeld:      state.Lease().Held(n.clock.Now()),
		Settled:        state.Limit().Settled(n.clock.Now()),
		Waiting:        state.Limit().Queued(),
		WaitingForSlot: state.Flow().Queued(),
		Open:           state.Flow().Open(),
		Queued:         n.loop.Queued(),
		Faults:         len(state.Conf().Faults()),
	}
}

func (n *Node) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// Conf returns the current configuration.
func (c control) Conf() conf.State { return c.Snapshot().Conf() }

// Execute passes an effect to all executors.
func (executors *multiExecutor) Execute(ctx context.Context, e effect.Effect) {
	for _, executor := range *executors {
		executor.Execute(ctx, e)
	}
}

// Refused counts a request that was refused before it reached the reducer.
func (o observer) Refused(reason model.Reason) {
	o.Execute(context.Background(), effect.CountRefusal{Reason: reason})
}

// Execute signals an effect.Departed and ignores other effects.
func (d departureSignal) Execute(_ context.Context, e effect.Effect) {
	if _, ok := e.(effect.Departed); ok {
		select {
		case d <- struct{}{}:
		default:
			// The departure has already been signalled.
		}
	}
}

// Execute delivers a reply to the channel of its ticket.
func (r replyExecutor) Execute(_ context.Context, e effect.Effect) {
	if reply, ok := e.(effect.Reply); ok {
		r.tickets.Deliver(reply)
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

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
