package slice

import (
	"time"

	"caroblane/core/model"
	"caroblane/core/place"
)

// staticRole dedicates 2 engines of each zone to prefill, which is 29% of a zone of
// 7, close to the 24% of docs/design.md.
func staticRole(i int) model.Role {
	if i%3 == 0 && i < 6 {
		return model.RolePrefill
	}
	return model.RoleDecode
}

func mixedRole(int) model.Role { return model.RoleBoth }

// selector is a placement policy that may have state, such as the last engine of
// round robin.
type selector[T any] interface {
	// Select picks an engine and returns the policy after the selection.
	Select(list Engines, key, draw uint64) (T, int, bool)
}

// stateless adapts a placement policy without state to selector.
type stateless struct{ place.Policy[Engine] }

// Select picks an engine.
func (p stateless) Select(list Engines, key, draw uint64) (stateless, int, bool) {
	i, ok := p.Pick(list, key, draw)
	return p, i, ok
}

// roundRobin selects the engines in turn. It advances only if work is placed, which
// a draw other than 0 indicates.
type roundRobin struct{ last int }

// Select picks the next engine that accepts work.
func (r roundRobin) Select(list Engines, _, draw uint64) (roundRobin, int, bool) {
	for offset := range list.Len() {
		i := (r.last + 1 + offset) % list.Len()
		if _, ok := list.At(i).Load(); ok {
			if draw != 0 {
				r.last = i
			}
			return r, i, true
		}
	}
	return r, 0, false
}

// disaggregated picks the prefill engine and the decode engine of a request by two
// independent policies that do not consider roles. An engine with both roles does
// both parts of the work.
type disaggregated[A selector[A], B selector[B]] struct {
	role    func(int) model.Role
	prefill A
	decode  B
}

func (p disaggregated[A, B]) Rules() Rules { return Rules{Role: p.role} }

func (p disaggregated[A, B]) Pick(f *Fleet, r Request, draw uint64) (disaggregated[A, B], place.Plan, bool) {
	var prefill, decode int
	var ok bool
	p.prefill, prefill, ok = p.prefill.Select(f.Engines(model.RolePrefill), r.Key, draw)
	if !ok || f.Engines(model.RoleBoth).At(prefill).Role() == model.RoleBoth {
		return p, place.Plan{Prefill: prefill, Decode: prefill}, ok
	}
	p.decode, decode, ok = p.decode.Select(f.Engines(model.RoleDecode), 0, draw)
	return p, place.Plan{Prefill: prefill, Decode: decode}, ok
}

func (p disaggregated[A, B]) WithArrival(time.Time, Request) disaggregated[A, B] { return p }

func (p disaggregated[A, B]) Adjust(*Fleet) (disaggregated[A, B], []RoleChange) { return p, nil }
