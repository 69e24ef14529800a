package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/step"
)

// laterEra is the version of an object in the era after that of the lease that a harness
// acquires.
func laterEra(revision uint64) model.Version { return model.NewVersion(1, revision) }

// TestHolderAfterRestore guards against a holder that goes on because the copy, with which
// the store came back, names it, although another process may have acquired the lease since
// that copy; and against an epoch that is handed out twice.
func TestHolderAfterRestore(t *testing.T) {
	h := newHarness(t)
	h.acquire()
	h.tick(3 * time.Second)
	write, _ := h.sentWrite()
	h.apply(event.ObjectConflict{Op: write.Op})
	h.wantRaised(event.AuthorityChanged{Epoch: 5})
	named := model.Lease{Holder: "n", Incarnation: 1, Epoch: 5}
	h.answerRead(laterEra(3), named)
	for range 2 {
		h.tick(5 * time.Second)
		if write, ok := h.sentWrite(); ok {
			t.Fatalf("got write %+v, want a wait until all leases of the earlier era have ended", write)
		}
		h.answerRead(laterEra(3), named)
	}
	h.tick(10 * time.Millisecond)
	write, ok := h.sentWrite()
	if want := model.Epoch(laterEra(4)); !ok || write.IfVersion != laterEra(3) || write.Value.(model.Lease).Epoch != want {
		t.Fatalf("got %+v, want a takeover with epoch %d", h.effects, want)
	}
}

// TestCandidateAfterRestore guards against a lease that is taken at once because the copy
// shows it as released or lacks it, while a process that acquired it after that copy still
// acts.
func TestCandidateAfterRestore(t *testing.T) {
	for name, c := range map[string]struct {
		read event.ObjectRead
		want model.Epoch
	}{
		"released": {event.ObjectRead{Found: true, Object: model.Change{Version: laterEra(3), Value: model.Lease{Epoch: 4}}}, model.Epoch(laterEra(4))},
		"missing":  {event.ObjectRead{Object: model.Change{Version: laterEra(0)}}, model.Epoch(laterEra(1))},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			for i := range 3 {
				if i > 0 {
					h.tick(5 * time.Second)
				}
				read, ok := h.effects[0].(effect.ReadObject)
				if !ok {
					t.Fatalf("got %+v, want a read", h.effects)
				}
				c.read.Op = read.Op
				h.apply(c.read)
			}
			h.tick(10 * time.Millisecond)
			write, ok := h.sentWrite()
			if !ok || write.IfVersion != c.read.Object.Version || write.Value.(model.Lease).Epoch != c.want {
				t.Fatalf("got %+v, want a takeover with epoch %d", h.effects, c.want)
			}
		})
	}
}

// TestLeaseHistories guards against two processes that hold the lease at the same time or
// under the same epoch, over histories with restarts, lost calls and answers, and returns
// of the store to an earlier copy while calls are on their way.
func TestLeaseHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newLeaseWorld(t)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			w.step()
		}
	})
}

// leaseRecord is the lease in the store at a time.
type leaseRecord struct {
	at       time.Time
	revision uint64
	version  uint64
	value    model.Lease
}

// leaseCall is a call of a process that is on its way to the store.
type leaseCall struct {
	process int
	call    effect.Effect
	sentAt  time.Time
}

// leaseWorld runs some processes against a store that may go back to a copy.
type leaseWorld struct {
	t         *rapid.T
	now       time.Time
	era       model.Era
	present   leaseRecord
	copies    []leaseRecord
	processes []State
	names     []string
	started   int
	calls     []leaseCall
	holders   map[model.Epoch]string
}

func newLeaseWorld(t *rapid.T) *leaseWorld {
	w := &leaseWorld{t: t, now: time.Unix(1_800_000_000, 0), era: 1, holders: map[model.Epoch]string{}}
	w.present = leaseRecord{at: w.now, revision: 7}
	w.copies = []leaseRecord{w.present}
	for i := range 3 {
		w.processes, w.names = append(w.processes, State{}), append(w.names, "")
		w.start(i)
	}
	return w
}

// start replaces a process by a new one on the same node.
func (w *leaseWorld) start(i int) {
	w.started++
	w.names[i] = fmt.Sprintf("n%d process %d", i, w.started)
	w.processes[i] = New(DefaultSettings("r"), model.NodeName(fmt.Sprintf("n%d", i)), model.Incarnation(w.started), w.now)
	kept := w.calls[:0:0]
	for _, c := range w.calls {
		// A write may still arrive after the end of its process.
		if _, isWrite := c.call.(effect.WriteObject); c.process != i || isWrite {
			kept = append(kept, c)
		}
	}
	w.calls = kept
	for j, c := range w.calls {
		if c.process == i {
			w.calls[j].process = -1
		}
	}
	w.apply(i, event.Tick{})
}

