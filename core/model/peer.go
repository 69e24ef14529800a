package model

import "time"

// PeerStatus is the state of a node that it sends to its peers in an exchange.
type PeerStatus struct {
	Region      RegionName
	Name        NodeName
	Incarnation Incarnation
	// Version is the active configuration version.
	Version Version
	// SettledVersion is a lower bound of the configuration versions in use on all
	// members.
	SettledVersion Version
	// ValidFor is how long the configuration stays valid, based on the last
	// confirmation by the store, received directly or through peers. The
	// extension in outage mode is not included.
	ValidFor time.Duration
	// StoreContact is set if the store itself responded recently.
	StoreContact bool
	// Left is set if the process has left the roster and admits no more requests.
	Left bool
}
