// Package place holds placement policies. They are generic over the candidate,
// so that they can be tested and measured without upstreams.
package place

import "math/bits"

// Candidate is something that can take work.
type Candidate interface {
	// Hash is a uniformly distributed hash of the candidate's name.
	Hash() uint64
	// Load is the share of the candidate's slots in use; 1 means full. The
	// second result is false when the candidate must not be used.
	Load() (float64, bool)
}

// List gives access to candidates without copying them.
type List[C Candidate] interface {
	Len() int
	At(i int) C
}

// Policy picks a candidate for a piece of work.
type Policy[C Candidate] interface {
	// Pick returns the index of the candidate, or false if none is usable.
	// Draw is a random number; key is the hash of the work's prompt prefix, or
	// zero if it has none.
	Pick(list List[C], key, draw uint64) (int, bool)
}

// Sampled picks the least loaded of a random sample. With two or more choices
// the highest load stays close to the mean, without reading every candidate.
type Sampled[C Candidate] struct {
	// Choices is the size of the sample. A list of at most four times that
	// size is read whole.
	Choices int
}

// Affinity sends work with the same prefix to the same candidate, so that its
// prefix cache is used, as long as that candidate's load stays within a bound.
type Affinity[C Candidate] struct {
	// Bound is the highest load at which a candidate is chosen for its prefix.
	Bound float64
	// Otherwise picks for work without a prefix and above the bound.
	Otherwise Policy[C]
}

// Pick implements Policy.
func (p Sampled[C]) Pick(list List[C], _, draw uint64) (int, bool) {
	n := list.Len()
	if n <= 4*p.Choices {
		return leastLoaded(list, draw, n, func(i int) int { return i })
	}
	best, found := leastLoaded(list, draw, p.Choices, func(i int) int {
		return int(mix(draw+uint64(i)) % uint64(n))
	})
	if found {
		return best, true
	}
	// Every candidate of the sample is unusable, which is rare.
	return leastLoaded(list, draw, n, func(i int) int { return i })
}

// Pick implements Policy.
func (p Affinity[C]) Pick(list List[C], key, draw uint64) (int, bool) {
	if key != 0 {
		for _, i := range owners(list, key) {
			if i < 0 {
				continue
			}
			if load, ok := list.At(i).Load(); ok && load < p.Bound {
				return i, true
			}
		}
	}
	return p.Otherwise.Pick(list, key, draw)
}

// leastLoaded returns the least loaded of n candidates, starting at a random
// one, so that equal loads are spread.
func leastLoaded[C Candidate](list List[C], draw uint64, n int, index func(int) int) (int, bool) {
	best, bestLoad, found := 0, 0.0, false
	if n == 0 {
		return 0, false
	}
	start := int(draw % uint64(n))
	for step := range n {
		i := index((start + step) % n)
		load, ok := list.At(i).Load()
		if ok && (!found || load < bestLoad) {
			best, bestLoad, found = i, load, true
		}
	}
	return best, found
}

// owners returns the two candidates with the highest rendezvous hash for a
// key, or -1 where there are fewer. The second takes over when the first one
// is full, so that a prefix has two homes and not many.
func owners[C Candidate](list List[C], key uint64) [2]int {
	return ownersOf(list, key, func(C) bool { return true })
}

// ownersOf returns the owners among some of the candidates.
func ownersOf[C Candidate](list List[C], key uint64, among func(C) bool) [2]int {
	first, second := -1, -1
	var firstScore, secondScore uint64
	for i := range list.Len() {
		c := list.At(i)
		if !among(c) {
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

// mix spreads the bits of a number.
func mix(x uint64) uint64 {
	hi, lo := bits.Mul64(x^0x9e3779b97f4a7c15, 0xd6e8feb86659fd93)
	return hi ^ lo
}
