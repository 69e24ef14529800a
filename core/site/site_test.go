package site_test

import (
	"testing"
	"time"

	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/site"
	"caroblane/core/step"
)

var start = time.Unix(1_800_000_000, 0)

func timeAt(d time.Duration) time.Time { return start.Add(d) }

func applyRead(s site.State, sent time.Duration, revision model.Version, newConfig bool) site.State {
	e := event.SiteRead{SentAt: timeAt(sent), Revision: revision}
	if newConfig {
		e.Site = &model.Site{Revision: revision, Number: int64(revision)}
	}
	s, _ = s.Apply(step.Input[event.Event]{At: timeAt(sent + 5*time.Millisecond), Event: e})
	return s
}

// TestFresh guards against a withdrawn key that still starts requests after the
// revocation delay, and against an older configuration that replaces a newer
// one.
func TestFresh(t *testing.T) {
	s := site.New(model.Bounds{RevocationDelay: 5 * time.Second})
	if s.Fresh(timeAt(0)) || s.HasConfig() || s.Ready(timeAt(0)) {
		t.Fatal("a node without a configuration is fresh, has a configuration or is ready")
	}
	s = applyRead(s, 0, 7, true)
	for name, c := range map[string]struct {
		after        time.Duration
		fresh, ready bool
	}{
		"at once":              {10 * time.Millisecond, true, true},
		"before the limit":     {4900 * time.Millisecond, true, false},
		"at the limit":         {5 * time.Second, false, false},
		"long after":           {time.Hour, false, false},
		"readiness ends early": {2600 * time.Millisecond, true, false},
	} {
		if s.Fresh(timeAt(c.after)) != c.fresh || s.Ready(timeAt(c.after)) != c.ready {
			t.Errorf("%s: fresh %v, ready %v; want %v, %v", name, s.Fresh(timeAt(c.after)), s.Ready(timeAt(c.after)), c.fresh, c.ready)
		}
	}
	s = applyRead(s, time.Second, 9, true)
	s = applyRead(s, 4*time.Second, 7, true)
	if got := s.Site().Revision; got != 9 {
		t.Errorf("revision %d active after an outdated read of 7, want 9", got)
	}
	if s.Fresh(timeAt(6500 * time.Millisecond)) {
		t.Error("a read of an older revision confirmed the newer one")
	}
	s = applyRead(s, 5*time.Second, 9, false)
	if !s.Fresh(timeAt(9900*time.Millisecond)) || s.Fresh(timeAt(10*time.Second)) {
		t.Error("freshness does not start when the read was sent")
	}
}

// TestRoute guards against the selection of a route of another host or with a
// shorter prefix, and against traffic splits that do not match the weights.
func TestRoute(t *testing.T) {
	s := model.Site{Routes: []model.SiteRoute{
		{Name: "short", Host: "h", Prefix: "/a/"},
		{Name: "long", Host: "h", Prefix: "/a/b/"},
		{Name: "other", Host: "i", Prefix: "/a/b/c/"},
	}}
	for path, want := range map[string]model.RouteName{"/a/x": "short", "/a/b/c/d": "long", "/a/b": "short", "/b/": ""} {
		if got, _ := s.Route("h", path); got.Name != want {
			t.Errorf("path %s matches route %q, want %q", path, got.Name, want)
		}
	}
	split := model.SiteRoute{Services: []model.Share{{Service: "x", Weight: 90}, {Service: "y", Weight: 10}}}
	count := map[model.ServiceName]int{}
	for i := range uint64(1000) {
		name, ok := split.PickService(i * (1 << 63 / 500))
		if !ok {
			t.Fatal("no service picked")
		}
		count[name]++
	}
	if count["x"] < 880 || count["x"] > 920 {
		t.Errorf("split %v, want 900 and 100", count)
	}
	if _, ok := (model.SiteRoute{}).PickService(1); ok {
		t.Error("Pick selected a service of a route without services")
	}
}

