package stack

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"

	"caroblane/fake/engine"
)

// client keeps enough connections that no request waits for one.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}

func started(b *testing.B, options Options) *Stack {
	b.Helper()
	s, err := New(context.Background(), options, zerolog.Nop())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		client.CloseIdleConnections()
		if err := s.Stop(); err != nil {
			b.Error(err)
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := s.Ready(ctx); err != nil {
		b.Fatal(err)
	}
	return s
}

// chat sends a streamed request and returns the time to the first token and
// the number of tokens.
func chat(address, id string, maxTokens int) (time.Duration, int, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, Model, maxTokens)
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, 0, err
	}
	request.Header.Set("Authorization", "Bearer "+Key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Attempt", "1")
	begun := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return 0, 0, fmt.Errorf("status %s: %s", response.Status, text)
	}
	var first time.Duration
	tokens, done := 0, false
	lines := bufio.NewReaderSize(response.Body, 64<<10)
	for !done {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			return 0, 0, fmt.Errorf("after %d tokens: %w", tokens, err)
		}
		if !bytes.HasPrefix(line, []byte("data:")) {
			continue
		}
		if first == 0 {
			first = time.Since(begun)
		}
		tokens++
		done = bytes.HasPrefix(line, []byte("data: [DONE]"))
	}
	// The last chunk and the end mark are no tokens.
	return first, tokens - 2, nil
}

// BenchmarkFirstToken sends 250 requests a second through three nodes and 250
// a second directly to the engines, interleaved, and compares the times to the
// first token. The targets for the added time are 1 ms for the median and 5 ms
// at the 99th percentile at 500 requests a second.
func BenchmarkFirstToken(b *testing.B) {
	options := DefaultOptions()
	options.Engine = engine.FastSettings()
	s := started(b, options)
	const rate = 500
	through := hdrhistogram.New(1, 10_000_000, 3)
	direct := hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	var running sync.WaitGroup
	failures := 0
	measure := func(h *hdrhistogram.Histogram, address, id string) {
		first, _, err := chat(address, id, 4)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			failures++
			b.Log(err)
			return
		}
		_ = h.RecordValue(first.Microseconds())
	}
	pace := time.NewTicker(time.Second / rate)
	defer pace.Stop()
	b.ResetTimer()
	for i := range b.N {
		<-pace.C
		id := "bench-" + strconv.Itoa(i)
		running.Go(func() { measure(through, s.Callers()[i%len(s.Callers())], id) })
		running.Go(func() { measure(direct, s.Engines()[i%len(s.Engines())], id) })
	}
	running.Wait()
	report := func(name string, quantile float64) {
		added := through.ValueAtQuantile(quantile) - direct.ValueAtQuantile(quantile)
		b.ReportMetric(float64(direct.ValueAtQuantile(quantile)), "direct-"+name+"-us")
		b.ReportMetric(float64(added), "added-"+name+"-us")
	}
	report("p50", 50)
	report("p99", 99)
	b.ReportMetric(float64(failures), "failures")
}

// BenchmarkRelay streams tokens over one node and directly from the engine.
// The target is 100,000 tokens a second over one node.
func BenchmarkRelay(b *testing.B) {
	const tokens, streams = 1000, 64
	options := DefaultOptions()
	options.Nodes = 1
	options.Engine = engine.FastSettings()
	s := started(b, options)
	for _, way := range []struct {
		name      string
		addresses []string
	}{{"direct", s.Engines()}, {"node", s.Callers()}} {
		b.Run(way.name, func(b *testing.B) {
			var mu sync.Mutex
			var running sync.WaitGroup
			total := 0
			free := make(chan struct{}, streams)
			for i := range b.N {
				free <- struct{}{}
				running.Go(func() {
					_, n, err := chat(way.addresses[i%len(way.addresses)], fmt.Sprintf("%s-%d", way.name, i), tokens)
					mu.Lock()
					defer mu.Unlock()
					if err != nil || n != tokens {
						b.Errorf("got %d of %d tokens: %v", n, tokens, err)
					}
					total += n
					<-free
				})
			}
			running.Wait()
			b.ReportMetric(float64(total)/b.Elapsed().Seconds(), "tokens/s")
		})
	}
}
