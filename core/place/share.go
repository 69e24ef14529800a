package place

import (
	"cmp"
	"math"
	"time"

	"github.com/benbjohnson/immutable"
)

// Shares tracks how much of each owner's recent work was placed on cheap
// upstreams.
type Shares[K cmp.Ordered] struct {
	timeConstant time.Duration
	byOwner      *immutable.SortedMap[K, ownerWork]
}

// ownerWork is the work of one owner, decayed to the time at.
type ownerWork struct {
	total, cheap float64
	at           time.Time
}

// NewShares returns shares without work. Past work decays exponentially with
// the given time constant.
func NewShares[K cmp.Ordered](timeConstant time.Duration) Shares[K] {
	return Shares[K]{timeConstant, immutable.NewSortedMap[K, ownerWork](nil)}
}

// Allows reports whether an owner stays within its limit, between 0 and 1, if
// the work is placed on a cheap upstream.
func (s Shares[K]) Allows(owner K, at time.Time, work, limit float64) bool {
	past := s.decayed(owner, at)
	return past.cheap+work <= limit*(past.total+work)
}

// WithWork returns the shares after work has been placed.
func (s Shares[K]) WithWork(owner K, at time.Time, work float64, cheap bool) Shares[K] {
	past := s.decayed(owner, at)
	past.total += work
	if cheap {
		past.cheap += work
	}
	s.byOwner = s.byOwner.Set(owner, past)
	return s
}

// decayed returns an owner's work, decayed to the given time.
func (s Shares[K]) decayed(owner K, at time.Time) ownerWork {
	past, _ := s.byOwner.Get(owner)
	if elapsed := at.Sub(past.at); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / s.timeConstant.Seconds())
		past.total *= factor
		past.cheap *= factor
		past.at = at
	}
	return past
}
