// Package meter holds the metrics of an entry node on a registry of its own.
//
// No metric has a label for the client account: at 11,000 accounts, 24 refusal
// reasons and 330 nodes that would be tens of millions of series. Labels are
// reasons, event types and effect types, whose sets are fixed in the code.
package meter

import (
	"context"
	"net/http"
	"reflect"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

// Reading is what the gauges show at one scrape.
type Reading struct {
	// Version is the configuration version in force.
	Version model.Version
	// Fresh tells that the node may admit requests.
	Fresh bool
	// LeaseHeld tells that the node holds the region's control lease.
	LeaseHeld bool
	// Settled tells that the node's own share of rates and bursts counts.
	Settled bool
	// Waiting is the number of requests that wait for a token of their client
	// account. There is no gauge for an account: 11,000 label values on each
	// node would be the largest part of its memory.
	Waiting int
	// WaitingForSlot is the number of requests that wait for an upstream.
	WaitingForSlot int
	// Open is the number of open requests.
	Open int
	// Queued is the number of events in the control queue.
	Queued int
	// Faults is the number of configuration objects whose last write is invalid.
	Faults int
}

// Meter counts what a node does. It is safe for concurrent use.
type Meter struct {
	registry   *prometheus.Registry
	refusals   map[model.Reason]prometheus.Counter
	retries    map[model.RetryReason]prometheus.Counter
	firstToken prometheus.Histogram
	betweenTok prometheus.Histogram
	events     byType
	effects    byType
}

// New returns a meter whose gauges show what read returns at each scrape.
func New(read func() Reading) *Meter {
	m := &Meter{registry: prometheus.NewRegistry()}
	refusals := m.counters("caroblane_refusals_total", "Requests refused or ended early.", "reason")
	m.refusals = existing(refusals, model.Reasons())
	retries := m.counters("caroblane_retries_total", "Further attempts at an upstream.", "reason")
	m.retries = existing(retries, model.RetryReasons())
	m.events.vector = m.counters("caroblane_control_events_total", "Events applied by the control loop.", "event")
	m.effects.vector = m.counters("caroblane_control_effects_total", "Effects emitted by the control loop.", "effect")
	// The target is 0.45 s for the first token and 51 ms between tokens at the
	// 95th percentile; buckets are narrow around these figures.
	m.firstToken = m.histogram("caroblane_first_token_seconds", "Time from the arrival of a request to its first token.",
		0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.45, 0.5, 0.75, 1, 2, 5, 10, 30)
	m.betweenTok = m.histogram("caroblane_between_tokens_seconds", "Time between two tokens of a stream.",
		0.001, 0.0025, 0.005, 0.01, 0.02, 0.03, 0.04, 0.051, 0.06, 0.08, 0.1, 0.25, 1, 5)
	m.registry.MustRegister(gauges{read})
	return m
}

// BetweenTokens records the time between two tokens of a stream.
func (m *Meter) BetweenTokens(gap time.Duration) { m.betweenTok.Observe(gap.Seconds()) }

// CountEffect counts an effect by its type.
func (m *Meter) CountEffect(e effect.Effect) { m.effects.count(e) }

// CountEvent counts an event by its type.
func (m *Meter) CountEvent(e event.Event) { m.events.count(e) }

// Execute carries out CountRefusal and CountRetry and ignores other effects.
func (m *Meter) Execute(_ context.Context, e effect.Effect) {
	switch e := e.(type) {
	case effect.CountRefusal:
		if counter, ok := m.refusals[e.Reason]; ok {
			counter.Inc()
		}
	case effect.CountRetry:
		if counter, ok := m.retries[e.Reason]; ok {
			counter.Inc()
		}
	}
}

// FirstToken records the time from a request's arrival to its first token.
func (m *Meter) FirstToken(wait time.Duration) { m.firstToken.Observe(wait.Seconds()) }

// Handler serves the metrics in the Prometheus text format.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func (m *Meter) counters(name, help, label string) *prometheus.CounterVec {
	vector := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
	m.registry.MustRegister(vector)
	return vector
}

func (m *Meter) histogram(name, help string, buckets ...float64) prometheus.Histogram {
	histogram := prometheus.NewHistogram(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets})
	m.registry.MustRegister(histogram)
	return histogram
}

// existing creates the counter of each reason, so that a rate over it starts
// at zero and not at the first refusal.
func existing[R model.Enum](vector *prometheus.CounterVec, reasons []R) map[R]prometheus.Counter {
	counters := make(map[R]prometheus.Counter, len(reasons))
	for _, reason := range reasons {
		counters[reason] = vector.WithLabelValues(reason.String())
	}
	return counters
}

// byType counts values by the name of their type. The set of types is that of
// packages event and effect.
type byType struct {
	vector *prometheus.CounterVec
	// counters maps reflect.Type to prometheus.Counter.
	counters sync.Map
}

func (b *byType) count(value any) {
	kind := reflect.TypeOf(value)
	if counter, ok := b.counters.Load(kind); ok {
		counter.(prometheus.Counter).Inc()
		return
	}
	counter := b.vector.WithLabelValues(kind.Name())
	b.counters.Store(kind, counter)
	counter.Inc()
}
