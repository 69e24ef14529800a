package peers

import (
	"cmp"
	"slices"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

const (
	// minPeriod is the time between two exchanges with the same peer in a small
	// region, and between two probes of a silent peer in any region.
	minPeriod = time.Second
	// periodPerMember keeps the load at ten exchanges a second and node in a
	// large region.
	periodPerMember = time.Second / 10
	// maxPeriod leaves a second of FreshnessTerm for a lost exchange.
	maxPeriod = FreshnessTerm - time.Second
	// outagePeriod bounds the period while this node has no contact with the
	// store. Outage mode needs an answer of each member within FreshnessTerm.
	outagePeriod = FreshnessTerm / 3
	// pendingTerm frees the slot of an exchange whose executor reported no end.
	pendingTerm = 5 * time.Second
	// fetchTerm is the time until another fetch may replace one without an
	// answer, and the pause after a failed one.
	fetchTerm = time.Second
)

// period returns the time between two exchanges with the same peer.
func (s State) period(now time.Time) time.Duration {
	period := min(max(minPeriod, time.Duration(s.members())*periodPerMember), maxPeriod)
	if !s.inContact(now) {
		return min(period, outagePeriod)
	}
	return period
}

// interval returns the time between two exchanges with one peer.
func (s State) interval(p peer, now time.Time) time.Duration {
	if p.silent {
		return minPeriod
	}
	return s.period(now)
}

// dueAt returns when the next exchange with a peer is due. The loss of contact
// with the store brings it forward: a region with a long period would otherwise
// hear of the outage too late for outage mode.
func (s State) dueAt(p peer, now time.Time) time.Time {
	soon := p.sentAt.Add(outagePeriod)
	if !s.inContact(now) && !p.sentAt.IsZero() && !now.Before(p.pendingUntil) && soon.Before(p.nextAt) {
		return soon
	}
	return p.nextAt
}

// exchangeDue sends the exchanges that are due, one at a time to each peer.
func (s State) exchangeDue(now time.Time, out *Out) State {
	for itr := s.peers.Iterator(); !itr.Done(); {
		_, p, _ := itr.Next()
		if now.Before(s.dueAt(p, now)) {
			continue
		}
		if now.Before(p.pendingUntil) {
			p.nextAt = p.pendingUntil
			s = s.withPeer(p)
			continue
		}
		p.sentAt, p.pendingUntil, p.nextAt = now, now.Add(pendingTerm), now.Add(s.interval(p, now))
		p.news = false
		s = s.withPeer(p)
		out.Emit(effect.Exchange{Peer: p.member, Status: s.status(now), Counts: s.counts})
	}
	return s
}

// status returns what this node tells its peers.
func (s State) status(now time.Time) model.PeerStatus {
	return model.PeerStatus{
		Region:      s.region,
		Name:        s.self.Name,
		Incarnation: s.self.Incarnation,
		Version:     s.version,
		Low:         s.settle.low,
		Remaining:   max(0, s.freshUntil.Sub(now)),
		Contact:     s.inContact(now),
		Left:        s.leaving,
	}
}

// countsChanged takes this node's crash counts. Counts that rose go to all
// peers at once: within a period, a request that is sent again through them
// could crash more upstreams than it may.
func (s State) countsChanged(e event.CrashCountsChanged, now time.Time) State {
	s.counts = capCounts(e.Counts)
	if !e.Rose {
		return s
	}
	for itr := s.peers.Iterator(); !itr.Done(); {
		_, p, _ := itr.Next()
		p.news, p.nextAt = true, now
		s = s.withPeer(p)
	}
	return s
}

// exchangeAsked takes a peer's exchange. It may have been under way for any
// time, so that only facts which stay true are taken from it.
func (s State) exchangeAsked(e event.ExchangeAsked, now time.Time, out *Out) State {
	out.Emit(effect.ExchangeReply{Ticket: e.Ticket, Status: s.status(now), Counts: s.counts})
	if e.Status.Region != s.region {
		return s
	}
	s.settle = s.settle.withGossip(e.Status.Low)
	if p, ok := s.peers.Get(e.Status.Incarnation); ok && p.runsAs(e.Status) {
		s = s.withPeer(p.withSign(e.Status, now))
	}
	s.raiseCounts(e.Status.Name, e.Counts, out)
	return s
}

// exchangeAnswered takes a peer's answer.
func (s State) exchangeAnswered(e event.ExchangeAnswered, now time.Time, out *Out) State {
	if e.Status.Region != s.region {
		// The process at the address belongs to another region, so the member's
		// process has ended.
		return s.exchangeFailed(e.Peer.Incarnation, e.SentAt, true, now)
	}
	s.settle = s.settle.withGossip(e.Status.Low)
	s.raiseCounts(e.Status.Name, e.Counts, out)
	p, ok := s.peers.Get(e.Peer.Incarnation)
	if !ok {
		return s
	}
	p = p.withEnd(s.interval(p, now), now)
	if p.runsAs(e.Status) {
		p = p.withSign(e.Status, now)
	}
	if e.SentAt.After(p.outcomeAt) {
		p.outcomeAt, p.answered, p.refused, p.silent = e.SentAt, true, false, false
		p.report = e.Status
		p.grantUntil = e.SentAt.Add(shorter(e.Status.Remaining))
		if !p.runsAs(e.Status) && e.SentAt.After(p.seenAt) {
			// Two processes cannot listen at one address, so the member's
			// process has ended.
			p.dead, p.stated, p.listed, p.goneAt = true, false, false, time.Time{}
			p = p.withEnded(now)
		}
		s = s.withGrant(p)
	}
	s = s.withPeer(p)
	return s.fetchDue(now, out)
}

// exchangeFailed takes an exchange without an answer. Only a refused connection
// tells anything about the process.
func (s State) exchangeFailed(id model.Incarnation, sentAt time.Time, refused bool, now time.Time) State {
	p, ok := s.peers.Get(id)
	if !ok {
		return s
	}
	p.silent = true
	p = p.withEnd(minPeriod, now)
	if refused && sentAt.After(p.outcomeAt) {
		p.outcomeAt, p.refused = sentAt, true
		if sentAt.After(p.seenAt) {
			p.dead = true
			p = p.withEnded(now)
		}
	}
	return s.withPeer(p)
}

// withEnd frees the peer's slot for the next exchange.
func (p peer) withEnd(interval time.Duration, now time.Time) peer {
	if !p.pendingUntil.IsZero() {
		p.pendingUntil = time.Time{}
		p.nextAt = later(now, p.sentAt.Add(interval))
		if p.news {
			p.nextAt = now
		}
	}
	return p
}

// fetchDue wants the configuration of a peer with a higher version, while the
// store itself does not answer. Of several peers it takes the one that it asked
// the longest ago.
func (s State) fetchDue(now time.Time, out *Out) State {
	if s.inContact(now) || now.Before(s.fetchAt) {
		return s
	}
	var best peer
	found := false
	for itr := s.peers.Iterator(); !itr.Done(); {
		_, p, _ := itr.Next()
		if !p.answered || p.refused || p.report.Version <= s.version {
			continue
		}
		if !found || p.fetchedAt.Before(best.fetchedAt) {
			best, found = p, true
		}
	}
	if !found {
		return s
	}
	best.fetchedAt = now
	s.fetchAt = now.Add(fetchTerm)
	out.Raise(event.FetchWanted{Peer: best.member})
	return s.withPeer(best)
}

// fetched takes the end of a fetch.
func (s State) fetched(failed bool, now time.Time) State {
	s.fetchAt = now
	if failed {
		s.fetchAt = now.Add(fetchTerm)
	}
	return s
}

// leaveAsked ends the freshness of this process for good and tells its peers.
func (s State) leaveAsked(now time.Time) State {
	s.leaving = true
	for itr := s.peers.Iterator(); !itr.Done(); {
		_, p, _ := itr.Next()
		p.nextAt = now
		s = s.withPeer(p)
	}
	return s
}

func (s State) raiseCounts(from model.NodeName, counts []model.CrashCount, out *Out) {
	if len(counts) > 0 {
		out.Raise(event.CrashCountsArrived{From: from, Counts: capCounts(counts)})
	}
}

// capCounts returns the highest counts, at most model.MaxCrashCounts.
func capCounts(counts []model.CrashCount) []model.CrashCount {
	if len(counts) <= model.MaxCrashCounts {
		return counts
	}
	sorted := slices.SortedFunc(slices.Values(counts), func(a, b model.CrashCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return sorted[:model.MaxCrashCounts]
}
