package limit

import (
	"github.com/cespare/xxhash/v2"

	"caroblane/core/model"
)

type accountHasher struct{}

func (accountHasher) Equal(a, b model.AccountName) bool { return a == b }

func (accountHasher) Hash(name model.AccountName) uint32 {
	return uint32(xxhash.Sum64String(string(name)))
}

type ticketHasher struct{}

func (ticketHasher) Equal(a, b model.Ticket) bool { return a == b }

func (ticketHasher) Hash(ticket model.Ticket) uint32 {
	return uint32(uint64(ticket) * 0x9e3779b97f4a7c15 >> 32)
}

// rendezvousWeight returns the weight of a member for an account in rendezvous
// hashing.
func rendezvousWeight(account model.AccountName, member model.NodeName) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(account))
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(string(member))
	return digest.Sum64()
}
