package engine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"caroblane/core/step"
)

// TestHistory guards against an engine that loses or repeats tokens of a
// request, forgets memory, or exceeds its bounds in any sequence of calls.
func TestHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := small()
		settings.Slots = rapid.IntRange(1, 3).Draw(t, "slots")
		if rapid.Bool().Draw(t, "free") {
			settings.IterationBase, settings.PrefillPerToken, settings.DecodePerToken = 0, 0, 0
		}
		s := NewState(settings)
		at := time.Unix(1000, 0)
		ticket, requests := uint64(0), 0
		// wants holds the size of each request, upto how far each open ticket
		// was told, and owner its request.
		wants := map[string]int{}
		upto := map[uint64]int{}
		owner := map[uint64]string{}
		apply := func(e Event) {
			var out []Effect
			s, out = s.Apply(step.Input[Event]{At: at, Event: e})
			for _, effect := range out {
				f, ok := effect.(Tokens)
				if !ok {
					delete(upto, effect.To())
					continue
				}
				held, open := upto[f.Ticket]
				if !open {
					t.Fatalf("tokens for ticket %d, which is closed", f.Ticket)
				}
				if f.Upto < held {
					t.Fatalf("ticket %d goes back from %d to %d", f.Ticket, held, f.Upto)
				}
				upto[f.Ticket] = f.Upto
				if f.Done && f.Upto != wants[owner[f.Ticket]] {
					t.Fatalf("request %s ended after %d of %d tokens", owner[f.Ticket], f.Upto, wants[owner[f.Ticket]])
				}
				if f.Last() {
					delete(upto, f.Ticket)
				}
			}
		}
		known := func() string { return fmt.Sprint("r", rapid.IntRange(0, max(0, requests-1)).Draw(t, "request")) }
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				ticket++
				e := Submit{Ticket: ticket, ID: fmt.Sprint("r", requests), Attempt: "1", Seed: 9}
				requests++
				e.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
				e.Prefixes = rapid.SliceOfN(rapid.Uint64Range(1, 6), 0, 3).Draw(t, "prefixes")
				e.PromptTokens = len(e.Prefixes)*PieceTokens + rapid.IntRange(0, 1_000).Draw(t, "prompt")
				e.MaxTokens = rapid.IntRange(1, 30).Draw(t, "tokens")
				wants[e.ID], owner[ticket], upto[ticket] = e.MaxTokens, e.ID, 0
				apply(e)
			},
			"resume": func(t *rapid.T) {
				ticket++
				e := Resume{Ticket: ticket, ID: known(), Attempt: "2", Seed: 9, Offset: rapid.IntRange(0, 30).Draw(t, "offset")}
				owner[ticket], upto[ticket] = e.ID, e.Offset
				apply(e)
			},
			"cancel": func(*rapid.T) {
				ticket++
				apply(Cancel{Ticket: ticket, ID: known()})
			},
			"leave": func(t *rapid.T) {
				left := uint64(rapid.IntRange(0, int(ticket)).Draw(t, "ticket"))
				delete(upto, left)
				apply(Gone{Ticket: left})
			},
			"role": func(t *rapid.T) {
				ticket++
				role := rapid.SampledFrom([]string{RoleBoth, RoleDecode}).Draw(t, "role")
				apply(Order{Ticket: ticket, Epoch: 1, Seq: ticket, Intent: Intent{Action: SetRole, Role: role}})
			},
			"time": func(t *rapid.T) {
				at = at.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
				apply(Tick{})
			},
			"": func(t *rapid.T) {
				pinned := 0
				for itr := s.batch.Iterator(); !itr.Done(); {
					_, id, _ := itr.Next()
					r, _ := s.runs.Get(id)
					pinned += r.pieces()
				}
				switch {
				case pinned != s.pinned || pinned+s.cache.pieces.Len() > settings.MemoryPieces:
					t.Fatalf("%d pieces counted, %d pinned, %d cached", pinned, s.pinned, s.cache.pieces.Len())
				case s.batch.Len() > settings.Slots, s.queue.Len()+s.batch.Len() > settings.Slots+settings.MaxQueued:
					t.Fatalf("%d in the batch, %d in the queue", s.batch.Len(), s.queue.Len())
				case s.runs.Len() > s.batch.Len()+s.queue.Len()+settings.MaxHeld:
					t.Fatalf("%d requests held", s.runs.Len())
				case s.cache.pieces.Len() != s.cache.oldest.Len():
					t.Fatalf("%d pieces, %d in order", s.cache.pieces.Len(), s.cache.oldest.Len())
				}
			},
		})
		// Every request that is still attached ends.
		for range 10_000 {
			if s.Next().IsZero() {
				break
			}
			at = s.Next()
			apply(Tick{})
		}
		if len(upto) != 0 {
			t.Fatalf("tickets %v were never answered", upto)
		}
	})
}
