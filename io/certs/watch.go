package certs

import (
	"time"

	"caroblane/core/step"
)

// checkEvery bounds the calls to the file system under many handshakes.
const checkEvery = time.Second

// The events of a watch.
type (
	// asked reports a handshake.
	asked struct{}
	// seen reports sizes and modification times.
	seen struct{ stamp string }
	// loaded reports the content of the files.
	loaded[V any] struct {
		value V
		stamp string
		err   error
	}
)

// The effects of a watch.
type (
	// stat asks for event seen.
	stat struct{}
	// read asks for event loaded.
	read struct{}
)

// watch decides when files are read again and which content is in use.
type watch[V any] struct {
	value V
	// stamp is that of the files when value was read.
	stamp   string
	checkAt time.Time
	fault   string
}

// Apply returns the next state and the effects to execute. Files that cannot
// be used, for example while only one of them is replaced, leave the earlier
// content in use and are tried again at the next check.
func (w watch[V]) Apply(in step.Input[any]) (watch[V], []any) {
	switch e := in.Event.(type) {
	case asked:
		if in.At.Before(w.checkAt) {
			return w, nil
		}
		w.checkAt = in.At.Add(checkEvery)
		return w, []any{stat{}}
	case seen:
		if e.stamp != w.stamp {
			return w, []any{read{}}
		}
		w.fault = ""
	case loaded[V]:
		if e.err != nil {
			w.fault = e.err.Error()
			return w, nil
		}
		w.value, w.stamp, w.fault = e.value, e.stamp, ""
	}
	return w, nil
}

// Next returns the zero time: a check is made at the next handshake.
func (w watch[V]) Next() time.Time { return time.Time{} }