// TestPeerProof guards against a node that the store turns away and that refuses keys
// although its peers prove that its configuration is current, and against a proof for
// another version or one that counts from when its answer arrived.
func TestPeerProof(t *testing.T) {
	const held = 7
	prove := func(sent, age time.Duration, revision model.Version) site.State {
		s := applyRead(site.New(model.Bounds{RevocationDelay: 5 * time.Second}), 0, held, true)
		s, _ = s.Apply(step.Input[event.Event]{At: timeAt(sent + time.Second), Event: event.SyncAnswered{
			SentAt: timeAt(sent), Report: model.Report{Site: revision, Confirmed: true, ConfirmationAge: age},
		}})
		return s
	}
	for name, c := range map[string]struct {
		sent, age time.Duration
		revision  model.Version
		freshAt   time.Duration
		want      bool
	}{
		"proof of the version":        {4 * time.Second, time.Second, held, 7900 * time.Millisecond, true},
		"proof has become old":        {4 * time.Second, time.Second, held, 8100 * time.Millisecond, false},
		"proof of a later version":    {4 * time.Second, time.Second, held + 1, 6 * time.Second, false},
		"proof of an earlier version": {4 * time.Second, time.Second, held - 1, 6 * time.Second, false},
	} {
		if got := prove(c.sent, c.age, c.revision).Fresh(timeAt(c.freshAt)); got != c.want {
			t.Errorf("%s: fresh %v, want %v", name, got, c.want)
		}
	}
}

// TestInContact guards against a node that the store turns away and that counts as in
// contact with it because its peers are.
func TestInContact(t *testing.T) {
	s := applyRead(site.New(model.Bounds{RevocationDelay: 5 * time.Second}), 0, 7, true)
	s, _ = s.Apply(step.Input[event.Event]{At: timeAt(4 * time.Second), Event: event.SyncAnswered{
		SentAt: timeAt(4 * time.Second), Report: model.Report{Site: 7, Confirmed: true},
	}})
	if !s.InContact(timeAt(2*time.Second)) || s.InContact(timeAt(4*time.Second)) {
		t.Errorf("in contact after 2 s: %v, after 4 s: %v; want true, false", s.InContact(timeAt(2*time.Second)), s.InContact(timeAt(4*time.Second)))
	}
	if !s.Fresh(timeAt(8 * time.Second)) {
		t.Error("not fresh although a peer proved the configuration")
	}
}

// TestApplyWithin guards against a node whose proof becomes too old in normal operation,
// because its deployment leaves much time for changes and little for withdrawn keys.
func TestApplyWithin(t *testing.T) {
	for _, c := range []struct{ apply, revoke, want time.Duration }{
		{2 * time.Second, 5 * time.Second, 2 * time.Second},
		{time.Second, 5 * time.Second, time.Second},
		{time.Minute, 5 * time.Second, 2 * time.Second},
		{0, 5 * time.Second, 2 * time.Second},
	} {
		s := site.New(model.Bounds{ConfigApply: c.apply, RevocationDelay: c.revoke})
		if got := s.ApplyWithin(); got != c.want {
			t.Errorf("bounds %v and %v: %v, want %v", c.apply, c.revoke, got, c.want)
		}
	}
}

// TestSiteAfterRestore guards against a configuration that is never taken after the store
// came back from a copy, because its revision is lower than before, and against the earlier
// configuration of the copy, whose withdrawn keys would work again, until the operator has
// written the later one again.
func TestSiteAfterRestore(t *testing.T) {
	read := func(s site.State, sent time.Duration, era model.Era, revision uint64, number int64) site.State {
		version := model.NewVersion(era, revision)
		s, _ = s.Apply(step.Input[event.Event]{At: timeAt(sent), Event: event.SiteRead{
			SentAt: timeAt(sent), Revision: version, Site: &model.Site{Revision: version, Number: number},
		}})
		return s
	}
	s := read(site.New(model.Bounds{RevocationDelay: 5 * time.Second}), 0, 1, 40, 7)
	s = read(s, 2*time.Second, 2, 30, 4)
	if s.Site().Number != 7 || s.Fresh(timeAt(6*time.Second)) {
		t.Errorf("number %d in force, fresh %v after a read of the copy; want 7 without a new confirmation", s.Site().Number, s.Fresh(timeAt(6*time.Second)))
	}
	s = read(s, 3*time.Second, 2, 33, 7)
	if s.Site().Revision != model.NewVersion(2, 33) || !s.Fresh(timeAt(7*time.Second)) {
		t.Error("the configuration that was written again is not confirmed")
	}
	s = read(s, 4*time.Second, 2, 36, 9)
	if s.Site().Number != 9 {
		t.Errorf("number %d in force after a change in the later era, want 9", s.Site().Number)
	}
	if s = read(s, 5*time.Second, 1, 50, 8); s.Site().Number != 9 {
		t.Errorf("number %d in force after an answer of the earlier era, want 9", s.Site().Number)
	}
}
