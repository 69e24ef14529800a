package engine

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"caroblane/core/step"
)

// harness drives an engine's state machine with a simulated clock.
type harness struct {
	t  *testing.T
	s  State
	at time.Time
	// tokens holds the last progress of each stream, finished the tickets in
	// the order in which their streams ended, and responses the last response to
	// each ticket.
	tokens    map[uint64]Tokens
	finished  []uint64
	responses map[uint64]Response
	crashes   []Crash
}

func newHarness(t *testing.T, settings Settings) *harness {
	return &harness{
		t: t, s: NewState(settings), at: time.Unix(1000, 0),
		tokens: map[uint64]Tokens{}, responses: map[uint64]Response{},
	}
}

func (b *harness) apply(events ...Event) {
	for _, e := range events {
		var out []Effect
		b.s, out = b.s.Apply(step.Input[Event]{At: b.at, Event: e})
		for _, effect := range out {
			switch f := effect.(type) {
			case Tokens:
				b.tokens[f.Ticket] = f
				if f.Final() {
					b.finished = append(b.finished, f.Ticket)
				}
			case Response:
				b.responses[f.Ticket] = f
			case Crash:
				b.crashes = append(b.crashes, f)
			}
		}
	}
}

// advance moves the clock forward and applies the timer events on the way.
func (b *harness) advance(d time.Duration) {
	end := b.at.Add(d)
	for next := b.s.Next(); !next.IsZero() && !next.After(end); next = b.s.Next() {
		b.at = next
		b.apply(Tick{})
	}
	b.at = end
	b.apply(Tick{})
}

// reason returns the reason of a refusal, and checks that the refusal says
// NotRun.
func (b *harness) reason(ticket uint64) string {
	b.t.Helper()
	a, ok := b.responses[ticket]
	if !ok || a.Fault == nil {
		return ""
	}
	if a.Fault.Execution != "NotRun" {
		b.t.Errorf("ticket %d: refusal has execution %q", ticket, a.Fault.Execution)
	}
	return a.Fault.Reason
}

func smallSettings() Settings {
	return Settings{
		Slots: 2, MaxQueued: 2, MemoryPieces: 8, MaxHeld: 2, ChunkTokens: 1_000, IterationBase: 10 * time.Millisecond,
		PrefillPerToken: 10 * time.Microsecond, DecodePerToken: time.Millisecond, ChecksEpoch: true,
		RoleChangeTerm: 5 * time.Second, LoadLag: time.Second, CacheEventLag: time.Second, CacheEventGap: 3,
	}
}

func submit(ticket uint64, id string, prompt, tokens int) Submit {
	return Submit{Ticket: ticket, ID: id, Attempt: "1", Model: "m", PromptTokens: prompt, MaxTokens: tokens, Seed: 9}
}

// TestBatching guards against costs that do not depend on the work. Scheduling
// policies measured against such an engine would give meaningless results.
func TestBatching(t *testing.T) {
	b := newHarness(t, smallSettings())
	// Two prefill chunks of 20 ms each, then a token every 11 ms.
	b.apply(submit(1, "a", 2_000, 3))
	for _, c := range []struct {
		after  time.Duration
		tokens int
	}{{40, 0}, {11, 1}, {11, 2}, {10, 2}, {1, 3}} {
		b.advance(c.after * time.Millisecond)
		if got := b.tokens[1].Upto; got != c.tokens {
			t.Errorf("%d tokens at %s, want %d", got, b.at.Sub(time.Unix(1000, 0)), c.tokens)
		}
	}
	if last := b.tokens[1]; !last.Done || last.PromptTokens != 2_000 {
		t.Errorf("end: %+v", last)
	}
	// Two requests share an iteration of 12 ms.
	b.apply(submit(2, "b", 0, 10), submit(3, "c", 0, 10))
	b.advance(11 * time.Millisecond)
	b.advance(24 * time.Millisecond)
	if b.tokens[2].Upto != 3 || b.tokens[3].Upto != 2 {
		t.Errorf("shared batch: %d and %d tokens, want 3 and 2", b.tokens[2].Upto, b.tokens[3].Upto)
	}
}

