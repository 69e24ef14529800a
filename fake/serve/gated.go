package serve

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"caroblane/core/step"
	"caroblane/fake/gate"
	"caroblane/io/loop"
)

const queueSize = 16_384

// maxControl bounds the body of a control call.
const maxControl = 1 << 16

// Gated runs a machine behind a gate and serves HTTP for it.
type Gated[S step.Machine[S, E, F], E any, F gate.Answer] struct {
	listener net.Listener
	loop     *loop.Loop[gate.State[S, E, F], gate.Event[E], gate.Effect[F]]
	desk     *Desk[gate.Effect[F]]
	now      func() time.Time
	other    func(F)
	restarts chan time.Time
	done     chan struct{}
}

// NewGated returns a stand-in that starts with the given state.
func NewGated[S step.Machine[S, E, F], E any, F gate.Answer](
	listener net.Listener, initial gate.State[S, E, F], merge func(old, next F) F,
	draw *rand.Rand, now func() time.Time,
) *Gated[S, E, F] {
	g := &Gated[S, E, F]{
		listener: listener,
		now:      now,
		other:    func(F) {},
		restarts: make(chan time.Time, 1),
		done:     make(chan struct{}),
	}
	g.desk = NewDesk(func(old, next gate.Effect[F]) gate.Effect[F] {
		if old.Action != gate.Deliver {
			// The call is over: nothing that follows reaches its caller.
			return old
		}
		if next.Action != gate.Deliver {
			return next
		}
		return gate.Effect[F]{Ticket: next.Ticket, Inner: merge(old.Inner, next.Inner)}
	})
	g.loop = loop.New[gate.State[S, E, F], gate.Event[E], gate.Effect[F]](
		initial, g, gate.Tick[E]{}, queueSize, draw, now)
	return g
}

// Newest is the merge of stand-ins that answer each call once.
func Newest[F any](_, next F) F { return next }

// Addr returns the address of the listener.
func (g *Gated[S, E, F]) Addr() string { return g.listener.Addr().String() }

// Call is an open call.
type Call[F gate.Answer] struct {
	answers <-chan gate.Effect[F]
	ticket  uint64
	// over tells that the caller has got its last answer.
	over bool
}

// Next returns the next effect for the caller. It reports false when the
// context ends.
func (c *Call[F]) Next(ctx context.Context) (gate.Effect[F], bool) {
	select {
	case given := <-c.answers:
		c.over = given.Action != gate.Deliver || given.Inner.Final()
		return given, true
	case <-ctx.Done():
		return gate.Effect[F]{}, false
	}
}

// Ask passes a call through the gate and returns its only answer. Without an
// answer the connection is closed, or the refusal written, and ok is false.
func (g *Gated[S, E, F]) Ask(
	w http.ResponseWriter, r *http.Request, write bool, event func(ticket uint64) E,
) (answer F, ok bool) {
	call, err := g.Open(r, write, event)
	if err != nil {
		Hangup(w)
		return answer, false
	}
	defer g.Close(r, call)
	return g.Await(w, r, call)
}

// Await returns the next answer to a call, like Ask.
func (g *Gated[S, E, F]) Await(w http.ResponseWriter, r *http.Request, call *Call[F]) (answer F, ok bool) {
	given, ok := call.Next(r.Context())
	if !ok {
		Hangup(w)
		return answer, false
	}
	switch given.Action {
	case gate.Deliver:
		return given.Inner, true
	case gate.RateLimit:
		w.Header().Set("Retry-After", "1")
		Refuse(w, http.StatusTooManyRequests, "RateLimited", "NotRun", "rate of calls exceeded")
	case gate.Abort, gate.FaultsSet:
		Hangup(w)
	}
	return answer, false
}

// Close ends a call. The machine learns of a caller that left early.
func (g *Gated[S, E, F]) Close(r *http.Request, call *Call[F]) {
	g.desk.Close(call.ticket)
	if !call.over {
		_ = g.loop.Post(context.WithoutCancel(r.Context()), gate.Disconnected[E]{Ticket: call.ticket})
	}
}

// Direct passes an event to the machine past the gate.
func (g *Gated[S, E, F]) Direct(ctx context.Context, event E) error {
	return g.loop.Post(ctx, gate.Direct[E]{Inner: event})
}

// Done is closed when Run has returned.
func (g *Gated[S, E, F]) Done() <-chan struct{} { return g.done }

// Execute hands an answer to its handler.
func (g *Gated[S, E, F]) Execute(_ context.Context, effect gate.Effect[F]) {
	if effect.Ticket == 0 {
		g.other(effect.Inner)
		return
	}
	g.desk.Deliver(effect.Ticket, effect)
}

// HandleCrash ends the listener and all connections for the term in the body.
func (g *Gated[S, E, F]) HandleCrash(w http.ResponseWriter, r *http.Request) {
	if body, ok := Decode[crashBody](w, r); ok {
		g.Restart(g.now().Add(time.Duration(body.Term)))
	}
}

