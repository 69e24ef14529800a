package model

import (
	"net/netip"
	"slices"
	"time"
)

// Change is one write of a configuration object.
type Change struct {
	Kind    Kind
	Name    string
	Version Version
	// Generation is the number of writes of this object, including deletions.
	Generation uint64
	// Deleted is set if the object no longer exists. Value is nil then.
	Deleted bool
	// Value is the object: Template, Key, Route, Upstream, Model or Roster.
	Value any
	// Fault is the reason why the object could not be decoded, or empty. Value
	// is nil if it is set.
	Fault string
}

// Key authenticates callers as a client account.
type Key struct {
	Account AccountName
	// Hash identifies the key, which itself is not stored.
	Hash  KeyHash
	State KeyState
}

// Member is an entry node in a roster.
type Member struct {
	Name NodeName
	// Address is the host and port at which other nodes reach it.
	Address     string
	Zone        ZoneName
	Incarnation Incarnation
}

// Registration is the object Member/<node> of an entry node on a platform.
type Registration struct {
	Member
	// Misses are registered nodes that this node does not hear. They renew their own
	// registrations.
	Misses []NodeName
}

// Model is a model that callers may request.
type Model struct {
	// MaxTokens is the maximum number of tokens generated for one request.
	MaxTokens int
}

// Roster lists the entry nodes of a region.
type Roster struct {
	Region  RegionName
	Members []Member
	// Former lists evicted members whose processes may still run with an older
	// roster. They get no share of the limits, and are only considered when the
	// settled version is computed.
	Former []Member
}

// Route maps a path prefix to a plain service.
type Route struct {
	Prefix    string
	Upstreams []UpstreamName
	// Repeatable is set if a call may be executed more than once.
	Repeatable bool
	// Open is set if the route requires no key.
	Open bool
}

// Template holds the permissions and limits of a client account.
type Template struct {
	// Models lists the models that the account may use. Empty means all.
	Models []ModelName
	// Priority orders queued requests; the highest number is served first.
	Priority int
	// Rate is the limit in requests per second over all nodes.
	Rate float64
	// Burst is the size of the token bucket in requests over all nodes.
	Burst float64
	// CheapShare is the fraction of the work, 0 to 1, that may run on preemptible
	// upstreams (Upstream.Cheap).
	CheapShare float64
	// RegionShares is the fraction, 0 to 1, of Rate and Burst that each region
	// may admit. If it is empty, every region admits all of it, which is only
	// correct for an installation with a single region.
	RegionShares map[RegionName]float64
}

// Upstream is a model engine or a plain service.
type Upstream struct {
	Name UpstreamName
	Kind UpstreamKind
	// Address is the host and port.
	Address string
	Zone    ZoneName
	Models  []ModelName
	Role    Role
	State   UpstreamState
	// Cheap is set for preemptible capacity, which the platform may reclaim at
	// short notice.
	Cheap bool
	// ChecksEpoch is set if the upstream rejects orders with an outdated epoch.
	ChecksEpoch bool
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// Service is set on platforms where upstreams register themselves.
	Service ServiceName
	// Incarnation distinguishes successive processes with the same name.
	Incarnation Incarnation
	// StartedAt is the time of day at which the process started, as it states it, or zero
	// if it does not.
	StartedAt time.Time
	// EntryVersion is the version of the entry in the registry, or zero if it is not known.
	EntryVersion Version
	// ColdLeft is how much longer the upstream bears few requests only, counted from when
	// its entry was read.
	ColdLeft time.Duration
}

// MaxSlots limits Upstream.Slots: a process takes in no more requests at once from one
// address, for want of ports.
const MaxSlots = 1 << 16

// Valid reports whether an upstream that registered itself can get requests: it has an
// IP address with a port, slots within MaxSlots, and known values of its enums.
func (u Upstream) Valid() bool {
	address, err := netip.ParseAddrPort(u.Address)
	return err == nil && address.Port() != 0 && address.Addr().Zone() == "" && !address.Addr().IsUnspecified() &&
		!address.Addr().IsMulticast() && u.Name != "" && u.Service != "" && u.Slots > 0 && u.Slots <= MaxSlots &&
		u.Kind <= UpstreamPlain && u.Role <= RoleDecode && u.State <= UpstreamWithdrawn
}

// In returns the template with Rate and Burst reduced to the share of a region.
func (t Template) In(region RegionName) Template {
	if len(t.RegionShares) == 0 {
		return t
	}
	t.Rate *= t.RegionShares[region]
	t.Burst *= t.RegionShares[region]
	return t
}

// Allows reports whether the account may use a model.
func (t Template) Allows(name ModelName) bool {
	return len(t.Models) == 0 || slices.Contains(t.Models, name)
}
