// Package plat is the client of the platform. It executes effects on stored
// objects and posts the results as events, watches the configuration, polls the
// list of VMs, orders upstreams, reports usage and reads model weights.
package plat

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

const (
	// maxValueBytes is the platform's size limit for the value of an object.
	maxValueBytes = 1 << 20
	// queueSize is above the number of calls that the reducer has open at once: one
	// for each of 256 claim shards, and a few for leases and orders.
	queueSize = 1024
)

// Clock is the source of time. Wait returns early with an error if the context is
// cancelled.
type Clock interface {
	Now() time.Time
	Wait(ctx context.Context, d time.Duration) error
}

// Poster queues events for the control loop. Loop in io/loop implements it.
type Poster interface {
	Post(ctx context.Context, e event.Event) error
}

// Settings configure a client.
type Settings struct {
	// Base is the URL of the platform, without a trailing slash.
	Base string
	// Name is sent in the X-Client header.
	Name string
	// Lease is the name of the lease under which provisions and usage reports
	// are sent.
	Lease string
	// Workers is the number of goroutines that make calls for effects.
	Workers int
	// CallTimeout limits a call, including its time in the queue.
	CallTimeout time.Duration
	// LongPollTimeout is how long the platform holds a watch open until there is a
	// change. Each response proves contact with the store, so this is also the
	// longest time between two proofs.
	LongPollTimeout time.Duration
	// WatchInterval is the shortest time between two watch requests.
	WatchInterval time.Duration
	// MinBackoff and MaxBackoff limit the backoff after a failed watch.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// VMInterval is the time between two reads of the VM list.
	VMInterval time.Duration
}

// DefaultSettings returns settings that suit a configuration freshness limit of
// 6 s.
func DefaultSettings(base, name string) Settings {
	return Settings{
		Base:            base,
		Name:            name,
		Workers:         32,
		CallTimeout:     2 * time.Second,
		LongPollTimeout: time.Second,
		WatchInterval:   100 * time.Millisecond,
		MinBackoff:      100 * time.Millisecond,
		MaxBackoff:      2 * time.Second,
		VMInterval:      5 * time.Second,
	}
}

// Client is the platform client of one entry node.
type Client struct {
	settings  Settings
	api       *api
	poster    Poster
	clock     Clock
	watchRand *rand.Rand
	vmRand    *rand.Rand
	queue     chan job
	rejected  *unboundedQueue[event.Event]
	done      chan struct{}
}

type job struct {
	effect   effect.Effect
	deadline time.Time
}

// New returns a client that posts events to poster.
func New(settings Settings, poster Poster, rng *rand.Rand, clock Clock) *Client {
	return &Client{
		settings: settings,
		api:      newAPI(settings.Base, settings.Name, settings.Workers+2, (&net.Dialer{}).DialContext, clock),
		poster:   poster,
		clock:    clock,
		// A rand.Rand is not safe for concurrent use, so each goroutine has its own.
		watchRand: rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())),
		vmRand:    rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())),
		queue:     make(chan job, queueSize),
		rejected:  newUnboundedQueue[event.Event](),
		done:      make(chan struct{}),
	}
}

// Done is closed when Run has returned.
func (c *Client) Done() <-chan struct{} { return c.done }

// Execute queues calls to the platform and ignores other effects. If the queue is
// full, the call fails as one that was not sent.
func (c *Client) Execute(_ context.Context, e effect.Effect) {
	deadline := c.clock.Now().Add(c.settings.CallTimeout)
	switch e := e.(type) {
	case effect.ListObjects, effect.ReadObject, effect.WriteObject:
	case effect.ReportUsage:
		deadline = e.NotAfter
	case effect.SendProvision:
		deadline = e.NotAfter
	default:
		return
	}
	select {
	case c.queue <- job{effect: e, deadline: deadline}:
	default:
		c.rejected.add(unsentEvent(e))
	}
}

