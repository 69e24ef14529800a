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
	"caroblane/io/clock"
	"caroblane/io/loop"
)

const eventQueueSize = 16_384

// maxControlBytes limits the body of a control call.
const maxControlBytes = 1 << 16

// Server runs a machine behind a gate and serves its HTTP API.
type Server[S step.Machine[S, E, F], E any, F gate.InnerEffect] struct {
	listener       net.Listener
	loop           *loop.Loop[gate.State[S, E, F], gate.Event[E], gate.Effect[F]]
	waiters        *Waiters[gate.Effect[F]]
	now            func() time.Time
	onGlobalEffect func(F)
	restarts       chan time.Time
	done           chan struct{}
}

// NewServer returns a server that starts with the given state.
func NewServer[S step.Machine[S, E, F], E any, F gate.InnerEffect](
	listener net.Listener, initial gate.State[S, E, F], merge func(old, next F) F,
	rng *rand.Rand, now func() time.Time,
) *Server[S, E, F] {
	s := &Server[S, E, F]{
		listener:       listener,
		now:            now,
		onGlobalEffect: func(F) {},
		restarts:       make(chan time.Time, 1),
		done:           make(chan struct{}),
	}
	s.waiters = NewWaiters(func(old, next gate.Effect[F]) gate.Effect[F] {
		if old.Action != gate.Deliver {
			// The call has ended: nothing that follows reaches its caller.
			return old
		}
		if next.Action != gate.Deliver {
			return next
		}
		return gate.Effect[F]{Ticket: next.Ticket, Inner: merge(old.Inner, next.Inner)}
	})
	s.loop = loop.New[gate.State[S, E, F], gate.Event[E], gate.Effect[F]](
		initial, s, gate.Tick[E]{}, eventQueueSize, rng, clock.Func(now))
	return s
}

// KeepLatest is the merge function of machines that respond to each call
// once.
func KeepLatest[F any](_, next F) F { return next }

// Addr returns the address of the listener.
func (s *Server[S, E, F]) Addr() string { return s.listener.Addr().String() }

// Call is an open call.
type Call[F gate.InnerEffect] struct {
	effects <-chan gate.Effect[F]
	ticket  uint64
	// finished is set once the caller has its final response.
	finished bool
}

// Next returns the next effect for the caller. It returns false if the context
// ends first.
func (c *Call[F]) Next(ctx context.Context) (gate.Effect[F], bool) {
	select {
	case effect := <-c.effects:
		c.finished = effect.Action != gate.Deliver || effect.Inner.Final()
		return effect, true
	case <-ctx.Done():
		return gate.Effect[F]{}, false
	}
}

// Ask passes a call through the gate and returns its only response. If there is
// none, it has refused the call or closed the connection, and ok is false.
func (s *Server[S, E, F]) Ask(
	w http.ResponseWriter, r *http.Request, write bool, event func(ticket uint64) E,
) (response F, ok bool) {
	call, err := s.Open(r, write, event)
	if err != nil {
		Abort(w)
		return response, false
	}
	defer s.Close(r, call)
	return s.Await(w, r, call)
}

// Await returns the next response to a call, like Ask.
func (s *Server[S, E, F]) Await(w http.ResponseWriter, r *http.Request, call *Call[F]) (response F, ok bool) {
	effect, ok := call.Next(r.Context())
	if !ok {
		Abort(w)
		return response, false
	}
	switch effect.Action {
	case gate.Deliver:
		return effect.Inner, true
	case gate.RateLimit:
		w.Header().Set("Retry-After", "1")
		Refuse(w, http.StatusTooManyRequests, "RateLimited", "NotRun", "rate of calls exceeded")
	case gate.Abort, gate.FaultsSet:
		Abort(w)
	}
	return response, false
}

// Close ends a call. The machine is told if the caller left before the final
// response.
func (s *Server[S, E, F]) Close(r *http.Request, call *Call[F]) {
	s.waiters.Unregister(call.ticket)
	if !call.finished {
		_ = s.loop.Post(context.WithoutCancel(r.Context()), gate.Disconnected[E]{Ticket: call.ticket})
	}
}

// Direct passes an event to the machine. The faults of the gate do not affect it.
func (s *Server[S, E, F]) Direct(ctx context.Context, event E) error {
	return s.loop.Post(ctx, gate.Direct[E]{Inner: event})
}

// Done is closed when Run has returned.
func (s *Server[S, E, F]) Done() <-chan struct{} { return s.done }

// Execute passes an effect to the handler of its call.
func (s *Server[S, E, F]) Execute(_ context.Context, effect gate.Effect[F]) {
	if effect.Ticket == 0 {
		s.onGlobalEffect(effect.Inner)
		return
	}
	s.waiters.Deliver(effect.Ticket, effect)
}

