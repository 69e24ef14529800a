package claim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
	"caroblane/io/codec"
)

// rig applies events to one reducer and keeps what it produced last.
type rig struct {
	t       *testing.T
	state   State
	at      time.Time
	effects []effect.Effect
	raised  []event.Event
}

func newRig(t *testing.T, settings Settings) *rig {
	return &rig{t: t, state: New(settings, 7), at: time.Unix(1_800_000_000, 0)}
}

func (r *rig) apply(e event.Event) {
	next, out := r.state.Apply(step.Input[event.Event]{At: r.at, Event: e})
	r.state, r.effects, r.raised = next, out.Effects, out.Raised
}

func (r *rig) ask(ticket model.Ticket, key string) {
	r.apply(event.ClaimAsked{Ticket: ticket, RequestID: "r", Account: "a", IdempotencyKey: key})
}

// read answers the read in flight.
func (r *rig) read(version model.Version, entries ...model.ClaimEntry) {
	r.t.Helper()
	call, ok := r.only().(effect.ReadObject)
	if !ok {
		r.t.Fatalf("got %T, want a read", r.only())
	}
	object := model.Change{Version: version, Value: model.Claim{Entries: entries}}
	r.apply(event.ObjectRead{Op: call.Op, Found: version > 0, Object: object})
}

func (r *rig) write() (effect.WriteObject, model.Claim) {
	r.t.Helper()
	call, ok := r.only().(effect.WriteObject)
	if !ok {
		r.t.Fatalf("got %T, want a write", r.only())
	}
	return call, call.Value.(model.Claim)
}

func (r *rig) written(version model.Version) {
	r.t.Helper()
	call, _ := r.write()
	r.apply(event.ObjectWritten{Op: call.Op, Version: version})
}

func (r *rig) only() effect.Effect {
	r.t.Helper()
	if len(r.effects) != 1 {
		r.t.Fatalf("got effects %+v, want one", r.effects)
	}
	return r.effects[0]
}

func (r *rig) wantRaised(want ...event.Event) {
	r.t.Helper()
	if diff := cmp.Diff(want, r.raised); diff != "" {
		r.t.Errorf("raised events: %s", diff)
	}
}

func (r *rig) tick(after time.Duration) {
	r.at = r.at.Add(after)
	r.apply(event.Tick{})
}

// TestClaimAgainstEntry guards against a wrong answer for each state of an
// entry that another request left behind.
func TestClaimAgainstEntry(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	answer := model.Answer{Status: 201, Body: []byte("x"), Length: 1}
	entry := func(state model.ClaimState, age time.Duration) model.ClaimEntry {
		return model.ClaimEntry{Account: "a", Key: "k", Nonce: "other", State: state, WrittenAt: now.Add(-age)}
	}
	answered := entry(model.ClaimAnswered, time.Hour)
	answered.Answer = answer
	otherBody := answered
	otherBody.BodyHash = model.KeyHash{9}
	cases := map[string]struct {
		entry model.ClaimEntry
		want  event.Event
	}{
		"open":             {entry(model.ClaimOpen, time.Hour), event.ClaimRefused{Ticket: 1, Reason: model.EarlierOutcomeUnknown}},
		"unknown":          {entry(model.ClaimUnknown, time.Hour), event.ClaimRefused{Ticket: 1, Reason: model.EarlierOutcomeUnknown}},
		"answered":         {answered, event.ClaimRefused{Ticket: 1, Replay: true, Answer: answer}},
		"other body":       {otherBody, event.ClaimRefused{Ticket: 1, Reason: model.IdempotencyMismatch}},
		"not run":          {entry(model.ClaimNotRun, time.Hour), event.ClaimWon{Ticket: 1}},
		"kept for 24 h":    {entry(model.ClaimUnknown, 24*time.Hour), event.ClaimRefused{Ticket: 1, Reason: model.EarlierOutcomeUnknown}},
		"after retention":  {entry(model.ClaimUnknown, 26*time.Hour), event.ClaimWon{Ticket: 1}},
		"clock ahead by 1": {entry(model.ClaimOpen, -time.Hour), event.ClaimRefused{Ticket: 1, Reason: model.EarlierOutcomeUnknown}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, DefaultSettings())
			r.ask(1, "k")
			r.read(5, c.entry)
			if _, won := c.want.(event.ClaimWon); won {
				call, _ := r.write()
				if call.IfVersion != 5 {
					t.Errorf("condition %d, want 5", call.IfVersion)
				}
				r.written(6)
			}
			r.wantRaised(c.want)
		})
	}
}

// TestClaimsShareWrites guards against one write for each claim: everything
// that waits for a shard goes in the next write.
func TestClaimsShareWrites(t *testing.T) {
	r := newRig(t, DefaultSettings())
	var keys []string
	for i := 0; len(keys) < 4; i++ {
		if key := fmt.Sprint(i); shardOf("a", key) == shardOf("a", "0") {
			keys = append(keys, key)
		}
	}
	r.ask(1, keys[0])
	r.read(0)
	first := r.effects
	for i, key := range keys[1:] {
		r.ask(model.Ticket(i+2), key)
		if len(r.effects) > 0 {
			t.Fatalf("second call in flight: %+v", r.effects)
		}
	}
	r.effects = first
	r.written(1)
	r.wantRaised(event.ClaimWon{Ticket: 1})
	if _, value := r.write(); len(value.Entries) != 4 {
		t.Errorf("write has %d entries, want 4", len(value.Entries))
	}
	r.written(2)
	if len(r.raised) != 3 {
		t.Errorf("raised %+v, want three wins", r.raised)
	}
}

