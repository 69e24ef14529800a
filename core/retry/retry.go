// Package retry limits the retries of a node, so that a failing upstream does
// not multiply the load on the others.
package retry

import "time"

// Window is the sliding window over which requests and retries are counted.
const Window = windowSeconds * time.Second

const (
	// windowSeconds is the length of the window. Each second is counted in its
	// own slot.
	windowSeconds = 10
	// defaultPerRequest is the fraction of requests that may be retried.
	defaultPerRequest = 0.1
	// defaultPerSecond is the number of retries a second that is allowed in
	// addition, so that a node with few requests can retry.
	defaultPerSecond = 3
)

// DefaultLimits returns the limits of a node whose peers have their own
// budgets.
func DefaultLimits() Limits {
	return Limits{PerRequest: defaultPerRequest, Fixed: defaultPerSecond * windowSeconds}
}

// Limits limit the retries within the window.
type Limits struct {
	// PerRequest is the fraction of requests that may be retried.
	PerRequest float64
	// Fixed is the number of retries that is allowed in addition.
	Fixed float64
}

// Budget counts the requests and the retries within the window.
type Budget struct {
	limits Limits
	// second is the Unix time of the latest slot.
	second int64
	slots  [windowSeconds]slot
}

// slot counts the events of one second. It is small, because the budget is
// copied with the state of the node on each event.
type slot struct{ requests, retries int32 }

// Token identifies a retry that a budget has counted. The zero value identifies none.
type Token struct {
	second int64
	taken  bool
}

// Taken reports whether the token identifies a retry.
func (t Token) Taken() bool { return t.taken }

// New returns a budget that has counted no requests.
func New(limits Limits) Budget { return Budget{limits: limits} }

// WithLimits returns the budget with different limits.
func (b Budget) WithLimits(limits Limits) Budget {
	b.limits = limits
	return b
}

// WithRequest returns the budget after counting a request.
func (b Budget) WithRequest(at time.Time) Budget {
	b = b.advancedTo(at)
	b.slots[b.second%windowSeconds].requests++
	return b
}

// WithRetry returns the budget after counting a retry, and a token for it, or false if
// the limits do not allow the retry.
func (b Budget) WithRetry(at time.Time) (Budget, Token, bool) {
	b = b.advancedTo(at)
	if _, retries, limit := b.Usage(at); float64(retries+1) > limit {
		return b, Token{}, false
	}
	b.slots[b.second%windowSeconds].retries++
	return b, Token{second: b.second, taken: true}, true
}

// WithoutRetry returns the budget without a retry that was counted but not made. One that
// has left the window no longer counts.
func (b Budget) WithoutRetry(t Token) Budget {
	if t.taken && b.second-t.second < windowSeconds {
		b.slots[t.second%windowSeconds].retries--
	}
	return b
}

// Usage returns the numbers of requests and retries within the window, and the
// maximum number of retries.
func (b Budget) Usage(at time.Time) (requests, retries int, limit float64) {
	for _, s := range b.advancedTo(at).slots {
		requests += int(s.requests)
		retries += int(s.retries)
	}
	return requests, retries, b.limits.PerRequest*float64(requests) + b.limits.Fixed
}

// advancedTo returns the budget with the slots cleared that have left the
// window. If the clock steps back, events are counted in the latest slot.
func (b Budget) advancedTo(at time.Time) Budget {
	now := at.Unix()
	if now-b.second >= windowSeconds {
		return Budget{limits: b.limits, second: now}
	}
	for b.second < now {
		b.second++
		b.slots[b.second%windowSeconds] = slot{}
	}
	return b
}
