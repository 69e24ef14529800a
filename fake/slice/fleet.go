package slice

import (
	"time"

	"caroblane/core/model"
	"caroblane/core/place"
)

// Fleet is the engines and the clock as a policy sees them. It does not change.
type Fleet struct {
	config   *Config
	now      time.Duration
	engines  []*engine
	backlogs place.Tracker[int]
}

func clock(at time.Duration) time.Time { return time.Unix(0, 0).Add(at) }

// Now returns the time of the run, which begins at the Unix epoch.
func (f *Fleet) Now() time.Time { return clock(f.now) }

// Elapsed returns the time since the begin of the run.
func (f *Fleet) Elapsed() time.Duration { return f.now }

// Config returns the configuration of the run.
func (f *Fleet) Config() Config { return *f.config }

// Engines returns the engines for the work of a role, or for any work with
// model.RoleBoth. Engines of the other role are listed, but take no work.
func (f *Fleet) Engines(only model.Role) Engines { return Engines{f, only} }

// Engines is a list of placement candidates.
type Engines struct {
	fleet *Fleet
	only  model.Role
}

// Len returns the number of engines.
func (l Engines) Len() int { return len(l.fleet.engines) }

// At returns the engine with number i.
func (l Engines) At(i int) Engine { return Engine{l.fleet.engines[i], l.fleet, l.only} }

// Engine is an engine as placement and role policies see it.
type Engine struct {
	machine *engine
	fleet   *Fleet
	only    model.Role
}

// Hash returns the engine's value for rendezvous hashing.
func (e Engine) Hash() uint64 { return uint64(e.machine.id+1) * 0x9e3779b97f4a7c15 }

// Role returns the role in force.
func (e Engine) Role() model.Role { return e.machine.role }

// Next returns the role after the change in progress, if there is one.
func (e Engine) Next() model.Role {
	if e.machine.closing {
		return e.machine.to
	}
	return e.machine.role
}

// Zone returns the engine's availability zone.
func (e Engine) Zone() model.ZoneName { return e.machine.zone }

// Cheap reports whether the engine may be reclaimed.
func (e Engine) Cheap() bool { return e.machine.cheap }

// Down reports whether a fault has stopped the engine.
func (e Engine) Down() bool { return e.machine.down }

// Changing reports whether the engine drains or changes its role.
func (e Engine) Changing() bool { return e.machine.closing }

// Backlog returns the estimated time until a new prompt begins.
func (e Engine) Backlog() time.Duration {
	rate := float64(time.Second)
	if e.machine.role != model.RolePrefill {
		rate /= 2
	}
	return time.Duration(e.fleet.backlogs.Drained(e.machine.id, e.fleet.Now(), rate))
}

// Load returns the used part of the slots, and whether the engine takes work.
func (e Engine) Load() (float64, bool) {
	m, slots := e.machine, e.fleet.config.Engine.Slots
	load := float64(m.used) / float64(slots)
	wrong := e.only == model.RolePrefill && m.role == model.RoleDecode ||
		e.only == model.RoleDecode && m.role == model.RolePrefill
	return load, !m.down && !m.closing && !wrong && m.used < slots
}