// TestOutage guards against requests that wait for ever while the store is
// down, and against a claim that is won after its refusal.
func TestOutage(t *testing.T) {
	r := newRig(t, DefaultSettings())
	r.ask(1, "k")
	r.read(0)
	write, _ := r.write()
	r.tick(DefaultSettings().ClaimTerm)
	r.wantRaised(event.ClaimRefused{Ticket: 1, Reason: model.ClaimUnavailable})
	r.apply(event.ObjectWritten{Op: write.Op, Version: 1})
	r.wantRaised()
	if _, value := r.write(); value.Entries[0].State != model.ClaimNotRun {
		t.Errorf("entry %+v, want it marked as not run", value.Entries[0])
	}
}

// TestRecord guards against a response that waits for the store without bound,
// and an outcome that is not retried.
func TestRecord(t *testing.T) {
	settings := DefaultSettings()
	won := func(t *testing.T) *rig {
		r := newRig(t, settings)
		r.ask(1, "k")
		r.read(0)
		r.written(1)
		return r
	}
	end := event.ClaimEnded{Ticket: 1, Known: true, Answer: model.Answer{Status: 200, Body: []byte("x")}}
	t.Run("recorded", func(t *testing.T) {
		r := won(t)
		r.apply(end)
		r.wantRaised()
		r.written(2)
		r.wantRaised(event.ClaimRecorded{Ticket: 1})
		if r.state.Pending() != 0 || !r.state.Next().IsZero() {
			t.Errorf("pending %d, next %v; want nothing left", r.state.Pending(), r.state.Next())
		}
	})
	t.Run("store down", func(t *testing.T) {
		r := won(t)
		r.apply(end)
		call, _ := r.write()
		r.apply(event.ObjectUnsent{Op: call.Op})
		r.tick(settings.RecordTerm)
		r.wantRaised(event.ClaimRecorded{Ticket: 1})
		if _, value := r.write(); value.Entries[0].State != model.ClaimAnswered {
			t.Errorf("entry %+v, want the outcome to be retried", value.Entries[0])
		}
		r.tick(settings.SettleTerm)
		if r.state.Pending() != 0 {
			t.Errorf("pending %d after the term, want 0", r.state.Pending())
		}
	})
	t.Run("long body", func(t *testing.T) {
		r := won(t)
		long := end
		long.Answer.Body = make([]byte, settings.MaxBody+1)
		r.apply(long)
		_, value := r.write()
		want := model.Answer{Status: 200, Length: settings.MaxBody + 1, Truncated: true}
		if diff := cmp.Diff(want, value.Entries[0].Answer); diff != "" {
			t.Error(diff)
		}
	})
}

// TestCaps guards against growth without bound.
func TestCaps(t *testing.T) {
	settings := DefaultSettings()
	settings.MaxWaiting = 1
	r := newRig(t, settings)
	r.ask(1, "k")
	r.ask(2, "l")
	r.wantRaised(event.ClaimRefused{Ticket: 2, Reason: model.ClaimUnavailable})
	r.ask(3, strings.Repeat("k", maxKeyLength+1))
	r.wantRaised(event.ClaimRefused{Ticket: 3, Reason: model.MalformedRequest})

	settings = DefaultSettings()
	settings.ClaimBytes = 1000
	r = newRig(t, settings)
	r.ask(1, "k")
	full := model.ClaimEntry{Account: "a", Key: strings.Repeat("z", 700), State: model.ClaimUnknown, WrittenAt: r.at}
	r.read(1, full)
	r.wantRaised(event.ClaimRefused{Ticket: 1, Reason: model.ClaimTableFull})

	settings = DefaultSettings()
	settings.CacheBytes = 2000
	r = newRig(t, settings)
	for i := range 20 {
		r.ask(model.Ticket(i), fmt.Sprint(i))
		if _, ok := r.only().(effect.ReadObject); ok {
			r.read(0)
		}
		r.written(model.Version(i + 1))
	}
	if r.state.cached > settings.CacheBytes {
		t.Errorf("copies hold %d bytes, cap is %d", r.state.cached, settings.CacheBytes)
	}
}

// TestSizeIsUpperBound guards against an object above the store's limit because
// its size was estimated too low.
func TestSizeIsUpperBound(t *testing.T) {
	settings := DefaultSettings()
	at := time.Unix(1_800_000_000, 123456789)
	texts := []string{"", "k", strings.Repeat("\x01<\"é\u2028\xff", 30), strings.Repeat("a", maxKeyLength)}
	for _, text := range texts {
		for state := model.ClaimOpen; state <= model.ClaimNotRun; state++ {
			e := model.ClaimEntry{Account: model.AccountName(text), Key: text, Nonce: text, State: state, WrittenAt: at}
			e.Answer = model.Answer{Status: 200, ContentType: text, Body: make([]byte, settings.MaxBody), Length: 1 << 40, Truncated: true}
			encoded, err := codec.EncodeRecord(model.KindClaim, model.Claim{Entries: []model.ClaimEntry{e}})
			if err != nil {
				t.Fatal(err)
			}
			if sizeOf(e) < len(encoded) {
				t.Errorf("text %q, state %s: estimate %d, size %d", text, state, sizeOf(e), len(encoded))
			}
		}
	}
}
