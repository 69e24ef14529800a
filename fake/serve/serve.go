// Package serve has what the stand-ins share: an HTTP server with a done
// channel, and the hand-over of answers from a machine to HTTP handlers.
package serve

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
)

const headerTerm = 10 * time.Second

// Errors is the namespace of the stand-ins' errors.
var Errors = errorx.NewNamespace("fake")

// Failed is the type of errors that end a stand-in.
var Failed = Errors.NewType("failed")

// Hangup closes the connection of a request without an answer. The reset keeps
// the peer from taking the end for a graceful one.
func Hangup(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// JSON writes an answer.
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

// Run serves HTTP until the context ends, and then closes every connection.
func Run(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTerm,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case err := <-ended:
		return Failed.Wrap(err, "HTTP server of %s ended", listener.Addr())
	case <-ctx.Done():
	}
	_ = server.Close()
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		return Failed.Wrap(err, "HTTP server of %s ended", listener.Addr())
	}
	return nil
}
