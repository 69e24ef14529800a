package model

import "time"

// Feed is what a node passes on to its peers of what the platform's store holds.
type Feed struct {
	// Revision is the version of the configuration. The store confirmed ConfirmationAge
	// ago that no later one exists, if Confirmed is set. Site is nil if the peer has
	// that version already.
	Revision        Version
	Confirmed       bool
	ConfirmationAge time.Duration
	Site            *Site
	// Process and Registry identify the list of upstreams: the process that passes it
	// on, and the number of changes of its list. Upstreams holds the entries at
	// RegistryRevision of the store if HasUpstreams is set, else the peer has them.
	Process          Incarnation
	Registry         uint64
	RegistryRevision Version
	HasUpstreams     bool
	Upstreams        []Upstream
	Evacuations      Evacuations
}
