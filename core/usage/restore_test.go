package usage_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"caroblane/core/event"
	"caroblane/core/model"
)

// copyOf returns a copy of what the store holds.
func (p *platform) copyOf() platform {
	c := platform{objects: maps.Clone(p.objects)}
	if p.snapshot != nil {
		snapshot := *p.snapshot
		c.snapshot = &snapshot
	}
	return c
}

// restore brings back what the store held at the time of a copy.
func (p *platform) restore(c platform) {
	c = c.copyOf()
	p.objects, p.snapshot = c.objects, c.snapshot
}

// epochIn returns an epoch of an era of the store.
func epochIn(era model.Era, n uint64) model.Epoch { return model.Epoch(model.NewVersion(era, n)) }

// serve lets a holder of the lease work for a time.
func (n *node) serve(from, to time.Duration) {
	for at := from; at < to; at += 250 * time.Millisecond {
		n.apply(at, event.RunBegan{Account: "x"})
		n.apply(at, event.Tick{})
	}
}

// TestReportsAfterRestore guards against a window that is reported again with other counts
// because the store came back from a copy in which its record is missing: by another
// process, by the same one, by a process that has just started, and by the next holder.
func TestReportsAfterRestore(t *testing.T) {
	const restored, taken = 21 * time.Second, 25 * time.Second
	for name, c := range map[string]struct {
		copyAge time.Duration
		// same is set if the process that held the lease before takes it again, and fresh
		// if it is taken by a process that has started in between.
		same, fresh bool
	}{
		"another process":         {copyAge: 6 * time.Second},
		"the same process":        {copyAge: 6 * time.Second, same: true},
		"a new process":           {copyAge: 6 * time.Second, fresh: true},
		"before the first record": {copyAge: restored},
	} {
		t.Run(name, func(t *testing.T) {
			p := &platform{objects: map[string]model.Usage{}}
			a, b := newNode(p, 1, 0), newNode(p, 2, 0)
			a.apply(0, leaseHeld(epochIn(1, 1)))
			a.serve(0, restored-c.copyAge)
			copied := p.copyOf()
			a.serve(restored-c.copyAge, restored)
			p.restore(copied)
			next := b
			if c.same {
				next = a
			}
			if c.fresh {
				next = newNode(p, 3, restored)
			}
			a.apply(restored, event.AuthorityChanged{Epoch: epochIn(1, 1)})
			next.apply(taken, leaseHeld(epochIn(2, 5)))
			next.serve(taken, taken+20*time.Second)
			next.apply(taken+20*time.Second, event.AuthorityChanged{Epoch: epochIn(2, 5)})
			last := newNode(p, 4, taken+20*time.Second)
			last.apply(taken+20*time.Second, leaseHeld(epochIn(2, 6)))
			last.serve(taken+20*time.Second, taken+40*time.Second)
			lines := map[model.Window]string{}
			for _, r := range p.reports {
				got := fmt.Sprint(r.Lines)
				if before, found := lines[r.Window]; found && before != got {
					t.Errorf("window %v reported as %s and as %s", r.Window, before, got)
				}
				lines[r.Window] = got
			}
			window := func(at time.Duration) model.Window { return model.Window(start.Add(at).Unix() / 5) }
			for w := window(taken + 5*time.Second); w <= window(taken+30*time.Second); w++ {
				if _, found := lines[w]; !found {
					t.Errorf("window %v after the return of the store was never reported", w)
				}
			}
		})
	}
}
