package meter

import "github.com/prometheus/client_golang/prometheus"

var (
	versionDesc = desc("caroblane_config_version", "Configuration version in force.")
	freshDesc   = desc("caroblane_fresh", "1 while the node may admit requests.")
	leaseDesc   = desc("caroblane_lease_held", "1 while the node holds the control lease of its region.")
	settledDesc = desc("caroblane_limit_settled", "1 while the node's own share of the rates and bursts counts.")
	waitingDesc = desc("caroblane_limit_waiting", "Requests that wait for a token of their client account.")
	slotsDesc   = desc("caroblane_upstream_waiting", "Requests that wait for an upstream with a free slot.")
	openDesc    = desc("caroblane_open_requests", "Open requests.")
	queuedDesc  = desc("caroblane_control_queue", "Events that wait in the control queue.")
	faultsDesc  = desc("caroblane_config_faults", "Configuration objects whose last write is invalid and not in force.")
)

// gauges takes one reading per scrape, so that its values belong together.
type gauges struct{ read func() Reading }

func (g gauges) Collect(out chan<- prometheus.Metric) {
	r := g.read()
	for metric, value := range map[*prometheus.Desc]float64{
		versionDesc: float64(r.Version),
		freshDesc:   truth(r.Fresh),
		leaseDesc:   truth(r.LeaseHeld),
		settledDesc: truth(r.Settled),
		waitingDesc: float64(r.Waiting),
		slotsDesc:   float64(r.WaitingForSlot),
		openDesc:    float64(r.Open),
		queuedDesc:  float64(r.Queued),
		faultsDesc:  float64(r.Faults),
	} {
		out <- prometheus.MustNewConstMetric(metric, prometheus.GaugeValue, value)
	}
}

func (g gauges) Describe(out chan<- *prometheus.Desc) { prometheus.DescribeByCollect(g, out) }

func desc(name, help string) *prometheus.Desc { return prometheus.NewDesc(name, help, nil, nil) }

func truth(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
