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

func changed(upto model.Version, changes ...model.Change) event.ConfigChanged {
	return event.ConfigChanged{Changes: changes, Upto: upto}
}

// pull makes to fetch from from until it holds its version, and fails the test
// if it cannot.
func pull(t *testing.T, from, to State) State {
	t.Helper()
	for to.version < from.version {
		_, out := apply(to, event.FetchWanted{})
		ask := out.Effects[0].(effect.Fetch)
		_, out = apply(from, event.FetchAsked{After: ask.After, Clean: ask.Clean})
		page := out.Effects[0].(effect.FetchReply)
		if page.Refused || page.Upto <= to.version {
			t.Fatalf("no page after %d: %+v", to.version, page)
		}
		to, _ = apply(to, event.FetchAnswered{
			After: ask.After, Changes: page.Changes, Upto: page.Upto, Clean: page.Clean, Floor: page.Floor,
		})
	}
	return to
}

// TestRelay guards against a relayed copy that lacks an object, keeps a deleted
// one, or claims a version that its pages did not reach.
func TestRelay(t *testing.T) {
	source := New()
	for v := model.Version(1); v <= 3*maxPage; v++ {
		source, _ = apply(source, changed(v, put(v, fmt.Sprintf("m%d", v))))
	}
	half := pull(t, source, New())
	source, _ = apply(source, changed(5000, removal(4000, "m7"), put(4001, "m8")))
	for name, copied := range map[string]State{"from empty": pull(t, source, New()), "from half": pull(t, source, half)} {
		if copied.version != 5000 || copied.models.Len() != source.models.Len() {
			t.Errorf("%s: version %d with %d models, want %d", name, copied.version, copied.models.Len(), source.models.Len())
		}
		if m, _ := copied.Model("m8"); m.MaxTokens != 4001 {
			t.Errorf("%s: edit of m8 is missing", name)
		}
	}
}

// TestTombstoneCap guards against a deleted object that comes back once its
// tombstone was dropped: by a page for a node that still holds it, by a copy
// made from a page, or by a late push.
func TestTombstoneCap(t *testing.T) {
	source, _ := apply(New(), changed(1, put(1, "gone")))
	stale := source
	v := model.Version(2)
	source, _ = apply(source, changed(v, removal(v, "gone")))
	for range maxTombstones {
		v++
		source, _ = apply(source, changed(v, removal(v, fmt.Sprintf("m%d", v))))
	}
	if source.graves.Len() != maxTombstones || source.floor != 2 {
		t.Fatalf("%d tombstones above %d", source.graves.Len(), source.floor)
	}
	copied := pull(t, source, New())
	for name, s := range map[string]State{"source": source, "copy": copied} {
		if _, ok := s.Since(stale.version, stale.clean, maxPage); ok {
			t.Errorf("%s: served a node that holds a deleted object", name)
		}
		after, _ := apply(s, changed(0, put(1, "gone")))
		if _, ok := after.Model("gone"); ok {
			t.Errorf("%s: a late push brought a deleted object back", name)
		}
	}
}

// TestPushedAhead guards against a page that skips the last write of an object,
// because a pushed one took its place.
func TestPushedAhead(t *testing.T) {
	source, _ := apply(New(), changed(5, put(5, "m")))
	behind := pull(t, source, New())
	source, _ = apply(source, changed(8, put(8, "m")))
	source, _ = apply(source, changed(0, put(20, "m")))
	copied := pull(t, source, behind)
	if m, _ := copied.Model("m"); m.MaxTokens != 20 || copied.version != 8 {
		t.Fatalf("copy at %d holds %+v", copied.version, m)
	}
	lower, _ := apply(copied, changed(9, put(9, "m")))
	if m, _ := lower.Model("m"); m.MaxTokens != 20 {
		t.Fatalf("version fell: %+v", m)
	}
}
