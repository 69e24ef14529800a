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

// reloader holds the reload state of a set of files and executes its effects.
// Only the goroutine that holds the lock changes the state; others read the
// snapshot.
type reloader[V any] struct {
	lock     sync.Mutex
	snapshot atomic.Pointer[reloadState[V]]
	paths    []string
	load     func() (V, error)
	now      func() time.Time
}

// newReloader loads the files and returns an error if that fails.
func newReloader[V any](paths []string, now func() time.Time, load func() (V, error)) (*reloader[V], error) {
	r := &reloader[V]{paths: paths, load: load, now: now}
	fileInfo := r.currentFileInfo()
	value, err := load()
	if err != nil {
		return nil, err
	}
	r.snapshot.Store(&reloadState[V]{value: value, fileInfo: fileInfo, nextCheck: now().Add(checkInterval)})
	return r, nil
}

// current returns the content in use. It first checks the files if a check is
// due and no other goroutine is doing so.
func (r *reloader[V]) current() V {
	if state := r.snapshot.Load(); r.now().Before(state.nextCheck) || !r.lock.TryLock() {
		return state.value
	}
	defer r.lock.Unlock()
	r.handleEvent(contentRequested{})
	return r.snapshot.Load().value
}

// lastError checks the files if a check is due, and returns the error of the
// last reload, or an empty string if it succeeded.
func (r *reloader[V]) lastError() string {
	r.current()
	return r.snapshot.Load().lastErr
}

// handleEvent applies an event and executes the resulting effects, which can
// lead to further events.
func (r *reloader[V]) handleEvent(event any) {
	state, effects := r.snapshot.Load().Apply(step.Input[any]{At: r.now(), Event: event})
	r.snapshot.Store(&state)
	for _, e := range effects {
		switch e.(type) {
		case checkFiles:
			r.handleEvent(filesChecked{r.currentFileInfo()})
		case loadFiles:
			fileInfo := r.currentFileInfo()
			value, err := r.load()
			r.handleEvent(filesLoaded[V]{value: value, fileInfo: fileInfo, err: err})
		}
	}
}

// currentFileInfo returns the sizes and modification times of the files as a
// string.
func (r *reloader[V]) currentFileInfo() string {
	var text strings.Builder
	for _, path := range r.paths {
		info, err := os.Stat(path)
		if err != nil {
			text.WriteString(err.Error())
			continue
		}
		text.WriteString(strconv.FormatInt(info.Size(), 10) + "@" + info.ModTime().String() + ";")
	}
	return text.String()
}
