package peers

import (
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
)

const (
	// minExchangeInterval is the interval between two exchanges with the same
	// peer in a small region, and between two probes of an unresponsive peer in
	// a region of any size.
	minExchangeInterval = time.Second
	// exchangeIntervalPerMember limits the load in a large region to ten
	// exchanges per second per node.
	exchangeIntervalPerMember = time.Second / 10
	// maxExchangeInterval leaves one second of FreshnessTTL to make up for a
	// lost exchange.
	maxExchangeInterval = FreshnessTTL - time.Second
	// outageExchangeInterval caps the interval while this node has no contact
	// with the store. Outage mode needs a response from every member within
	// FreshnessTTL.
	outageExchangeInterval = FreshnessTTL / 3
	// exchangeTimeout allows the next exchange with a peer if the executor
	// never reported the end of the previous one.
	exchangeTimeout = 5 * time.Second
	// fetchRetryInterval is the time after which an unanswered fetch may be
	// replaced by another one, and the delay after a failed fetch.
	fetchRetryInterval = time.Second
)

// baseInterval returns the interval between two exchanges with a responsive
// peer.
func (s State) baseInterval(now time.Time) time.Duration {
	interval := min(max(minExchangeInterval, time.Duration(s.members())*exchangeIntervalPerMember), maxExchangeInterval)
	if !s.hasStoreContact(now) {
		return min(interval, outageExchangeInterval)
	}
	return interval
}

// exchangeInterval returns the interval between two exchanges with a given
// peer.
func (s State) exchangeInterval(p peer, now time.Time) time.Duration {
	if p.unresponsive {
		return minExchangeInterval
	}
	return s.baseInterval(now)
}

// nextExchange returns the time of the next exchange with a peer. Loss of
// contact with the store brings it forward, because in a region with a long
// interval this node would otherwise learn of the outage too late to enter
// outage mode.
func (s State) nextExchange(p peer, now time.Time) time.Time {
	soon := p.exchangeSentAt.Add(outageExchangeInterval)
	if !s.hasStoreContact(now) && !p.exchangeSentAt.IsZero() && !now.Before(p.exchangeDeadline) && soon.Before(p.nextExchangeAt) {
		return soon
	}
	return p.nextExchangeAt
}

// sendExchanges sends the exchanges that are due, with at most one in flight to
// each peer.
func (s State) sendExchanges(now time.Time, out *Out) State {
	for itr := s.peers.Iterator(); !itr.Done(); {
		_, p, _ := itr.Next()
		if now.Before(s.nextExchange(p, now)) {
			continue
		}
		if now.Before(p.exchangeDeadline) {
			p.nextExchangeAt = p.exchangeDeadline
			s = s.withPeer(p)
			continue
		}
		p.exchangeSentAt, p.exchangeDeadline, p.nextExchangeAt = now, now.Add(exchangeTimeout), now.Add(s.exchangeInterval(p, now))
		p.crashesPending = false
		s = s.withPeer(p)
		out.Emit(effect.Exchange{Peer: p.member, Status: s.status(now), Crashes: s.crashRecords(now)})
	}
	return s
}

// status returns the status that this node sends to its peers.
func (s State) status(now time.Time) model.PeerStatus {
	return model.PeerStatus{
		Region:         s.region,
		Name:           s.self.Name,
		Incarnation:    s.self.Incarnation,
		Version:        s.version,
		SettledVersion: s.settled.current,
		ValidFor:       max(0, s.freshUntil.Sub(now)),
		StoreContact:   s.hasStoreContact(now),
		Left:           s.leaving,
	}
}

// handleCrashRecordsChanged stores the crash records of this node. A crash that it observed
// is sent to all peers immediately: if a peer learned of it only at the next regular
// exchange, a request retried through it could crash more upstreams than allowed.
func (s State) handleCrashRecordsChanged(e event.CrashRecordsChanged, now time.Time) State {
	s.crashes, s.crashesAt = e.Crashes, now
	if !e.Observed {
		return s
	}
	for itr := s.peers.Iterator(); !itr.Done(); {
		_, p, _ := itr.Next()
		p.crashesPending, p.nextExchangeAt = true, now
		s = s.withPeer(p)
	}
	return s
}

// handleExchangeAsked processes an exchange from a peer. The message may have
// been delayed arbitrarily, so only facts that cannot become false are used.
func (s State) handleExchangeAsked(e event.ExchangeAsked, now time.Time, out *Out) State {
	out.Emit(effect.ExchangeReply{Ticket: e.Ticket, Status: s.status(now), Crashes: s.crashRecords(now)})
	if e.Status.Region != s.region {
		return s
	}
	s.settled = s.settled.withPeerVersion(e.Status.SettledVersion)
	if p, ok := s.peers.Get(e.Status.Incarnation); ok && p.matches(e.Status) {
		s = s.withPeer(p.withMessage(e.Status, now))
	}
	raiseCrashRecords(e.Crashes, out)
	return s
}

