package meter

import "github.com/prometheus/client_golang/prometheus"

var (
	versionDesc        = newDesc("caroblane_config_version", "Configuration version in force.")
	freshDesc          = newDesc("caroblane_fresh", "1 while the node may admit requests.")
	leaseDesc          = newDesc("caroblane_lease_held", "1 while the node holds the control lease of its region.")
	settledDesc        = newDesc("caroblane_limit_settled", "1 while the node's own share of the rates and bursts counts.")
	waitingDesc        = newDesc("caroblane_limit_waiting", "Requests that wait for a token of their client account.")
	waitingForSlotDesc = newDesc("caroblane_upstream_waiting", "Requests that wait for an upstream with a free slot.")
	openDesc           = newDesc("caroblane_open_requests", "Open requests.")
	queuedDesc         = newDesc("caroblane_control_queue", "Events that wait in the control queue.")
	coldDesc           = newDesc("caroblane_cold_upstreams", "Upstreams that get few requests because they are cold.")
	evacuatedDesc      = newDesc("caroblane_evacuated_zones", "Availability zones whose upstreams get no requests.")
	faultsDesc         = newDesc("caroblane_config_faults", "Configuration objects whose last write is invalid and not in force.")
)

// gaugeCollector is a collector that reads the values once per scrape, so that
// the values of all gauges are consistent.
type gaugeCollector struct{ read func() GaugeValues }

func (g gaugeCollector) Collect(out chan<- prometheus.Metric) {
	values := g.read()
	for metric, value := range map[*prometheus.Desc]float64{
		versionDesc:        float64(values.Version),
		freshDesc:          boolToFloat(values.Fresh),
		leaseDesc:          boolToFloat(values.LeaseHeld),
		settledDesc:        boolToFloat(values.Settled),
		waitingDesc:        float64(values.Waiting),
		waitingForSlotDesc: float64(values.WaitingForSlot),
		openDesc:           float64(values.Open),
		queuedDesc:         float64(values.Queued),
		coldDesc:           float64(values.Cold),
		evacuatedDesc:      float64(values.Evacuated),
		faultsDesc:         float64(values.Faults),
	} {
		out <- prometheus.MustNewConstMetric(metric, prometheus.GaugeValue, value)
	}
}

func (g gaugeCollector) Describe(out chan<- *prometheus.Desc) { prometheus.DescribeByCollect(g, out) }

func newDesc(name, help string) *prometheus.Desc { return prometheus.NewDesc(name, help, nil, nil) }

func boolToFloat(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
