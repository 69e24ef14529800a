package limit

import "caroblane/core/model"

// maxHistory bounds the writes of one object that are kept. A version older
// than the kept ones counts as unknown, which is safe: its share is zero.
const maxHistory = 64

// history holds the values of an object by the version of the write, oldest
// first. Values of versions that this node never saw are unknown.
type history[T any] struct {
	writes []write[T]
}

type write[T any] struct {
	version model.Version
	known   bool
	value   T
}

// At returns the value in force at a version.
func (h history[T]) At(version model.Version) (T, bool) {
	for i := len(h.writes) - 1; i >= 0; i-- {
		if w := h.writes[i]; w.version <= version {
			return w.value, w.known
		}
	}
	var none T
	return none, false
}

// Last returns the newest value.
func (h history[T]) Last() (T, bool) {
	if len(h.writes) == 0 {
		var none T
		return none, false
	}
	w := h.writes[len(h.writes)-1]
	return w.value, w.known
}

// Newest returns the version of the newest write.
func (h history[T]) Newest() model.Version {
	if len(h.writes) == 0 {
		return 0
	}
	return h.writes[len(h.writes)-1].version
}

// With returns the history with a newer write. If writes were missed, the
// versions between the last one and this one are unknown.
func (h history[T]) With(version model.Version, contiguous bool, value T) history[T] {
	newest := h.Newest()
	if version <= newest {
		return h
	}
	writes := h.writes[:len(h.writes):len(h.writes)]
	if !contiguous && len(writes) > 0 && newest+1 < version {
		writes = append(writes, write[T]{version: newest + 1})
	}
	writes = append(writes, write[T]{version: version, known: true, value: value})
	if excess := len(writes) - maxHistory; excess > 0 {
		writes = writes[excess:]
	}
	return history[T]{writes: writes}
}

// Since returns the history without the writes that were replaced at low.
func (h history[T]) Since(low model.Version) history[T] {
	first := 0
	for first+1 < len(h.writes) && h.writes[first+1].version <= low {
		first++
	}
	if first == 0 {
		return h
	}
	return history[T]{writes: append([]write[T](nil), h.writes[first:]...)}
}
