package plain

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"caroblane/fake/gate"
	"caroblane/fake/serve"
)

const maxBodyBytes = 16 << 20

// Service serves a fake plain service over HTTP.
type Service struct {
	*serve.Server[State, Event, Response]
}

// New returns a service that serves on listener and starts with the given
// state.
func New(listener net.Listener, initial State, rng *rand.Rand, now func() time.Time) *Service {
	machine := gate.New[State, Event, Response](initial, Tick{}, func(uint64) Event { return Disconnected{} })
	return &Service{Server: serve.NewServer(listener, machine, serve.KeepLatest[Response], rng, now)}
}

// Run serves until the context is cancelled.
func (s *Service) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /crash", s.ServeCrash)
	mux.HandleFunc("GET /faults", s.ServeFaults)
	mux.HandleFunc("POST /faults", s.ServeFaults)
	mux.HandleFunc("GET /stats", s.serveStats)
	mux.HandleFunc("POST /status", s.serveStatus)
	mux.HandleFunc("/", s.serveExecute)
	return s.Server.Run(ctx, mux)
}

type responseBody struct {
	Path           string
	IdempotencyKey string `json:",omitempty"`
	RequestID      string `json:"RequestId"`
	BodyBytes      int
	Execution      int
}

type statsBody struct {
	Executions uint64
	Runs       []Record
}

type statusBody struct {
	Status int
	NotRun bool
}

func (s *Service) serveExecute(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		serve.Refuse(w, http.StatusRequestEntityTooLarge, "TooLarge", "NotRun", err.Error())
		return
	}
	response, ok := s.Ask(w, r, true, func(ticket uint64) Event {
		return Execute{
			Ticket:         ticket,
			IdempotencyKey: r.Header.Get("Idempotency-Key"),
			RequestID:      r.Header.Get("X-Request-Id"),
			Method:         r.Method,
			Path:           r.URL.Path,
			BodyBytes:      len(body),
		}
	})
	if !ok {
		return
	}
	if response.NotRun {
		serve.Refuse(w, response.Status, "Full", "NotRun", "request was refused")
		return
	}
	serve.JSON(w, response.Status, responseBody{
		Path:           r.URL.Path,
		IdempotencyKey: response.Run.IdempotencyKey,
		RequestID:      r.Header.Get("X-Request-Id"),
		BodyBytes:      len(body),
		Execution:      response.Run.Executions,
	})
}

func (s *Service) serveStats(w http.ResponseWriter, _ *http.Request) {
	state := s.Snapshot().Inner()
	serve.JSON(w, http.StatusOK, statsBody{Executions: state.ExecutionCount(), Runs: state.Records()})
}

func (s *Service) serveStatus(w http.ResponseWriter, r *http.Request) {
	body, ok := serve.Decode[statusBody](w, r)
	if !ok {
		return
	}
	if body.Status != 0 && (body.Status < 200 || body.Status > 599) {
		serve.Refuse(w, http.StatusBadRequest, "Malformed", "NotRun", "field Status: accepted: 0, or 200 to 599")
		return
	}
	if err := s.Direct(r.Context(), SetStatus(body)); err != nil {
		serve.Abort(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
