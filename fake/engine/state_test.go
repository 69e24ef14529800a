package engine

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"caroblane/core/step"
)

// bench drives an engine's machine with a clock of its own.
type bench struct {
	t  *testing.T
	s  State
	at time.Time
	// made holds the last Tokens of each ticket, order the tickets as they
	// ended, and answers the last answer of each ticket.
	made    map[uint64]Tokens
	order   []uint64
	answers map[uint64]Answer
	crashes []Crash
}

func newBench(t *testing.T, settings Settings) *bench {
	return &bench{
		t: t, s: NewState(settings), at: time.Unix(1000, 0),
		made: map[uint64]Tokens{}, answers: map[uint64]Answer{},
	}
}

func (b *bench) apply(events ...Event) {
	for _, e := range events {
		var out []Effect
		b.s, out = b.s.Apply(step.Input[Event]{At: b.at, Event: e})
		for _, effect := range out {
			switch f := effect.(type) {
			case Tokens:
				b.made[f.Ticket] = f
				if f.Last() {
					b.order = append(b.order, f.Ticket)
				}
			case Answer:
				b.answers[f.Ticket] = f
			case Crash:
				b.crashes = append(b.crashes, f)
			}
		}
	}
}

// run lets the timer events of a time span happen.
func (b *bench) run(d time.Duration) {
	end := b.at.Add(d)
	for next := b.s.Next(); !next.IsZero() && !next.After(end); next = b.s.Next() {
		b.at = next
		b.apply(Tick{})
	}
	b.at = end
	b.apply(Tick{})
}

// reason returns the reason of a refusal, which must state that nothing ran.
func (b *bench) reason(ticket uint64) string {
	b.t.Helper()
	a, ok := b.answers[ticket]
	if !ok || a.Fault == nil {
		return ""
	}
	if a.Fault.Execution != "NotRun" {
		b.t.Errorf("ticket %d: refusal has execution %q", ticket, a.Fault.Execution)
	}
	return a.Fault.Reason
}

func small() Settings {
	return Settings{
		Slots: 2, MaxQueued: 2, MemoryPieces: 8, MaxHeld: 2, ChunkTokens: 1_000, IterationBase: 10 * time.Millisecond,
		PrefillPerToken: 10 * time.Microsecond, DecodePerToken: time.Millisecond, ChecksEpoch: true,
		RoleChangeTerm: 5 * time.Second, LoadLag: time.Second, CacheEventLag: time.Second, CacheEventGap: 3,
	}
}

func submit(ticket uint64, id string, prompt, tokens int) Submit {
	return Submit{Ticket: ticket, ID: id, Attempt: "1", Model: "m", PromptTokens: prompt, MaxTokens: tokens, Seed: 9}
}

// TestBatching guards against costs that do not depend on the work: schedules
// measured against the stand-in would mean nothing.
func TestBatching(t *testing.T) {
	b := newBench(t, small())
	// Two chunks of prefill of 20 ms, then a token each 11 ms.
	b.apply(submit(1, "a", 2_000, 3))
	for _, c := range []struct {
		after time.Duration
		made  int
	}{{40, 0}, {11, 1}, {11, 2}, {10, 2}, {1, 3}} {
		b.run(c.after * time.Millisecond)
		if got := b.made[1].Upto; got != c.made {
			t.Errorf("%d tokens at %s, want %d", got, b.at.Sub(time.Unix(1000, 0)), c.made)
		}
	}
	if last := b.made[1]; !last.Done || last.PromptTokens != 2_000 {
		t.Errorf("end: %+v", last)
	}
	// Two requests share an iteration of 12 ms.
	b.apply(submit(2, "b", 0, 10), submit(3, "c", 0, 10))
	b.run(11 * time.Millisecond)
	b.run(24 * time.Millisecond)
	if b.made[2].Upto != 3 || b.made[3].Upto != 2 {
		t.Errorf("shared batch: %d and %d tokens, want 3 and 2", b.made[2].Upto, b.made[3].Upto)
	}
}

// TestAdmission guards against a full engine that refuses after it has run a
// part, against lost priorities, and against a batch above the memory.
func TestAdmission(t *testing.T) {
	b := newBench(t, small())
	low, high := submit(3, "c", 0, 1), submit(4, "d", 0, 1)
	low.Priority, high.Priority = 1, 5
	b.apply(submit(1, "a", 0, 4), submit(2, "b", 0, 4), low, high, submit(5, "e", 0, 1), submit(6, "f", 17_000, 1))
	if b.reason(5) != "Full" || b.answers[5].Status != http.StatusServiceUnavailable {
		t.Errorf("fifth request: %+v", b.answers[5])
	}
	if b.reason(6) != "TooLarge" {
		t.Errorf("request over the memory: %+v", b.answers[6])
	}
	b.run(time.Second)
	// All but the first arrived during its first iteration.
	if want := []uint64{4, 3, 1, 2}; !slices.Equal(b.order, want) {
		t.Errorf("ended in order %v, want %v", b.order, want)
	}
	b.apply(submit(7, "g", 12_000, 1), submit(8, "h", 12_000, 1))
	if b.s.batch.Len() != 1 || b.s.pinned != 7 {
		t.Errorf("%d requests with %d pieces in the batch", b.s.batch.Len(), b.s.pinned)
	}
	// The engine serves every model unless it was given a list.
	some := small()
	some.Models = []string{"m"}
	b = newBench(t, some)
	other := submit(1, "a", 0, 1)
	other.Model = "n"
	b.apply(other)
	if b.reason(1) != "UnknownModel" {
		t.Errorf("model that is not loaded: %+v", b.answers[1])
	}
}