// TestAdmission guards against a full engine that refuses a request after a
// part of it has run, against ignored priorities, and against a batch that
// exceeds the memory.
func TestAdmission(t *testing.T) {
	b := newHarness(t, smallSettings())
	low, high := submit(3, "c", 0, 1), submit(4, "d", 0, 1)
	low.Priority, high.Priority = 1, 5
	b.apply(submit(1, "a", 0, 4), submit(2, "b", 0, 4), low, high, submit(5, "e", 0, 1), submit(6, "f", 17_000, 1))
	if b.reason(5) != "Full" || b.responses[5].Status != http.StatusServiceUnavailable {
		t.Errorf("request to a full engine: %+v", b.responses[5])
	}
	if b.reason(6) != "TooLarge" {
		t.Errorf("request larger than the memory: %+v", b.responses[6])
	}
	b.advance(time.Second)
	// All but the first request arrived during its first iteration.
	if want := []uint64{4, 3, 1, 2}; !slices.Equal(b.finished, want) {
		t.Errorf("ended in order %v, want %v", b.finished, want)
	}
	b.apply(submit(7, "g", 12_000, 1), submit(8, "h", 12_000, 1))
	if b.s.batch.Len() != 1 || b.s.pinnedBlocks != 7 {
		t.Errorf("%d requests with %d blocks in the batch", b.s.batch.Len(), b.s.pinnedBlocks)
	}
	// The engine serves every model unless models are configured.
	oneModel := smallSettings()
	oneModel.Models = []string{"m"}
	b = newHarness(t, oneModel)
	other := submit(1, "a", 0, 1)
	other.Model = "n"
	b.apply(other)
	if b.reason(1) != "UnknownModel" {
		t.Errorf("model that is not loaded: %+v", b.responses[1])
	}
}

// TestCache guards against false hits in the prefix cache, missing evictions,
// and cache events that are immediate and complete, unlike those of real
// engines.
func TestCache(t *testing.T) {
	b := newHarness(t, smallSettings())
	ask := func(ticket uint64, prefixes ...uint64) int {
		e := submit(ticket, string(rune('a'+ticket)), len(prefixes)*BlockTokens+1, 1)
		e.Prefixes = prefixes
		b.apply(e)
		b.advance(10 * time.Second)
		return b.tokens[ticket].CachedTokens
	}
	for i, c := range []struct {
		prefixes []uint64
		cached   int
	}{
		{[]uint64{1, 2, 3}, 0},
		{[]uint64{1, 2, 4}, 4_000},
		{[]uint64{9, 2}, 0},
		// The request needs 5 of 8 blocks, so the oldest ones are evicted.
		{[]uint64{5, 6, 7, 8}, 0},
		{[]uint64{1, 2, 3}, 0},
	} {
		if got := ask(uint64(i+1), c.prefixes...); got != c.cached {
			t.Errorf("prompt %d: %d tokens cached, want %d", i, got, c.cached)
		}
	}
	if got := b.s.cache.blocks.Len(); got > 8 {
		t.Errorf("%d blocks in a memory of 8", got)
	}
	b.apply(Import{Ticket: 20, Prefix: 77}, Import{Ticket: 25, Prefix: 79}, Export{Ticket: 21, Prefix: 77}, Export{Ticket: 22, Prefix: 78})
	if b.responses[20].Status != 200 || b.responses[21].Body != (KVBody{Prefix: 77, Tokens: BlockTokens}) || b.reason(22) != "NotHeld" {
		t.Errorf("import and export: %+v", b.responses)
	}
	b.apply(ReadCacheEvents{Ticket: 23, Limit: 100})
	early := b.responses[23].Body.(CacheEventsBody)
	b.advance(time.Second)
	b.apply(ReadCacheEvents{Ticket: 24, Limit: 100})
	late := b.responses[24].Body.(CacheEventsBody)
	if len(late.Events) <= len(early.Events) {
		t.Errorf("%d events at once, %d after the lag", len(early.Events), len(late.Events))
	}
	for _, e := range late.Events {
		if e.Seq%3 == 0 {
			t.Errorf("event %d was not lost", e.Seq)
		}
	}
}

