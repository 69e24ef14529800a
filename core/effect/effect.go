// Package effect defines all effects that the reducer of an entry node emits.
// Effects are plain values that executors run. There is one file for each area.
package effect

// Effect is an action that the reducer requests from an executor.
type Effect interface{ isEffect() }
