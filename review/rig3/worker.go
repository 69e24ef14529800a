//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"caroblane/platform/stub"
)

// worker is the stand-in of a plain service.
type worker struct {
	rig     *rig
	entry   stub.Entry
	born    time.Time
	server  *http.Server
	workFor time.Duration
	// fail writes the answer to a request that has run, if it fails, and reports whether it did.
	fail func(http.ResponseWriter) bool
	mu   sync.Mutex
	// ran counts the runs by request id.
	ran map[string]int
}

// addWorker starts a worker and registers it.
func (r *rig) addWorker(name, service, zone string, workFor time.Duration) *worker {
	address := addressOf(freePorts(1))
	w := &worker{
		rig: r, born: time.Now(), workFor: workFor, ran: map[string]int{},
		entry: stub.NewEntry(name, service, address, zone).WithBorn(time.Now()),
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		panic(err)
	}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(l) }()
	context.AfterFunc(r.ctx, func() { _ = w.server.Close() })
	r.workers = append(r.workers, w)
	r.put(stub.KindServers, name, w.entry)
	return w
}

// ServeHTTP runs a request.
func (w *worker) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	id := in.Header.Get(stub.HeaderRequestID)
	out.Header().Set(stub.HeaderRequestID, id)
	if instance := in.Header.Get(stub.HeaderExpectInstance); instance != "" && instance != w.entry.Name {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(in.Body)
	if err != nil {
		return
	}
	w.mu.Lock()
	w.ran[id]++
	w.mu.Unlock()
	w.rig.line("worker %s: runs %s with %d bytes", w.entry.Name, id, len(body))
	time.Sleep(w.workFor)
	out.Header().Set(stub.HeaderStamp, "stamp-"+w.entry.Name)
	if w.fail != nil && w.fail(out) {
		return
	}
	_, _ = fmt.Fprintf(out, "answer to %s with %d bytes\n", id, len(body))
}

// runs returns how often a request ran at all workers.
func (r *rig) runs(id string) int {
	sum := 0
	for _, w := range r.workers {
		w.mu.Lock()
		sum += w.ran[id]
		w.mu.Unlock()
	}
	return sum
}
