package slice

import (
	"time"

	"caroblane/core/model"
	"caroblane/core/place"
)

// Fleet is a policy's immutable view of the engines and the clock.
type Fleet struct {
	config   *Config
	now      time.Duration
	engines  []*engine
	backlogs place.Tracker[int]
}

func simTime(at time.Duration) time.Time { return time.Unix(0, 0).Add(at) }

// Now returns the simulated time. A run starts at the Unix epoch.
func (f *Fleet) Now() time.Time { return simTime(f.now) }

// Elapsed returns the time since the start of the run.
func (f *Fleet) Elapsed() time.Duration { return f.now }

// Config returns the configuration of the run.
func (f *Fleet) Config() Config { return *f.config }

// Engines returns all engines as candidates for the work of a role, or for any work
// if the role is model.RoleBoth. Engines of the other role are included, but their
// Load reports that they are not available.
func (f *Fleet) Engines(work model.Role) Engines { return Engines{f, work} }

// Engines is a list of placement candidates.
type Engines struct {
	fleet *Fleet
	work  model.Role
}

// Len returns the number of engines.
func (l Engines) Len() int { return len(l.fleet.engines) }

// At returns the engine with ID i.
func (l Engines) At(i int) Engine { return Engine{l.fleet.engines[i], l.fleet, l.work} }

// Engine is the view of an engine that placement and role policies get.
type Engine struct {
	engine *engine
	fleet  *Fleet
	work   model.Role
}

// Hash returns the engine's value for rendezvous hashing.
func (e Engine) Hash() uint64 { return uint64(e.engine.id+1) * 0x9e3779b97f4a7c15 }

// Role returns the current role.
func (e Engine) Role() model.Role { return e.engine.role }

// Next returns the role after the role change in progress, or the current role if
// there is none.
func (e Engine) Next() model.Role {
	if e.engine.changingRole {
		return e.engine.nextRole
	}
	return e.engine.role
}

// Zone returns the engine's availability zone.
func (e Engine) Zone() model.ZoneName { return e.engine.zone }

// Cheap reports whether the platform may reclaim (preempt) the engine.
func (e Engine) Cheap() bool { return e.engine.cheap }

// Down reports whether a fault has stopped the engine.
func (e Engine) Down() bool { return e.engine.down }

// Changing reports whether a role change is in progress, including the drain
// before it.
func (e Engine) Changing() bool { return e.engine.changingRole }

// Backlog returns the estimated time until the prefill of a new prompt starts. An
// engine that also decodes is assumed to work off prompts at half the rate.
func (e Engine) Backlog() time.Duration {
	rate := float64(time.Second)
	if e.engine.role != model.RolePrefill {
		rate /= 2
	}
	return time.Duration(e.fleet.backlogs.DrainedLoad(e.engine.id, e.fleet.Now(), rate))
}

// Load returns the fraction of the slots in use, and whether the engine accepts
// work.
func (e Engine) Load() (float64, bool) {
	m, slots := e.engine, e.fleet.config.Engine.Slots
	load := float64(m.usedSlots) / float64(slots)
	otherRole := e.work == model.RolePrefill && m.role == model.RoleDecode ||
		e.work == model.RoleDecode && m.role == model.RolePrefill
	return load, !m.down && !m.changingRole && !otherRole && m.usedSlots < slots
}