func (s State) handleExchangeAnswered(e event.ExchangeAnswered, now time.Time, out *Out) State {
	if e.Status.Region != s.region {
		// The address now belongs to a process of another region, so the
		// member's process has ended.
		return s.handleExchangeFailed(e.Peer.Incarnation, e.SentAt, true, now)
	}
	s.settled = s.settled.withPeerVersion(e.Status.SettledVersion)
	raiseCrashRecords(e.Crashes, out)
	p, ok := s.peers.Get(e.Peer.Incarnation)
	if !ok {
		return s
	}
	p = p.withExchangeEnd(s.exchangeInterval(p, now), now)
	if p.matches(e.Status) {
		p = p.withMessage(e.Status, now)
	}
	if e.SentAt.After(p.outcomeSentAt) {
		p.outcomeSentAt, p.answered, p.connRefused, p.unresponsive = e.SentAt, true, false, false
		p.lastStatus = e.Status
		p.grantedUntil = e.SentAt.Add(shortenForDrift(e.Status.ValidFor))
		if !p.matches(e.Status) && e.SentAt.After(p.firstSeenAt) {
			// Two processes cannot listen on the same address, so the member's
			// process has ended.
			p.terminated, p.declaredStopped, p.vmListed, p.vmMissingSince = true, false, false, time.Time{}
			p = p.withStopLearned(now)
		}
		s = s.withGrant(p)
	}
	s = s.withPeer(p)
	return s.requestFetch(now, out)
}

// handleExchangeFailed processes an exchange without a response. Only a refused
// connection says anything about the state of the process.
func (s State) handleExchangeFailed(id model.Incarnation, sentAt time.Time, refused bool, now time.Time) State {
	p, ok := s.peers.Get(id)
	if !ok {
		return s
	}
	p.unresponsive = true
	p = p.withExchangeEnd(minExchangeInterval, now)
	if refused && sentAt.After(p.outcomeSentAt) {
		p.outcomeSentAt, p.connRefused = sentAt, true
		if sentAt.After(p.firstSeenAt) {
			p.terminated = true
			p = p.withStopLearned(now)
		}
	}
	return s.withPeer(p)
}

// withExchangeEnd clears the exchange in flight and schedules the next one.
func (p peer) withExchangeEnd(interval time.Duration, now time.Time) peer {
	if !p.exchangeDeadline.IsZero() {
		p.exchangeDeadline = time.Time{}
		p.nextExchangeAt = laterTime(now, p.exchangeSentAt.Add(interval))
		if p.crashesPending {
			p.nextExchangeAt = now
		}
	}
	return p
}

// requestFetch requests the configuration of a peer that has a higher version,
// while the store itself does not answer. If several peers qualify, it picks
// the one asked least recently.
func (s State) requestFetch(now time.Time, out *Out) State {
	if s.hasStoreContact(now) || now.Before(s.nextFetchAt) {
		return s
	}
	var source peer
	found := false
	for itr := s.peers.Iterator(); !itr.Done(); {
		_, p, _ := itr.Next()
		if !p.answered || p.connRefused || p.lastStatus.Version <= s.version {
			continue
		}
		if !found || p.lastFetchAt.Before(source.lastFetchAt) {
			source, found = p, true
		}
	}
	if !found {
		return s
	}
	source.lastFetchAt = now
	s.nextFetchAt = now.Add(fetchRetryInterval)
	out.Raise(event.FetchWanted{Peer: source.member})
	return s.withPeer(source)
}

func (s State) handleFetchEnd(failed bool, now time.Time) State {
	s.nextFetchAt = now
	if failed {
		s.nextFetchAt = now.Add(fetchRetryInterval)
	}
	return s
}

// handleLeaveAsked permanently ends the freshness of this process and notifies
// its peers.
func (s State) handleLeaveAsked(now time.Time) State {
	s.leaving = true
	for itr := s.peers.Iterator(); !itr.Done(); {
		_, p, _ := itr.Next()
		p.nextExchangeAt = now
		s = s.withPeer(p)
	}
	return s
}

func raiseCrashRecords(crashes []model.CrashRecord, out *Out) {
	if len(crashes) > 0 {
		out.Raise(event.CrashRecordsArrived{Crashes: crashes[:min(len(crashes), model.MaxCrashRecords)]})
	}
}

// crashRecords returns the crash records of this node with their present ages.
func (s State) crashRecords(now time.Time) []model.CrashRecord {
	records := make([]model.CrashRecord, 0, len(s.crashes))
	for _, r := range s.crashes {
		r.Age += now.Sub(s.crashesAt)
		records = append(records, r)
	}
	return records
}
