package fleet

import (
	"math"
	"time"

	"caroblane/core/model"
	"caroblane/core/step"
)

const (
	// pauseGain is the weight of a new measurement in the longest pause that is expected
	// of the streams of an engine, and maxPauseStep limits its effect, as a logarithm.
	pauseGain    = 0.2
	maxPauseStep = 1.5
	// minPauses is the number of measurements from which on they count in full. Before, a
	// single stream that met a short slow spell says little about the engine.
	minPauses = 4
	// serviceGain is the weight of a new measurement in the mean of a service.
	serviceGain = 0.02
	// pauseMemory is the time constant with which what is known of an engine loses its
	// weight while nothing is measured there, so that it is tried again.
	pauseMemory = 20 * time.Second
	// maxPausesSent limits the pauses in an announcement, so that it fits a datagram.
	maxPausesSent = 24
)

// streamPace is what is known of the longest pauses of the streams of an engine. It begins
// anew with each process and is never modified.
type streamPace struct {
	// logPause is the mean of the logarithm of the longest pauses, in seconds.
	logPause float64
	count    int
	at       time.Time
}

// TypicalPause returns the longest pause that is expected of a stream of a service at an
// engine of which nothing is known, or zero before the first stream has completed.
func (s State) TypicalPause(service model.ServiceName) time.Duration {
	known, found := s.servicePauses.Get(service)
	if !found {
		return 0
	}
	return time.Duration(math.Exp(known.logPause) * float64(time.Second))
}

// ExpectedPause returns the longest pause that is expected of a stream of the engine, and
// how much this is relied on, from 0 for an engine of which nothing is known to 1.
func (u Upstream) ExpectedPause(at time.Time) (pause time.Duration, confidence float64) {
	if u.streams == nil {
		return 0, 0
	}
	age := max(0, at.Sub(u.streams.at))
	confidence = min(1, float64(u.streams.count)/minPauses) * math.Exp(-age.Seconds()/pauseMemory.Seconds())
	return time.Duration(math.Exp(u.streams.logPause) * float64(time.Second)), confidence
}

// with returns the pace with a measurement.
func (p *streamPace) with(longest time.Duration, minGain float64, at time.Time) *streamPace {
	measured := math.Log(longest.Seconds())
	if p == nil {
		return &streamPace{logPause: measured, count: 1, at: at}
	}
	gain := max(minGain, 1/float64(p.count+1))
	step := min(maxPauseStep, max(-maxPauseStep, measured-p.logPause))
	return &streamPace{logPause: p.logPause + gain*step, count: p.count + 1, at: at}
}

// withStreamPause includes the longest pause of a stream that an engine completed for this
// node or a peer. That of another process of the engine says nothing about this one.
func (s State) withStreamPause(p model.StreamPause, at time.Time) State {
	u, found := s.upstreams.Get(p.Upstream.Name)
	if !found || u.Incarnation != p.Upstream.Incarnation || p.Longest <= 0 {
		return s
	}
	u.streams = u.streams.with(p.Longest, pauseGain, at)
	s.upstreams = s.upstreams.Set(u.Name, u)
	known, _ := s.servicePauses.Get(u.Service)
	s.servicePauses = s.servicePauses.Set(u.Service, known.with(p.Longest, serviceGain, at))
	return s
}

// handlePauseMeasured includes a pause that this node measured and tells its peers of it.
func (s State) handlePauseMeasured(p model.StreamPause, at time.Time) State {
	s = s.withStreamPause(p, at)
	if len(s.pauses) < maxPausesSent {
		s.pauses = append(s.pauses[:len(s.pauses):len(s.pauses)], p)
	}
	s.announceAt = step.Earliest(s.announceAt, at.Add(endAnnounceDelay))
	return s
}
