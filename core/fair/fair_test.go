package fair

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var begin = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func anything(int) bool { return true }

// Guards against an account that takes the service of others by queueing more.
func TestShareDoesNotFollowDemand(t *testing.T) {
	q := New[string, int](time.Second)
	for i := range 500 {
		q = q.WithItem("heavy", Item[int]{Value: i, Cost: 1, Since: begin})
	}
	for i := range 50 {
		q = q.WithItem("light", Item[int]{Value: 1000 + i, Cost: 1, Since: begin})
	}
	served := map[string]int{}
	for range 100 {
		owner, _, ok := q.Next(begin, anything)
		if !ok {
			t.Fatal("queue is empty")
		}
		q = q.WithoutNext(owner)
		served[owner]++
	}
	if served["light"] != 50 || served["heavy"] != 50 {
		t.Errorf("of 100 services the light account got %d", served["light"])
	}
}

// Guards against costly items that count as much as cheap ones.
func TestShareCountsCost(t *testing.T) {
	q := New[string, int](time.Second)
	for i := range 200 {
		q = q.WithItem("long", Item[int]{Value: i, Cost: 9, Since: begin})
		q = q.WithItem("short", Item[int]{Value: 1000 + i, Cost: 1, Since: begin})
	}
	cost := map[string]float64{}
	for range 100 {
		owner, item, _ := q.Next(begin, anything)
		q = q.WithoutNext(owner)
		cost[owner] += item.Cost
	}
	if ratio := cost["long"] / cost["short"]; ratio < 0.9 || ratio > 1.1 {
		t.Errorf("the accounts got service in the ratio %.2f", ratio)
	}
}

// Guards against an account that begins anew with each item: one that always
// has a single long item waiting would get nine times its share.
func TestShareOutlastsEmptyLane(t *testing.T) {
	q := New[string, int](time.Hour)
	long := Item[int]{Value: -1, Cost: 9, Since: begin}
	q = q.WithItem("long", long)
	cost := map[string]float64{}
	for i := range 400 {
		for range 2 {
			q = q.WithItem("short", Item[int]{Value: i, Cost: 1, Since: begin})
		}
		owner, item, _ := q.Next(begin, anything)
		q = q.WithoutNext(owner)
		cost[owner] += item.Cost
		if owner == "long" {
			q = q.WithItem("long", long)
		}
	}
	if ratio := cost["long"] / cost["short"]; ratio < 0.9 || ratio > 1.1 {
		t.Errorf("the accounts got service in the ratio %.2f", ratio)
	}
}

// Guards against low priorities that wait for ever behind a steady stream of
// higher ones.
func TestAgeEndsStarvation(t *testing.T) {
	q := New[string, int](time.Second).WithItem("low", Item[int]{Value: -1, Cost: 1, Since: begin})
	at := begin
	for i := range 200 {
		q = q.WithItem("high", Item[int]{Value: i, Cost: 1, Priority: 10, Since: at})
		owner, _, _ := q.Next(at, anything)
		if owner == "low" {
			if waited := at.Sub(begin); waited < 9*time.Second || waited > 12*time.Second {
				t.Errorf("served after %s", waited)
			}
			return
		}
		q = q.WithoutNext(owner)
		at = at.Add(100 * time.Millisecond)
	}
	t.Error("the low priority was never served")
}

// Guards against items that are lost or served twice.
func TestQueueKeepsItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[string, int](time.Second)
		waiting := map[int]string{}
		at, last := begin, 0
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				last++
				owner := fmt.Sprintf("account-%d", rapid.IntRange(0, 3).Draw(t, "owner"))
				q = q.WithItem(owner, Item[int]{
					Value: last, Cost: rapid.Float64Range(0.1, 10).Draw(t, "cost"),
					Priority: rapid.IntRange(0, 3).Draw(t, "priority"), Since: at,
				})
				waiting[last] = owner
			},
			"serve": func(t *rapid.T) {
				at = at.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
				owner, item, ok := q.Next(at, anything)
				if ok != (len(waiting) > 0) {
					t.Fatalf("next is %v with %d waiting", ok, len(waiting))
				}
				if !ok {
					return
				}
				if waiting[item.Value] != owner {
					t.Fatalf("item %d of %q served for %q", item.Value, waiting[item.Value], owner)
				}
				q = q.WithoutNext(owner)
				delete(waiting, item.Value)
			},
			"drop": func(t *rapid.T) {
				value := rapid.IntRange(1, last+1).Draw(t, "value")
				if owner, ok := waiting[value]; ok {
					q = q.Without(owner, value)
					delete(waiting, value)
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(waiting) {
					t.Fatalf("length is %d with %d waiting", q.Len(), len(waiting))
				}
			},
		})
	})
}
