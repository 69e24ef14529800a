package fleet

import (
	"math"
	"time"

	"caroblane/core/event"
	"caroblane/core/model"
)

const (
	// initialTokenTime is the assumed time to compute a prompt token before any
	// prompt has been measured.
	initialTokenTime = 15 * time.Microsecond
	// minMeasuredWork is the least work, in prompt tokens, from which the speed of
	// an engine is derived. With less, fixed overheads dominate.
	minMeasuredWork = 2000
	// maxDeviation limits the effect of one measurement, as the logarithm of the
	// ratio of the measured time to the expected one.
	maxDeviation = 0.7
	// minServiceGain is the weight of a new measurement in the speed of a service,
	// and engineGain in the relative speed of one engine.
	minServiceGain = 0.05
	engineGain     = 0.1
	// minPace and maxPace limit the relative time that one engine takes.
	minPace = 0.5
	maxPace = 4
)

// speed is the time that the engines of a service take to compute a prompt token.
type speed struct {
	tokenTime    time.Duration
	measurements int
}

// TokenTime returns the expected time in which an engine computes a prompt token.
func (s State) TokenTime(u Upstream) time.Duration {
	return time.Duration(float64(s.ServiceTokenTime(u.Service)) * u.relativePace())
}

// ServiceTokenTime returns the mean time in which the engines of a service compute
// a prompt token.
func (s State) ServiceTokenTime(service model.ServiceName) time.Duration {
	known, found := s.speeds.Get(service)
	if !found {
		return initialTokenTime
	}
	return known.tokenTime
}

// relativePace returns the time that the engine takes, relative to the mean of its
// service.
func (u Upstream) relativePace() float64 {
	if u.pace == 0 {
		return 1
	}
	return u.pace
}

// handlePromptMeasured updates the speed of an engine and that of its service. The
// first measurements of a service have more weight.
func (s State) handlePromptMeasured(e event.PromptMeasured) State {
	u, found := s.upstreams.Get(e.Upstream)
	if !found || e.Work < minMeasuredWork || e.Took <= 0 {
		return s
	}
	expected := e.Work * float64(s.TokenTime(u))
	deviation := min(maxDeviation, max(-maxDeviation, math.Log(float64(e.Took)/expected)))
	u.pace = min(maxPace, max(minPace, u.relativePace()*math.Exp(engineGain*deviation)))
	s.upstreams = s.upstreams.Set(e.Upstream, u)

	known, found := s.speeds.Get(u.Service)
	if !found {
		known.tokenTime = initialTokenTime
	}
	known.measurements++
	gain := max(minServiceGain, 1/float64(known.measurements+1))
	known.tokenTime = time.Duration(float64(known.tokenTime) * math.Exp(gain*deviation))
	s.speeds = s.speeds.Set(u.Service, known)
	return s
}
