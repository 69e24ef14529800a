package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

// maxSends limits the unreported sends that are kept for one candidate. Beyond
// it, the two oldest are merged at the later of their times, so that no work is
// lost.
const maxSends = 64

// Tracker estimates the load of candidates: the load in their last report, and
// the work sent to them since it was measured.
type Tracker[K cmp.Ordered] struct {
	loads *immutable.SortedMap[K, trackedLoad]
}

type trackedLoad struct {
	reported float64
	// at is when the reported load was measured.
	at time.Time
	// unreported holds the work sent since then, oldest first.
	unreported    []send
	unreportedSum float64
}

type send struct {
	at     time.Time
	amount float64
}

// NewTracker returns a tracker without loads.
func NewTracker[K cmp.Ordered]() Tracker[K] {
	return Tracker[K]{immutable.NewSortedMap[K, trackedLoad](nil)}
}

// WithReport returns the tracker after a load report. Reports older than the
// last one are ignored.
func (t Tracker[K]) WithReport(key K, measured time.Time, load float64) Tracker[K] {
	last, _ := t.loads.Get(key)
	if measured.Before(last.at) {
		return t
	}
	next := trackedLoad{reported: load, at: measured}
	for _, s := range last.unreported {
		if s.at.After(measured) {
			next.unreported = append(next.unreported, s)
			next.unreportedSum += s.amount
		}
	}
	return Tracker[K]{t.loads.Set(key, next)}
}

// WithSend returns the tracker after work has been sent to a candidate.
func (t Tracker[K]) WithSend(key K, at time.Time, amount float64) Tracker[K] {
	last, _ := t.loads.Get(key)
	sends := append(slices.Clone(last.unreported), send{at, amount})
	if len(sends) > maxSends {
		sends[1].amount += sends[0].amount
		sends = sends[1:]
	}
	last.unreported = sends
	last.unreportedSum += amount
	return Tracker[K]{t.loads.Set(key, last)}
}

// Load returns the reported load of a candidate plus the work sent since.
func (t Tracker[K]) Load(key K) float64 {
	last, _ := t.loads.Get(key)
	return last.reported + last.unreportedSum
}

// DrainedLoad returns the estimated load of a candidate that processes work at the
// given rate per second. Load, in contrast, still counts work that was
// completed after the report.
func (t Tracker[K]) DrainedLoad(key K, at time.Time, rate float64) float64 {
	last, _ := t.loads.Get(key)
	load, from := last.reported, last.at
	for _, s := range last.unreported {
		load = max(0, load-rate*s.at.Sub(from).Seconds()) + s.amount
		from = s.at
	}
	return max(0, load-rate*at.Sub(from).Seconds())
}
