package node

import (
	"fmt"
	"runtime"
	"testing"
)

// liveHeap returns the size of the live heap in bytes after a garbage collection.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkMemory measures the live heap of a node's control state. The
// difference between two sizes gives the bytes per account, including its
// template and key, and per upstream. docs/CAPACITY.md uses the results.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []struct{ accounts, upstreams int }{
		{1000, 20}, {11000, 20}, {11000, 1900},
	} {
		b.Run(fmt.Sprintf("accounts=%d/upstreams=%d", size.accounts, size.upstreams), func(b *testing.B) {
			for range b.N {
				before := liveHeap()
				s := newConfiguredNode(size.accounts, size.upstreams)
				after := liveHeap()
				runtime.KeepAlive(s)
				b.ReportMetric(float64(after-before), "bytes")
			}
		})
	}
}