// TestResume guards against resumed streams that repeat or skip tokens, and
// against resuming a request whose tokens were dropped.
func TestResume(t *testing.T) {
	b := newHarness(t, smallSettings())
	b.apply(submit(1, "a", 0, 6), Disconnected{Ticket: 1})
	b.advance(22 * time.Millisecond)
	resume := func(ticket uint64, id string, offset int) Resume {
		return Resume{Ticket: ticket, ID: id, Attempt: "2", Seed: 9, Offset: offset}
	}
	other := resume(4, "a", 1)
	other.Seed = 8
	b.apply(resume(2, "a", 1), resume(3, "a", 5), other, resume(5, "z", 0))
	if got := b.tokens[2]; got.From != 1 || got.Upto != 2 {
		t.Errorf("resumed stream starts with %+v", got)
	}
	for _, ticket := range []uint64{3, 4, 5} {
		if b.reason(ticket) != "NotHeld" || b.responses[ticket].Status != http.StatusConflict {
			t.Errorf("ticket %d: %+v", ticket, b.responses[ticket])
		}
	}
	b.advance(time.Second)
	if got := b.tokens[2]; !got.Done || got.From != 1 || got.Upto != 6 {
		t.Errorf("resumed stream ends with %+v", got)
	}
	b.apply(resume(6, "a", 6))
	if got := b.tokens[6]; !got.Done || got.From != 6 || got.Upto != 6 {
		t.Errorf("resume at the end: %+v", got)
	}
	for i, id := range []string{"b", "c"} {
		b.apply(submit(uint64(10+i), id, 0, 1))
		b.advance(time.Second)
	}
	b.apply(resume(7, "a", 0))
	if b.reason(7) != "NotHeld" {
		t.Errorf("request evicted beyond MaxHeld: %+v", b.responses[7])
	}
	if b.s.requests.Len() != 2 || b.s.pinnedBlocks != 0 {
		t.Errorf("%d requests held, %d blocks pinned", b.s.requests.Len(), b.s.pinnedBlocks)
	}
	b.apply(submit(20, "x", 0, 50), Cancel{Ticket: 21, ID: "x"}, Cancel{Ticket: 22, ID: "x"})
	if !b.tokens[20].Cut || b.responses[21].Status != 200 || b.reason(22) != "NotHeld" || b.s.pinnedBlocks != 0 {
		t.Errorf("cancel: %+v, %+v, %+v", b.tokens[20], b.responses[21], b.responses[22])
	}
}

// TestOrders guards against an engine that checks epochs but still carries out
// an old order, and against orders missing from the history.
func TestOrders(t *testing.T) {
	role := func(r string) Intent { return Intent{Action: SetRole, Role: r} }
	load := Intent{Action: LoadModel, Model: "n"}
	steps := []struct {
		name       string
		epoch, seq uint64
		intent     Intent
		reason     string
		// unchecked reports whether an engine that does not check epochs
		// accepts it.
		unchecked bool
	}{
		{"first", 2, 1, load, "", true},
		{"repeat", 2, 1, load, "", true},
		{"same number, other intent", 2, 1, role(RoleDecode), "OldSeq", true},
		{"old epoch", 1, 2, role(RolePrefill), "OldEpoch", true},
		{"new epoch", 3, 2, role(RoleBoth), "", true},
		{"unknown action", 3, 3, Intent{Action: "Dance"}, "Malformed", false},
		{"unknown role", 3, 3, role("Cook"), "Malformed", false},
	}
	for _, checks := range []bool{true, false} {
		settings := smallSettings()
		settings.ChecksEpoch = checks
		b := newHarness(t, settings)
		for i, c := range steps {
			b.apply(Order{Ticket: uint64(i + 1), Epoch: c.epoch, Seq: c.seq, Intent: c.intent})
			want := c.reason
			if !checks && c.unchecked {
				want = ""
			}
			if got := b.reason(uint64(i + 1)); got != want {
				t.Errorf("checks %v, %s: reason %q, want %q", checks, c.name, got, want)
			}
		}
		b.apply(ReadOrders{Ticket: 99})
		if body := b.responses[99].Body.(OrdersBody); len(body.Received) != 4 || body.Last.Epoch != 3 {
			t.Errorf("checks %v: %+v", checks, body)
		}
	}
}

