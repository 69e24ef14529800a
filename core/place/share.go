package place

import (
	"cmp"
	"math"
	"time"

	"github.com/benbjohnson/immutable"
)

// Shares keeps how much of each owner's recent work went to cheap upstreams.
type Shares[K cmp.Ordered] struct {
	term   time.Duration
	owners *immutable.SortedMap[K, share]
}

type share struct {
	all, cheap float64
	at         time.Time
}

// NewShares returns shares without work. Work fades with a time constant.
func NewShares[K cmp.Ordered](term time.Duration) Shares[K] {
	return Shares[K]{term, immutable.NewSortedMap[K, share](nil)}
}

// Allows tells whether an owner stays within its limit, 0 to 1, if the work
// goes to a cheap upstream.
func (s Shares[K]) Allows(owner K, at time.Time, work, limit float64) bool {
	last := s.faded(owner, at)
	return last.cheap+work <= limit*(last.all+work)
}

// WithWork returns the shares after work was placed.
func (s Shares[K]) WithWork(owner K, at time.Time, work float64, cheap bool) Shares[K] {
	last := s.faded(owner, at)
	last.all += work
	if cheap {
		last.cheap += work
	}
	s.owners = s.owners.Set(owner, last)
	return s
}

// faded returns an owner's work at a time.
func (s Shares[K]) faded(owner K, at time.Time) share {
	last, _ := s.owners.Get(owner)
	if passed := at.Sub(last.at); passed > 0 {
		kept := math.Exp(-passed.Seconds() / s.term.Seconds())
		last.all *= kept
		last.cheap *= kept
		last.at = at
	}
	return last
}
