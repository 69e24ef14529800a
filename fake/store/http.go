package store

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"caroblane/fake/gate"
	"caroblane/fake/serve"
)

const (
	defaultLimit       = 1_000
	maxLimit           = 10_000
	maxLongPollTimeout = 60 * time.Second
)

// Store serves a fake platform over HTTP.
type Store struct {
	*serve.Server[State, Event, Response]
	now func() time.Time
}

// New returns a store that serves on listener and starts with the given state.
func New(listener net.Listener, initial State, rng *rand.Rand, now func() time.Time) *Store {
	return &Store{
		Server: serve.NewServer(listener, newGate(initial), serve.KeepLatest[Response], rng, now),
		now:    now,
	}
}

func newGate(initial State) gate.State[State, Event, Response] {
	return gate.New[State, Event, Response](initial, Tick{}, func(ticket uint64) Event { return Disconnected{Ticket: ticket} })
}

// Run serves until the context is cancelled.
func (s *Store) Run(ctx context.Context) error { return s.Server.Run(ctx, s.routes()) }

func (s *Store) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /crash", s.ServeCrash)
	mux.HandleFunc("GET /faults", s.ServeFaults)
	mux.HandleFunc("POST /faults", s.ServeFaults)
	mux.HandleFunc("GET /objects", s.serveWatch)
	mux.HandleFunc("GET /objects/{kind}/{name}", s.serveGet)
	mux.HandleFunc("PUT /objects/{kind}/{name}", s.serveWrite)
	mux.HandleFunc("DELETE /objects/{kind}/{name}", s.serveWrite)
	mux.HandleFunc("GET /provisions", s.serveReadProvisions)
	mux.HandleFunc("POST /provisions/{id}", s.servePostProvision)
	mux.HandleFunc("GET /stats", s.serveStats)
	mux.HandleFunc("GET /usage", s.serveReadUsage)
	mux.HandleFunc("POST /usage/{window}", s.servePostUsage)
	mux.HandleFunc("GET /vms", s.serveReadVMs)
	mux.HandleFunc("POST /vms", s.serveSetVMs)
	mux.HandleFunc("GET /weights/{model}", s.serveReadWeights)
	return mux
}

func (s *Store) serveStats(w http.ResponseWriter, _ *http.Request) {
	snapshot := s.Snapshot()
	serve.JSON(w, http.StatusOK, statsBody{Stats: snapshot.Stats(), Revision: snapshot.Inner().Revision()})
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	s.ask(w, r, false, func(ticket uint64) Event {
		return Get{Ticket: ticket, Kind: r.PathValue("kind"), Name: r.PathValue("name")}
	})
}

func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.Header.Get("If-Version"), 10, 64)
	if err != nil {
		refuseField(w, http.StatusBadRequest, "If-Version", r.Header.Get("If-Version"), "a revision, 0 to create")
		return
	}
	var body json.RawMessage
	if r.Method == http.MethodPut {
		// State.put enforces the limit on values. This larger limit only bounds
		// the memory for the body.
		body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, 4<<20))
		if err != nil {
			refuseField(w, http.StatusRequestEntityTooLarge, "body", "more than 4 MB or cut", "up to 1 MB of JSON")
			return
		}
		if !json.Valid(body) {
			refuseField(w, http.StatusBadRequest, "body", "no JSON", "one JSON value")
			return
		}
	}
	s.ask(w, r, true, func(ticket uint64) Event {
		return Put{
			Ticket:    ticket,
			Kind:      r.PathValue("kind"),
			Name:      r.PathValue("name"),
			IfVersion: version,
			Delete:    r.Method == http.MethodDelete,
			Nonce:     r.Header.Get("Nonce"),
			Value:     body,
		}
	})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	param := func(name string, defaultValue, maximum uint64) (uint64, bool) {
		text := query.Get(name)
		if text == "" {
			return defaultValue, true
		}
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil || n > maximum {
			refuseField(w, http.StatusBadRequest, name, text, "0 to "+strconv.FormatUint(maximum, 10))
			return 0, false
		}
		return n, true
	}
	after, ok := param("after", 0, 1<<63)
	if !ok {
		return
	}
	wait, ok := param("wait", 0, uint64(maxLongPollTimeout/time.Millisecond))
	if !ok {
		return
	}
	limit, ok := param("limit", defaultLimit, maxLimit)
	if !ok {
		return
	}
	var kinds []string
	if text := query.Get("kinds"); text != "" {
		kinds = strings.Split(text, ",")
	}
	s.ask(w, r, false, func(ticket uint64) Event {
		return Watch{
			Ticket: ticket,
			After:  after,
			Limit:  max(1, int(limit)),
			Kinds:  kinds,
			Until:  s.now().Add(time.Duration(wait) * time.Millisecond),
		}
	})
}

type statsBody struct {
	gate.Stats
	Revision uint64
}

func refuseField(w http.ResponseWriter, status int, field, value, accepted string) {
	serve.Refuse(w, status, "Malformed", "NotRun",
		"field "+field+" has value "+strconv.Quote(value)+"; accepted: "+accepted)
}

func writeResponse(w http.ResponseWriter, response Response) {
	if response.Fault != nil {
		serve.Refuse(w, response.Status, response.Fault.Reason, response.Fault.Execution, response.Fault.Message)
		return
	}
	serve.JSON(w, response.Status, response.Body)
}
