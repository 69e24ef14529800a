// Package gate injects faults into the state machine of a fake server. Its
// State wraps the inner machine and adds the faults that every remote system
// can have: no response, late or lost responses, a pause, a partition from
// some clients, and a rate limit.
package gate

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"caroblane/core/step"
)

// maxPaused limits the calls that wait for the end of a pause. The connections
// of further calls are closed.
const maxPaused = 4096

// InnerEffect is an effect of the inner machine.
type InnerEffect interface {
	// Recipient returns the ticket of the call that the effect is for, or zero
	// if it is for none.
	Recipient() uint64
	// Final reports whether this is the last effect for its recipient.
	Final() bool
}

// Faults are the faults in force. The zero value has none.
type Faults struct {
	// Down closes the connections of open calls, and those of new calls before
	// they take effect.
	Down bool
	// Pause holds calls back until it ends. They then take effect, even if
	// their callers have disconnected in the meantime.
	Pause bool
	// SlowBy delays responses. Calls still take effect at once.
	SlowBy time.Duration
	// LoseAnswersAfterWrite closes the connections of writes after they have
	// taken effect.
	LoseAnswersAfterWrite bool
	// LoseAnswers does the same for this number of writes.
	LoseAnswers int
	// DropClients does the same as Down for the calls of these clients.
	DropClients []string
	// ReadsPerSecond and WritesPerSecond refuse the calls that exceed them. The
	// burst is the rate of one second, and at least one call. Zero sets no
	// limit.
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// Stats counts calls since the start.
type Stats struct {
	Reads   uint64
	Writes  uint64
	Limited uint64
	HungUp  uint64
}

// Event is an input of the gate.
type Event[E any] interface{ isEvent(E) }

// Call is a call of a client.
type Call[E any] struct {
	Ticket uint64
	Client string
	Write  bool
	Inner  E
}

// SetFaults replaces the faults. If the ticket is not zero, it gets the action
// FaultsSet once they are in force.
type SetFaults[E any] struct {
	Ticket uint64
	Faults Faults
}

// Direct is an event for the inner machine that bypasses the faults.
type Direct[E any] struct{ Inner E }

// Disconnected reports that a caller has disconnected before its final
// response.
type Disconnected[E any] struct{ Ticket uint64 }

// Tick is the timer event.
type Tick[E any] struct{}

func (Call[E]) isEvent(E)         {}
func (SetFaults[E]) isEvent(E)    {}
func (Direct[E]) isEvent(E)       {}
func (Disconnected[E]) isEvent(E) {}
func (Tick[E]) isEvent(E)         {}

// Effect is an output of the gate.
type Effect[F any] struct {
	Ticket uint64
	Action Action
	// Inner is set for Deliver.
	Inner F
}

// Action is what to do with the caller of a ticket.
type Action int

// The values of Action.
const (
	// Deliver passes the inner effect to the caller.
	Deliver Action = iota
	// Abort closes the connection without a response.
	Abort
	// RateLimit tells the caller that the rate limit is exceeded and that the call was
	// not executed.
	RateLimit
	// FaultsSet confirms that the faults are in force.
	FaultsSet
)

// tokenBucket is a token bucket with the rate of one second as its burst.
type tokenBucket struct {
	level float64
	at    time.Time
}

func (b tokenBucket) take(rate float64, at time.Time) (tokenBucket, bool) {
	if rate <= 0 {
		return tokenBucket{}, true
	}
	burst := max(1, rate)
	if b.at.IsZero() {
		b.level = burst
	} else {
		b.level = min(burst, b.level+rate*at.Sub(b.at).Seconds())
	}
	b.at = at
	if b.level < 1 {
		return b, false
	}
	b.level--
	return b, true
}

// delayed is a group of effects that are delivered later.
type delayed[F any] struct {
	due     time.Time
	effects []Effect[F]
}

// State is the state of the gate and of its inner machine.
type State[S step.Machine[S, E, F], E any, F InnerEffect] struct {
	inner        S
	tick         E
	disconnected func(ticket uint64) E
	// openCalls holds the client of each call that waits for responses.
	openCalls *immutable.SortedMap[uint64, string]
	faults    Faults
	stats     Stats
	reads     tokenBucket
	writes    tokenBucket
	paused    *immutable.List[Call[E]]
	delayed   *immutable.List[delayed[F]]
}

// New returns a gate without faults. Tick is the timer event of the inner
// machine, and disconnected returns its event for a caller that has
// disconnected.
func New[S step.Machine[S, E, F], E any, F InnerEffect](inner S, tick E, disconnected func(ticket uint64) E) State[S, E, F] {
	return State[S, E, F]{
		inner:        inner,
		tick:         tick,
		disconnected: disconnected,
		openCalls:    immutable.NewSortedMap[uint64, string](nil),
		paused:       immutable.NewList[Call[E]](),
		delayed:      immutable.NewList[delayed[F]](),
	}
}

// Apply applies an event, subject to the faults in force.
func (s State[S, E, F]) Apply(in step.Input[Event[E]]) (State[S, E, F], []Effect[F]) {
	var out []Effect[F]
	switch e := in.Event.(type) {
	case Call[E]:
		s, out = s.receive(e, in)
	case SetFaults[E]:
		s.faults = e.Faults
		var more []Effect[F]
		s, out = s.abortUnreachable(in)
		s, more = s.resumePaused(in)
		out = append(out, more...)
		if e.Ticket != 0 {
			out = append(out, Effect[F]{Ticket: e.Ticket, Action: FaultsSet})
		}
	case Direct[E]:
		s, out = s.applyInner(e.Inner, in)
	case Disconnected[E]:
		if _, ok := s.openCalls.Get(e.Ticket); ok {
			s.openCalls = s.openCalls.Delete(e.Ticket)
			s, out = s.applyInner(s.disconnected(e.Ticket), in)
		}
	case Tick[E]:
		s, out = s.releaseDue(in.At)
		if s.faults.Pause {
			break
		}
		if next := s.inner.Next(); !next.IsZero() && !next.After(in.At) {
			var more []Effect[F]
			s, more = s.applyInner(s.tick, in)
			out = append(out, more...)
		}
	}
	return s, out
}

// Faults returns the faults in force.
func (s State[S, E, F]) Faults() Faults { return s.faults }

// Inner returns the inner machine.
func (s State[S, E, F]) Inner() S { return s.inner }

// Next returns when a delayed response is due or the inner machine needs its
// timer event.
func (s State[S, E, F]) Next() time.Time {
	var next time.Time
	if !s.faults.Pause {
		next = s.inner.Next()
	}
	for itr := s.delayed.Iterator(); !itr.Done(); {
		_, l := itr.Next()
		next = step.Earliest(next, l.due)
	}
	return next
}

// Stats returns the counters.
func (s State[S, E, F]) Stats() Stats { return s.stats }

func (s State[S, E, F]) receive(e Call[E], in step.Input[Event[E]]) (State[S, E, F], []Effect[F]) {
	if e.Write {
		s.stats.Writes++
	} else {
		s.stats.Reads++
	}
	if s.unreachable(e.Client) {
		return s.abort(e.Ticket)
	}
	if s.faults.Pause {
		if s.paused.Len() >= maxPaused {
			return s.abort(e.Ticket)
		}
		s.paused = s.paused.Append(e)
		return s, nil
	}
	return s.execute(e, in)
}

func (s State[S, E, F]) unreachable(client string) bool {
	return s.faults.Down || slices.Contains(s.faults.DropClients, client)
}

// abortUnreachable closes the connections of the open calls that the faults cut
// off.
func (s State[S, E, F]) abortUnreachable(in step.Input[Event[E]]) (State[S, E, F], []Effect[F]) {
	var out []Effect[F]
	for itr := s.openCalls.Iterator(); !itr.Done(); {
		ticket, client, _ := itr.Next()
		if !s.unreachable(client) {
			continue
		}
		s.openCalls = s.openCalls.Delete(ticket)
		var cut, more []Effect[F]
		s, cut = s.abort(ticket)
		s, more = s.applyInner(s.disconnected(ticket), in)
		out = append(append(out, cut...), more...)
	}
	return s, out
}

func (s State[S, E, F]) abort(ticket uint64) (State[S, E, F], []Effect[F]) {
	s.stats.HungUp++
	return s, []Effect[F]{{Ticket: ticket, Action: Abort}}
}

func (s State[S, E, F]) execute(e Call[E], in step.Input[Event[E]]) (State[S, E, F], []Effect[F]) {
	ok := false
	if e.Write {
		s.writes, ok = s.writes.take(s.faults.WritesPerSecond, in.At)
	} else {
		s.reads, ok = s.reads.take(s.faults.ReadsPerSecond, in.At)
	}
	if !ok {
		s.stats.Limited++
		return s, []Effect[F]{{Ticket: e.Ticket, Action: RateLimit}}
	}
	s.openCalls = s.openCalls.Set(e.Ticket, e.Client)
	s, out := s.applyInner(e.Inner, in)
	if e.Write && (s.faults.LoseAnswersAfterWrite || s.faults.LoseAnswers > 0) {
		s.faults.LoseAnswers = max(0, s.faults.LoseAnswers-1)
		s.stats.HungUp++
		for i := range out {
			if out[i].Ticket == e.Ticket {
				out[i] = Effect[F]{Ticket: e.Ticket, Action: Abort}
			}
		}
	}
	if s.faults.SlowBy > 0 && len(out) > 0 {
		s.delayed = s.delayed.Append(delayed[F]{due: in.At.Add(s.faults.SlowBy), effects: out})
		out = nil
	}
	return s, out
}

func (s State[S, E, F]) applyInner(event E, in step.Input[Event[E]]) (State[S, E, F], []Effect[F]) {
	var effects []F
	s.inner, effects = s.inner.Apply(step.Input[E]{At: in.At, Random: in.Random, Event: event})
	out := make([]Effect[F], 0, len(effects))
	for _, effect := range effects {
		if effect.Final() {
			s.openCalls = s.openCalls.Delete(effect.Recipient())
		}
		out = append(out, Effect[F]{Ticket: effect.Recipient(), Inner: effect})
	}
	return s, out
}

// releaseDue returns the delayed effects that are due.
func (s State[S, E, F]) releaseDue(at time.Time) (State[S, E, F], []Effect[F]) {
	var out []Effect[F]
	kept := immutable.NewList[delayed[F]]()
	for itr := s.delayed.Iterator(); !itr.Done(); {
		_, l := itr.Next()
		if l.due.After(at) {
			kept = kept.Append(l)
			continue
		}
		out = append(out, l.effects...)
	}
	s.delayed = kept
	return s, out
}

// resumePaused executes the calls that a pause held back, unless the pause
// continues.
func (s State[S, E, F]) resumePaused(in step.Input[Event[E]]) (State[S, E, F], []Effect[F]) {
	if s.faults.Pause {
		return s, nil
	}
	var out []Effect[F]
	paused := s.paused
	s.paused = immutable.NewList[Call[E]]()
	for itr := paused.Iterator(); !itr.Done(); {
		_, e := itr.Next()
		var more []Effect[F]
		if s.unreachable(e.Client) {
			s, more = s.abort(e.Ticket)
		} else {
			s, more = s.execute(e, in)
		}
		out = append(out, more...)
	}
	return s, out
}
