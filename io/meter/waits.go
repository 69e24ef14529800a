package meter

import (
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"caroblane/core/model"
)

const (
	// maxRouteLabels is the number of routes that get a label of their own. Each costs 5
	// histograms of 15 series, so that a node has at most 2,475 of them.
	maxRouteLabels = 32
	// otherRoutes is the label of all further routes.
	otherRoutes = "(other)"
)

// waitBuckets cover control queues, gaps between tokens and first tokens, with bounds at
// the targets of 51 ms and 0.45 s.
var waitBuckets = []float64{0.001, 0.005, 0.01, 0.025, 0.051, 0.1, 0.2, 0.45, 1, 2, 5, 30}

// routeWaits are the histograms of a route by reason.
type routeWaits []prometheus.Observer

// waitHistograms records how long requests waited, by route and reason. The first routes
// that are seen have a label of their own, and all others share one.
type waitHistograms struct {
	vector *prometheus.HistogramVec
	mu     sync.RWMutex
	routes map[model.RouteName]routeWaits
	other  routeWaits
}

func newWaitHistograms() *waitHistograms {
	vector := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "caroblane_wait_seconds", Help: "Time for which requests waited, by route and reason.", Buckets: waitBuckets,
	}, []string{"route", "reason"})
	return &waitHistograms{vector: vector, routes: map[model.RouteName]routeWaits{}}
}

// observe records a wait.
func (h *waitHistograms) observe(route model.RouteName, reason model.WaitReason, wait time.Duration) {
	h.of(route)[reason].Observe(wait.Seconds())
}

// observeAll records all waits of a request.
func (h *waitHistograms) observeAll(route model.RouteName, waits model.Waits) {
	histograms := h.of(route)
	for reason, histogram := range histograms {
		if wait, known := waits.Get(model.WaitReason(reason)); known {
			histogram.Observe(wait.Seconds())
		}
	}
}

// of returns the histograms of a route.
func (h *waitHistograms) of(route model.RouteName) routeWaits {
	h.mu.RLock()
	found, other := h.routes[route], h.other
	h.mu.RUnlock()
	switch {
	case found != nil:
		return found
	case other != nil:
		return other
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if found = h.routes[route]; found != nil {
		return found
	}
	if len(h.routes) >= maxRouteLabels {
		if h.other == nil {
			h.other = h.labelled(otherRoutes)
		}
		return h.other
	}
	found = h.labelled(strings.ToValidUTF8(string(route), "?"))
	h.routes[route] = found
	return found
}

func (h *waitHistograms) labelled(route string) routeWaits {
	var histograms routeWaits
	for _, reason := range model.WaitReasons() {
		histograms = append(histograms, h.vector.WithLabelValues(route, reason.String()))
	}
	return histograms
}
