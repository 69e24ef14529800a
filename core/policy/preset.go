// Package policy holds the presets of the placement and role policies.
package policy

import (
	"time"

	"caroblane/core/place"
	"caroblane/core/roles"
)

// Preset is a choice of parameters for one installation.
type Preset struct {
	Name  string
	Roles roles.Options
	// MaxBacklog is the longest wait of a prompt on an engine.
	MaxBacklog time.Duration
	// Reserve is the part of the free room that cheap engines of a zone fill.
	Reserve float64
	// PreferCheap fills cheap engines first.
	PreferCheap bool
	// Affinity sends prompts to the engines that have their prefix.
	Affinity bool
	// LateLast serves requests that missed the target for the first token
	// after all that can still keep it.
	LateLast bool
	// Last is the time before the refusal of a waiting request in which it
	// goes to any engine with a free slot.
	Last time.Duration
}

// Costs are the speeds of an installation's engines.
type Costs struct {
	PromptToken                 time.Duration
	Mixing, MixBelow            float64
	TransferBase, TransferToken time.Duration
}

// Qalam gives more weight to the evening's goodput and the worst-served
// client account.
func Qalam(prefillRate, decodeRate float64) Preset {
	return Preset{
		Name:        "Qalam",
		Roles:       options(prefillRate, decodeRate),
		MaxBacklog:  250 * time.Millisecond,
		Reserve:     0.5,
		PreferCheap: true,
		Affinity:    true,
		LateLast:    true,
	}
}

// Changfa gives more weight to cost, the cheap share and wrongful refusals.
func Changfa(prefillRate, decodeRate float64) Preset {
	return Preset{
		Name:        "Changfa",
		Roles:       options(prefillRate, decodeRate),
		MaxBacklog:  250 * time.Millisecond,
		Reserve:     0.5,
		PreferCheap: true,
		Affinity:    true,
		LateLast:    true,
		Last:        200 * time.Millisecond,
	}
}

// The term is longer than a swing of a minute, which engines of both roles take
// up; a term of 30 s made 20 changes in six minutes and cost goodput.
func options(prefillRate, decodeRate float64) roles.Options {
	return roles.Options{
		Term:        120 * time.Second,
		PrefillRate: prefillRate,
		DecodeRate:  decodeRate,
		Band:        0.75,
		MinPrefill:  1,
		MinDecode:   1,
		MinBoth:     2,
		Cooldown:    60 * time.Second,
	}
}

// Pairs returns a preset's placement over engines of the given speeds.
func Pairs[C place.Engine](p Preset, c Costs) place.Pairs[C] {
	return place.Pairs[C]{
		PromptToken: c.PromptToken, Mixing: c.Mixing, MixBelow: c.MixBelow,
		TransferBase: c.TransferBase, TransferToken: c.TransferToken,
		MaxBacklog: p.MaxBacklog, Reserve: p.Reserve, PreferCheap: p.PreferCheap, Affinity: p.Affinity,
	}
}
