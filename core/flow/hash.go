package flow

import (
	"github.com/cespare/xxhash/v2"

	"caroblane/core/model"
)

// nameHasher hashes upstream names. The default hasher of the immutable package
// uses reflection for named types, which is slower.
type nameHasher struct{}

func (nameHasher) Equal(a, b model.UpstreamName) bool { return a == b }

func (nameHasher) Hash(name model.UpstreamName) uint32 {
	return uint32(xxhash.Sum64String(string(name)))
}

type ticketHasher struct{}

func (ticketHasher) Equal(a, b model.Ticket) bool { return a == b }

func (ticketHasher) Hash(ticket model.Ticket) uint32 {
	return uint32(uint64(ticket) * 0x9e3779b97f4a7c15 >> 32)
}
