package certs

import (
	"time"

	"caroblane/core/step"
)

// checkInterval is the minimum interval between checks of the files. It limits
// file system calls when there are many handshakes.
const checkInterval = time.Second

// The events that the reload state handles.
type (
	// contentRequested reports that the content is needed, for example for a
	// handshake.
	contentRequested struct{}
	// filesChecked reports the current sizes and modification times of the files.
	filesChecked struct{ fileInfo string }
	// filesLoaded reports the result of loading the files.
	filesLoaded[V any] struct {
		value    V
		fileInfo string
		err      error
	}
)

// The effects that the reload state emits.
type (
	// checkFiles requests the event filesChecked.
	checkFiles struct{}
	// loadFiles requests the event filesLoaded.
	loadFiles struct{}
)

// reloadState is the state that decides when files are reloaded and which
// content is in use.
type reloadState[V any] struct {
	value V
	// fileInfo holds the sizes and modification times of the files at the time
	// value was loaded.
	fileInfo  string
	nextCheck time.Time
	lastErr   string
}

// Apply returns the next state and the effects to execute. If the files cannot
// be loaded, for example because only one of them has been replaced so far, the
// previous content stays in use and loading is retried at the next check.
func (s reloadState[V]) Apply(in step.Input[any]) (reloadState[V], []any) {
	switch e := in.Event.(type) {
	case contentRequested:
		if in.At.Before(s.nextCheck) {
			return s, nil
		}
		s.nextCheck = in.At.Add(checkInterval)
		return s, []any{checkFiles{}}
	case filesChecked:
		if e.fileInfo != s.fileInfo {
			return s, []any{loadFiles{}}
		}
		s.lastErr = ""
	case filesLoaded[V]:
		if e.err != nil {
			s.lastErr = e.err.Error()
			return s, nil
		}
		s.value, s.fileInfo, s.lastErr = e.value, e.fileInfo, ""
	}
	return s, nil
}

// Next returns the zero time, because checks are triggered by handshakes and not
// by a timer.
func (s reloadState[V]) Next() time.Time { return time.Time{} }
