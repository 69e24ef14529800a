package model

//go:generate go tool stringer -type=Part -linecomment -output=part_string.go

// Op identifies an asynchronous call that a component requested. The response
// event carries the same Op.
type Op struct {
	Part Part
	Seq  uint64
}

// Part is a component of an entry node's reducer.
type Part int

// The values of Part.
const (
	PartPeers Part = iota
	PartClaim
	PartLease
	PartOrder
	PartUsage
	PartScaler // PartSteer
	PartQuota
	PartMember
)
