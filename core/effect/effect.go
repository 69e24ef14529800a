// Package effect holds every effect that the reducer of an entry node emits, a
// file for each area. Effects are values; executors carry them out.
package effect

// Effect is something to carry out.
type Effect interface{ isEffect() }
