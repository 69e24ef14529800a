package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// RateLimitedWriter is a writer that never blocks. Lines are queued for a
// goroutine that writes a limited number of them per second. Lines above the
// limit are dropped, and a log line reports their number.
type RateLimitedWriter struct {
	out io.Writer
	// linesPerSecond is the maximum number of lines written per second.
	linesPerSecond int
	now            func() time.Time
	queue          chan []byte
	dropped        atomic.Int64
	closed         chan struct{}
	done           chan struct{}
}

// NewRateLimitedWriter returns a writer with a queue of the given number of lines, of
// which Run writes up to linesPerSecond per second.
func NewRateLimitedWriter(out io.Writer, queue, linesPerSecond int, now func() time.Time) *RateLimitedWriter {
	return &RateLimitedWriter{
		out: out, linesPerSecond: linesPerSecond, now: now,
		queue:  make(chan []byte, queue),
		closed: make(chan struct{}),
		done:   make(chan struct{}),
	}
}

// Close waits until Run has processed the queued lines and returned.
func (w *RateLimitedWriter) Close() {
	close(w.closed)
	<-w.done
}

// Run writes queued lines until Close is called.
func (w *RateLimitedWriter) Run() {
	defer close(w.done)
	windowStart, written := w.now(), 0
	for {
		var line []byte
		select {
		case line = <-w.queue:
		case <-w.closed:
			select {
			case line = <-w.queue:
			default:
				w.reportDropped()
				return
			}
		}
		if now := w.now(); now.Sub(windowStart) >= time.Second {
			w.reportDropped()
			windowStart, written = now, 0
		}
		if written >= w.linesPerSecond {
			w.dropped.Add(1)
			continue
		}
		written++
		_, _ = w.out.Write(line)
	}
}

// Write queues a line, or drops it if the queue is full. It never fails.
func (w *RateLimitedWriter) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// reportDropped writes a log line with the number of lines dropped since the
// last report, if there are any.
func (w *RateLimitedWriter) reportDropped() {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, "time=%s level=warn message=\"log lines dropped\" Lines=%d\n",
			w.now().UTC().Format(timeFormat), n)
	}
}
