// Package plat is the client of the platform: it carries out the effects on
// objects and posts the results as events, watches the configuration, and
// calls the smaller interfaces.
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
	// maxValue is the platform's bound of a value.
	maxValue = 1 << 20
	// queueSize is above the number of calls that the decision parts have open
	// at once: one for each of 256 claim shards, and a few leases and orders.
	queueSize = 1024
)

// Clock is the source of time. Wait returns early with an error when the
// context ends.
type Clock interface {
	Now() time.Time
	Wait(ctx context.Context, d time.Duration) error
}

// Poster takes events; io/loop.Loop is one.
type Poster interface {
	Post(ctx context.Context, e event.Event) error
}

// Settings of the client.
type Settings struct {
	// Base is the URL of the platform, without a slash at its end.
	Base string
	// Name is sent as X-Client.
	Name string
	// Lease is the name of the lease under which provisions and usage reports
	// are sent.
	Lease string
	// Workers is the number of object calls that run at once.
	Workers int
	// CallTerm bounds a call, from when its effect was emitted.
	CallTerm time.Duration
	// WatchWait is how long a watch waits for a change. Each answer proves
	// contact, so it is the longest time between two proofs.
	WatchWait time.Duration
	// WatchGap is the shortest time between two watch calls.
	WatchGap time.Duration
	// RetryFirst and RetryMost bound the time before a failed watch is sent
	// again.
	RetryFirst time.Duration
	RetryMost  time.Duration
	// VMTerm is the time between two readings of the VM list.
	VMTerm time.Duration
}

// DefaultSettings returns the terms that fit a freshness term of 6 s.
func DefaultSettings(base, name string) Settings {
	return Settings{
		Base:       base,
		Name:       name,
		Workers:    32,
		CallTerm:   2 * time.Second,
		WatchWait:  time.Second,
		WatchGap:   100 * time.Millisecond,
		RetryFirst: 100 * time.Millisecond,
		RetryMost:  2 * time.Second,
		VMTerm:     5 * time.Second,
	}
}

// Client is the platform as one entry node sees it.
type Client struct {
	settings  Settings
	caller    *caller
	poster    Poster
	clock     Clock
	watchDraw *rand.Rand
	vmDraw    *rand.Rand
	queue     chan job
	refused   *backlog[event.Event]
	done      chan struct{}
}

type job struct {
	effect effect.Effect
	by     time.Time
}

// New returns a client that posts to the given poster.
func New(settings Settings, poster Poster, draw *rand.Rand, clock Clock) *Client {
	return &Client{
		settings: settings,
		caller:   newCaller(settings.Base, settings.Name, settings.Workers+2, (&net.Dialer{}).DialContext, clock),
		poster:   poster,
		clock:    clock,
		// The goroutines that draw need a source each.
		watchDraw: rand.New(rand.NewPCG(draw.Uint64(), draw.Uint64())),
		vmDraw:    rand.New(rand.NewPCG(draw.Uint64(), draw.Uint64())),
		queue:     make(chan job, queueSize),
		refused:   newBacklog[event.Event](),
		done:      make(chan struct{}),
	}
}

// Done is closed when Run has returned.
func (c *Client) Done() <-chan struct{} { return c.done }

// Execute queues the calls to the platform and ignores other effects. When the
// queue is full, the answer is that of a call that was not sent.
func (c *Client) Execute(_ context.Context, e effect.Effect) {
	by := c.clock.Now().Add(c.settings.CallTerm)
	switch e := e.(type) {
	case effect.ListObjects, effect.ReadObject, effect.WriteObject:
	case effect.ReportUsage:
		by = e.NotAfter
	case effect.SendProvision:
		by = e.NotAfter
	default:
		return
	}
	select {
	case c.queue <- job{effect: e, by: by}:
	default:
		c.refused.add(unsent(e))
	}
}

// Run carries out effects and watches until the context ends.
func (c *Client) Run(ctx context.Context) {
	defer close(c.done)
	var running sync.WaitGroup
	for range c.settings.Workers {
		running.Go(func() { c.work(ctx) })
	}
	running.Go(func() { c.refuse(ctx) })
	running.Go(func() { c.watch(ctx) })
	running.Go(func() { c.listVMs(ctx) })
	running.Wait()
	c.caller.http.CloseIdleConnections()
}

func (c *Client) post(ctx context.Context, e event.Event) { _ = c.poster.Post(ctx, e) }

// refuse posts the answers to calls that found the queue full.
func (c *Client) refuse(ctx context.Context) {
	for {
		events, ok := c.refused.take(ctx)
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
				c.post(ctx, c.list(ctx, e, j.by))
			case effect.ReportUsage:
				c.post(ctx, c.report(ctx, e))
			case effect.SendProvision:
				c.post(ctx, c.provision(ctx, e))
			case effect.ReadObject:
				c.post(ctx, c.read(ctx, e, j.by))
			case effect.WriteObject:
				c.post(ctx, c.write(ctx, e, j.by))
			}
		}
	}
}

func (c *Client) read(ctx context.Context, e effect.ReadObject, by time.Time) event.Event {
	a, err := c.caller.do(ctx, request{method: "GET", path: objectPath(e.Kind, e.Name), by: by})
	if errorx.IsOfType(err, Absent) {
		return event.ObjectRead{Op: e.Op, SentAt: a.sentAt, Object: model.Change{Kind: e.Kind, Name: e.Name}}
	}
	var object wireObject
	if err != nil || json.Unmarshal(a.body, &object) != nil || object.Version == 0 {
		return event.ObjectReadFailed{Op: e.Op}
	}
	return event.ObjectRead{Op: e.Op, SentAt: a.sentAt, Found: true, Object: object.change(e.Kind)}
}

func (c *Client) write(ctx context.Context, e effect.WriteObject, by time.Time) event.Event {
	r := request{
		method: "PUT",
		path:   objectPath(e.Kind, e.Name),
		header: map[string]string{
			"If-Version": strconv.FormatUint(uint64(e.IfVersion), 10),
			"Nonce":      e.Nonce,
		},
		by: by,
	}
	if e.Delete {
		r.method = "DELETE"
	} else {
		body, err := encode(e.Kind, e.Value)
		if err != nil || len(body) > maxValue {
			return event.ObjectUnsent{Op: e.Op}
		}
		r.body = body
	}
	a, err := c.caller.do(ctx, r)
	var object wireObject
	switch {
	case errorx.IsOfType(err, Conflict):
		return event.ObjectConflict{Op: e.Op, SentAt: a.sentAt}
	case errorx.IsOfType(err, Unsent), errorx.IsOfType(err, Refused):
		return event.ObjectUnsent{Op: e.Op}
	case err != nil, json.Unmarshal(a.body, &object) != nil, object.Version == 0:
		return event.ObjectAmbiguous{Op: e.Op, SentAt: a.sentAt}
	}
	return event.ObjectWritten{Op: e.Op, SentAt: a.sentAt, Version: object.Version, Generation: object.Generation}
}

func objectPath(kind model.Kind, name string) string {
	return "/objects/" + kind.Name() + "/" + url.PathEscape(name)
}

// unsent returns the answer to a call that was not made.
func unsent(e effect.Effect) event.Event {
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
