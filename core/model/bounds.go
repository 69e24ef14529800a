package model

import "time"

// Bounds are the time and rate limits that a platform imposes on an entry node.
type Bounds struct {
	// RevocationDelay is the maximum time for which a withdrawn key may still start
	// requests.
	RevocationDelay time.Duration
	// ConfigApply is the time in which a confirmed change of the configuration has to be in
	// force on all nodes. Zero means that none is set.
	ConfigApply time.Duration
	// QuotaWindow is the length of the sliding window of the account limits. Over
	// one window, an account may be admitted its rate and burst multiplied by
	// (1 + QuotaOvershoot), plus QuotaSlack units.
	QuotaWindow    time.Duration
	QuotaOvershoot float64
	QuotaSlack     float64
	// RetryWindow is the length of the window of the retry budget. Over all nodes,
	// the budget is RetryRatio of the requests of a service, plus RetrySlack.
	RetryWindow time.Duration
	RetryRatio  float64
	RetrySlack  float64
	// LeaseDuration is the minimum time between two alternating holders of a lease.
	LeaseDuration time.Duration
	// UsageWindow is the length of a usage window. Its report is due
	// UsageReportDelay after the end of the window. Zero means that no usage is reported.
	UsageWindow      time.Duration
	UsageReportDelay time.Duration
	// ShutdownGrace is the time from SIGTERM to SIGKILL.
	ShutdownGrace time.Duration
	// ColdOvershoot and ColdSlack limit what an upstream that is cold may get from all
	// nodes within a second: what it bears times ColdOvershoot, plus ColdSlack.
	ColdOvershoot, ColdSlack float64
	// EvacuationDelay is the time within which no request may be sent to an availability
	// zone after its evacuation was requested. Zero means that there are no evacuations.
	EvacuationDelay time.Duration
}
