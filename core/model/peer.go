package model

import "time"

// PeerStatus is what a node tells its peers about itself in an exchange.
type PeerStatus struct {
	Region      RegionName
	Name        NodeName
	Incarnation Incarnation
	// Version is the configuration version in force.
	Version Version
	// Low is a lower bound of the version in use on any member.
	Low Version
	// Remaining is for how long the configuration is still valid by news of the
	// store, directly or over peers. Outage mode does not count.
	Remaining time.Duration
	// Contact tells that the store itself answered lately.
	Contact bool
	// Left tells that the process has left the roster and admits nothing any
	// more.
	Left bool
}
