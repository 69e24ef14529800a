package conf

import (
	"crypto/subtle"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"caroblane/core/model"
)

// keyHashHasher uses the first bytes of a SHA-256, which are uniformly distributed.
// It compares in constant time, because the hashes identify callers' keys.
type keyHashHasher struct{}

func (keyHashHasher) Equal(a, b model.KeyHash) bool {
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1
}

func (keyHashHasher) Hash(key model.KeyHash) uint32 { return binary.LittleEndian.Uint32(key[:4]) }

type objectIDHasher struct{}

func (objectIDHasher) Equal(a, b objectID) bool { return a == b }

func (objectIDHasher) Hash(id objectID) uint32 {
	return uint32(xxhash.Sum64String(id.name)) ^ uint32(id.kind)<<24
}

// modelNameHasher hashes model names. The default hasher of the library uses
// reflection for named types.
type modelNameHasher struct{}

func (modelNameHasher) Equal(a, b model.ModelName) bool { return a == b }

func (modelNameHasher) Hash(name model.ModelName) uint32 {
	return uint32(xxhash.Sum64String(string(name)))
}
