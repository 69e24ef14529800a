// Package admin implements the admin HTTP interface of a node: health,
// readiness, metrics, status and operator commands. It has no access control of
// its own, so the listener must be on a network that only operators can reach.
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
	readHeaderTimeout = 5 * time.Second
	writeTimeout      = 30 * time.Second
	shutdownTimeout   = 5 * time.Second
)

// Errors is the error namespace of this package.
var Errors = errorx.NewNamespace("admin")

// Failed is the type of errors that Serve returns.
var Failed = Errors.NewType("failed")

// Commands are functions that post operator commands to the control loop. They
// return when the event is queued. A command is unavailable if its function is
// nil.
type Commands struct {
	Drain  func(context.Context) error
	Forget func(context.Context, model.NodeName) error
}

// Handler is the HTTP handler of the admin interface.
type Handler struct {
	mux         *http.ServeMux
	status      func() Status
	commands    Commands
	loopStopped <-chan struct{}
}

// New returns a handler. The functions status and view return the current status and
// view; without view, there is none. The
// channel loopStopped is closed when the control loop has stopped, which makes
// the node unhealthy.
func New(status func() Status, view func() model.NodeView, commands Commands, metrics http.Handler, loopStopped <-chan struct{}) *Handler {
	h := &Handler{mux: http.NewServeMux(), status: status, commands: commands, loopStopped: loopStopped}
	h.mux.HandleFunc("GET /healthz", h.serveHealth)
	h.mux.HandleFunc("GET /readyz", h.serveReady)
	h.mux.HandleFunc("GET /status", h.serveStatus)
	h.mux.HandleFunc("POST /drain", h.serveDrain)
	h.mux.HandleFunc("POST /forget", h.serveForget)
	h.mux.Handle("GET /metrics", metrics)
	if view != nil {
		h.mux.Handle("GET "+PathView, NewViewHandler(view))
	}
	return h
}

// ServeHTTP implements http.Handler. It rejects cross-origin requests from
// browsers, so that no web page can drain a node through an operator's browser.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := http.NewCrossOriginProtection().Check(r); err != nil {
		writeJSON(w, http.StatusForbidden, errorResponse{Message: err.Error()})
		return
	}
	h.mux.ServeHTTP(w, r)
}

// Serve serves the handler on a listener until the context is cancelled and then shuts
// down. It returns nil after a clean shutdown, and otherwise an error of type
// Failed.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, WriteTimeout: writeTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		return Failed.New("admin listener %s: %v", listener.Addr(), err)
	case <-ctx.Done():
	}
	// The context is cancelled, so open requests get a timeout of their own.
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		return Failed.New("admin listener %s did not shut down within %s: %v", listener.Addr(), shutdownTimeout, err)
	}
	if err := <-serveErr; !errors.Is(err, http.ErrServerClosed) {
		return Failed.New("admin listener %s: %v", listener.Addr(), err)
	}
	return nil
}

func (h *Handler) serveDrain(w http.ResponseWriter, r *http.Request) {
	if h.commands.Drain == nil {
		writeJSON(w, http.StatusNotImplemented, errorResponse{Message: "drain is not available on this node"})
		return
	}
	if err := h.commands.Drain(r.Context()); err != nil {
		writeJSON(w, http.StatusServiceUnavailable, errorResponse{Message: err.Error()})
		return
	}
	writeJSON(w, http.StatusAccepted, acceptedResponse{Accepted: true})
}

func (h *Handler) serveForget(w http.ResponseWriter, r *http.Request) {
	name := model.NodeName(r.URL.Query().Get("node"))
	switch status := h.status(); {
	case h.commands.Forget == nil:
		writeJSON(w, http.StatusNotImplemented, errorResponse{Message: "forget is not available on this node"})
	case name == "":
		writeJSON(w, http.StatusBadRequest, errorResponse{Message: "parameter node is empty; accepted: the name of a member"})
	case name == status.Node:
		writeJSON(w, http.StatusBadRequest, errorResponse{Message: "parameter node names this node; accepted: another member"})
	case !status.hasMember(name):
		writeJSON(w, http.StatusNotFound, errorResponse{Message: "node " + string(name) + " is not a member of the roster"})
	default:
		if err := h.commands.Forget(r.Context(), name); err != nil {
			writeJSON(w, http.StatusServiceUnavailable, errorResponse{Message: err.Error()})
			return
		}
		writeJSON(w, http.StatusAccepted, acceptedResponse{Accepted: true})
	}
}

func (h *Handler) serveHealth(w http.ResponseWriter, _ *http.Request) {
	select {
	case <-h.loopStopped:
		writeJSON(w, http.StatusServiceUnavailable, errorResponse{Message: "control loop has stopped"})
	default:
		writeJSON(w, http.StatusOK, acceptedResponse{Accepted: true})
	}
}

func (h *Handler) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch status := h.status(); {
	case status.Draining:
		writeJSON(w, http.StatusServiceUnavailable, errorResponse{Message: "draining"})
	case !status.Fresh:
		writeJSON(w, http.StatusServiceUnavailable, errorResponse{Message: "configuration is not fresh"})
	case !status.Settled:
		writeJSON(w, http.StatusServiceUnavailable, errorResponse{Message: "share of the limits is not settled"})
	default:
		writeJSON(w, http.StatusOK, acceptedResponse{Accepted: true})
	}
}

func (h *Handler) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.status())
}

// acceptedResponse and errorResponse are the bodies of responses other than
// Status.
type (
	acceptedResponse struct{ Accepted bool }
	errorResponse    struct{ Message string }
)

func writeJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(body) // This fails only if the client has disconnected.
}
