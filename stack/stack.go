// Package stack runs a complete installation on the loopback interface in one
// process: a fake platform, fake upstreams and entry nodes. It is used by tests,
// benchmarks and "caroblane dev".
package stack

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"caroblane/core/model"
	"caroblane/fake/engine"
	"caroblane/fake/plain"
	"caroblane/fake/store"
	"caroblane/io/clock"
	"caroblane/io/codec"
	"caroblane/io/entry"
	"caroblane/io/setup"
)

const (
	// Key is the API key of the installation's only client account.
	Key = "demo-key"
	// Model is the model that the engines serve.
	Model = "draft-small"
	// SendPath is the prefix of the route for requests that must not be repeated.
	SendPath = "/send/"

	readyPollInterval = 10 * time.Millisecond
)

// Errors is the error namespace of this package.
var Errors = errorx.NewNamespace("stack")

// Failed is the type of errors that prevent an installation from running.
var Failed = Errors.NewType("failed")

// component is an entry node or a fake server.
type component interface {
	Run(ctx context.Context) error
}

// Stack is a running installation.
type Stack struct {
	options  Options
	callers  []string
	admins   []string
	engines  []string
	platform netip.AddrPort
	nodes    *componentGroup
	fakes    *componentGroup
}

// componentGroup runs components that are stopped together.
type componentGroup struct {
	ctx     context.Context
	cancel  context.CancelFunc
	results chan error
	started int
}

// Options define the size of an installation.
type Options struct {
	Nodes   int
	Engines int
	// Engine holds the settings of the fake engines.
	Engine engine.Settings
}

// DefaultOptions returns options for three nodes and three engines.
func DefaultOptions() Options {
	return Options{Nodes: 3, Engines: 3, Engine: engine.DefaultSettings()}
}

// New starts an installation. It runs until Stop is called: the end of the context
// does not stop it.
func New(ctx context.Context, options Options, log zerolog.Logger) (*Stack, error) {
	ctx = context.WithoutCancel(ctx)
	s := &Stack{options: options, nodes: newComponentGroup(ctx, options.Nodes), fakes: newComponentGroup(ctx, options.Engines+2)}
	var err error
	s.platform, err = s.startFakes()
	if err == nil {
		err = s.startNodes(s.platform, log)
	}
	if err != nil {
		_ = s.Stop()
		return nil, err
	}
	return s, nil
}

// Admins returns the addresses of the nodes' admin listeners.
func (s *Stack) Admins() []string { return s.admins }

// Callers returns the addresses of the nodes' caller listeners.
func (s *Stack) Callers() []string { return s.callers }

// Engines returns the addresses of the fake engines.
func (s *Stack) Engines() []string { return s.engines }

// Platform returns the address of the fake platform.
func (s *Stack) Platform() string { return s.platform.String() }

// Ready waits until every node reports that it is ready.
func (s *Stack) Ready(ctx context.Context) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for _, address := range s.admins {
		for !isReady(ctx, address) {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return Failed.Wrap(ctx.Err(), "waiting for the node at %s to become ready", address)
			}
		}
	}
	return nil
}

// Stop drains the nodes, then stops the fake servers, and returns the first error.
func (s *Stack) Stop() error {
	return cmp.Or(s.nodes.stop(), s.fakes.stop())
}

