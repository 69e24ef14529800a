// Package policy provides the presets of the placement and role policies.
package policy

import (
	"time"

	"caroblane/core/place"
	"caroblane/core/roles"
)

// Preset holds the parameters of one installation.
type Preset struct {
	Name  string
	Roles roles.Options
	// MaxBacklog is the longest time that a prompt may wait on an engine.
	MaxBacklog time.Duration
	// Reserve is the share of the free capacity of ordinary engines up to
	// which the cheap engines of one zone take work.
	Reserve float64
	// PreferCheap fills cheap engines first.
	PreferCheap bool
	// Affinity sends a prompt to an engine that has its prefix cached.
	Affinity bool
	// LateLast serves requests that missed the target for the first token
	// after all requests that can still meet it.
	LateLast bool
	// LastResort is the time before a queued request would be refused during
	// which any engine with a free slot may take it.
	LastResort time.Duration
}

// EngineSpeeds are the speeds of the engines of an installation. Its fields
// have the meaning of those of the same name in place.Pairs.
type EngineSpeeds struct {
	PromptToken                 time.Duration
	MixedFactor, MaxMixedLoad   float64
	TransferBase, TransferToken time.Duration
}

// Qalam returns the preset that gives more weight to the goodput in the
// evening and to the worst-served client account.
func Qalam(prefillRate, decodeRate float64) Preset {
	return Preset{
		Name:        "Qalam",
		Roles:       roleOptions(prefillRate, decodeRate),
		MaxBacklog:  250 * time.Millisecond,
		Reserve:     0.5,
		PreferCheap: true,
		Affinity:    true,
		LateLast:    true,
	}
}

// Changfa returns the preset that gives more weight to cost, to the share of
// cheap engines and to avoiding unjustified refusals.
func Changfa(prefillRate, decodeRate float64) Preset {
	return Preset{
		Name:        "Changfa",
		Roles:       roleOptions(prefillRate, decodeRate),
		MaxBacklog:  250 * time.Millisecond,
		Reserve:     0.5,
		PreferCheap: true,
		Affinity:    true,
		LateLast:    true,
		LastResort:  200 * time.Millisecond,
	}
}

// roleOptions returns the options of the role policy. Demand is smoothed over
// more than a load swing of one minute, which engines with both roles absorb:
// with a time constant of 30 s, there were 20 role changes in six minutes and
// goodput dropped.
func roleOptions(prefillRate, decodeRate float64) roles.Options {
	return roles.Options{
		SmoothingTime: 120 * time.Second,
		PrefillRate:   prefillRate,
		DecodeRate:    decodeRate,
		Tolerance:     0.75,
		MinPrefill:    1,
		MinDecode:     1,
		MinBoth:       2,
		Cooldown:      60 * time.Second,
	}
}

// Pairs returns the placement policy of a preset for engines of the given
// speeds.
func Pairs[C place.Engine](p Preset, speeds EngineSpeeds) place.Pairs[C] {
	return place.Pairs[C]{
		PromptToken: speeds.PromptToken, MixedFactor: speeds.MixedFactor, MaxMixedLoad: speeds.MaxMixedLoad,
		TransferBase: speeds.TransferBase, TransferToken: speeds.TransferToken,
		MaxBacklog: p.MaxBacklog, Reserve: p.Reserve, PreferCheap: p.PreferCheap, Affinity: p.Affinity,
	}
}
