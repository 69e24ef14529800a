package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

// maxSends bounds the sends that one candidate's load is corrected by. The
// oldest two are joined beyond it, at the later time, so that none is lost.
const maxSends = 64

// Tracker keeps the load of candidates: what they reported last, and what was
// sent to them since the report was measured.
type Tracker[K cmp.Ordered] struct {
	loads *immutable.SortedMap[K, tracked]
}

type tracked struct {
	reported float64
	at       time.Time
	sends    []sent
	sum      float64
}

type sent struct {
	at     time.Time
	amount float64
}

// NewTracker returns a tracker without loads.
func NewTracker[K cmp.Ordered]() Tracker[K] {
	return Tracker[K]{immutable.NewSortedMap[K, tracked](nil)}
}

// WithReport returns the tracker after a report. Reports older than the last
// one are ignored.
func (t Tracker[K]) WithReport(key K, measured time.Time, load float64) Tracker[K] {
	last, _ := t.loads.Get(key)
	if measured.Before(last.at) {
		return t
	}
	next := tracked{reported: load, at: measured}
	for _, s := range last.sends {
		if s.at.After(measured) {
			next.sends = append(next.sends, s)
			next.sum += s.amount
		}
	}
	return Tracker[K]{t.loads.Set(key, next)}
}

// WithSend returns the tracker after work was sent to a candidate.
func (t Tracker[K]) WithSend(key K, at time.Time, amount float64) Tracker[K] {
	last, _ := t.loads.Get(key)
	sends := append(slices.Clone(last.sends), sent{at, amount})
	if len(sends) > maxSends {
		sends[1].amount += sends[0].amount
		sends = sends[1:]
	}
	last.sends = sends
	last.sum += amount
	return Tracker[K]{t.loads.Set(key, last)}
}

// Load returns the corrected load of a candidate.
func (t Tracker[K]) Load(key K) float64 {
	last, _ := t.loads.Get(key)
	return last.reported + last.sum
}

// Drained returns the corrected load of a candidate that works off its load at
// a rate a second. Without it, work that was done since the report counts.
func (t Tracker[K]) Drained(key K, at time.Time, rate float64) float64 {
	last, _ := t.loads.Get(key)
	level, from := last.reported, last.at
	for _, s := range last.sends {
		level = max(0, level-rate*s.at.Sub(from).Seconds()) + s.amount
		from = s.at
	}
	return max(0, level-rate*at.Sub(from).Seconds())
}