// TestCache guards against a prefix cache that hits too much or never evicts,
// and against cache events that are prompt and complete, unlike real ones.
func TestCache(t *testing.T) {
	b := newBench(t, small())
	ask := func(ticket uint64, prefixes ...uint64) int {
		e := submit(ticket, string(rune('a'+ticket)), len(prefixes)*PieceTokens+1, 1)
		e.Prefixes = prefixes
		b.apply(e)
		b.run(10 * time.Second)
		return b.made[ticket].CachedTokens
	}
	for i, c := range []struct {
		prefixes []uint64
		cached   int
	}{
		{[]uint64{1, 2, 3}, 0},
		{[]uint64{1, 2, 4}, 4_000},
		{[]uint64{9, 2}, 0},
		// The batch needs 5 of 8 pieces, so that the oldest ones leave.
		{[]uint64{5, 6, 7, 8}, 0},
		{[]uint64{1, 2, 3}, 0},
	} {
		if got := ask(uint64(i+1), c.prefixes...); got != c.cached {
			t.Errorf("prompt %d: %d tokens cached, want %d", i, got, c.cached)
		}
	}
	if got := b.s.cache.pieces.Len(); got > 8 {
		t.Errorf("%d pieces in a memory of 8", got)
	}
	b.apply(Import{Ticket: 20, Prefix: 77}, Import{Ticket: 25, Prefix: 79}, Export{Ticket: 21, Prefix: 77}, Export{Ticket: 22, Prefix: 78})
	if b.answers[20].Status != 200 || b.answers[21].Body != (KVBody{Prefix: 77, Tokens: PieceTokens}) || b.reason(22) != "NotHeld" {
		t.Errorf("import and export: %+v", b.answers)
	}
	b.apply(ReadCacheEvents{Ticket: 23, Limit: 100})
	early := b.answers[23].Body.(CacheEventsBody)
	b.run(time.Second)
	b.apply(ReadCacheEvents{Ticket: 24, Limit: 100})
	late := b.answers[24].Body.(CacheEventsBody)
	if len(late.Events) <= len(early.Events) {
		t.Errorf("%d events at once, %d after the lag", len(early.Events), len(late.Events))
	}
	for _, e := range late.Events {
		if e.Seq%3 == 0 {
			t.Errorf("event %d was not lost", e.Seq)
		}
	}
}

// TestResume guards against a resumed stream that repeats or skips tokens, and
// against the claim to hold tokens that were dropped.
func TestResume(t *testing.T) {
	b := newBench(t, small())
	b.apply(submit(1, "a", 0, 6), Gone{Ticket: 1})
	b.run(22 * time.Millisecond)
	resume := func(ticket uint64, id string, offset int) Resume {
		return Resume{Ticket: ticket, ID: id, Attempt: "2", Seed: 9, Offset: offset}
	}
	other := resume(4, "a", 1)
	other.Seed = 8
	b.apply(resume(2, "a", 1), resume(3, "a", 5), other, resume(5, "z", 0))
	if got := b.made[2]; got.From != 1 || got.Upto != 2 {
		t.Errorf("resumed stream starts with %+v", got)
	}
	for _, ticket := range []uint64{3, 4, 5} {
		if b.reason(ticket) != "NotHeld" || b.answers[ticket].Status != http.StatusConflict {
			t.Errorf("ticket %d: %+v", ticket, b.answers[ticket])
		}
	}
	b.run(time.Second)
	if got := b.made[2]; !got.Done || got.From != 1 || got.Upto != 6 {
		t.Errorf("resumed stream ends with %+v", got)
	}
	b.apply(resume(6, "a", 6))
	if got := b.made[6]; !got.Done || got.From != 6 || got.Upto != 6 {
		t.Errorf("resume at the end: %+v", got)
	}
	for i, id := range []string{"b", "c"} {
		b.apply(submit(uint64(10+i), id, 0, 1))
		b.run(time.Second)
	}
	b.apply(resume(7, "a", 0))
	if b.reason(7) != "NotHeld" {
		t.Errorf("request over the bound of held ones: %+v", b.answers[7])
	}
	if b.s.runs.Len() != 2 || b.s.pinned != 0 {
		t.Errorf("%d requests held, %d pieces pinned", b.s.runs.Len(), b.s.pinned)
	}
	b.apply(submit(20, "x", 0, 50), Cancel{Ticket: 21, ID: "x"}, Cancel{Ticket: 22, ID: "x"})
	if !b.made[20].Cut || b.answers[21].Status != 200 || b.reason(22) != "NotHeld" || b.s.pinned != 0 {
		t.Errorf("cancel: %+v, %+v, %+v", b.made[20], b.answers[21], b.answers[22])
	}
}

