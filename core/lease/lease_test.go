package lease

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
)

// rig is one process with the answers of the store given by the test.
type rig struct {
	t       *testing.T
	state   State
	at      time.Time
	effects []effect.Effect
	raised  []event.Event
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, at: time.Unix(1_800_000_000, 0)}
	r.state = New(DefaultSettings("r"), "n", 1, r.at)
	r.apply(event.Tick{})
	return r
}

func (r *rig) apply(e event.Event) {
	next, out := r.state.Apply(step.Input[event.Event]{At: r.at, Event: e})
	r.state, r.effects, r.raised = next, out.Effects, out.Raised
}

func (r *rig) tick(after time.Duration) {
	r.at = r.at.Add(after)
	r.apply(event.Tick{})
}

func (r *rig) write() (effect.WriteObject, bool) {
	if len(r.effects) != 1 {
		return effect.WriteObject{}, false
	}
	write, ok := r.effects[0].(effect.WriteObject)
	return write, ok
}

// read answers a read with a lease.
func (r *rig) read(version model.Version, value model.Lease) {
	r.t.Helper()
	read, ok := r.effects[0].(effect.ReadObject)
	if !ok {
		r.t.Fatalf("got %+v, want a read", r.effects)
	}
	r.apply(event.ObjectRead{Op: read.Op, Found: true, Object: model.Change{Version: version, Value: value}})
}

// hold makes the process take a released lease with epoch 5.
func (r *rig) hold() {
	r.t.Helper()
	r.read(3, model.Lease{Epoch: 4})
	write, ok := r.write()
	if !ok {
		r.t.Fatalf("got %+v, want a write", r.effects)
	}
	r.apply(event.ObjectWritten{Op: write.Op, SentAt: r.at, Version: 4})
}

func (r *rig) wantRaised(want ...event.Event) {
	r.t.Helper()
	if diff := cmp.Diff(want, r.raised); diff != "" {
		r.t.Errorf("raised events: %s", diff)
	}
}

// TestCandidateWaits guards against a takeover before the holder has stopped.
func TestCandidateWaits(t *testing.T) {
	r := newRig(t)
	held := model.Lease{Holder: "other", Epoch: 4}
	r.read(3, held)
	r.tick(5 * time.Second)
	r.read(3, held)
	r.tick(5 * time.Second)
	if write, ok := r.write(); ok {
		t.Fatalf("write %+v after the term without drift", write)
	}
	r.read(3, held)
	r.tick(10 * time.Millisecond)
	write, ok := r.write()
	if !ok || write.IfVersion != 3 || write.Value.(model.Lease).Epoch != 5 {
		t.Fatalf("got %+v, want a takeover with epoch 5 of version 3", r.effects)
	}
}

// TestHolder guards against authority that outlives its term or a drain.
func TestHolder(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	held := event.AuthorityChanged{Held: true, Epoch: 5, Until: start.Add(9990 * time.Millisecond)}
	lost := event.AuthorityChanged{Epoch: 5}
	t.Run("expires", func(t *testing.T) {
		r := newRig(t)
		r.hold()
		r.wantRaised(held)
		r.tick(9990 * time.Millisecond)
		r.wantRaised(lost)
	})
	t.Run("conflict", func(t *testing.T) {
		r := newRig(t)
		r.hold()
		r.tick(3 * time.Second)
		write, _ := r.write()
		r.apply(event.ObjectConflict{Op: write.Op})
		r.wantRaised(lost)
	})
	t.Run("lost renewal counts from its sending", func(t *testing.T) {
		r := newRig(t)
		r.hold()
		r.tick(3 * time.Second)
		write, _ := r.write()
		sentAt := r.at
		r.at = r.at.Add(time.Second)
		r.apply(event.ObjectAmbiguous{Op: write.Op, SentAt: sentAt})
		r.tick(time.Second)
		r.read(5, write.Value.(model.Lease))
		r.wantRaised(event.AuthorityChanged{Held: true, Epoch: 5, Until: sentAt.Add(9990 * time.Millisecond)})
	})
	t.Run("drain releases", func(t *testing.T) {
		r := newRig(t)
		r.hold()
		r.apply(event.DrainAsked{})
		r.wantRaised(lost)
		write, ok := r.write()
		if !ok || write.Value.(model.Lease).Holder != "" || write.Value.(model.Lease).Epoch != 5 {
			t.Fatalf("got %+v, want a release that keeps the epoch", r.effects)
		}
		r.apply(event.ObjectWritten{Op: write.Op, Version: 5})
		if !r.state.Stopped() || !r.state.Next().IsZero() {
			t.Error("the process takes part after the release")
		}
	})
	t.Run("drain gives up", func(t *testing.T) {
		r := newRig(t)
		r.hold()
		r.apply(event.DrainAsked{})
		write, _ := r.write()
		r.apply(event.ObjectUnsent{Op: write.Op})
		r.tick(DefaultSettings("r").Term)
		if !r.state.Stopped() {
			t.Error("the drain waits for the store without bound")
		}
	})
}
