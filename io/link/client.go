package link

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/io/link/wire"
	"caroblane/io/netio"
)

const (
	// The timeouts apply to a whole call, from its start to its response. An
	// exchange must not outlast the shortest heartbeat period. A loan expires 2 s
	// after the client started the call.
	exchangeTimeout = time.Second
	borrowTimeout   = time.Second
	fetchTimeout    = 3 * time.Second
	pushTimeout     = 3 * time.Second

	// probeInterval is the time without data after which a connection to a peer is probed,
	// and after which it counts as lost if the probe is not answered.
	probeInterval = time.Second

	// maxCallsPerPeer is the number of concurrent calls to a peer. It limits the
	// goroutines and connections that an unresponsive peer can occupy.
	maxCallsPerPeer = 8
	// maxHeaderBytes limits the headers of a peer's response.
	maxHeaderBytes = 64 << 10
	// maxQueuedFailures is the number of failure events that can wait for the
	// control loop. Further ones are dropped, which the reducers treat like calls
	// without a response.
	maxQueuedFailures = 1024
)

// Options configures a Client.
type Options struct {
	Self model.Member
	// Scheme is http or https.
	Scheme string
	// HTTP is the HTTP client for the calls. NewTransport returns a suitable
	// transport.
	HTTP *http.Client
	// LookupMember returns a member of the current roster by name.
	LookupMember func(model.NodeName) (model.Member, bool)
	// DecodeSite decodes a configuration of a platform, as its store holds it.
	DecodeSite func(model.Version, []byte) (*model.Site, error)
	// Now returns the time of the clock that the control loop uses for events.
	Now func() time.Time
}

// Client executes the effects that call peers. Execute may be called before Run,
// but failures are only posted once Run has started.
type Client struct {
	options  Options
	poster   Poster
	failures chan event.Event
	running  sync.WaitGroup
	done     chan struct{}

	mu        sync.Mutex
	stopped   bool
	openCalls map[string]openCalls
}

// openCalls counts the calls in progress to an address.
type openCalls struct {
	total        int
	exchangeOpen bool
}

// New returns a client that posts the outcome of calls to the given poster.
func New(options Options, poster Poster) *Client {
	limited := *options.HTTP
	limited.Transport = limitedTransport{limited.Transport}
	options.HTTP = &limited
	return &Client{
		options:   options,
		poster:    poster,
		failures:  make(chan event.Event, maxQueuedFailures),
		done:      make(chan struct{}),
		openCalls: map[string]openCalls{},
	}
}

// NewTransport returns an HTTP transport for calls between nodes. It does not use
// a proxy: ECONNREFUSED is taken as proof that the peer's process has stopped,
// so it must come from the peer's own VM.
func NewTransport(network netio.Network) *http.Transport {
	return &http.Transport{
		DialContext:            netio.DialFunc(network, netio.Options{DialTimeout: exchangeTimeout, ProbeInterval: probeInterval}),
		MaxIdleConnsPerHost:    maxCallsPerPeer,
		MaxResponseHeaderBytes: maxHeaderBytes,
		IdleConnTimeout:        time.Minute,
		TLSHandshakeTimeout:    exchangeTimeout,
	}
}

// Done is closed when Run has returned and all calls have ended.
func (c *Client) Done() <-chan struct{} { return c.done }