// Run executes effects, watches the configuration and polls the VM list until
// the context is cancelled.
func (c *Client) Run(ctx context.Context) {
	defer close(c.done)
	var running sync.WaitGroup
	for range c.settings.Workers {
		running.Go(func() { c.work(ctx) })
	}
	running.Go(func() { c.postRejected(ctx) })
	running.Go(func() { c.watch(ctx) })
	running.Go(func() { c.pollVMs(ctx) })
	running.Wait()
	c.api.http.CloseIdleConnections()
}

func (c *Client) post(ctx context.Context, e event.Event) { _ = c.poster.Post(ctx, e) }

// postRejected posts the results of calls that were rejected by a full queue.
func (c *Client) postRejected(ctx context.Context) {
	for {
		events, ok := c.rejected.take(ctx)
		if !ok {
			return
		}
		for _, e := range events {
			c.post(ctx, e)
		}
	}
}

func (c *Client) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case j := <-c.queue:
			switch e := j.effect.(type) {
			case effect.ListObjects:
				c.post(ctx, c.list(ctx, e, j.deadline))
			case effect.ReportUsage:
				c.post(ctx, c.report(ctx, e))
			case effect.SendProvision:
				c.post(ctx, c.provision(ctx, e))
			case effect.ReadObject:
				c.post(ctx, c.read(ctx, e, j.deadline))
			case effect.WriteObject:
				c.post(ctx, c.write(ctx, e, j.deadline))
			}
		}
	}
}

func (c *Client) read(ctx context.Context, e effect.ReadObject, deadline time.Time) event.Event {
	resp, err := c.api.do(ctx, request{method: "GET", path: objectPath(e.Kind, e.Name), deadline: deadline})
	if errorx.IsOfType(err, Absent) {
		return event.ObjectRead{Op: e.Op, SentAt: resp.sentAt, Object: model.Change{Kind: e.Kind, Name: e.Name}}
	}
	if err != nil {
		return event.ObjectReadFailed{Op: e.Op}
	}
	object, err := decodeObject(resp.body)
	if err != nil || object.Version == 0 {
		return event.ObjectReadFailed{Op: e.Op}
	}
	return event.ObjectRead{Op: e.Op, SentAt: resp.sentAt, Found: true, Object: object.toChange(e.Kind)}
}

func (c *Client) write(ctx context.Context, e effect.WriteObject, deadline time.Time) event.Event {
	req := request{
		method: "PUT",
		path:   objectPath(e.Kind, e.Name),
		header: map[string]string{
			"If-Version": strconv.FormatUint(uint64(e.IfVersion), 10),
			"Nonce":      e.Nonce,
		},
		deadline: deadline,
	}
	if e.Delete {
		req.method = "DELETE"
	} else {
		body, err := encode(e.Kind, e.Value)
		if err != nil || len(body) > maxValueBytes {
			return event.ObjectUnsent{Op: e.Op}
		}
		req.body = body
	}
	resp, err := c.api.do(ctx, req)
	var object wireObject
	switch {
	case errorx.IsOfType(err, Conflict):
		return event.ObjectConflict{Op: e.Op, SentAt: resp.sentAt}
	case errorx.IsOfType(err, Unsent), errorx.IsOfType(err, Refused):
		return event.ObjectUnsent{Op: e.Op}
	case err != nil, json.Unmarshal(resp.body, &object) != nil, object.Version == 0:
		return event.ObjectAmbiguous{Op: e.Op, SentAt: resp.sentAt}
	}
	return event.ObjectWritten{Op: e.Op, SentAt: resp.sentAt, Version: object.Version, Generation: object.Generation}
}

func objectPath(kind model.Kind, name string) string {
	return "/objects/" + kind.Name() + "/" + url.PathEscape(name)
}

// unsentEvent returns the event for a call that was not sent.
func unsentEvent(e effect.Effect) event.Event {
	switch e := e.(type) {
	case effect.ListObjects:
		return event.ObjectReadFailed{Op: e.Op}
	case effect.ReadObject:
		return event.ObjectReadFailed{Op: e.Op}
	case effect.ReportUsage:
		return event.SendFailed{Op: e.Op}
	case effect.SendProvision:
		return event.SendFailed{Op: e.Op}
	default:
		write, _ := e.(effect.WriteObject)
		return event.ObjectUnsent{Op: write.Op}
	}
}
