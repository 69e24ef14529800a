package quota

import "time"

// sample is a cumulative total at a point in time.
type sample struct {
	at    time.Time
	total float64
}

// series is a cumulative total over time, oldest sample first. The slice is never
// modified in place.
type series []sample

func (s series) latest() float64 {
	if len(s) == 0 {
		return 0
	}
	return s[len(s)-1].total
}

// rate returns the units per second, measured over the second before at.
func (s series) rate(at time.Time) float64 {
	return max(0, s.increaseSince(at.Add(-time.Second)))
}

// stepTotals has the units admitted in the last step of the window, in the last
// two steps, and so on up to the whole window.
type stepTotals [windowSteps]float64

// plus returns the sum of both totals, with units added that were admitted just
// now and so belong to each of them.
func (p stepTotals) plus(other stepTotals, more float64) stepTotals {
	for i := range p {
		p[i] += other[i] + more
	}
	return p
}

// stepTotals returns the increase over the steps before a time.
func (p contribution) stepTotals(at time.Time, step time.Duration) stepTotals {
	var sums stepTotals
	last := len(p.series) - 1
	for i := range sums {
		from := at.Add(-step * time.Duration(i+1))
		if from.Before(p.countedFrom) {
			from = p.countedFrom
		}
		if i < windowSteps-1 && from.Before(p.timedFrom) {
			from = p.timedFrom
		}
		for last >= 0 && p.series[last].at.After(from) {
			last--
		}
		base := 0.0
		if last >= 0 {
			base = p.series[last].total
		}
		sums[i] = p.latest() - base
	}
	return sums
}

// increaseSince returns the increase after a time.
func (s series) increaseSince(from time.Time) float64 {
	base := 0.0
	for _, sample := range s {
		if sample.at.After(from) {
			break
		}
		base = sample.total
	}
	return s.latest() - base
}

// withSample returns the series with a total at a time. If the last two samples
// are less than sampleInterval apart, the new one replaces the last one. Of the
// samples before the window, one is kept as the base.
func (s series) withSample(at time.Time, total float64, window time.Duration) series {
	first := 0
	for first+1 < len(s) && !s[first+1].at.After(at.Add(-window)) {
		first++
	}
	next := make(series, 0, len(s)-first+1)
	next = append(next, s[first:]...)
	if n := len(next); n > 1 && next[n-1].at.Sub(next[n-2].at) < sampleInterval {
		next[n-1] = sample{at, total}
		return next
	}
	return append(next, sample{at, total})
}
