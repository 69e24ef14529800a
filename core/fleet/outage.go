package fleet

import (
	"time"

	"caroblane/core/event"
	"caroblane/core/model"
)

const (
	// reregisterGrace is how long the entry of a live upstream may be missing
	// after an outage of the store.
	reregisterGrace = 2 * time.Second
	// minExpiry is the shortest outage in which the entry of a live upstream can expire.
	// An entry that is missing after a shorter one was removed.
	minExpiry = 2 * time.Second
	// failureTimeout is how long a failed read counts without another one. It is above the
	// time between two reads that fail. A node that takes the list from a peer again reads
	// no more, and its last failure says nothing about later lists.
	failureTimeout = 2 * time.Second
)

// contact is what this node knows of the availability of the store. It is never modified.
type contact struct {
	// answeredAt is when the latest call was sent that the store answered, to this node
	// or to one that proved it.
	answeredAt time.Time
	// failedAt is when the registry could last not be read, or zero if it was read since.
	failedAt time.Time
	// silence is the longest time without an answer since the registry could not be read.
	silence time.Duration
}

// WithAnswer notes that the store answered a call that was sent at the given time.
func (c contact) WithAnswer(sentAt time.Time) contact {
	if !sentAt.After(c.answeredAt) {
		return c
	}
	if !c.failedAt.IsZero() {
		c.silence = max(c.silence, sentAt.Sub(c.answeredAt))
	}
	c.answeredAt = sentAt
	return c
}

// WithFailure notes that the registry could not be read.
func (c contact) WithFailure(at time.Time) contact {
	if c.failedAt.IsZero() || at.Sub(c.failedAt) > failureTimeout {
		c.silence = 0
	}
	c.failedAt = at
	return c
}

// WithRead notes that the registry was read.
func (c contact) WithRead() contact {
	c.failedAt, c.silence = time.Time{}, 0
	return c
}

// mayHaveExpired reports whether entries of live upstreams may be missing in a list that
// was read at the given time.
func (c contact) mayHaveExpired(at time.Time) bool {
	if c.failedAt.IsZero() || at.Sub(c.failedAt) > failureTimeout {
		return false
	}
	return max(c.silence, at.Sub(c.answeredAt)) >= minExpiry
}

// withProof notes when the store last answered a peer, as its report proves.
func (s State) withProof(e event.SyncAnswered) State {
	if e.Report.Confirmed {
		s.contact = s.contact.WithAnswer(e.SentAt.Add(-e.Report.ConfirmationAge))
	}
	return s
}

// handleMissing returns an upstream whose entry is missing in a list, and whether it is
// kept. One that was kept before is not kept for longer. The first list of a new era may
// lack upstreams that have yet to register again.
func (s State) handleMissing(u Upstream, newEra bool, at time.Time, out *Out) (Upstream, bool) {
	if u.goneAt.IsZero() && (newEra || s.contact.mayHaveExpired(at)) {
		u.goneAt = at.Add(reregisterGrace)
		missing := beliefEffect(model.UpstreamMissing, u.Upstream)
		missing.Until = u.goneAt
		out.Emit(missing)
	}
	return u, u.goneAt.After(at)
}