// TestOrders guards against an engine that checks epochs and still carries out
// an old order, or forgets that it received one.
func TestOrders(t *testing.T) {
	role := func(r string) Intent { return Intent{Action: SetRole, Role: r} }
	load := Intent{Action: LoadModel, Model: "n"}
	steps := []struct {
		name       string
		epoch, seq uint64
		intent     Intent
		reason     string
		// unchecked tells whether an engine that does not check obeys.
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
		settings := small()
		settings.ChecksEpoch = checks
		b := newBench(t, settings)
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
		if body := b.answers[99].Body.(OrdersBody); len(body.Received) != 4 || body.Last.Epoch != 3 {
			t.Errorf("checks %v: %+v", checks, body)
		}
	}
}

// TestRoleChange guards against a role change that costs nothing: it takes the
// engine away and ends what runs.
func TestRoleChange(t *testing.T) {
	b := newBench(t, small())
	b.apply(submit(1, "a", 0, 50), Order{Ticket: 2, Epoch: 1, Seq: 1, Intent: Intent{Action: SetRole, Role: RolePrefill}})
	b.apply(submit(3, "b", 0, 1))
	if !b.made[1].Cut || b.reason(3) != "RoleChanging" {
		t.Errorf("running %+v, new %+v", b.made[1], b.answers[3])
	}
	b.run(5 * time.Second)
	b.apply(submit(4, "c", 0, 1))
	b.run(10 * time.Millisecond)
	if b.made[4].Upto != 0 {
		t.Error("decode is as cheap as in the role Both")
	}
	b.run(4 * time.Millisecond)
	if b.made[4].Upto != 1 {
		t.Error("decode is more than 4 times as expensive")
	}
}

// TestOwnFaults guards against faults that do not happen, or happen to requests
// that they do not concern.
func TestOwnFaults(t *testing.T) {
	b := newBench(t, small())
	b.apply(SetFaults{Faults{CutAfter: 2}}, submit(1, "a", 0, 5))
	b.run(time.Second)
	if got := b.made[1]; !got.Cut || got.Upto != 2 {
		t.Errorf("cut: %+v", got)
	}
	for _, c := range []struct {
		faults Faults
		want   string
	}{{Faults{Cross: true}, "other-c/1"}, {Faults{Late: true}, "c/0"}, {Faults{}, ""}} {
		b.apply(SetFaults{c.faults}, submit(3, "c", 0, 1))
		b.run(time.Second)
		if got := b.made[3].Foreign; got != c.want {
			t.Errorf("%+v: foreign event %q, want %q", c.faults, got, c.want)
		}
	}
	b.apply(SetFaults{Faults{Slow: 10}}, submit(4, "d", 0, 1))
	b.run(100 * time.Millisecond)
	if b.made[4].Upto != 0 {
		t.Error("slow engine is as fast as before")
	}
	b.run(time.Second)
	b.apply(SetFaults{Faults{CrashMarker: "boom", CrashTerm: time.Second}}, submit(5, "e", 0, 90))
	marked := submit(6, "f", 0, 1)
	marked.Prompt = "a boom here"
	b.apply(marked)
	b.run(11 * time.Millisecond)
	if len(b.crashes) != 1 || !b.crashes[0].RestartAt.Equal(b.at.Add(time.Second)) || !b.made[5].Cut || !b.made[6].Cut {
		t.Errorf("crash: %v, %+v, %+v", b.crashes, b.made[5], b.made[6])
	}
	if b.s.batch.Len()+b.s.queue.Len()+b.s.runs.Len()+b.s.cache.pieces.Len() != 0 {
		t.Error("crashed engine holds requests")
	}
}

// TestLoadLag guards against a load figure that is fresher than an engine's.
func TestLoadLag(t *testing.T) {
	b := newBench(t, small())
	running := func() int {
		b.apply(ReadLoad{Ticket: 1})
		return b.answers[1].Body.(LoadBody).Running
	}
	running()
	b.apply(submit(2, "a", 0, 500))
	if got := running(); got != 0 {
		t.Errorf("%d running at once", got)
	}
	b.run(900 * time.Millisecond)
	if got := running(); got != 0 {
		t.Errorf("%d running before the lag", got)
	}
	b.run(1200 * time.Millisecond)
	if got := running(); got != 1 {
		t.Errorf("%d running after twice the lag", got)
	}
}

// TestPausedEngine guards against a backlog that an engine delivers at once
// after it was not driven.
func TestPausedEngine(t *testing.T) {
	b := newBench(t, small())
	b.apply(submit(1, "a", 0, 1_000))
	b.at = b.at.Add(10 * time.Second)
	b.apply(Tick{})
	if got := b.made[1].Upto; got > 1 {
		t.Errorf("%d tokens after a pause", got)
	}
}
