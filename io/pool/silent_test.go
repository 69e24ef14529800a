package pool_test

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"caroblane/fake/memnet"
	"caroblane/io/pool"
)

// TestSilentConnections guards against requests that are lost one after the other on idle
// connections which have fallen silent together.
func TestSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const address, requests = "10.0.0.2:80", 3
		network := memnet.New()
		listener, err := network.Host("10.0.0.2").Listen(t.Context(), address)
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(time.Millisecond) })}
		defer func() { _ = server.Close() }()
		go func() { _ = server.Serve(listener) }()
		p := pool.New(pool.Options{
			Network: network.Host("10.0.0.1"), DialTimeout: time.Second, TCPUserTimeout: time.Minute, IdleTimeout: time.Hour, MaxIdle: requests, Now: time.Now,
		})
		defer p.Close()
		send := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			response, err := p.Send(ctx, pool.Request{Address: address, Method: http.MethodGet, Target: "/", Host: "h"})
			if err != nil {
				return err
			}
			defer func() { _ = response.Body.Close() }()
			_, err = io.Copy(io.Discard, response.Body)
			return err
		}
		var sending sync.WaitGroup
		for range requests {
			sending.Go(func() {
				if err := send(); err != nil {
					t.Errorf("before the silence: %v", err)
				}
			})
		}
		sending.Wait()
		network.Silence(func(string, string) bool { return true }, false)
		if err := send(); err == nil {
			t.Error("a request on a silent connection was answered")
		}
		if err := send(); err != nil {
			t.Errorf("the request after the one that was lost: %v", err)
		}
	})
}
