package engine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"caroblane/core/step"
)

// TestRandomCalls guards against lost or repeated tokens, leaked memory and
// exceeded limits by checking invariants over random sequences of calls.
func TestRandomCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := smallSettings()
		settings.Slots = rapid.IntRange(1, 3).Draw(t, "slots")
		if rapid.Bool().Draw(t, "free") {
			settings.IterationBase, settings.PrefillPerToken, settings.DecodePerToken = 0, 0, 0
		}
		s := NewState(settings)
		at := time.Unix(1000, 0)
		ticket, requests := uint64(0), 0
		// wantTokens holds the number of tokens of each request, upto the
		// progress of each open ticket, and requestOf the request of each
		// ticket.
		wantTokens := map[string]int{}
		upto := map[uint64]int{}
		requestOf := map[uint64]string{}
		apply := func(e Event) {
			var out []Effect
			s, out = s.Apply(step.Input[Event]{At: at, Event: e})
			for _, effect := range out {
				f, ok := effect.(Tokens)
				if !ok {
					delete(upto, effect.Recipient())
					continue
				}
				previous, open := upto[f.Ticket]
				if !open {
					t.Fatalf("tokens for ticket %d, which is closed", f.Ticket)
				}
				if f.Upto < previous {
					t.Fatalf("progress of ticket %d goes back from %d to %d", f.Ticket, previous, f.Upto)
				}
				upto[f.Ticket] = f.Upto
				if f.Done && f.Upto != wantTokens[requestOf[f.Ticket]] {
					t.Fatalf("request %s ended after %d of %d tokens", requestOf[f.Ticket], f.Upto, wantTokens[requestOf[f.Ticket]])
				}
				if f.Final() {
					delete(upto, f.Ticket)
				}
			}
		}
		anyRequest := func() string { return fmt.Sprint("r", rapid.IntRange(0, max(0, requests-1)).Draw(t, "request")) }
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				ticket++
				e := Submit{Ticket: ticket, ID: fmt.Sprint("r", requests), Attempt: "1", Seed: 9}
				requests++
				e.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
				e.Prefixes = rapid.SliceOfN(rapid.Uint64Range(1, 6), 0, 3).Draw(t, "prefixes")
				e.PromptTokens = len(e.Prefixes)*BlockTokens + rapid.IntRange(0, 1_000).Draw(t, "prompt")
				e.MaxTokens = rapid.IntRange(1, 30).Draw(t, "tokens")
				wantTokens[e.ID], requestOf[ticket], upto[ticket] = e.MaxTokens, e.ID, 0
				apply(e)
			},
			"resume": func(t *rapid.T) {
				ticket++
				e := Resume{Ticket: ticket, ID: anyRequest(), Attempt: "2", Seed: 9, Offset: rapid.IntRange(0, 30).Draw(t, "offset")}
				requestOf[ticket], upto[ticket] = e.ID, e.Offset
				apply(e)
			},
			"cancel": func(*rapid.T) {
				ticket++
				apply(Cancel{Ticket: ticket, ID: anyRequest()})
			},
			"leave": func(t *rapid.T) {
				disconnected := uint64(rapid.IntRange(0, int(ticket)).Draw(t, "ticket"))
				delete(upto, disconnected)
				apply(Disconnected{Ticket: disconnected})
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
					r, _ := s.requests.Get(id)
					pinned += r.blocks()
				}
				switch {
				case pinned != s.pinnedBlocks || pinned+s.cache.blocks.Len() > settings.MemoryPieces:
					t.Fatalf("%d blocks counted, %d pinned, %d cached", pinned, s.pinnedBlocks, s.cache.blocks.Len())
				case s.batch.Len() > settings.Slots, s.queue.Len()+s.batch.Len() > settings.Slots+settings.MaxQueued:
					t.Fatalf("%d in the batch, %d in the queue", s.batch.Len(), s.queue.Len())
				case s.requests.Len() > s.batch.Len()+s.queue.Len()+settings.MaxHeld:
					t.Fatalf("%d requests held", s.requests.Len())
				case s.cache.blocks.Len() != s.cache.lru.Len():
					t.Fatalf("%d blocks, %d in LRU order", s.cache.blocks.Len(), s.cache.lru.Len())
				}
			},
		})
		// Every stream that is still open must end.
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
