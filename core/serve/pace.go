package serve

import "time"

const (
	// slowStreamLoad is the load added to an engine whose streams are expected to pause for
	// longer than the route allows: an engine that is half full is preferred to it.
	slowStreamLoad = 0.5
	// pauseBegin and pauseFull are the expected longest pause, as a fraction of the longest
	// pause of the route, from which on a part of slowStreamLoad and all of it is added.
	pauseBegin = 0.75
	pauseFull  = 1.15
	// slowerBegin and slowerFull are the expected longest pause, relative to that of the
	// whole service, from which on a part of slowStreamLoad and all of it is added. Below,
	// the pauses come from the load, which placement balances already.
	slowerBegin = 1.3
	slowerFull  = 1.6
)

// pauseLoad returns the load that is added because the engine is too slow for the longest
// pause between events that the route of the request allows. It answers a load that
// engines of different speeds share: a slow one with few runs keeps a caller waiting
// longer than a fast one with many.
func (c candidate) pauseLoad() float64 {
	if c.maxTokenGap <= 0 {
		return 0
	}
	pause, confidence := c.ExpectedPause(c.at)
	if confidence == 0 || c.typicalPause <= 0 {
		return 0
	}
	excess := fraction(float64(pause)/float64(c.maxTokenGap), pauseBegin, pauseFull)
	slower := fraction(float64(pause)/float64(c.typicalPause), slowerBegin, slowerFull)
	return slowStreamLoad * confidence * excess * slower
}

// fraction returns where a value lies between two others, from 0 to 1.
func fraction(value, begin, full float64) float64 {
	return min(1, max(0, (value-begin)/(full-begin)))
}

// pickSlower selects an engine without regard to the pauses of its streams, for a request
// that the choice so far cannot serve in time: an answer with a long pause is better than
// a refusal.
func (req openRequest) pickSlower(choice engineChoice, view View) (engineChoice, bool) {
	req.anyPace = true
	slower, found := pickEngine(req, view)
	if !found {
		return choice, false
	}
	_, inTime := slower.waitCheck(req, view)
	return slower, inTime
}

// longestGap returns the longest pause between events that the route of a request allows,
// or zero if that does not matter.
func (req openRequest) longestGap() time.Duration {
	if !req.route.Stream || req.anyPace {
		return 0
	}
	return req.route.MaxTokenGap
}