// ServeCrash closes the listener and all connections for the duration in the field
// Term of the body.
func (s *Server[S, E, F]) ServeCrash(w http.ResponseWriter, r *http.Request) {
	if body, ok := Decode[crashBody](w, r); ok {
		s.Restart(s.now().Add(time.Duration(body.Term)))
	}
}

// ServeFaults serves GET and POST of the faults in force.
func (s *Server[S, E, F]) ServeFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		JSON(w, http.StatusOK, NewFaultsBody(s.Snapshot().Faults()))
		return
	}
	faults, ok := Decode[FaultsBody](w, r)
	if !ok {
		return
	}
	if err := s.SetFaults(r.Context(), faults.Faults()); err != nil {
		Abort(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

type crashBody struct{ Term Duration }

// FaultsBody is the JSON form of gate.Faults.
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

// Faults returns the faults in the body.
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

// NewFaultsBody returns the JSON form of faults.
func NewFaultsBody(f gate.Faults) FaultsBody {
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

// Duration is a time.Duration in JSON text form, such as "250ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// OnGlobalEffect sets the handler of effects that have no recipient. It must be
// called before Run.
func (s *Server[S, E, F]) OnGlobalEffect(handler func(F)) { s.onGlobalEffect = handler }

// Open passes a call through the gate. The caller must close it with Close.
func (s *Server[S, E, F]) Open(r *http.Request, write bool, event func(ticket uint64) E) (*Call[F], error) {
	ticket, effects := s.waiters.Register()
	call := gate.Call[E]{Ticket: ticket, Client: r.Header.Get("X-Client"), Write: write, Inner: event(ticket)}
	if err := s.loop.Post(r.Context(), call); err != nil {
		s.waiters.Unregister(ticket)
		return nil, err
	}
	return &Call[F]{effects: effects, ticket: ticket}, nil
}

// Restart closes the listener and all connections at once, and listens on the
// same address again at the given time. It does nothing while a restart is
// pending.
func (s *Server[S, E, F]) Restart(at time.Time) {
	select {
	case s.restarts <- at:
	default:
	}
}

// Run serves until the context is cancelled.
func (s *Server[S, E, F]) Run(ctx context.Context, handler http.Handler) error {
	defer close(s.done)
	ctx, stop := context.WithCancel(ctx)
	go s.loop.Run(ctx)
	err := s.serveWithRestarts(ctx, handler)
	stop()
	<-s.loop.Done()
	return err
}

// serveWithRestarts runs the HTTP server and starts it again after each
// restart.
func (s *Server[S, E, F]) serveWithRestarts(ctx context.Context, handler http.Handler) error {
	listener := s.listener
	for {
		serverCtx, cancel := context.WithCancel(ctx)
		serveErr := make(chan error, 1)
		go func() { serveErr <- Run(serverCtx, listener, handler) }()
		var at time.Time
		select {
		case err := <-serveErr:
			cancel()
			return err
		case at = <-s.restarts:
			cancel()
			if err := <-serveErr; err != nil {
				return err
			}
		}
		timer := time.NewTimer(at.Sub(s.now()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
		var err error
		if listener, err = (&net.ListenConfig{}).Listen(ctx, "tcp", s.Addr()); err != nil {
			return Failed.Wrap(err, "cannot listen on %s again after a restart", s.Addr())
		}
	}
}

// SetFaults replaces the faults in force. When it returns, they apply to all
// new calls and are part of every snapshot.
func (s *Server[S, E, F]) SetFaults(ctx context.Context, faults gate.Faults) error {
	ticket, inForce := s.waiters.Register()
	defer s.waiters.Unregister(ticket)
	if err := s.loop.Post(ctx, gate.SetFaults[E]{Ticket: ticket, Faults: faults}); err != nil {
		return err
	}
	select {
	case <-inForce:
		return nil
	case <-s.loop.Done():
		return loop.Stopped.New("control loop has stopped")
	case <-ctx.Done():
		return loop.Stopped.Wrap(ctx.Err(), "waiting until the faults are in force")
	}
}

// Snapshot returns the state after the last event.
func (s *Server[S, E, F]) Snapshot() gate.State[S, E, F] { return s.loop.Snapshot() }

// Decode reads the JSON body of a control call, and rejects unknown fields. It
// writes the refusal if it fails.
func Decode[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var value T
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
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

// Refuse writes a refusal as JSON.
func Refuse(w http.ResponseWriter, status int, reason, execution, message string) {
	JSON(w, status, refusalBody{Reason: reason, Execution: execution, Message: message})
}
