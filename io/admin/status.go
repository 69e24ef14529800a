package admin

import (
	"slices"
	"time"

	"caroblane/core/model"
)

// Status is the response to GET /status.
type Status struct {
	Node model.NodeName
	// Incarnation is encoded as a string, because JSON decoders that use
	// floating-point numbers lose precision above 2^53.
	Incarnation model.Incarnation `json:",string"`
	Region      model.RegionName
	Zone        model.ZoneName
	// Version is the configuration version in force.
	Version model.Version
	// Fresh reports whether the node may admit requests.
	Fresh bool
	// Settled reports whether the node can use its own share of the rate limits.
	// Until then it admits requests only with tokens borrowed from other nodes.
	Settled bool
	// Draining reports whether the node rejects new requests.
	Draining bool
	// OpenRequests is the number of running and waiting requests.
	OpenRequests int
	// Faults maps the Kind/Name of each object whose last write is not in force
	// to the reason.
	Faults map[string]string
	// CertificateFault is the error of the last reload of the certificate files,
	// or empty if it succeeded.
	CertificateFault string `json:",omitempty"`
	// Members are the other nodes in the roster as known to this node.
	Members []Member
}

// Member is the state of another node as known to this node.
type Member struct {
	Name    model.NodeName
	Address string
	Zone    model.ZoneName
	// Version is a lower bound of the configuration version that the member uses.
	Version model.Version
	// Stopped reports whether the member's process is proven to have stopped, or
	// was declared stopped by an operator.
	Stopped bool
	// HeardAt is the time of the last message from the member, or zero if there
	// was none.
	HeardAt time.Time `json:",omitzero"`
}

// WithFaults returns a copy of the status with other faults.
func (s Status) WithFaults(faults map[string]string) Status {
	s.Faults = faults
	return s
}

// WithMembers returns a copy of the status with other members.
func (s Status) WithMembers(members ...Member) Status {
	s.Members = members
	return s
}

func (s Status) hasMember(name model.NodeName) bool {
	return slices.ContainsFunc(s.Members, func(m Member) bool { return m.Name == name })
}