// step lets time pass and does one random thing.
func (w *leaseWorld) step() {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(w.t, "pause")) * time.Millisecond)
	for i := range w.processes {
		w.apply(i, event.Tick{})
	}
	switch rapid.SampledFrom([]string{"answer", "answer", "answer", "answer", "lose", "delay", "restart", "drain", "restore"}).Draw(w.t, "step") {
	case "answer":
		w.answer(true)
	case "lose":
		w.answer(false)
	case "delay":
		w.delay()
	case "restart":
		w.start(rapid.IntRange(0, len(w.processes)-1).Draw(w.t, "process"))
	case "drain":
		w.apply(rapid.IntRange(0, len(w.processes)-1).Draw(w.t, "process"), event.DrainAsked{})
	case "restore":
		w.restore()
	}
}

// restore returns to one of the copies, and forgets the later ones. Other objects that are
// written again raise the revision.
func (w *leaseWorld) restore() {
	i := rapid.IntRange(0, len(w.copies)-1).Draw(w.t, "copy")
	w.copies = w.copies[:i+1]
	w.present = w.copies[i]
	w.present.revision += uint64(rapid.IntRange(0, 3).Draw(w.t, "rewritten"))
	w.era++
}

// answer executes a call that is on its way. Its response may be lost.
func (w *leaseWorld) answer(arrives bool) {
	if len(w.calls) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.calls)-1).Draw(w.t, "call")
	c := w.calls[i]
	w.calls = append(w.calls[:i:i], w.calls[i+1:]...)
	response := w.execute(c)
	if write, ok := c.call.(effect.WriteObject); ok && !arrives {
		response = event.ObjectAmbiguous{Op: write.Op, SentAt: c.sentAt}
	}
	if c.process >= 0 {
		w.apply(c.process, response)
	}
}

// delay lets a write go unanswered that the store may still execute later.
func (w *leaseWorld) delay() {
	if len(w.calls) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.calls)-1).Draw(w.t, "call")
	c := w.calls[i]
	if write, ok := c.call.(effect.WriteObject); ok && c.process >= 0 {
		w.calls[i].process = -1
		w.apply(c.process, event.ObjectAmbiguous{Op: write.Op, SentAt: c.sentAt})
	}
}

// execute carries out a call as the store and the platform layer do: a condition is a
// revision alone, and a write that took effect in another era has an unknown outcome.
func (w *leaseWorld) execute(c leaseCall) event.Event {
	write, ok := c.call.(effect.WriteObject)
	if !ok {
		read := c.call.(effect.ReadObject)
		return event.ObjectRead{Op: read.Op, SentAt: c.sentAt, Found: w.present.version > 0, Object: model.Change{
			Version: model.NewVersion(w.era, w.present.version), Value: w.present.value,
		}}
	}
	if write.IfVersion.Revision() != w.present.version {
		return event.ObjectConflict{Op: write.Op, SentAt: c.sentAt}
	}
	w.present.revision += uint64(rapid.IntRange(1, 3).Draw(w.t, "other writes"))
	w.present.at, w.present.version, w.present.value = w.now, w.present.revision, write.Value.(model.Lease)
	w.copies = append(w.copies, w.present)
	if write.IfVersion.Era() != w.era {
		return event.ObjectAmbiguous{Op: write.Op, SentAt: c.sentAt}
	}
	return event.ObjectWritten{Op: write.Op, SentAt: c.sentAt, Version: model.NewVersion(w.era, w.present.version)}
}

// apply passes an event to a process and checks what it holds then.
func (w *leaseWorld) apply(i int, e event.Event) {
	next, out := w.processes[i].Apply(step.Input[event.Event]{At: w.now, Event: e})
	w.processes[i] = next
	for _, call := range out.Effects {
		w.calls = append(w.calls, leaseCall{i, call, w.now})
	}
	for _, raised := range out.Raised {
		changed, ok := raised.(event.AuthorityChanged)
		if !ok || !changed.Held {
			continue
		}
		if other, found := w.holders[changed.Epoch]; found && other != w.names[i] {
			w.t.Fatalf("%s holds epoch %d, which %s held before", w.names[i], changed.Epoch, other)
		}
		w.holders[changed.Epoch] = w.names[i]
		for j, other := range w.processes {
			if j != i && other.Held(w.now) {
				w.t.Fatalf("%s and %s hold the lease at the same time", w.names[i], w.names[j])
			}
		}
	}
}
