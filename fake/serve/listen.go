package serve

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"caroblane/io/netio"
)

const (
	// listenTimeout limits how long an address may be in use, listenPause is the time
	// between two attempts.
	listenTimeout = 10 * time.Second
	listenPause   = 10 * time.Millisecond
)

// Listen listens on an address that this program has used before. A process that it is
// starting holds copies of its sockets until it executes its program, so that the address
// of a closed listener may be in use for a time.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	return ListenOn(ctx, netio.System{}, address)
}

// ListenOn is Listen on a network.
func ListenOn(ctx context.Context, network netio.Network, address string) (net.Listener, error) {
	end := time.Now().Add(listenTimeout)
	for {
		listener, err := network.Listen(ctx, address)
		if err == nil {
			return listener, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return nil, Failed.Wrap(err, "listen on %s", address)
		}
		select {
		case <-ctx.Done():
			return nil, Failed.Wrap(ctx.Err(), "listen on %s", address)
		case <-time.After(listenPause):
		}
	}
}
