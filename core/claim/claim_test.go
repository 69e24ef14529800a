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

// harness applies events to one component and keeps the output of the last one.
type harness struct {
	t       *testing.T
	state   State
	at      time.Time
	effects []effect.Effect
	raised  []event.Event
}

func newHarness(t *testing.T, settings Settings) *harness {
	return &harness{t: t, state: New(settings, 7), at: time.Unix(1_800_000_000, 0)}
}

func (r *harness) apply(e event.Event) {
	next, out := r.state.Apply(step.Input[event.Event]{At: r.at, Event: e})
	r.state, r.effects, r.raised = next, out.Effects, out.Raised
}

func (r *harness) askClaim(ticket model.Ticket, key string) {
	r.apply(event.ClaimAsked{Ticket: ticket, RequestID: "r", Account: "a", IdempotencyKey: key})
}

// answerRead responds to the read in flight.
func (r *harness) answerRead(version model.Version, entries ...model.ClaimEntry) {
	r.t.Helper()
	call, ok := r.onlyEffect().(effect.ReadObject)
	if !ok {
		r.t.Fatalf("got effect %T, want a read", r.onlyEffect())
	}
	object := model.Change{Version: version, Value: model.Claim{Entries: entries}}
	r.apply(event.ObjectRead{Op: call.Op, Found: version > 0, Object: object})
}

func (r *harness) pendingWrite() (effect.WriteObject, model.Claim) {
	r.t.Helper()
	call, ok := r.onlyEffect().(effect.WriteObject)
	if !ok {
		r.t.Fatalf("got effect %T, want a write", r.onlyEffect())
	}
	return call, call.Value.(model.Claim)
}

func (r *harness) answerWrite(version model.Version) {
	r.t.Helper()
	call, _ := r.pendingWrite()
	r.apply(event.ObjectWritten{Op: call.Op, Version: version})
}

func (r *harness) onlyEffect() effect.Effect {
	r.t.Helper()
	if len(r.effects) != 1 {
		r.t.Fatalf("got effects %+v, want one", r.effects)
	}
	return r.effects[0]
}

func (r *harness) wantRaised(want ...event.Event) {
	r.t.Helper()
	if diff := cmp.Diff(want, r.raised); diff != "" {
		r.t.Errorf("raised events: %s", diff)
	}
}

func (r *harness) tick(after time.Duration) {
	r.at = r.at.Add(after)
	r.apply(event.Tick{})
}

// TestClaimAgainstEntry guards against a wrong response to a claim for each state
// of an entry that another request has written.
func TestClaimAgainstEntry(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	answer := model.Response{Status: 201, Body: []byte("x"), Length: 1}
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
		"open":            {entry(model.ClaimOpen, time.Hour), event.ClaimRefused{Ticket: 1, Reason: model.EarlierOutcomeUnknown}},
		"unknown":         {entry(model.ClaimUnknown, time.Hour), event.ClaimRefused{Ticket: 1, Reason: model.EarlierOutcomeUnknown}},
		"answered":        {answered, event.ClaimRefused{Ticket: 1, Replay: true, Response: answer}},
		"other body":      {otherBody, event.ClaimRefused{Ticket: 1, Reason: model.IdempotencyMismatch}},
		"not run":         {entry(model.ClaimNotRun, time.Hour), event.ClaimWon{Ticket: 1}},
		"kept for 24 h":   {entry(model.ClaimUnknown, 24*time.Hour), event.ClaimRefused{Ticket: 1, Reason: model.EarlierOutcomeUnknown}},
		"after retention": {entry(model.ClaimUnknown, 26*time.Hour), event.ClaimWon{Ticket: 1}},
		"clock 1 h ahead": {entry(model.ClaimOpen, -time.Hour), event.ClaimRefused{Ticket: 1, Reason: model.EarlierOutcomeUnknown}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, DefaultSettings())
			r.askClaim(1, "k")
			r.answerRead(5, c.entry)
			if _, won := c.want.(event.ClaimWon); won {
				call, _ := r.pendingWrite()
				if call.IfVersion != 5 {
					t.Errorf("write is conditional on version %d, want 5", call.IfVersion)
				}
				r.answerWrite(6)
			}
			r.wantRaised(c.want)
		})
	}
}

// TestClaimsShareWrites guards against a separate write for each claim. All
// pending jobs of a shard must be included in the next write.
func TestClaimsShareWrites(t *testing.T) {
	r := newHarness(t, DefaultSettings())
	var keys []string
	for i := 0; len(keys) < 4; i++ {
		if key := fmt.Sprint(i); shardOf("a", key) == shardOf("a", "0") {
			keys = append(keys, key)
		}
	}
	r.askClaim(1, keys[0])
	r.answerRead(0)
	first := r.effects
	for i, key := range keys[1:] {
		r.askClaim(model.Ticket(i+2), key)
		if len(r.effects) > 0 {
			t.Fatalf("got a second call while one is in flight: %+v", r.effects)
		}
	}
	r.effects = first
	r.answerWrite(1)
	r.wantRaised(event.ClaimWon{Ticket: 1})
	if _, value := r.pendingWrite(); len(value.Entries) != 4 {
		t.Errorf("write has %d entries, want 4", len(value.Entries))
	}
	r.answerWrite(2)
	if len(r.raised) != 3 {
		t.Errorf("raised %+v, want three ClaimWon events", r.raised)
	}
}

