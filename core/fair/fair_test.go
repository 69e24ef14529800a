package fair

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func acceptAll(int) bool { return true }

// TestShareIndependentOfDemand guards against an owner that gets a larger share by
// queueing more items.
func TestShareIndependentOfDemand(t *testing.T) {
	q := New[string, int](time.Second)
	for i := range 500 {
		q = q.WithItem("heavy", Item[int]{Value: i, Cost: 1, QueuedAt: start})
	}
	for i := range 50 {
		q = q.WithItem("light", Item[int]{Value: 1000 + i, Cost: 1, QueuedAt: start})
	}
	served := map[string]int{}
	for range 100 {
		owner, _, ok := q.Next(start, acceptAll)
		if !ok {
			t.Fatal("queue is empty before 100 items were served")
		}
		q = q.WithServed(owner)
		served[owner]++
	}
	if served["light"] != 50 || served["heavy"] != 50 {
		t.Errorf("light owner got %d of 100 services, want 50", served["light"])
	}
}

// TestShareByCost guards against counting items instead of their costs.
func TestShareByCost(t *testing.T) {
	q := New[string, int](time.Second)
	for i := range 200 {
		q = q.WithItem("long", Item[int]{Value: i, Cost: 9, QueuedAt: start})
		q = q.WithItem("short", Item[int]{Value: 1000 + i, Cost: 1, QueuedAt: start})
	}
	cost := map[string]float64{}
	for range 100 {
		owner, item, _ := q.Next(start, acceptAll)
		q = q.WithServed(owner)
		cost[owner] += item.Cost
	}
	if ratio := cost["long"] / cost["short"]; ratio < 0.9 || ratio > 1.1 {
		t.Errorf("ratio of the services is %.2f, want 0.9 to 1.1", ratio)
	}
}

// TestShareKeptAfterEmptyFlow guards against forgetting the start tag of an empty
// flow: an owner that always has a single item of cost 9 queued would get nine
// times its share.
func TestShareKeptAfterEmptyFlow(t *testing.T) {
	q := New[string, int](time.Hour)
	long := Item[int]{Value: -1, Cost: 9, QueuedAt: start}
	q = q.WithItem("long", long)
	cost := map[string]float64{}
	for i := range 400 {
		for range 2 {
			q = q.WithItem("short", Item[int]{Value: i, Cost: 1, QueuedAt: start})
		}
		owner, item, _ := q.Next(start, acceptAll)
		q = q.WithServed(owner)
		cost[owner] += item.Cost
		if owner == "long" {
			q = q.WithItem("long", long)
		}
	}
	if ratio := cost["long"] / cost["short"]; ratio < 0.9 || ratio > 1.1 {
		t.Errorf("ratio of the services is %.2f, want 0.9 to 1.1", ratio)
	}
}

// TestAgingPreventsStarvation guards against items of a low priority that are never
// served while items of a higher priority keep arriving.
func TestAgingPreventsStarvation(t *testing.T) {
	q := New[string, int](time.Second).WithItem("low", Item[int]{Value: -1, Cost: 1, QueuedAt: start})
	at := start
	for i := range 200 {
		q = q.WithItem("high", Item[int]{Value: i, Cost: 1, Priority: 10, QueuedAt: at})
		owner, _, _ := q.Next(at, acceptAll)
		if owner == "low" {
			if waited := at.Sub(start); waited < 9*time.Second || waited > 12*time.Second {
				t.Errorf("served after %s, want 9 s to 12 s", waited)
			}
			return
		}
		q = q.WithServed(owner)
		at = at.Add(100 * time.Millisecond)
	}
	t.Error("item of low priority was not served")
}

// TestItemsServedOnce guards against items that are lost or served twice.
func TestItemsServedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[string, int](time.Second)
		waiting := map[int]string{}
		at, last := start, 0
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				last++
				owner := fmt.Sprintf("account-%d", rapid.IntRange(0, 3).Draw(t, "owner"))
				q = q.WithItem(owner, Item[int]{
					Value: last, Cost: rapid.Float64Range(0.1, 10).Draw(t, "cost"),
					Priority: rapid.IntRange(0, 3).Draw(t, "priority"), QueuedAt: at,
				})
				waiting[last] = owner
			},
			"serve": func(t *rapid.T) {
				at = at.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
				owner, item, ok := q.Next(at, acceptAll)
				if ok != (len(waiting) > 0) {
					t.Fatalf("Next returned %v with %d items queued", ok, len(waiting))
				}
				if !ok {
					return
				}
				if waiting[item.Value] != owner {
					t.Fatalf("item %d of owner %q returned for owner %q", item.Value, waiting[item.Value], owner)
				}
				q = q.WithServed(owner)
				delete(waiting, item.Value)
			},
			"drop": func(t *rapid.T) {
				value := rapid.IntRange(1, last+1).Draw(t, "value")
				if owner, ok := waiting[value]; ok {
					q = q.WithoutItem(owner, value)
					delete(waiting, value)
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(waiting) {
					t.Fatalf("Len is %d with %d items queued", q.Len(), len(waiting))
				}
			},
		})
	})
}
