package certs

import (
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"caroblane/core/step"
)

// files executes the effects of a watch. The goroutine that holds the lock is
// the only one that changes the state; others read the snapshot meanwhile.
type files[V any] struct {
	lock     sync.Mutex
	snapshot atomic.Pointer[watch[V]]
	names    []string
	load     func() (V, error)
	now      func() time.Time
}

// newFiles loads the files for the first time.
func newFiles[V any](names []string, now func() time.Time, load func() (V, error)) (*files[V], error) {
	f := &files[V]{names: names, load: load, now: now}
	stamp := f.stamp()
	value, err := load()
	if err != nil {
		return nil, err
	}
	f.snapshot.Store(&watch[V]{value: value, stamp: stamp, checkAt: now().Add(checkEvery)})
	return f, nil
}

// current returns the value in use. It checks the files when a check is due
// and no other goroutine does so.
func (f *files[V]) current() V {
	if state := f.snapshot.Load(); f.now().Before(state.checkAt) || !f.lock.TryLock() {
		return state.value
	}
	defer f.lock.Unlock()
	f.post(asked{})
	return f.snapshot.Load().value
}

// fault checks the files if a check is due and returns the fault of the last.
func (f *files[V]) fault() string {
	f.current()
	return f.snapshot.Load().fault
}

// post applies an event and executes the effects, whose results are events.
func (f *files[V]) post(event any) {
	state, effects := f.snapshot.Load().Apply(step.Input[any]{At: f.now(), Event: event})
	f.snapshot.Store(&state)
	for _, e := range effects {
		switch e.(type) {
		case stat:
			f.post(seen{f.stamp()})
		case read:
			stamp := f.stamp()
			value, err := f.load()
			f.post(loaded[V]{value: value, stamp: stamp, err: err})
		}
	}
}

// stamp describes the files by size and modification time.
func (f *files[V]) stamp() string {
	var text strings.Builder
	for _, name := range f.names {
		info, err := os.Stat(name)
		if err != nil {
			text.WriteString(err.Error())
			continue
		}
		text.WriteString(strconv.FormatInt(info.Size(), 10) + "@" + info.ModTime().String() + ";")
	}
	return text.String()
}
