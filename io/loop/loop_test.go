package loop

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"

	"caroblane/core/step"
)

// tick is the timer event of the test machine; its other events are positive.
const tick = 0

// counter is a machine that records its events.
type counter struct {
	ticks int
	// last are the events seen, up to 8.
	last []int
	// next is what the machine asks for; each event moves it by a nanosecond
	// if moves is set.
	next  time.Time
	moves bool
	// effects are returned from each event.
	effects []int
}

func (c counter) Apply(in step.Input[int]) (counter, []int) {
	if in.Event == tick {
		c.ticks++
	} else if len(c.last) < 8 {
		c.last = append(slices.Clone(c.last), in.Event)
	}
	if c.moves {
		c.next = c.next.Add(1)
	}
	return c, c.effects
}

func (c counter) Next() time.Time { return c.next }

// executor passes effects to a channel, unless it is nil.
type executor chan int

func (e executor) Execute(_ context.Context, effect int) {
	if e != nil {
		e <- effect
	}
}

func newLoop(initial counter, executor executor, capacity int) *Loop[counter, int, int] {
	return New[counter, int, int](initial, executor, tick, capacity, rand.New(rand.NewPCG(1, 2)), time.Now)
}

// TestFullQueue guards against a full queue that takes more traffic, and
// against a control event that is lost instead of waiting for room.
func TestFullQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoop(counter{}, nil, 2)
		for _, event := range []int{1, 2} {
			if err := l.Offer(event); err != nil {
				t.Fatal(err)
			}
		}
		if err := l.Offer(3); !errorx.IsOfType(err, Full) {
			t.Fatalf("offer to a full queue: %v", err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		posted := make(chan error, 1)
		go func() { posted <- l.Post(ctx, 4) }()
		synctest.Wait()
		select {
		case err := <-posted:
			t.Fatalf("post to a full queue did not wait: %v", err)
		default:
		}
		go l.Run(ctx)
		if err := <-posted; err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if seen := l.Snapshot().last; !slices.Equal(seen, []int{1, 2, 4}) {
			t.Errorf("events applied: %v", seen)
		}
		cancel()
		<-l.Done()
	})
}

// TestPastTime guards against a loop that spins for a machine that asks for a
// time in the past, and against events that keep such a machine from its tick.
func TestPastTime(t *testing.T) {
	for name, c := range map[string]struct {
		moves bool
		// every is the time between events, zero for none.
		every time.Duration
	}{
		"no events":                    {},
		"same time, events":            {every: minWait / 4},
		"another time with each event": {moves: true, every: minWait / 4},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLoop(counter{next: time.Now().Add(-time.Hour), moves: c.moves}, nil, 16)
				ctx, cancel := context.WithTimeout(t.Context(), 100*minWait)
				defer cancel()
				go l.Run(ctx)
				for c.every > 0 && ctx.Err() == nil {
					if err := l.Offer(1); err != nil {
						t.Error(err)
					}
					time.Sleep(c.every)
				}
				<-l.Done()
				if ticks := l.Snapshot().ticks; ticks < 50 || ticks > 100 {
					t.Errorf("%d ticks in 100 times the least wait", ticks)
				}
			})
		})
	}
}

// TestTimer guards against a timer that fires early or late.
func TestTimer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		l := newLoop(counter{next: started.Add(time.Second), effects: []int{1}}, make(executor), 1)
		ctx, cancel := context.WithCancel(t.Context())
		go l.Run(ctx)
		<-l.executor.(executor)
		if took := time.Since(started); took != time.Second {
			t.Errorf("tick after %v, want 1s", took)
		}
		cancel()
		<-l.Done()
	})
}

// TestAllocations guards against allocations for each event besides the
// snapshot, which readers may keep.
func TestAllocations(t *testing.T) {
	executed := make(executor)
	l := newLoop(counter{last: make([]int, 8), effects: []int{1}}, executed, 1)
	ctx, cancel := context.WithCancel(t.Context())
	go l.Run(ctx)
	allocations := testing.AllocsPerRun(1000, func() {
		if err := l.Offer(1); err != nil {
			t.Error(err)
		}
		<-executed
	})
	if allocations > 1 {
		t.Errorf("%v allocations for each event, want the snapshot only", allocations)
	}
	cancel()
	<-l.Done()
}