// HandleFaults sets the faults to the JSON body, or returns those in force.
func (g *Gated[S, E, F]) HandleFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		JSON(w, http.StatusOK, FaultsOf(g.Snapshot().Faults()))
		return
	}
	faults, ok := Decode[FaultsBody](w, r)
	if !ok {
		return
	}
	if err := g.SetFaults(r.Context(), faults.Faults()); err != nil {
		Hangup(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

type crashBody struct{ Term Duration }

// FaultsBody is the JSON of gate.Faults.
type FaultsBody struct {
	Down                  bool
	Pause                 bool
	SlowBy                Duration
	LoseAnswersAfterWrite bool
	LoseAnswers           int
	DropClients           []string
	ReadsPerSecond        float64
	WritesPerSecond       float64
}

// Faults returns the faults of a body.
func (b FaultsBody) Faults() gate.Faults {
	return gate.Faults{
		Down:                  b.Down,
		Pause:                 b.Pause,
		SlowBy:                time.Duration(b.SlowBy),
		LoseAnswersAfterWrite: b.LoseAnswersAfterWrite,
		LoseAnswers:           b.LoseAnswers,
		DropClients:           b.DropClients,
		ReadsPerSecond:        b.ReadsPerSecond,
		WritesPerSecond:       b.WritesPerSecond,
	}
}

// FaultsOf returns the body of faults.
func FaultsOf(f gate.Faults) FaultsBody {
	return FaultsBody{
		Down:                  f.Down,
		Pause:                 f.Pause,
		SlowBy:                Duration(f.SlowBy),
		LoseAnswersAfterWrite: f.LoseAnswersAfterWrite,
		LoseAnswers:           f.LoseAnswers,
		DropClients:           f.DropClients,
		ReadsPerSecond:        f.ReadsPerSecond,
		WritesPerSecond:       f.WritesPerSecond,
	}
}

// Duration is written like 250ms in JSON.
type Duration time.Duration

// MarshalText returns the text of a duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads the text of a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// OnOther sets what is done with effects that are for no caller. It must be
// called before Run.
func (g *Gated[S, E, F]) OnOther(other func(F)) { g.other = other }

// Open passes a call through the gate. The caller must close it.
func (g *Gated[S, E, F]) Open(r *http.Request, write bool, event func(ticket uint64) E) (*Call[F], error) {
	ticket, answers := g.desk.Open()
	call := gate.Call[E]{Ticket: ticket, Client: r.Header.Get("X-Client"), Write: write, Inner: event(ticket)}
	if err := g.loop.Post(r.Context(), call); err != nil {
		g.desk.Close(ticket)
		return nil, err
	}
	return &Call[F]{answers: answers, ticket: ticket}, nil
}

// Restart ends the listener and all connections at once, and listens again on
// the same address at the given time. It does nothing while a restart is
// pending.
func (g *Gated[S, E, F]) Restart(at time.Time) {
	select {
	case g.restarts <- at:
	default:
	}
}

// Run serves until the context ends.
func (g *Gated[S, E, F]) Run(ctx context.Context, handler http.Handler) error {
	defer close(g.done)
	ctx, stop := context.WithCancel(ctx)
	go g.loop.Run(ctx)
	err := g.serve(ctx, handler)
	stop()
	<-g.loop.Done()
	return err
}

// serve runs the HTTP server, again after each restart.
func (g *Gated[S, E, F]) serve(ctx context.Context, handler http.Handler) error {
	listener := g.listener
	for {
		running, crash := context.WithCancel(ctx)
		ended := make(chan error, 1)
		go func() { ended <- Run(running, listener, handler) }()
		var at time.Time
		select {
		case err := <-ended:
			crash()
			return err
		case at = <-g.restarts:
			crash()
			if err := <-ended; err != nil {
				return err
			}
		}
		wait := time.NewTimer(at.Sub(g.now()))
		select {
		case <-ctx.Done():
			wait.Stop()
			return nil
		case <-wait.C:
		}
		var err error
		if listener, err = (&net.ListenConfig{}).Listen(ctx, "tcp", g.Addr()); err != nil {
			return Failed.Wrap(err, "%s was not listened on again", g.Addr())
		}
	}
}

// SetFaults puts the faults into force. Calls that arrive after it has
// returned, and snapshots, see them.
func (g *Gated[S, E, F]) SetFaults(ctx context.Context, faults gate.Faults) error {
	ticket, changed := g.desk.Open()
	defer g.desk.Close(ticket)
	if err := g.loop.Post(ctx, gate.SetFaults[E]{Ticket: ticket, Faults: faults}); err != nil {
		return err
	}
	select {
	case <-changed:
		return nil
	case <-g.loop.Done():
		return loop.Stopped.New("control loop has stopped")
	case <-ctx.Done():
		return loop.Stopped.Wrap(ctx.Err(), "faults are not in force")
	}
}

// Snapshot returns the state after the last event.
func (g *Gated[S, E, F]) Snapshot() gate.State[S, E, F] { return g.loop.Snapshot() }

// Decode reads the JSON body of a control call, in which every field must be
// known. It writes the refusal if it fails.
func Decode[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var value T
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControl))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		Refuse(w, http.StatusBadRequest, "Malformed", "NotRun", err.Error())
		return value, false
	}
	return value, true
}

type refusalBody struct {
	Reason    string
	Execution string
	Message   string
}

// Refuse writes a typed refusal.
func Refuse(w http.ResponseWriter, status int, reason, execution, message string) {
	JSON(w, status, refusalBody{Reason: reason, Execution: execution, Message: message})
}
