package conf

import (
	"crypto/subtle"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"caroblane/core/model"
)

// hashHasher takes the first bytes of a SHA-256, which are already uniform. It
// compares in constant time, because the hashes stand for callers' keys.
type hashHasher struct{}

func (hashHasher) Equal(a, b model.KeyHash) bool { return subtle.ConstantTimeCompare(a[:], b[:]) == 1 }

func (hashHasher) Hash(key model.KeyHash) uint32 { return binary.LittleEndian.Uint32(key[:4]) }

type idHasher struct{}

func (idHasher) Equal(a, b objectID) bool { return a == b }

func (idHasher) Hash(id objectID) uint32 {
	return uint32(xxhash.Sum64String(id.name)) ^ uint32(id.kind)<<24
}

// modelHasher hashes model names. The hasher that the library picks by default
// uses reflection for named types.
type modelHasher struct{}

func (modelHasher) Equal(a, b model.ModelName) bool { return a == b }

func (modelHasher) Hash(name model.ModelName) uint32 { return uint32(xxhash.Sum64String(string(name))) }
