package store

import (
	"encoding/json"
	"net/http"

	"caroblane/fake/serve"
)

// provisionBody is the body of POST /provisions/{id}.
type provisionBody struct {
	Lease string
	Epoch uint64
	Order json.RawMessage
}

type provisionsBody struct{ Provisions []Provision }

// reportBody is the body of POST /usage/{window}.
type reportBody struct {
	Lease string
	Epoch uint64
	Usage json.RawMessage
}

type reportsBody struct{ Reports []Report }

type reportCountBody struct{ Reports int }

type vmsBody struct {
	VMs []VM `json:"Vms"`
}

func (s *Store) ask(w http.ResponseWriter, r *http.Request, write bool, event func(ticket uint64) Event) {
	if response, ok := s.Ask(w, r, write, event); ok {
		writeResponse(w, response)
	}
}

func (s *Store) servePostProvision(w http.ResponseWriter, r *http.Request) {
	body, ok := serve.Decode[provisionBody](w, r)
	if !ok {
		return
	}
	s.ask(w, r, true, func(ticket uint64) Event {
		return PostProvision{
			Ticket: ticket, ID: r.PathValue("id"), Lease: body.Lease, Epoch: body.Epoch, Order: body.Order,
		}
	})
}

// serveReadProvisions and serveReadUsage let tests inspect the received
// calls. They read the state directly, so no fault affects them.
func (s *Store) serveReadProvisions(w http.ResponseWriter, _ *http.Request) {
	serve.JSON(w, http.StatusOK, provisionsBody{Provisions: s.Snapshot().Inner().Provisions()})
}

func (s *Store) serveReadUsage(w http.ResponseWriter, _ *http.Request) {
	serve.JSON(w, http.StatusOK, reportsBody{Reports: s.Snapshot().Inner().Reports()})
}

func (s *Store) serveSetVMs(w http.ResponseWriter, r *http.Request) {
	body, ok := serve.Decode[vmsBody](w, r)
	if !ok {
		return
	}
	if err := s.Direct(r.Context(), SetVMs(body)); err != nil {
		serve.Abort(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) servePostUsage(w http.ResponseWriter, r *http.Request) {
	body, ok := serve.Decode[reportBody](w, r)
	if !ok {
		return
	}
	s.ask(w, r, true, func(ticket uint64) Event {
		return PostUsage{Ticket: ticket, Report: Report{
			Window: r.PathValue("window"),
			Client: r.Header.Get("X-Client"),
			Lease:  body.Lease,
			Epoch:  body.Epoch,
			Usage:  body.Usage,
		}}
	})
}

func (s *Store) serveReadVMs(w http.ResponseWriter, r *http.Request) {
	s.ask(w, r, false, func(ticket uint64) Event { return GetVMs{Ticket: ticket} })
}

func (s *Store) serveReadWeights(w http.ResponseWriter, r *http.Request) {
	s.ask(w, r, false, func(ticket uint64) Event { return GetWeights{Ticket: ticket, Model: r.PathValue("model")} })
}
