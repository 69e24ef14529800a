package model

const (
	// revisionBits is the number of bits of a revision in a Version. At 1,200 writes a
	// second it lasts for 29 years.
	revisionBits = 40
	maxRevision  = 1<<revisionBits - 1
)

// MaxEra is the highest era. It keeps a Version and an Epoch within a signed 64-bit
// integer, as which a receiver may decode them.
const MaxEra Era = 1<<(63-revisionBits) - 1

// Era counts how often the platform's store came back from a copy that lacks what it had
// acknowledged last. Revisions go back then, and are given out again. Era 0 is that of a
// store that does not number its eras.
type Era uint64

// Version identifies a state of the platform's store: a revision within an era. Versions
// are ordered by era, then by revision, so that every state of a later era is later.
type Version uint64

// NewVersion returns the version of a revision in an era. A revision above 2^40-1 and an
// era above MaxEra are reduced to these.
func NewVersion(era Era, revision uint64) Version {
	return Version(min(era, MaxEra))<<revisionBits | Version(min(revision, maxRevision))
}

// Era returns the era of the version.
func (v Version) Era() Era { return Era(v >> revisionBits) }

// Revision returns the revision within the era. For an object, zero means that it did not
// exist.
func (v Version) Revision() uint64 { return uint64(v & maxRevision) }

// Epoch is a fencing token. It increases whenever the holder of a lease changes. Like a
// Version it begins with the era in which it was acquired: a lease that the store has
// lost cannot lead to the same epoch again.
type Epoch uint64

// Era returns the era of the store in which the epoch was acquired.
func (e Epoch) Era() Era { return Era(e >> revisionBits) }

// Next returns the epoch that follows this one when the lease is acquired by replacing
// the given version of its object. The epochs of an era never exceed the revision at which
// they were acquired, since each took a write. In a new era the revision is therefore above
// all epochs of that era, also of those whose record was overwritten.
func (e Epoch) Next(replaced Version) Epoch {
	if replaced.Era() > e.Era() {
		return Epoch(replaced) + 1
	}
	return e + 1
}
