package slice

import (
	"time"

	"caroblane/core/model"
	"caroblane/core/place"
)

// fixed gives 2 of 7 engines to prefill work, near the 24% of docs/design.md.
func fixed(i int) model.Role {
	if i%3 == 0 && i < 6 {
		return model.RolePrefill
	}
	return model.RoleDecode
}

func both(int) model.Role { return model.RoleBoth }

// turning is a placement policy with state, such as the last engine in a turn.
type turning[T any] interface {
	// Turn picks an engine and returns the policy after the pick.
	Turn(list Engines, key, draw uint64) (T, int, bool)
}

// plain is a placement policy without state.
type plain struct{ place.Policy[Engine] }

// Turn picks an engine.
func (p plain) Turn(list Engines, key, draw uint64) (plain, int, bool) {
	i, ok := p.Pick(list, key, draw)
	return p, i, ok
}

// inTurn is round robin. It advances by the draw of placed work only.
type inTurn struct{ last int }

// Turn picks the next engine that takes work.
func (r inTurn) Turn(list Engines, _, draw uint64) (inTurn, int, bool) {
	for step := range list.Len() {
		i := (r.last + 1 + step) % list.Len()
		if _, ok := list.At(i).Load(); ok {
			if draw != 0 {
				r.last = i
			}
			return r, i, true
		}
	}
	return r, 0, false
}

// separate picks the engine for the prompt and the one for the tokens by
// policies that know no roles. An engine with both roles does both.
type separate[A turning[A], B turning[B]] struct {
	role    func(int) model.Role
	prompts A
	tokens  B
}

func (p separate[A, B]) Rules() Rules { return Rules{Role: p.role} }

func (p separate[A, B]) Pick(f *Fleet, r Request, draw uint64) (separate[A, B], place.Plan, bool) {
	var prefill, decode int
	var ok bool
	p.prompts, prefill, ok = p.prompts.Turn(f.Engines(model.RolePrefill), r.Key, draw)
	if !ok || f.Engines(model.RoleBoth).At(prefill).Role() == model.RoleBoth {
		return p, place.Plan{Prefill: prefill, Decode: prefill}, ok
	}
	p.tokens, decode, ok = p.tokens.Turn(f.Engines(model.RoleDecode), 0, draw)
	return p, place.Plan{Prefill: prefill, Decode: decode}, ok
}

func (p separate[A, B]) WithArrival(time.Time, Request) separate[A, B] { return p }

func (p separate[A, B]) Adjust(*Fleet) (separate[A, B], []RoleChange) { return p, nil }
