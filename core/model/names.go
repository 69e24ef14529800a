// Package model defines the domain types shared by all packages.
package model

// AccountName names a client account.
type AccountName string

// Incarnation identifies one run of a node's process.
type Incarnation uint64

// KeyHash is a SHA-256: that of a caller's key, or that of the content of a
// request in fields named BodyHash.
type KeyHash [32]byte

// ModelName names a model.
type ModelName string

// NodeName names an entry node.
type NodeName string

// RegionName names a region.
type RegionName string

// RequestID identifies a request to callers and upstreams.
type RequestID string

// RouteName names a route.
type RouteName string

// Ticket identifies an open request within one process.
type Ticket uint64

// UpstreamName names an upstream.
type UpstreamName string

// ZoneName names an availability zone.
type ZoneName string
