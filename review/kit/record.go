//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	begin time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), begin: time.Now()}, nil
}

// add writes one line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.begin).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// say writes one line, and prints it too.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{time.Since(r.begin).Seconds()}, args...)...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
