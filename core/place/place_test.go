package place

import (
	"testing"

	"pgregory.net/rapid"
)

type testCandidate struct {
	hash uint64
	load float64
	down bool
}

type testCandidates []testCandidate

func (c testCandidate) Hash() uint64            { return c.hash }
func (c testCandidate) Load() (float64, bool)   { return c.load, !c.down }
func (l testCandidates) Len() int               { return len(l) }
func (l testCandidates) At(i int) testCandidate { return l[i] }

func newPolicies() map[string]Policy[testCandidate] {
	sampled := Sampled[testCandidate]{SampleSize: 4}
	return map[string]Policy[testCandidate]{
		"sampled":  sampled,
		"affinity": Affinity[testCandidate]{MaxLoad: 1, Fallback: sampled},
	}
}

// TestPickUsableCandidate guards against placing work on an unusable candidate,
// and against finding none although a usable one exists.
func TestPickUsableCandidate(t *testing.T) {
	for name, policy := range newPolicies() {
		t.Run(name, rapid.MakeCheck(func(t *rapid.T) {
			list := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) testCandidate {
				return testCandidate{
					hash: rapid.Uint64().Draw(t, "hash"),
					load: rapid.Float64Range(0, 2).Draw(t, "load"),
					down: rapid.Bool().Draw(t, "down"),
				}
			}), 0, 60).Draw(t, "workers")
			usable := false
			for _, c := range list {
				usable = usable || !c.down
			}
			i, ok := policy.Pick(testCandidates(list), rapid.Uint64().Draw(t, "key"), rapid.Uint64().Draw(t, "random"))
			if ok != usable {
				t.Fatalf("picked a candidate: %v, want %v", ok, usable)
			}
			if ok && list[i].down {
				t.Fatalf("picked unusable candidate %d", i)
			}
		}))
	}
}

// TestAffinityKeepsOwners guards against prefixes that move between upstreams
// when one is added. Only prefixes that the new upstream owns may move.
func TestAffinityKeepsOwners(t *testing.T) {
	policy := newPolicies()["affinity"]
	var list testCandidates
	for i := range 40 {
		list = append(list, testCandidate{hash: mix(uint64(i + 1))})
	}
	for key := uint64(1); key < 500; key++ {
		before, _ := policy.Pick(list[:39], key, 0)
		after, _ := policy.Pick(list, key, 0)
		if after != before && after != 39 {
			t.Fatalf("key %d moved from candidate %d to %d when candidate 39 was added", key, before, after)
		}
	}
}

// TestAffinityRespectsMaxLoad guards against placing work on the owner of its
// prefix although that owner is full.
func TestAffinityRespectsMaxLoad(t *testing.T) {
	policy := newPolicies()["affinity"]
	list := testCandidates{{hash: 1, load: 1}, {hash: 2, load: 1}, {hash: 3, load: 0.2}}
	for key := uint64(1); key < 100; key++ {
		if i, _ := policy.Pick(list, key, key); i != 2 {
			t.Fatalf("key %d placed on full candidate %d", key, i)
		}
	}
}
