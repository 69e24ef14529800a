package conf

import (
	"fmt"
	"testing"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
)

func apply(s State, e event.Event) (State, Out) {
	return s.Apply(step.Input[event.Event]{Event: e})
}

func put(version model.Version, name string) model.Change {
	return model.Change{
		Kind: model.KindModel, Name: name, Version: version, Generation: 1, Value: model.Model{MaxTokens: int(version)},
	}
}

func removal(version model.Version, name string) model.Change {
	return model.Change{Kind: model.KindModel, Name: name, Version: version, Generation: 2, Deleted: true}
}

func configChanged(upto model.Version, changes ...model.Change) event.ConfigChanged {
	return event.ConfigChanged{Changes: changes, Upto: upto}
}

// replicate lets to fetch pages from from until it reaches the same version, and
// fails the test if it cannot.
func replicate(t *testing.T, from, to State) State {
	t.Helper()
	for to.version < from.version {
		_, out := apply(to, event.FetchWanted{})
		request := out.Effects[0].(effect.Fetch)
		_, out = apply(from, event.FetchAsked{After: request.After, Clean: request.Clean})
		page := out.Effects[0].(effect.FetchReply)
		if page.Refused || page.Upto <= to.version {
			t.Fatalf("no page after %d: %+v", to.version, page)
		}
		to, _ = apply(to, event.FetchAnswered{
			After: request.After, Changes: page.Changes, Upto: page.Upto, Clean: page.Clean, Floor: page.Floor,
		})
	}
	return to
}

// TestRelay guards against a relayed configuration that lacks an object, keeps a
// deleted one, or reports a version that its pages did not reach.
func TestRelay(t *testing.T) {
	source := New()
	for v := model.Version(1); v <= 3*maxPage; v++ {
		source, _ = apply(source, configChanged(v, put(v, fmt.Sprintf("m%d", v))))
	}
	partial := replicate(t, source, New())
	source, _ = apply(source, configChanged(5000, removal(4000, "m7"), put(4001, "m8")))
	for name, replica := range map[string]State{"from empty": replicate(t, source, New()), "from half": replicate(t, source, partial)} {
		if replica.version != 5000 || replica.models.Len() != source.models.Len() {
			t.Errorf("%s: version %d with %d models, want %d", name, replica.version, replica.models.Len(), source.models.Len())
		}
		if m, _ := replica.Model("m8"); m.MaxTokens != 4001 {
			t.Errorf("%s: the edit of m8 is missing", name)
		}
	}
}

// TestTombstoneCap guards against a deleted object that reappears after its
// tombstone was discarded: through a page for a node that still has the object,
// through a node that was initialized from a page, or through a late push.
func TestTombstoneCap(t *testing.T) {
	source, _ := apply(New(), configChanged(1, put(1, "gone")))
	stale := source
	v := model.Version(2)
	source, _ = apply(source, configChanged(v, removal(v, "gone")))
	for range maxTombstones {
		v++
		source, _ = apply(source, configChanged(v, removal(v, fmt.Sprintf("m%d", v))))
	}
	if source.tombstones.Len() != maxTombstones || source.floor != 2 {
		t.Fatalf("%d tombstones with floor %d", source.tombstones.Len(), source.floor)
	}
	replica := replicate(t, source, New())
	for name, s := range map[string]State{"source": source, "copy": replica} {
		if _, ok := s.ChangesSince(stale.version, stale.clean, maxPage); ok {
			t.Errorf("%s: served a page to a node that still has a deleted object", name)
		}
		after, _ := apply(s, configChanged(0, put(1, "gone")))
		if _, ok := after.Model("gone"); ok {
			t.Errorf("%s: a late push restored a deleted object", name)
		}
	}
}

// TestPushedAhead guards against a page that omits the last write of an object
// because a pushed write with a higher version replaced it.
func TestPushedAhead(t *testing.T) {
	source, _ := apply(New(), configChanged(5, put(5, "m")))
	behind := replicate(t, source, New())
	source, _ = apply(source, configChanged(8, put(8, "m")))
	source, _ = apply(source, configChanged(0, put(20, "m")))
	replica := replicate(t, source, behind)
	if m, _ := replica.Model("m"); m.MaxTokens != 20 || replica.version != 8 {
		t.Fatalf("copy at version %d has %+v", replica.version, m)
	}
	lower, _ := apply(replica, configChanged(9, put(9, "m")))
	if m, _ := lower.Model("m"); m.MaxTokens != 20 {
		t.Fatalf("an older write replaced a newer one: %+v", m)
	}
}
