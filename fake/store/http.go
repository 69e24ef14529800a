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
	defaultLimit = 1_000
	maxLimit     = 10_000
	maxWait      = 60 * time.Second
)

// Store is the stand-in platform on a listener.
type Store struct {
	*serve.Gated[State, Event, Answer]
	now func() time.Time
}

// New returns a stand-in that starts with the given state.
func New(listener net.Listener, initial State, draw *rand.Rand, now func() time.Time) *Store {
	return &Store{
		Gated: serve.NewGated(listener, gated(initial), serve.Newest[Answer], draw, now),
		now:   now,
	}
}

func gated(initial State) gate.State[State, Event, Answer] {
	return gate.New[State, Event, Answer](initial, Tick{}, func(ticket uint64) Event { return Gone{Ticket: ticket} })
}

// Run serves until the context ends.
func (s *Store) Run(ctx context.Context) error { return s.Gated.Run(ctx, s.routes()) }

func (s *Store) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /crash", s.HandleCrash)
	mux.HandleFunc("GET /faults", s.HandleFaults)
	mux.HandleFunc("POST /faults", s.HandleFaults)
	mux.HandleFunc("GET /objects", s.handleWatch)
	mux.HandleFunc("GET /objects/{kind}/{name}", s.handleGet)
	mux.HandleFunc("PUT /objects/{kind}/{name}", s.handlePut)
	mux.HandleFunc("DELETE /objects/{kind}/{name}", s.handlePut)
	mux.HandleFunc("GET /provisions", s.handleProvisions)
	mux.HandleFunc("POST /provisions/{id}", s.handleProvision)
	mux.HandleFunc("GET /stats", s.handleStats)
	mux.HandleFunc("GET /usage", s.handleReports)
	mux.HandleFunc("POST /usage/{window}", s.handleUsage)
	mux.HandleFunc("GET /vms", s.handleVMs)
	mux.HandleFunc("POST /vms", s.handleSetVMs)
	mux.HandleFunc("GET /weights/{model}", s.handleWeights)
	return mux
}

func (s *Store) handleStats(w http.ResponseWriter, _ *http.Request) {
	snapshot := s.Snapshot()
	serve.JSON(w, http.StatusOK, statsBody{Stats: snapshot.Stats(), Revision: snapshot.Inner().Revision()})
}

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	s.ask(w, r, false, func(ticket uint64) Event {
		return Get{Ticket: ticket, Kind: r.PathValue("kind"), Name: r.PathValue("name")}
	})
}

func (s *Store) handlePut(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.Header.Get("If-Version"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, "If-Version", r.Header.Get("If-Version"), "a revision, 0 to create")
		return
	}
	var body json.RawMessage
	if r.Method == http.MethodPut {
		// The machine refuses a value over its limit; this bound keeps the body
		// out of memory.
		body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, 4<<20))
		if err != nil {
			refuse(w, http.StatusRequestEntityTooLarge, "body", "more than 4 MB or cut", "up to 1 MB of JSON")
			return
		}
		if !json.Valid(body) {
			refuse(w, http.StatusBadRequest, "body", "no JSON", "one JSON value")
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

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	number := func(name string, otherwise, high uint64) (uint64, bool) {
		text := query.Get(name)
		if text == "" {
			return otherwise, true
		}
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil || n > high {
			refuse(w, http.StatusBadRequest, name, text, "0 to "+strconv.FormatUint(high, 10))
			return 0, false
		}
		return n, true
	}
	after, ok := number("after", 0, 1<<63)
	if !ok {
		return
	}
	wait, ok := number("wait", 0, uint64(maxWait/time.Millisecond))
	if !ok {
		return
	}
	limit, ok := number("limit", defaultLimit, maxLimit)
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

func refuse(w http.ResponseWriter, status int, field, value, accepted string) {
	serve.Refuse(w, status, "Malformed", "NotRun",
		"field "+field+" has value "+strconv.Quote(value)+"; accepted: "+accepted)
}

func reply(w http.ResponseWriter, answer Answer) {
	if answer.Fault != nil {
		serve.Refuse(w, answer.Status, answer.Fault.Reason, answer.Fault.Execution, answer.Fault.Message)
		return
	}
	serve.JSON(w, answer.Status, answer.Body)
}
