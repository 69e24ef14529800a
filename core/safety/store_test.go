// Package safety_test checks the invariants of section 1.1 of the design page
// that concern the platform's store, over histories of several reducers with
// lost answers, late writes, pauses and kills.
package safety_test

import (
	"flag"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

// naive selects a variant with a known fault, to show that a property fails
// without the measure that it tests.
var naive = flag.String("naive", "", "variant with a fault")

func TestMain(m *testing.M) {
	flag.Parse()
	seeded := false
	flag.Visit(func(f *flag.Flag) { seeded = seeded || f.Name == "rapid.seed" })
	if !seeded {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// store is the part of the platform's object API that the reducers use.
type store struct {
	revision model.Version
	objects  map[string]model.Change
}

func newStore() *store { return &store{objects: map[string]model.Change{}} }

func nameOf(kind model.Kind, name string) string { return kind.String() + "/" + name }

func (s *store) get(kind model.Kind, name string) (model.Change, bool) {
	object, ok := s.objects[nameOf(kind, name)]
	if usage, frozen := object.Value.(model.Usage); frozen && usage.State == model.UsageFrozen && *naive == "recompute" {
		return model.Change{}, false
	}
	return object, ok
}

// list returns the objects of a kind in order of their names.
func (s *store) list(kind model.Kind) []model.Change {
	var objects []model.Change
	for _, object := range s.objects {
		if _, ok := s.get(kind, object.Name); ok && object.Kind == kind {
			objects = append(objects, object)
		}
	}
	slices.SortFunc(objects, func(a, b model.Change) int { return strings.Compare(a.Name, b.Name) })
	return objects
}

// write applies a conditional update and tells whether it took effect.
func (s *store) write(w effect.WriteObject) (model.Change, bool) {
	held := s.objects[nameOf(w.Kind, w.Name)]
	if *naive == "recompute" && w.Kind == model.KindUsage {
		w.IfVersion = held.Version
	}
	if held.Version != w.IfVersion {
		return held, false
	}
	s.revision++
	if w.Delete {
		delete(s.objects, nameOf(w.Kind, w.Name))
		return model.Change{}, true
	}
	next := model.Change{
		Kind: w.Kind, Name: w.Name, Version: s.revision, Generation: held.Generation + 1, Value: w.Value,
	}
	s.objects[nameOf(w.Kind, w.Name)] = next
	return next, true
}

// call is a call of a node to the store that has no answer yet.
type call struct {
	node   int
	effect effect.Effect
	sentAt time.Time
	// answer is set once the store has taken the call.
	answer event.Event
}

// wire holds the calls under way and the writes that arrive after their sender
// gave up on them.
type wire struct {
	store *store
	calls []call
	late  []effect.WriteObject
}

// take removes one call.
func (w *wire) take(t *rapid.T) call {
	if len(w.calls) == 0 {
		t.Skip("no calls")
	}
	i := rapid.IntRange(0, len(w.calls)-1).Draw(t, "call")
	c := w.calls[i]
	w.calls = append(w.calls[:i:i], w.calls[i+1:]...)
	return c
}

// arrive executes a call at the store and returns its answer.
func (w *wire) arrive(c call) event.Event {
	switch e := c.effect.(type) {
	case effect.ReadObject:
		object, ok := w.store.get(e.Kind, e.Name)
		return event.ObjectRead{Op: e.Op, SentAt: c.sentAt, Found: ok, Object: object}
	case effect.WriteObject:
		object, ok := w.store.write(e)
		if !ok {
			return event.ObjectConflict{Op: e.Op, SentAt: c.sentAt}
		}
		return event.ObjectWritten{Op: e.Op, SentAt: c.sentAt, Version: object.Version, Generation: object.Generation}
	case effect.ListObjects:
		return event.ObjectsListed{Op: e.Op, SentAt: c.sentAt, Objects: w.store.list(e.Kind)}
	default:
		return nil
	}
}

// fail draws a fault for a call and returns what its sender sees.
func (w *wire) fail(t *rapid.T, c call) event.Event {
	write, ok := c.effect.(effect.WriteObject)
	if !ok {
		return failed(c.effect)
	}
	switch rapid.SampledFrom([]string{"unsent", "lost before", "lost after", "late"}).Draw(t, "fault") {
	case "unsent":
		return event.ObjectUnsent{Op: write.Op}
	case "lost after":
		w.store.write(write)
	case "late":
		w.late = append(w.late, write)
	}
	return event.ObjectAmbiguous{Op: write.Op, SentAt: c.sentAt}
}

func failed(e effect.Effect) event.Event {
	switch e := e.(type) {
	case effect.ReadObject:
		return event.ObjectReadFailed{Op: e.Op}
	case effect.ListObjects:
		return event.ObjectReadFailed{Op: e.Op}
	default:
		return nil
	}
}

// abandon turns the calls of a dead process into late writes.
func (w *wire) abandon(node int) {
	var rest []call
	for _, c := range w.calls {
		switch write, ok := c.effect.(effect.WriteObject); {
		case c.node != node:
			rest = append(rest, c)
		case ok && c.answer == nil:
			w.late = append(w.late, write)
		}
	}
	w.calls = rest
}

// arriveLate lets one late write arrive.
func (w *wire) arriveLate(t *rapid.T) {
	if len(w.late) == 0 {
		t.Skip("no late writes")
	}
	i := rapid.IntRange(0, len(w.late)-1).Draw(t, "late")
	w.store.write(w.late[i])
	w.late = append(w.late[:i:i], w.late[i+1:]...)
}
