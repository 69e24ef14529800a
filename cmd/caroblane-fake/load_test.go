package main

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"caroblane/fake/engine"
)

// TestLoad guards against a load run that returns no error although requests failed, so
// that a script takes it for a success, and against invalid flags that are accepted.
func TestLoad(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	server := engine.New(listener, engine.NewState(engine.FastSettings()), rand.New(rand.NewPCG(1, 2)), time.Now)
	go func() { done <- server.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	tests := []struct {
		name, model, requests string
		out, wantErr          string
	}{
		{"all answered", "m", "20", "answered 20, failed 0", ""},
		{"no requests", "m", "0", "", "must be greater than 0"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out bytes.Buffer
			command := root()
			command.Writer = &out
			err := command.Run(ctx, []string{
				"caroblane-fake", "load", "--address", listener.Addr().String(),
				"--model", test.model, "--rate", "500", "--requests", test.requests, "--tokens", "3",
			})
			if (err != nil) != (test.wantErr != "") || err != nil && !strings.Contains(err.Error(), test.wantErr) {
				t.Errorf("error %v, want %q", err, test.wantErr)
			}
			if !strings.HasPrefix(out.String(), test.out) {
				t.Errorf("output %q, want %q", out.String(), test.out)
			}
		})
	}
	t.Run("no listener", func(t *testing.T) {
		var out bytes.Buffer
		command := root()
		command.Writer = &out
		err := command.Run(ctx, []string{
			"caroblane-fake", "load", "--address", "127.0.0.1:1", "--model", "m", "--rate", "500", "--requests", "2",
		})
		if err == nil || !strings.Contains(err.Error(), "2 requests failed") {
			t.Errorf("error %v", err)
		}
	})
}
