package node

import (
	"fmt"
	"runtime"
	"testing"
)

// heap returns the live heap after a collection.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkMemory measures the live heap of a node's control state. The slope
// between two sizes gives the bytes for an account, with its template and key,
// and for an upstream. docs/CAPACITY.md uses it.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []struct{ accounts, upstreams int }{
		{1000, 20}, {11000, 20}, {11000, 1900},
	} {
		b.Run(fmt.Sprintf("accounts=%d/upstreams=%d", size.accounts, size.upstreams), func(b *testing.B) {
			for range b.N {
				before := heap()
				s := configured(size.accounts, size.upstreams)
				after := heap()
				runtime.KeepAlive(s)
				b.ReportMetric(float64(after-before), "bytes")
			}
		})
	}
}
