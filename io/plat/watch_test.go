package plat

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/fake/gate"
	"caroblane/fake/store"
	"caroblane/io/clock"
)

// fixedClock always returns the same time and records the waits.
type fixedClock struct {
	at    time.Time
	waits chan time.Duration
}

func (c fixedClock) Now() time.Time { return c.at }

func (c fixedClock) Wait(ctx context.Context, d time.Duration) error {
	select {
	case c.waits <- d:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TestCursor guards against some pages of a coalesced response that count as the
// complete configuration. An older withdrawal could be on a later page.
func TestCursor(t *testing.T) {
	sentAt := time.Unix(100, 0)
	object := func(name string, version model.Version) wireObject {
		return wireObject{Kind: "Model", Name: name, Version: version, Generation: 1, Value: json.RawMessage(`{"MaxTokens":1}`)}
	}
	at, _, complete := cursor{after: 3}.next(wirePage{
		Revision: 9, Next: 7, More: true, Coalesced: true, Objects: []wireObject{object("a", 7)},
	}, sentAt)
	if complete || at.after != 7 {
		t.Fatalf("partial page: complete %v, after %d", complete, at.after)
	}
	at, changed, complete := at.next(wirePage{
		Revision: 9, Next: 9, Objects: []wireObject{object("b", 9), {Kind: "Claim", Name: "1", Version: 8}},
	}, sentAt.Add(time.Second))
	if !complete || len(changed.Changes) != 2 || changed.Upto != 9 || !changed.FromStore ||
		!changed.SentAt.Equal(sentAt.Add(time.Second)) {
		t.Errorf("last page: %v %+v", complete, changed)
	}
	if _, again, _ := at.next(wirePage{Revision: 9, Next: 9}, sentAt); len(again.Changes) != 0 || again.Upto != 9 {
		t.Errorf("response without changes: %+v", again)
	}
}

// TestWatch guards against a write that is skipped, reordered or delivered with a
// wrong generation, and against claims that change the configuration version.
func TestWatch(t *testing.T) {
	s := startStore(t, store.NewState(store.DefaultLimits()))
	before := time.Now()
	client, b := startClient(t, DefaultSettings("http://"+s.Addr(), "node-1"))
	if first := await[event.ConfigChanged](t, b); first.Upto != 0 || !first.FromStore || first.SentAt.Before(before) {
		t.Errorf("response without changes: %+v", first)
	}
	write := func(e effect.WriteObject) {
		client.Execute(t.Context(), e)
	}
	write(putModel(0))
	var seen []model.Change
	next := func() event.ConfigChanged {
		changed := await[event.ConfigChanged](t, b)
		seen = append(seen, changed.Changes...)
		return changed
	}
	for len(seen) < 1 {
		next()
	}
	write(effect.WriteObject{Kind: model.KindClaim, Name: "1", Value: model.Claim{}})
	for s.Snapshot().Inner().Revision() < 2 {
		next()
	}
	if quiet := next(); quiet.Upto != 1 {
		t.Errorf("version is %d after a claim, want 1", quiet.Upto)
	}
	write(effect.WriteObject{Kind: model.KindModel, Name: "m/1", IfVersion: 1, Delete: true})
	for len(seen) < 2 {
		next()
	}
	for i, want := range []model.Change{
		{Kind: model.KindModel, Name: "m/1", Version: 1, Generation: 1, Value: model.Model{MaxTokens: 1}},
		{Kind: model.KindModel, Name: "m/1", Version: 3, Generation: 2, Deleted: true},
	} {
		if seen[i] != want {
			t.Errorf("change %d: got %+v, want %+v", i, seen[i], want)
		}
	}
}

// TestWatchAfterTruncation guards against a node that starts after the store has
// truncated its log and misses objects, and against one invalid object that
// prevents the others from being read.
func TestWatchAfterTruncation(t *testing.T) {
	limits := store.DefaultLimits()
	limits.LogWrites = 2
	state := store.NewState(limits).Seed(
		store.Object{Kind: "Model", Name: "a", Value: json.RawMessage(`{"MaxTokens":1}`)},
		store.Object{Kind: "Model", Name: "b", Value: json.RawMessage(`{"Wrong":1}`)},
		store.Object{Kind: "Model", Name: "c", Value: json.RawMessage(`{"MaxTokens":3}`)},
		store.Object{Kind: "Model", Name: "d", Value: json.RawMessage(`{"MaxTokens":4}`)},
	)
	s := startStore(t, state)
	_, b := startClient(t, DefaultSettings("http://"+s.Addr(), "node-1"))
	changed := await[event.ConfigChanged](t, b)
	if len(changed.Changes) != 4 || changed.Upto != 4 {
		t.Fatalf("got %+v", changed)
	}
	if changed.Changes[1].Fault == "" || changed.Changes[1].Value != nil || changed.Changes[3].Fault != "" {
		t.Errorf("got %+v", changed.Changes)
	}
}

// TestWatchFailures guards against a store outage that is not reported, or during
// which nodes retry without delay.
func TestWatchFailures(t *testing.T) {
	s := startStore(t, store.NewState(store.DefaultLimits()))
	if err := s.SetFaults(t.Context(), gate.Faults{Down: true}); err != nil {
		t.Fatal(err)
	}
	clock := fixedClock{at: time.Unix(1000, 0), waits: make(chan time.Duration)}
	settings := DefaultSettings("http://"+s.Addr(), "node-1")
	settings.LongPollTimeout = 0
	b := make(inbox, 64)
	c := New(settings, b, rand.New(rand.NewPCG(4, 4)), clock)
	done := make(chan struct{})
	runUntilCleanup(t, func(ctx context.Context) { defer close(done); c.watch(ctx) }, done)
	ceiling := settings.MinBackoff
	for i := range 10 {
		await[event.StoreFailed](t, b)
		delay := <-clock.waits
		if delay < settings.MinBackoff/2 || delay > settings.MinBackoff/2+ceiling {
			t.Errorf("delay %d is %s, want at most %s plus half the initial delay", i, delay, ceiling)
		}
		ceiling = min(2*ceiling, settings.MaxBackoff)
	}
	if err := s.SetFaults(t.Context(), gate.Faults{}); err != nil {
		t.Fatal(err)
	}
	go func() {
		for range clock.waits {
		}
	}()
	if changed := await[event.ConfigChanged](t, b); !changed.SentAt.Equal(clock.at) {
		t.Errorf("event with SentAt %s, want %s", changed.SentAt, clock.at)
	}
}

// TestLargePages guards against large objects that make every page exceed the size
// limit, so that nodes cannot read the configuration.
func TestLargePages(t *testing.T) {
	state := store.NewState(store.DefaultLimits())
	for i := range 20 {
		state = state.Seed(store.Object{
			Kind: "Model", Name: fmt.Sprint(i), Value: json.RawMessage(`{"MaxTokens":1}`), Nonce: strings.Repeat("n", 1000),
		})
	}
	s := startStore(t, state)
	b := make(inbox, 8)
	c := New(DefaultSettings("http://"+s.Addr(), "n"), b, rand.New(rand.NewPCG(5, 5)), clock.System())
	c.api.maxBytes = 4_000
	done := make(chan struct{})
	runUntilCleanup(t, func(ctx context.Context) { defer close(done); c.watch(ctx) }, done)
	if changed := await[event.ConfigChanged](t, b); len(changed.Changes) != 20 || changed.Upto != 20 {
		t.Errorf("%d changes up to %d", len(changed.Changes), changed.Upto)
	}
}

// TestRevisionRegression guards against counting the response of a store that has
// lost writes, or of another server, as contact with the store.
func TestRevisionRegression(t *testing.T) {
	s := startStore(t, store.NewState(store.DefaultLimits()))
	c, _ := startClient(t, DefaultSettings("http://"+s.Addr(), "n"))
	if page, err := c.fetchPage(t.Context(), 5, pageLimit, time.Now()); !errorx.IsOfType(err, Lost) {
		t.Errorf("got %+v, %v", page, err)
	}
}

// TestVMs guards against a VM list with an invalid entry that is used partially.
// The omitted VM would count as stopped.
func TestVMs(t *testing.T) {
	at := time.Unix(5, 0)
	for name, c := range map[string]struct {
		data string
		want []string
	}{
		"two":           {`{"Vms":[{"Address":"10.0.0.1"},{"Address":"::1","Leaving":true}]}`, []string{"10.0.0.1", "::1"}},
		"none":          {`{"Vms":[]}`, nil},
		"no list":       {`{}`, nil},
		"null":          {`null`, nil},
		"unreadable":    {`{"Vms":[{"Address":"10.0.0.1"},{"Address":"vm-2"}]}`, nil},
		"not an object": {`[]`, nil},
	} {
		got, err := decodeVMs([]byte(c.data), at)
		if failed := name != "two" && name != "none"; failed != (err != nil) {
			t.Errorf("%s: error %v", name, err)
			continue
		}
		if len(got.Addresses) != len(c.want) {
			t.Errorf("%s: got %v, want %v", name, got.Addresses, c.want)
		}
	}
	limits := store.DefaultLimits()
	limits.VMLag = 0
	s := startStore(t, store.NewState(limits))
	if err := s.Direct(t.Context(), store.SetVMs{VMs: []store.VM{{Name: "n1", Address: "127.0.0.1"}}}); err != nil {
		t.Fatal(err)
	}
	_, b := startClient(t, DefaultSettings("http://"+s.Addr(), "n"))
	if got := await[event.VMsListed](t, b); len(got.Addresses) != 1 || got.SentAt.IsZero() {
		t.Errorf("got %+v", got)
	}
}

// TestLeaseCalls guards against an order under an old epoch that takes effect, and
// against errors that do not tell whether an order may have taken effect.
func TestLeaseCalls(t *testing.T) {
	limits := store.DefaultLimits()
	limits.WeightsPerSecond = 1e-9
	s := startStore(t, store.NewState(limits))
	c, _ := startClient(t, DefaultSettings("http://"+s.Addr(), "n"))
	deadline := time.Now().Add(eventTimeout)
	provision := func(id string, epoch model.Epoch, change int) error {
		return c.Provision(t.Context(), id, "control.r", epoch, model.ProvisionIntent{Zone: "z", Change: change}, deadline)
	}
	usage := model.Usage{Window: 3, Epoch: 1, Lines: []model.UsageLine{{Account: "a", Requests: 2}}}
	for _, step := range []struct {
		name string
		call func() error
		want *errorx.Type
	}{
		{"first order", func() error { return provision("p1", 2, 1) }, nil},
		{"repeat by the successor", func() error { return provision("p1", 3, 1) }, nil},
		{"old epoch", func() error { return provision("p2", 2, 1) }, Conflict},
		{"repeat with an old epoch", func() error { return provision("p1", 2, 1) }, Conflict},
		{"other order with the same identifier", func() error { return provision("p1", 3, 2) }, Conflict},
		{"usage", func() error { return c.ReportUsage(t.Context(), "control.r", usage, deadline) }, nil},
		{"weights", func() error { _, err := c.Weights(t.Context(), "m", deadline); return err }, nil},
		{"weights over the rate", func() error { _, err := c.Weights(t.Context(), "m", deadline); return err }, Refused},
		{"deadline passed", func() error { return c.ReportUsage(t.Context(), "control.r", usage, c.clock.Now()) }, Unsent},
		{"response lost", func() error {
			if err := s.SetFaults(t.Context(), gate.Faults{LoseAnswers: 1}); err != nil {
				t.Fatal(err)
			}
			return provision("p3", 4, 1)
		}, Lost},
	} {
		err := step.call()
		if step.want == nil && err != nil || step.want != nil && !errorx.IsOfType(err, step.want) {
			t.Errorf("%s: got %v, want %v", step.name, err, step.want)
		}
	}
	state := s.Snapshot().Inner()
	if n := len(state.Provisions()); n != 2 {
		t.Errorf("%d provisions, want 2", n)
	}
	if reports := state.Reports(); len(reports) != 1 || reports[0].Window != "3" {
		t.Errorf("reports %+v", reports)
	}
}