// startFakes starts the fake servers and returns the address of the platform.
func (s *Stack) startFakes() (netip.AddrPort, error) {
	objects := &initialObjects{}
	objects.add(model.KindTemplate, "demo", model.Template{Rate: 100_000, Burst: 100_000})
	objects.add(model.KindKey, "demo-1", model.Key{Account: "demo", Hash: sha256.Sum256([]byte(Key))})
	objects.add(model.KindModel, Model, model.Model{MaxTokens: 4096})
	for i := range s.options.Engines {
		listener, err := listenLoopback()
		if err != nil {
			return netip.AddrPort{}, err
		}
		s.engines = append(s.engines, listener.Addr().String())
		objects.add(model.KindUpstream, fmt.Sprintf("engine-%d", i+1), model.Upstream{
			Kind: model.UpstreamEngine, Address: listener.Addr().String(), Zone: zoneName(i),
			Models: []model.ModelName{Model}, Slots: s.options.Engine.Slots, ChecksEpoch: true,
		})
		s.fakes.run(engine.New(listener, engine.NewState(s.options.Engine), newRand(), time.Now))
	}
	listener, err := listenLoopback()
	if err != nil {
		return netip.AddrPort{}, err
	}
	objects.add(model.KindUpstream, "sender", model.Upstream{
		Kind: model.UpstreamPlain, Address: listener.Addr().String(), Zone: zoneName(0), Slots: 64,
	})
	objects.add(model.KindRoute, "send", model.Route{Prefix: SendPath, Upstreams: []model.UpstreamName{"sender"}})
	s.fakes.run(plain.New(listener, plain.NewState(), newRand(), time.Now))
	if objects.err != nil {
		return netip.AddrPort{}, Failed.Wrap(objects.err, "encoding the initial objects")
	}
	listener, err = listenLoopback()
	if err != nil {
		return netip.AddrPort{}, err
	}
	s.fakes.run(store.New(listener, store.NewState(store.DefaultLimits()).Seed(objects.list...), newRand(), time.Now))
	return addressOf(listener), nil
}

func (s *Stack) startNodes(platform netip.AddrPort, log zerolog.Logger) error {
	for i := range s.options.Nodes {
		var l entry.Listeners
		for _, listener := range []*net.Listener{&l.Callers, &l.Peers, &l.Admin} {
			opened, err := listenLoopback()
			if err != nil {
				return err
			}
			*listener = opened
		}
		limits := setup.Default().Limits
		// There is no load balancer that needs time to notice that a node is no
		// longer ready.
		limits.DrainNotice = 0
		settings := setup.Default().
			WithLimits(limits).
			WithPlatform(platform).
			WithNode(setup.Node{Name: model.NodeName(fmt.Sprintf("node-%d", i+1)), Region: "local", Zone: zoneName(i)}).
			WithListen(setup.Listen{Callers: addressOf(l.Callers), Peers: addressOf(l.Peers), Admin: addressOf(l.Admin)})
		node, err := entry.New(settings, l, model.Incarnation(rand.Uint64()), log, clock.System())
		if err != nil {
			return Failed.Wrap(err, "creating node %d", i+1)
		}
		s.callers = append(s.callers, l.Callers.Addr().String())
		s.admins = append(s.admins, l.Admin.Addr().String())
		s.nodes.run(node)
	}
	return nil
}

func newComponentGroup(ctx context.Context, capacity int) *componentGroup {
	ctx, cancel := context.WithCancel(ctx)
	return &componentGroup{ctx: ctx, cancel: cancel, results: make(chan error, capacity)}
}

func (g *componentGroup) run(c component) {
	g.started++
	go func() { g.results <- c.Run(g.ctx) }()
}

// stop cancels the components, waits for them and returns the first error.
func (g *componentGroup) stop() error {
	g.cancel()
	var first error
	for range g.started {
		if err := <-g.results; err != nil && first == nil {
			first = Failed.Wrap(err, "running a component of the installation")
		}
	}
	return first
}

func isReady(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// initialObjects collects the objects that the platform starts with.
type initialObjects struct {
	list []store.Object
	err  error
}

func (o *initialObjects) add(kind model.Kind, name string, value any) {
	encoded, err := codec.EncodeConfig(kind, value)
	if err != nil {
		o.err = cmp.Or(o.err, err)
		return
	}
	o.list = append(o.list, store.Object{Kind: kind.Name(), Name: name, Value: json.RawMessage(encoded)})
}

func addressOf(listener net.Listener) netip.AddrPort {
	address, _ := netip.ParseAddrPort(listener.Addr().String())
	return address
}

func listenLoopback() (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Failed.Wrap(err, "listening on loopback")
	}
	return listener, nil
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func zoneName(i int) model.ZoneName { return model.ZoneName(fmt.Sprintf("local-%c", 'a'+i%3)) }
