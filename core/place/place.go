// Package place implements placement policies. They are generic over the
// candidate type, so that they can be tested and benchmarked without upstreams.
package place

import "math/bits"

// Candidate is something that work can be placed on.
type Candidate interface {
	// Hash returns a uniformly distributed hash of the candidate's name.
	Hash() uint64
	// Load returns the fraction of the candidate's slots in use; 1 means full.
	// The second result is false if the candidate must not be used.
	Load() (float64, bool)
}

// List provides access to candidates without copying them.
type List[C Candidate] interface {
	Len() int
	At(i int) C
}

// Policy selects a candidate for a unit of work.
type Policy[C Candidate] interface {
	// Pick returns the index of the candidate, or false if none is usable. Key
	// is the hash of the work's prompt prefix, or zero if it has none. Random is
	// a random number that spreads the work.
	Pick(list List[C], key, random uint64) (int, bool)
}

// Sampled selects the least loaded candidate of a random sample. With a sample
// size of two or more, the highest load stays close to the mean without reading
// every candidate.
type Sampled[C Candidate] struct {
	// SampleSize is the sample size. Lists of up to four times this size are read
	// completely.
	SampleSize int
}

// Affinity places work with the same prefix on the same candidate, which then
// has the prefix in its cache, as long as the load of that candidate is below a
// limit.
type Affinity[C Candidate] struct {
	// MaxLoad is the load from which on a candidate is not selected for its
	// prefix.
	MaxLoad float64
	// Fallback is the policy for work without a prefix, and for work whose
	// preferred candidates are at the limit.
	Fallback Policy[C]
}

// Pick implements Policy.
func (p Sampled[C]) Pick(list List[C], _, random uint64) (int, bool) {
	n := list.Len()
	if n <= 4*p.SampleSize {
		return leastLoaded(list, random, n, func(i int) int { return i })
	}
	best, found := leastLoaded(list, random, p.SampleSize, func(i int) int {
		return int(mix(random+uint64(i)) % uint64(n))
	})
	if found {
		return best, true
	}
	// No candidate of the sample is usable, which is rare.
	return leastLoaded(list, random, n, func(i int) int { return i })
}

// Pick implements Policy.
func (p Affinity[C]) Pick(list List[C], key, random uint64) (int, bool) {
	if key != 0 {
		for _, i := range rendezvousOwners(list, key) {
			if i < 0 {
				continue
			}
			if load, ok := list.At(i).Load(); ok && load < p.MaxLoad {
				return i, true
			}
		}
	}
	return p.Fallback.Pick(list, key, random)
}

// leastLoaded returns the least loaded of n candidates. It starts at a random
// one, so that ties are spread evenly.
func leastLoaded[C Candidate](list List[C], random uint64, n int, index func(int) int) (int, bool) {
	best, bestLoad, found := 0, 0.0, false
	if n == 0 {
		return 0, false
	}
	start := int(random % uint64(n))
	for step := range n {
		i := index((start + step) % n)
		load, ok := list.At(i).Load()
		if ok && (!found || load < bestLoad) {
			best, bestLoad, found = i, load, true
		}
	}
	return best, found
}

// rendezvousOwners returns the two candidates with the highest rendezvous hash
// for a key, or -1 where there are fewer. The second one takes over when the
// first is full, so that a prefix is cached on two candidates and not on many.
func rendezvousOwners[C Candidate](list List[C], key uint64) [2]int {
	return ownersAmong(list, key, func(C) bool { return true })
}

// ownersAmong returns the owners among the candidates that pass a filter.
func ownersAmong[C Candidate](list List[C], key uint64, filter func(C) bool) [2]int {
	first, second := -1, -1
	var firstScore, secondScore uint64
	for i := range list.Len() {
		c := list.At(i)
		if !filter(c) {
			continue
		}
		score := mix(c.Hash() ^ key)
		switch {
		case first < 0 || score > firstScore:
			second, secondScore = first, firstScore
			first, firstScore = i, score
		case second < 0 || score > secondScore:
			second, secondScore = i, score
		}
	}
	return [2]int{first, second}
}

// mix is a hash function that spreads the bits of a number.
func mix(x uint64) uint64 {
	hi, lo := bits.Mul64(x^0x9e3779b97f4a7c15, 0xd6e8feb86659fd93)
	return hi ^ lo
}