// Execute starts the call for a Borrow, Exchange, Fetch, FetchFeed, Push or SyncPeer
// effect, closes idle connections for RenewConnections, and ignores other effects. It does not block: a call above the limit of its
// peer fails immediately.
func (c *Client) Execute(ctx context.Context, e effect.Effect) {
	switch e := e.(type) {
	case effect.Borrow:
		member, ok := c.options.LookupMember(e.Peer)
		if !ok {
			c.queueFailure(event.BorrowFailed{Peer: e.Peer, Account: e.Account, Seq: e.Seq})
			return
		}
		c.startCall(ctx, member, false, borrowTimeout,
			func(ctx context.Context) event.Event { return c.borrow(ctx, member, e) },
			event.BorrowFailed{Peer: e.Peer, Account: e.Account, Seq: e.Seq})
	case effect.Exchange:
		c.startCall(ctx, e.Peer, true, exchangeTimeout,
			func(ctx context.Context) event.Event { return c.exchange(ctx, e) },
			event.ExchangeFailed{Peer: e.Peer, SentAt: c.options.Now()})
	case effect.Fetch:
		c.startCall(ctx, e.Peer, false, fetchTimeout,
			func(ctx context.Context) event.Event { return c.fetch(ctx, e) },
			event.FetchFailed{Peer: e.Peer})
	case effect.SyncPeer:
		c.startCall(ctx, e.Peer, true, exchangeTimeout,
			func(ctx context.Context) event.Event { return c.sync(ctx, e) },
			nil)
	case effect.FetchFeed:
		c.startCall(ctx, e.Peer, false, exchangeTimeout,
			func(ctx context.Context) event.Event { return c.feed(ctx, e) }, event.FeedFailed{})
	case effect.RenewConnections:
		c.options.HTTP.CloseIdleConnections()
	case effect.Push:
		c.startCall(ctx, e.Peer, false, pushTimeout,
			func(ctx context.Context) event.Event { return c.push(ctx, e) }, nil)
	}
}

// Run posts failures until the context is cancelled, then waits for the calls in
// progress.
func (c *Client) Run(ctx context.Context) {
	defer close(c.done)
	for {
		select {
		case <-ctx.Done():
			c.stop()
			c.running.Wait()
			c.options.HTTP.CloseIdleConnections()
			return
		case failed := <-c.failures:
			// Post only fails on shutdown.
			_ = c.poster.Post(ctx, failed)
		}
	}
}

// startCall runs a call in its own goroutine and posts the resulting event. If
// the limit of the peer is reached, it posts the rejected event instead.
func (c *Client) startCall(
	ctx context.Context, peer model.Member, exchange bool, timeout time.Duration,
	call func(context.Context) event.Event, rejected event.Event,
) {
	if !c.acquire(peer.Address, exchange) {
		if rejected != nil {
			c.queueFailure(rejected)
		}
		return
	}
	go func() {
		defer c.running.Done()
		limited, cancel := context.WithTimeout(ctx, timeout)
		outcome := call(limited)
		cancel()
		c.release(peer.Address, exchange)
		if outcome != nil {
			_ = c.poster.Post(ctx, outcome)
		}
	}()
}

func (c *Client) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
}

// acquire reserves a call to an address. It returns false if the client has
// stopped, the address has maxCallsPerPeer calls in progress, or a second
// exchange with it would start.
func (c *Client) acquire(address string, exchange bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	open := c.openCalls[address]
	if c.stopped || exchange && open.exchangeOpen || open.total >= maxCallsPerPeer {
		return false
	}
	c.running.Add(1)
	open.total++
	open.exchangeOpen = open.exchangeOpen || exchange
	c.openCalls[address] = open
	return true
}

func (c *Client) release(address string, exchange bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	open := c.openCalls[address]
	open.total--
	if exchange {
		open.exchangeOpen = false
	}
	if open.total == 0 {
		delete(c.openCalls, address)
		return
	}
	c.openCalls[address] = open
}

func (c *Client) queueFailure(failed event.Event) {
	select {
	case c.failures <- failed:
	default:
	}
}

func (c *Client) service(peer model.Member) wire.Link {
	return wire.NewLinkProtobufClient(c.options.Scheme+"://"+peer.Address, c.options.HTTP)
}

