package plat

import "github.com/joomcode/errorx"

// Errors is the error namespace of this package.
var Errors = errorx.NewNamespace("plat")

// The types of errors of a call to the platform.
var (
	// Unsent means that no byte of the request was sent.
	Unsent = Errors.NewType("unsent")
	// Lost means that there is no valid response, so the call may have taken
	// effect.
	Lost = Errors.NewType("lost")
	// Oversized means that the response exceeds the size limit.
	Oversized = Errors.NewType("oversized")
	// Refused means that the platform did not execute the call.
	Refused = Errors.NewType("refused")
	// Conflict means that the object has a different version, or that the call
	// has an old lease epoch.
	Conflict = Errors.NewType("conflict")
	// Absent means that the object does not exist.
	Absent = Errors.NewType("absent")
)
