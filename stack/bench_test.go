package stack

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"caroblane/fake/engine"
	"caroblane/fake/load"
)

func startStack(b *testing.B, options Options) (*Stack, *load.Client) {
	b.Helper()
	s, err := New(context.Background(), options, zerolog.Nop())
	if err != nil {
		b.Fatal(err)
	}
	client := load.NewClient()
	b.Cleanup(func() {
		client.Close()
		if err := s.Stop(); err != nil {
			b.Error(err)
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := s.Ready(ctx); err != nil {
		b.Fatal(err)
	}
	return s, client
}

func target(addresses []string) load.Target {
	return load.Target{Addresses: addresses, Key: Key, Model: Model}
}

// BenchmarkFirstToken measures the latency that the nodes add to the first token. It
// sends 500 requests per second through three nodes and, concurrently, the same
// number directly to the engines. The targets for the added latency are 1 ms at the
// median and 5 ms at the 99th percentile.
func BenchmarkFirstToken(b *testing.B) {
	options := DefaultOptions()
	options.Engine = engine.FastSettings()
	s, client := startStack(b, options)
	plan := load.Plan{Requests: b.N, Rate: 500, MaxTokens: 4, Prompt: "hello"}
	var through, direct load.Report
	var running sync.WaitGroup
	b.ResetTimer()
	running.Go(func() {
		plan := plan
		plan.Name = "through"
		through = client.Run(context.Background(), target(s.Callers()), plan)
	})
	running.Go(func() {
		plan := plan
		plan.Name = "direct"
		direct = client.Run(context.Background(), target(s.Engines()), plan)
	})
	running.Wait()
	for _, quantile := range []struct {
		name  string
		value float64
	}{{"p50", 50}, {"p99", 99}} {
		base := direct.FirstToken.ValueAtQuantile(quantile.value)
		b.ReportMetric(float64(base), "direct-"+quantile.name+"-us")
		b.ReportMetric(float64(through.FirstToken.ValueAtQuantile(quantile.value)-base), "added-"+quantile.name+"-us")
	}
	b.ReportMetric(float64(through.Failed+direct.Failed), "failures")
}

// BenchmarkRelay measures the token throughput of streams through one node and
// directly from the engines. The target is 100,000 tokens per second through one
// node.
func BenchmarkRelay(b *testing.B) {
	const streams = 64
	options := DefaultOptions()
	options.Nodes = 1
	options.Engine = engine.FastSettings()
	s, client := startStack(b, options)
	for _, path := range []struct {
		name      string
		addresses []string
	}{{"direct", s.Engines()}, {"node", s.Callers()}} {
		b.Run(path.name, func(b *testing.B) {
			plan := load.Plan{MaxTokens: 1000, Prompt: "hello", Name: path.name}
			var running sync.WaitGroup
			semaphore := make(chan struct{}, streams)
			for i := range b.N {
				semaphore <- struct{}{}
				running.Go(func() {
					measurement, err := client.Chat(context.Background(), target(path.addresses), plan, i)
					if err != nil || measurement.Tokens != plan.MaxTokens {
						b.Errorf("got %d of %d tokens: %v", measurement.Tokens, plan.MaxTokens, err)
					}
					<-semaphore
				})
			}
			running.Wait()
			b.ReportMetric(float64(b.N*plan.MaxTokens)/b.Elapsed().Seconds(), "tokens/s")
		})
	}
}
