// Package admin serves health, readiness, metrics, status and the operators'
// commands of one node. The listener has no access control of its own: its
// address belongs on a network that only operators reach.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"caroblane/core/model"
)

const (
	headerWithin = 5 * time.Second
	answerWithin = 30 * time.Second
	stopWithin   = 5 * time.Second
)

// Errors is the namespace of this layer's errors.
var Errors = errorx.NewNamespace("admin")

// Failed is the type of errors that Serve returns.
var Failed = Errors.NewType("failed")

// Commands post what an operator asks for to the control loop. They return
// when the event is queued. A nil command is not available.
type Commands struct {
	Drain  func(context.Context) error
	Forget func(context.Context, model.NodeName) error
}

// Handler serves the admin interface.
type Handler struct {
	mux      *http.ServeMux
	status   func() Status
	commands Commands
	stopped  <-chan struct{}
}

// New returns a handler. Status reads the current snapshot; stopped is closed
// when the control loop has ended, which makes the node unhealthy.
func New(status func() Status, commands Commands, metrics http.Handler, stopped <-chan struct{}) *Handler {
	h := &Handler{mux: http.NewServeMux(), status: status, commands: commands, stopped: stopped}
	h.mux.HandleFunc("GET /healthz", h.health)
	h.mux.HandleFunc("GET /readyz", h.ready)
	h.mux.HandleFunc("GET /status", h.show)
	h.mux.HandleFunc("POST /drain", h.drain)
	h.mux.HandleFunc("POST /forget", h.forget)
	h.mux.Handle("GET /metrics", metrics)
	return h
}

// ServeHTTP answers one request. Requests that a web page of another origin
// sends are refused, so that no page can drain a node through an operator's
// browser.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := http.NewCrossOriginProtection().Check(r); err != nil {
		answer(w, http.StatusForbidden, failure{Message: err.Error()})
		return
	}
	h.mux.ServeHTTP(w, r)
}

// Serve serves the handler on a listener until the context ends. The error is
// nil after a stop that the context asked for, else Failed.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerWithin, WriteTimeout: answerWithin}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case err := <-ended:
		return Failed.New("admin listener %s: %v", listener.Addr(), err)
	case <-ctx.Done():
	}
	// The context has ended, and open requests get a term of their own.
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopWithin)
	defer cancel()
	if err := server.Shutdown(stop); err != nil {
		return Failed.New("admin listener %s did not stop within %s: %v", listener.Addr(), stopWithin, err)
	}
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		return Failed.New("admin listener %s: %v", listener.Addr(), err)
	}
	return nil
}

func (h *Handler) drain(w http.ResponseWriter, r *http.Request) {
	if h.commands.Drain == nil {
		answer(w, http.StatusNotImplemented, failure{Message: "drain is not available on this node"})
		return
	}
	if err := h.commands.Drain(r.Context()); err != nil {
		answer(w, http.StatusServiceUnavailable, failure{Message: err.Error()})
		return
	}
	answer(w, http.StatusAccepted, accepted{Accepted: true})
}

func (h *Handler) forget(w http.ResponseWriter, r *http.Request) {
	name := model.NodeName(r.URL.Query().Get("node"))
	switch status := h.status(); {
	case h.commands.Forget == nil:
		answer(w, http.StatusNotImplemented, failure{Message: "forget is not available on this node"})
	case name == "":
		answer(w, http.StatusBadRequest, failure{Message: "parameter node is empty; accepted: the name of a member"})
	case name == status.Node:
		answer(w, http.StatusBadRequest, failure{Message: "parameter node names this node; accepted: another member"})
	case !status.has(name):
		answer(w, http.StatusNotFound, failure{Message: "node " + string(name) + " is not a member of the roster"})
	default:
		if err := h.commands.Forget(r.Context(), name); err != nil {
			answer(w, http.StatusServiceUnavailable, failure{Message: err.Error()})
			return
		}
		answer(w, http.StatusAccepted, accepted{Accepted: true})
	}
}

func (h *Handler) health(w http.ResponseWriter, _ *http.Request) {
	select {
	case <-h.stopped:
		answer(w, http.StatusServiceUnavailable, failure{Message: "control loop has stopped"})
	default:
		answer(w, http.StatusOK, accepted{Accepted: true})
	}
}

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	switch status := h.status(); {
	case status.Draining:
		answer(w, http.StatusServiceUnavailable, failure{Message: "draining"})
	case !status.Fresh:
		answer(w, http.StatusServiceUnavailable, failure{Message: "configuration is not fresh"})
	default:
		answer(w, http.StatusOK, accepted{Accepted: true})
	}
}

func (h *Handler) show(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, h.status())
}

// accepted and failure are the bodies of answers without a status.
type (
	accepted struct{ Accepted bool }
	failure  struct{ Message string }
)

func answer(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(body) // The caller has left if this fails.
}
