package plat

import "github.com/joomcode/errorx"

// Errors is the namespace of this layer's errors.
var Errors = errorx.NewNamespace("plat")

// The types of errors of a call to the platform.
var (
	// Unsent means that no byte of the call left this process.
	Unsent = Errors.NewType("unsent")
	// Lost means that the call may have taken effect and its answer is unknown.
	Lost = Errors.NewType("lost")
	// Oversized means that the answer is too large to be read.
	Oversized = Errors.NewType("oversized")
	// Refused means that the platform answered that it did not execute the call.
	Refused = Errors.NewType("refused")
	// Conflict means that the object had another version, or the call an old
	// epoch.
	Conflict = Errors.NewType("conflict")
	// Absent means that the platform holds no such object.
	Absent = Errors.NewType("absent")
)
