// Package serve contains what the fake servers share: an HTTP server that
// runs a state machine behind a gate, and the passing of effects from the
// machine to HTTP handlers.
package serve

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"caroblane/io/netio"
)

const headerTimeout = 10 * time.Second

// Errors is the error namespace of the fake servers.
var Errors = errorx.NewNamespace("fake")

// Failed is the type of errors that end a fake server.
var Failed = Errors.NewType("failed")

// Abort closes the connection of a request without a response. It sends a reset,
// because the peer could take a regular close for a graceful end.
func Abort(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	netio.ResetOnClose(conn)
	_ = conn.Close()
}

// JSON writes body as a JSON response.
func JSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

// Run serves HTTP until the context is cancelled, and then closes the listener and all
// connections. Handlers see the end only once the listener is closed, or they would reset
// connections while the address still accepts some.
func Run(ctx context.Context, listener net.Listener, handler http.Handler) error {
	requestCtx, endRequests := context.WithCancel(context.WithoutCancel(ctx))
	defer endRequests()
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return requestCtx },
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		return Failed.Wrap(err, "HTTP server on %s failed", listener.Addr())
	case <-ctx.Done():
	}
	_ = listener.Close()
	endRequests()
	_ = server.Close()
	if err := <-serveErr; !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return Failed.Wrap(err, "HTTP server on %s failed", listener.Addr())
	}
	return nil
}
