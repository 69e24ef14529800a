package poison

import (
	"time"

	"github.com/benbjohnson/immutable"
)

const (
	// soundPeriod is the time after which a new generation of sound parts begins. A part
	// counts as sound for one to two periods after its last sound answer.
	soundPeriod = 30 * time.Second
	// soundRefresh is the time for which a sound part is not noted again.
	soundRefresh = 500 * time.Millisecond
	// maxSoundParts limits the parts in one generation.
	maxSoundParts = 4096
)

// soundParts has the times of the last sound answers to requests with a part, in two
// generations.
type soundParts struct {
	latest, earlier *immutable.Map[uint64, time.Time]
	since           time.Time
}

func newSoundParts() soundParts {
	return soundParts{latest: immutable.NewMap[uint64, time.Time](nil), earlier: immutable.NewMap[uint64, time.Time](nil)}
}

// has reports whether a part was answered soundly recently.
func (p soundParts) has(part uint64, at time.Time) bool {
	noted, found := p.latest.Get(part)
	if !found {
		noted, found = p.earlier.Get(part)
	}
	return found && at.Sub(noted) < 2*soundPeriod
}

// with returns the table after a sound answer.
func (p soundParts) with(part uint64, at time.Time) soundParts {
	if noted, found := p.latest.Get(part); found && at.Sub(noted) < soundRefresh {
		return p
	}
	if at.Sub(p.since) >= soundPeriod || p.latest.Len() >= maxSoundParts {
		p.earlier, p.latest, p.since = p.latest, immutable.NewMap[uint64, time.Time](nil), at
	}
	p.latest = p.latest.Set(part, at)
	return p
}

func (p soundParts) without(part uint64) soundParts {
	p.latest, p.earlier = p.latest.Delete(part), p.earlier.Delete(part)
	return p
}