// TestRoleChange guards against a role change that costs nothing. It must make
// the engine unavailable and end the running requests.
func TestRoleChange(t *testing.T) {
	b := newHarness(t, smallSettings())
	b.apply(submit(1, "a", 0, 50), Order{Ticket: 2, Epoch: 1, Seq: 1, Intent: Intent{Action: SetRole, Role: RolePrefill}})
	b.apply(submit(3, "b", 0, 1))
	if !b.tokens[1].Cut || b.reason(3) != "RoleChanging" {
		t.Errorf("running %+v, new %+v", b.tokens[1], b.responses[3])
	}
	b.advance(5 * time.Second)
	b.apply(submit(4, "c", 0, 1))
	b.advance(10 * time.Millisecond)
	if b.tokens[4].Upto != 0 {
		t.Error("decode is as cheap as in the role Both")
	}
	b.advance(4 * time.Millisecond)
	if b.tokens[4].Upto != 1 {
		t.Error("decode is more than 4 times as expensive")
	}
}

// TestEngineFaults guards against faults without an effect, and against faults
// that affect other requests.
func TestEngineFaults(t *testing.T) {
	b := newHarness(t, smallSettings())
	b.apply(SetFaults{Faults{CutAfter: 2}}, submit(1, "a", 0, 5))
	b.advance(time.Second)
	if got := b.tokens[1]; !got.Cut || got.Upto != 2 {
		t.Errorf("cut: %+v", got)
	}
	for _, c := range []struct {
		faults Faults
		want   string
	}{{Faults{Cross: true}, "other-c/1"}, {Faults{Late: true}, "c/0"}, {Faults{}, ""}} {
		b.apply(SetFaults{c.faults}, submit(3, "c", 0, 1))
		b.advance(time.Second)
		if got := b.tokens[3].Foreign; got != c.want {
			t.Errorf("%+v: foreign event %q, want %q", c.faults, got, c.want)
		}
	}
	b.apply(SetFaults{Faults{Slow: 10}}, submit(4, "d", 0, 1))
	b.advance(100 * time.Millisecond)
	if b.tokens[4].Upto != 0 {
		t.Error("slow engine is as fast as before")
	}
	b.advance(time.Second)
	b.apply(SetFaults{Faults{CrashMarker: "boom", CrashTerm: time.Second}}, submit(5, "e", 0, 90))
	marked := submit(6, "f", 0, 1)
	marked.Prompt = "a boom here"
	b.apply(marked)
	b.advance(11 * time.Millisecond)
	if len(b.crashes) != 1 || !b.crashes[0].RestartAt.Equal(b.at.Add(time.Second)) || !b.tokens[5].Cut || !b.tokens[6].Cut {
		t.Errorf("crash: %v, %+v, %+v", b.crashes, b.tokens[5], b.tokens[6])
	}
	if b.s.batch.Len()+b.s.queue.Len()+b.s.requests.Len()+b.s.cache.blocks.Len() != 0 {
		t.Error("crashed engine holds requests")
	}
}

// TestLoadLag guards against a published load that is more recent than LoadLag
// allows.
func TestLoadLag(t *testing.T) {
	b := newHarness(t, smallSettings())
	running := func() int {
		b.apply(ReadLoad{Ticket: 1})
		return b.responses[1].Body.(LoadBody).Running
	}
	running()
	b.apply(submit(2, "a", 0, 500))
	if got := running(); got != 0 {
		t.Errorf("%d running before the load is sampled again", got)
	}
	b.advance(900 * time.Millisecond)
	if got := running(); got != 0 {
		t.Errorf("%d running before the lag", got)
	}
	b.advance(1200 * time.Millisecond)
	if got := running(); got != 1 {
		t.Errorf("%d running after twice the lag", got)
	}
}

// TestCatchUpLimit guards against an engine that delivers the backlog of a
// pause at once.
func TestCatchUpLimit(t *testing.T) {
	b := newHarness(t, smallSettings())
	b.apply(submit(1, "a", 0, 1_000))
	b.at = b.at.Add(10 * time.Second)
	b.apply(Tick{})
	if got := b.tokens[1].Upto; got > 1 {
		t.Errorf("%d tokens after a pause", got)
	}
}