func (c *Client) borrow(ctx context.Context, peer model.Member, e effect.Borrow) event.Event {
	sentAt := c.options.Now()
	response, err := c.service(peer).Borrow(ctx, &wire.BorrowRequest{
		From:            string(c.options.Self.Name),
		FromIncarnation: uint64(c.options.Self.Incarnation),
		To:              string(peer.Name),
		ToIncarnation:   uint64(peer.Incarnation),
		Account:         string(e.Account),
		Seq:             e.Seq,
		Want:            encodeAllowance(e.Want),
		GivenBack:       e.GivenBack,
	})
	if err != nil {
		return event.BorrowFailed{Peer: e.Peer, Account: e.Account, Seq: e.Seq}
	}
	return event.BorrowAnswered{
		Peer: e.Peer, Account: e.Account, Seq: e.Seq, SentAt: sentAt, Amount: decodeAllowance(response.GetAmount()),
	}
}

func (c *Client) exchange(ctx context.Context, e effect.Exchange) event.Event {
	sentAt := c.options.Now()
	response, err := c.service(e.Peer).Exchange(ctx, &wire.ExchangeRequest{
		Status:  encodeStatus(e.Status),
		Crashes: encodeCrashRecords(e.Crashes),
	})
	if err != nil {
		return event.ExchangeFailed{Peer: e.Peer, SentAt: sentAt, Refused: errors.Is(err, syscall.ECONNREFUSED)}
	}
	return event.ExchangeAnswered{
		Peer: e.Peer, SentAt: sentAt, Status: decodeStatus(response.GetStatus()), Crashes: decodeCrashRecords(response.GetCrashes()),
	}
}

func (c *Client) sync(ctx context.Context, e effect.SyncPeer) event.Event {
	sentAt := c.options.Now()
	response, err := c.service(e.Peer).Sync(ctx, encodeReport(e.Report))
	if err != nil {
		return event.SyncFailed{Peer: e.Peer.Name, Stopped: errors.Is(err, syscall.ECONNREFUSED)}
	}
	return event.SyncAnswered{Report: decodeReport(response), SentAt: sentAt}
}

func (c *Client) fetch(ctx context.Context, e effect.Fetch) event.Event {
	response, err := c.service(e.Peer).Fetch(ctx, &wire.FetchRequest{After: uint64(e.After), Clean: uint64(e.Clean)})
	if err != nil {
		return event.FetchFailed{Peer: e.Peer}
	}
	decoded, err := decodeChanges(response.GetChanges())
	if err != nil {
		return event.FetchFailed{Peer: e.Peer}
	}
	return event.FetchAnswered{
		Peer:    e.Peer,
		After:   e.After,
		Changes: decoded,
		Upto:    model.Version(response.GetUpto()),
		Clean:   model.Version(response.GetClean()),
		Floor:   model.Version(response.GetFloor()),
		Refused: response.GetRefused(),
	}
}

// push sends objects to a peer and ignores the response: the peer's next
// exchange shows whether it received them.
func (c *Client) push(ctx context.Context, e effect.Push) event.Event {
	_, _ = Push(ctx, c.options.HTTP, c.options.Scheme, e)
	return nil
}

// Push sends configuration objects to a node and returns the configuration
// version that the node has afterwards. The command line calls it directly.
func Push(ctx context.Context, client *http.Client, scheme string, e effect.Push) (model.Version, error) {
	encoded, err := encodeChanges(e.Changes)
	if err != nil {
		return 0, err
	}
	response, err := wire.NewLinkProtobufClient(scheme+"://"+e.Peer.Address, client).Push(ctx, &wire.PushRequest{
		Changes: encoded,
		After:   uint64(e.After),
		Upto:    uint64(e.Upto),
	})
	if err != nil {
		return 0, Failed.Wrap(err, "push configuration to %s", e.Peer.Address)
	}
	return model.Version(response.GetVersion()), nil
}

// Failed is the error type for calls that returned no response.
var Failed = Errors.NewType("failed")

// limitedTransport truncates response bodies to maxMessageBytes.
type limitedTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t limitedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	next := t.next
	if next == nil {
		next = http.DefaultTransport
	}
	response, err := next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = struct {
		io.Reader
		io.Closer
	}{io.LimitReader(response.Body, maxMessageBytes), response.Body}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the wrapped transport.
func (t limitedTransport) CloseIdleConnections() {
	if next, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		next.CloseIdleConnections()
	}
}
