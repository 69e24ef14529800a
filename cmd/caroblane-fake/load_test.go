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

// Guards against a load whose report hides requests that failed.
func TestLoad(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	stand := engine.New(listener, engine.NewState(engine.FastSettings()), rand.New(rand.NewPCG(1, 2)), time.Now)
	go func() { ended <- stand.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	tests := []struct {
		name, model, requests string
		out, fault            string
	}{
		{"all answered", "m", "20", "answered 20, failed 0", ""},
		{"no requests", "m", "0", "", "accept values above 0"},
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
			if (err != nil) != (test.fault != "") || err != nil && !strings.Contains(err.Error(), test.fault) {
				t.Errorf("error %v, want %q", err, test.fault)
			}
			if !strings.HasPrefix(out.String(), test.out) {
				t.Errorf("output %q, want %q", out.String(), test.out)
			}
		})
	}
	t.Run("nobody listens", func(t *testing.T) {
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
