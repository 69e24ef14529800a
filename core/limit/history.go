package limit

import "caroblane/core/model"

// maxHistoryWrites limits the writes that are kept for one object. Older
// versions are unknown, which is safe because the share of an unknown version is
// zero.
const maxHistoryWrites = 64

// history holds the values of an object by the version of their write, oldest
// first. The values of versions that this node did not receive are unknown.
type history[T any] struct {
	writes []write[T]
}

type write[T any] struct {
	version model.Version
	known   bool
	value   T
}

// At returns the value in effect at a version, and whether it is known.
func (h history[T]) At(version model.Version) (T, bool) {
	for i := len(h.writes) - 1; i >= 0; i-- {
		if w := h.writes[i]; w.version <= version {
			return w.value, w.known
		}
	}
	var none T
	return none, false
}

// Last returns the newest value, and whether it is known.
func (h history[T]) Last() (T, bool) {
	if len(h.writes) == 0 {
		var none T
		return none, false
	}
	w := h.writes[len(h.writes)-1]
	return w.value, w.known
}

// Newest returns the version of the newest write, or zero.
func (h history[T]) Newest() model.Version {
	if len(h.writes) == 0 {
		return 0
	}
	return h.writes[len(h.writes)-1].version
}

// With returns the history with a newer write. If the write is not contiguous,
// the versions between the last write and this one become unknown.
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
	if excess := len(writes) - maxHistoryWrites; excess > 0 {
		writes = writes[excess:]
	}
	return history[T]{writes: writes}
}

// WithoutSuperseded returns the history without the writes that were already
// replaced by another one at the settled version.
func (h history[T]) WithoutSuperseded(settledVersion model.Version) history[T] {
	first := 0
	for first+1 < len(h.writes) && h.writes[first+1].version <= settledVersion {
		first++
	}
	if first == 0 {
		return h
	}
	return history[T]{writes: append([]write[T](nil), h.writes[first:]...)}
}
