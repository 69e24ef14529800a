// Package meter provides the Prometheus metrics of an entry node in a separate
// registry.
//
// No metric has a label for the client account: with 11,000 accounts, 24 refusal
// reasons and 330 nodes there would be tens of millions of time series. The only
// labels are reasons, event types and effect types, whose sets are fixed in the
// code, and a limited number of routes.
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

// GaugeValues holds the values of the gauges at the time of a scrape.
type GaugeValues struct {
	// Version is the configuration version in force.
	Version model.Version
	// Fresh reports whether the node may admit requests.
	Fresh bool
	// LeaseHeld reports whether the node holds the region's control lease.
	LeaseHeld bool
	// Settled reports whether the node can use its own share of the rate limits.
	Settled bool
	// Waiting is the number of requests that wait for a rate-limit token of their
	// client account. There is no gauge per account, because 11,000 label values
	// on each node would take the largest part of its memory.
	Waiting int
	// WaitingForSlot is the number of requests that wait for an upstream with a
	// free slot.
	WaitingForSlot int
	// Open is the number of open requests.
	Open int
	// Queued is the number of events in the queue of the control loop.
	Queued int
	// Cold is the number of cold upstreams, and Evacuated that of evacuated zones.
	Cold, Evacuated int
	// Faults is the number of configuration objects whose last write is invalid.
	Faults int
}

// Metrics records the metrics of a node. It is safe for concurrent use.
type Metrics struct {
	registry       *prometheus.Registry
	refusals       map[model.Reason]prometheus.Counter
	retries        map[model.RetryReason]prometheus.Counter
	aborts         map[model.AbortReason]prometheus.Counter
	firstTokenTime prometheus.Histogram
	tokenInterval  prometheus.Histogram
	waits          *waitHistograms
	ignoredObjects prometheus.Counter
	suspended      prometheus.Counter
	events         typeCounter
	effects        typeCounter
}

// New returns metrics that calls read at each scrape for the values of the
// gauges.
func New(read func() GaugeValues) *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry()}
	refusals := m.newCounters("caroblane_refusals_total", "Requests refused or ended early.", "reason")
	m.refusals = initCounters(refusals, model.Reasons())
	retries := m.newCounters("caroblane_retries_total", "Further attempts at an upstream.", "reason")
	m.retries = initCounters(retries, model.RetryReasons())
	aborts := m.newCounters("caroblane_aborted_responses_total", "Caller connections that ended without a complete response.", "reason")
	m.aborts = initCounters(aborts, model.AbortReasons())
	m.ignoredObjects = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "caroblane_ignored_objects_total", Help: "Reads of stored objects that cannot be used.",
	})
	m.suspended = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "caroblane_suspended_seconds_total", Help: "Time for which the VM was suspended since the process started.",
	})
	m.registry.MustRegister(m.ignoredObjects, m.suspended)
	m.events.vector = m.newCounters("caroblane_control_events_total", "Events applied by the control loop.", "event")
	m.effects.vector = m.newCounters("caroblane_control_effects_total", "Effects emitted by the control loop.", "effect")
	// The targets at the 95th percentile are 0.45 s for the first token and 51 ms
	// between tokens. The buckets are narrow around these values.
	m.firstTokenTime = m.newHistogram("caroblane_first_token_seconds", "Time from the arrival of a request to its first token.",
		0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.45, 0.5, 0.75, 1, 2, 5, 10, 30)
	m.tokenInterval = m.newHistogram("caroblane_between_tokens_seconds", "Time between two tokens of a stream.",
		0.001, 0.0025, 0.005, 0.01, 0.02, 0.03, 0.04, 0.051, 0.06, 0.08, 0.1, 0.25, 1, 5)
	m.waits = newWaitHistograms()
	m.registry.MustRegister(m.waits.vector, gaugeCollector{read})
	return m
}

// BetweenTokens records the time between two tokens of a stream.
func (m *Metrics) BetweenTokens(gap time.Duration) { m.tokenInterval.Observe(gap.Seconds()) }

// CountAbort counts a caller connection that ended without a complete response.
func (m *Metrics) CountAbort(reason model.AbortReason) {
	if counter, ok := m.aborts[reason]; ok {
		counter.Inc()
	}
}

// CountEffect counts an effect by its type.
func (m *Metrics) CountEffect(e effect.Effect) { m.effects.count(e) }

// CountIgnoredObject counts a read of a stored object that cannot be used.
func (m *Metrics) CountIgnoredObject() { m.ignoredObjects.Inc() }

// CountEvent counts an event by its type.
func (m *Metrics) CountEvent(e event.Event) { m.events.count(e) }

// Execute executes CountRefusal, CountRetry, MeasureWaits and ReportSuspension and ignores
// other effects.
func (m *Metrics) Execute(_ context.Context, e effect.Effect) {
	switch e := e.(type) {
	case effect.CountRefusal:
		if counter, ok := m.refusals[e.Reason]; ok {
			counter.Inc()
		}
	case effect.CountRetry:
		if counter, ok := m.retries[e.Reason]; ok {
			counter.Inc()
		}
	case effect.MeasureWaits:
		m.waits.observeAll(e.Route, e.Waits)
	case effect.ReportSuspension:
		m.suspended.Add(e.For.Seconds())
	}
}

// FirstToken records the time from a request's arrival to its first token.
func (m *Metrics) FirstToken(latency time.Duration) { m.firstTokenTime.Observe(latency.Seconds()) }

// TokenGap records the time between two tokens of a stream of a route.
func (m *Metrics) TokenGap(route model.RouteName, gap time.Duration) {
	m.BetweenTokens(gap)
	m.waits.observe(route, model.WaitBetweenTokens, gap)
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func (m *Metrics) newCounters(name, help, label string) *prometheus.CounterVec {
	vector := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
	m.registry.MustRegister(vector)
	return vector
}

func (m *Metrics) newHistogram(name, help string, buckets ...float64) prometheus.Histogram {
	histogram := prometheus.NewHistogram(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets})
	m.registry.MustRegister(histogram)
	return histogram
}

// initCounters creates the counter of each reason in advance, so that it is
// exported as zero and a rate also includes the first increment.
func initCounters[R model.Enum](vector *prometheus.CounterVec, reasons []R) map[R]prometheus.Counter {
	counters := make(map[R]prometheus.Counter, len(reasons))
	for _, reason := range reasons {
		counters[reason] = vector.WithLabelValues(reason.String())
	}
	return counters
}

// typeCounter counts values by the name of their type. The only types are those
// of packages event and effect.
type typeCounter struct {
	vector *prometheus.CounterVec
	// counters maps reflect.Type to prometheus.Counter.
	counters sync.Map
}

func (c *typeCounter) count(value any) {
	valueType := reflect.TypeOf(value)
	if counter, ok := c.counters.Load(valueType); ok {
		counter.(prometheus.Counter).Inc()
		return
	}
	counter := c.vector.WithLabelValues(valueType.Name())
	c.counters.Store(valueType, counter)
	counter.Inc()
}
