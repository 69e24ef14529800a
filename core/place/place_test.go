package place

import (
	"testing"

	"pgregory.net/rapid"
)

type worker struct {
	hash uint64
	load float64
	down bool
}

type workers []worker

func (w worker) Hash() uint64          { return w.hash }
func (w worker) Load() (float64, bool) { return w.load, !w.down }
func (w workers) Len() int             { return len(w) }
func (w workers) At(i int) worker      { return w[i] }

func policies() map[string]Policy[worker] {
	sampled := Sampled[worker]{Choices: 4}
	return map[string]Policy[worker]{
		"sampled":  sampled,
		"affinity": Affinity[worker]{Bound: 1, Otherwise: sampled},
	}
}

// Guards against work for a withdrawn upstream and against a refusal while a
// usable upstream exists.
func TestPickUsableCandidate(t *testing.T) {
	for name, policy := range policies() {
		t.Run(name, rapid.MakeCheck(func(t *rapid.T) {
			list := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) worker {
				return worker{
					hash: rapid.Uint64().Draw(t, "hash"),
					load: rapid.Float64Range(0, 2).Draw(t, "load"),
					down: rapid.Bool().Draw(t, "down"),
				}
			}), 0, 60).Draw(t, "workers")
			usable := false
			for _, w := range list {
				usable = usable || !w.down
			}
			i, ok := policy.Pick(workers(list), rapid.Uint64().Draw(t, "key"), rapid.Uint64().Draw(t, "draw"))
			if ok != usable {
				t.Fatalf("picked %v although usable is %v", ok, usable)
			}
			if ok && list[i].down {
				t.Fatalf("picked unusable worker %d", i)
			}
		}))
	}
}

// Guards against prefixes that move to other upstreams when one is added: only
// prefixes that the new one owns may move.
func TestAffinityKeepsOwners(t *testing.T) {
	policy := policies()["affinity"]
	var list workers
	for i := range 40 {
		list = append(list, worker{hash: mix(uint64(i + 1))})
	}
	for key := uint64(1); key < 500; key++ {
		before, _ := policy.Pick(list[:39], key, 0)
		after, _ := policy.Pick(list, key, 0)
		if after != before && after != 39 {
			t.Fatalf("key %d moved from worker %d to %d when worker 39 was added", key, before, after)
		}
	}
}

// Guards against an owner that takes work for its prefix although it is full.
func TestAffinityRespectsBound(t *testing.T) {
	policy := policies()["affinity"]
	list := workers{{hash: 1, load: 1}, {hash: 2, load: 1}, {hash: 3, load: 0.2}}
	for key := uint64(1); key < 100; key++ {
		if i, _ := policy.Pick(list, key, key); i != 2 {
			t.Fatalf("key %d went to full worker %d", key, i)
		}
	}
}
