package cmds_test

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"caroblane/io/cmds"
)

// TestExplainManyLogs guards against a trace that keeps the lines of all logs in memory,
// and against one that takes the upstreams of another node than that of the request.
func TestExplainManyLogs(t *testing.T) {
	const nodes, lines, maxHeap = 300, 2000, 64 << 20
	at := time.Date(2026, 9, 15, 9, 12, 0, 0, time.UTC)
	padding := strings.Repeat("x", 400)
	dir := t.TempDir()
	args := []string{"explain", "c16864f38d3a4d6d"}
	for node := range nodes {
		name := filepath.Join(dir, fmt.Sprintf("front-%03d.log", node))
		args = append(args, name)
		file, err := os.Create(name)
		if err != nil {
			t.Fatal(err)
		}
		out := bufio.NewWriter(file)
		for i := range lines {
			_, _ = fmt.Fprintf(out, "time=%s level=info message=\"belief changed\" Belief=UpstreamAvoided Subject=i-%d Node=n%d Padding=%s\n",
				at.Add(time.Duration(i)*time.Millisecond).Format("2006-01-02T15:04:05.000Z07:00"), i%2, node, padding)
		}
		if node == nodes/2 {
			_, _ = fmt.Fprintf(out, "time=%s level=info message=\"attempt ended\" After=100 Outcome=Completed Request=c16864f38d3a4d6d Status=200 Upstream=i-1\n",
				at.Add(lines*time.Millisecond).Format("2006-01-02T15:04:05.000Z07:00"))
		}
		if err := out.Flush(); err != nil {
			t.Fatal(err)
		}
		_ = file.Close()
	}
	// Garbage counts as little as possible.
	defer debug.SetGCPercent(debug.SetGCPercent(20))
	var before, during runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	stop, peak := make(chan struct{}), make(chan uint64)
	go func() {
		var highest uint64
		ticker := time.NewTicker(5 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				runtime.ReadMemStats(&during)
				highest = max(highest, during.HeapInuse)
			case <-stop:
				peak <- highest
				return
			}
		}
	}()
	code, out, errs := run(cmds.Env{Now: time.Now}, "", args...)
	close(stop)
	grown := int64(<-peak) - int64(before.HeapInuse)
	if code != cmds.CodeOK || errs != "" {
		t.Fatalf("exit code %d, %s", code, errs)
	}
	if got := strings.Count(out, "Node=n150 "); got != lines/2 || strings.Count(out, "Node=") != got {
		t.Errorf("%d lines of the node of the request, want %d and none of others", got, lines/2)
	}
	if grown > maxHeap {
		t.Errorf("heap grew by %d MiB, want %d at most", grown>>20, maxHeap>>20)
	}
	t.Logf("heap grew by %d MiB for %d MiB of logs", grown>>20, nodes*lines*(len(padding)+100)>>20)
}
