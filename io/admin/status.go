package admin

import (
	"slices"
	"time"

	"caroblane/core/model"
)

// Status is the answer to GET /status.
type Status struct {
	Node model.NodeName
	// Incarnation is written as a string: JSON readers that keep numbers as
	// floating point lose digits above 2^53.
	Incarnation model.Incarnation `json:",string"`
	Region      model.RegionName
	Zone        model.ZoneName
	// Version is the configuration version in force.
	Version model.Version
	// Fresh tells that the node may admit requests.
	Fresh bool
	// Settled tells that the node's own share of the limits counts. Before, it
	// admits only with loans.
	Settled bool
	// Draining tells that the node takes no new requests.
	Draining bool
	// OpenRequests counts the requests that run or wait.
	OpenRequests int
	// Faults maps Kind/Name of each object whose last write is not in force to
	// the reason.
	Faults map[string]string
	// CertificateFault tells why the last change of the certificate files is not
	// in use. It is empty without a fault.
	CertificateFault string `json:",omitempty"`
	// Members are the other nodes of the roster as this node sees them.
	Members []Member
}

// Member is what a node knows of another one.
type Member struct {
	Name    model.NodeName
	Address string
	Zone    model.ZoneName
	// Version is a lower bound of the one that the member uses.
	Version model.Version
	// Stopped tells that the member's process is proved or stated to have
	// stopped.
	Stopped bool
	// HeardAt is when it was last heard; zero if it never was.
	HeardAt time.Time `json:",omitzero"`
}

// WithFaults returns the status with other faults.
func (s Status) WithFaults(faults map[string]string) Status {
	s.Faults = faults
	return s
}

// WithMembers returns the status with other members.
func (s Status) WithMembers(members ...Member) Status {
	s.Members = members
	return s
}

func (s Status) has(name model.NodeName) bool {
	return slices.ContainsFunc(s.Members, func(m Member) bool { return m.Name == name })
}