// TestOutage guards against requests that wait forever while the store is
// unavailable, and against a claim that is won after it was refused.
func TestOutage(t *testing.T) {
	r := newHarness(t, DefaultSettings())
	r.askClaim(1, "k")
	r.answerRead(0)
	write, _ := r.pendingWrite()
	r.tick(DefaultSettings().ClaimTimeout)
	r.wantRaised(event.ClaimRefused{Ticket: 1, Reason: model.ClaimUnavailable})
	r.apply(event.ObjectWritten{Op: write.Op, Version: 1})
	r.wantRaised()
	if _, value := r.pendingWrite(); value.Entries[0].State != model.ClaimNotRun {
		t.Errorf("entry %+v, want state ClaimNotRun", value.Entries[0])
	}
}

// TestRecord guards against a response that waits for the store without a limit,
// and against an outcome whose write is not retried.
func TestRecord(t *testing.T) {
	settings := DefaultSettings()
	won := func(t *testing.T) *harness {
		r := newHarness(t, settings)
		r.askClaim(1, "k")
		r.answerRead(0)
		r.answerWrite(1)
		return r
	}
	end := event.ClaimEnded{Ticket: 1, Known: true, Response: model.Response{Status: 200, Body: []byte("x")}}
	t.Run("recorded", func(t *testing.T) {
		r := won(t)
		r.apply(end)
		r.wantRaised()
		r.answerWrite(2)
		r.wantRaised(event.ClaimRecorded{Ticket: 1})
		if r.state.Pending() != 0 || !r.state.Next().IsZero() {
			t.Errorf("pending %d, next %v; want no pending changes and no timer", r.state.Pending(), r.state.Next())
		}
	})
	t.Run("store down", func(t *testing.T) {
		r := won(t)
		r.apply(end)
		call, _ := r.pendingWrite()
		r.apply(event.ObjectUnsent{Op: call.Op})
		r.tick(settings.RecordTimeout)
		r.wantRaised(event.ClaimRecorded{Ticket: 1})
		if _, value := r.pendingWrite(); value.Entries[0].State != model.ClaimAnswered {
			t.Errorf("entry %+v, want a retry of the outcome", value.Entries[0])
		}
		r.tick(settings.BackgroundTimeout)
		if r.state.Pending() != 0 {
			t.Errorf("pending %d after the timeout, want 0", r.state.Pending())
		}
	})
	t.Run("long body", func(t *testing.T) {
		r := won(t)
		long := end
		long.Response.Body = make([]byte, settings.MaxBody+1)
		r.apply(long)
		_, value := r.pendingWrite()
		want := model.Response{Status: 200, Length: settings.MaxBody + 1, Truncated: true}
		if diff := cmp.Diff(want, value.Entries[0].Answer); diff != "" {
			t.Error(diff)
		}
	})
}

// TestCaps guards against unbounded numbers of waiting requests, key lengths,
// object sizes and cache sizes.
func TestCaps(t *testing.T) {
	settings := DefaultSettings()
	settings.MaxPendingClaims = 1
	r := newHarness(t, settings)
	r.askClaim(1, "k")
	r.askClaim(2, "l")
	r.wantRaised(event.ClaimRefused{Ticket: 2, Reason: model.ClaimUnavailable})
	r.askClaim(3, strings.Repeat("k", maxKeyLength+1))
	r.wantRaised(event.ClaimRefused{Ticket: 3, Reason: model.MalformedRequest})

	settings = DefaultSettings()
	settings.ClaimSizeLimit = 1000
	r = newHarness(t, settings)
	r.askClaim(1, "k")
	full := model.ClaimEntry{Account: "a", Key: strings.Repeat("z", 700), State: model.ClaimUnknown, WrittenAt: r.at}
	r.answerRead(1, full)
	r.wantRaised(event.ClaimRefused{Ticket: 1, Reason: model.ClaimTableFull})

	settings = DefaultSettings()
	settings.CacheSizeLimit = 2000
	r = newHarness(t, settings)
	for i := range 20 {
		r.askClaim(model.Ticket(i), fmt.Sprint(i))
		if _, ok := r.onlyEffect().(effect.ReadObject); ok {
			r.answerRead(0)
		}
		r.answerWrite(model.Version(i + 1))
	}
	if r.state.cachedBytes > settings.CacheSizeLimit {
		t.Errorf("cached copies have %d bytes, limit is %d", r.state.cachedBytes, settings.CacheSizeLimit)
	}
}

// TestSizeIsUpperBound guards against an object that exceeds the store's size
// limit because its size was underestimated.
func TestSizeIsUpperBound(t *testing.T) {
	settings := DefaultSettings()
	at := time.Unix(1_800_000_000, 123456789)
	texts := []string{"", "k", strings.Repeat("\x01<\"é\u2028\xff", 30), strings.Repeat("a", maxKeyLength)}
	for _, text := range texts {
		for state := model.ClaimOpen; state <= model.ClaimNotRun; state++ {
			e := model.ClaimEntry{Account: model.AccountName(text), Key: text, Nonce: text, State: state, WrittenAt: at}
			e.Answer = model.Response{Status: 200, ContentType: text, Body: make([]byte, settings.MaxBody), Length: 1 << 40, Truncated: true}
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
