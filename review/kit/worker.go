//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"caroblane/platform/stub"
)

// arrival is a request that reached a worker.
type arrival struct {
	at          time.Time
	worker, id  string
	path, token string
}

// worker is a stand-in of a plain service.
type worker struct {
	in            *installation
	name, address string
	slots         int
	work          time.Duration
	// handle, if set, answers a request in place of the worker, or returns false.
	handle func(w http.ResponseWriter, a arrival) bool

	mu       sync.Mutex
	server   *http.Server
	born     time.Time
	seq      int64
	arrivals []arrival
}

// newWorker starts a worker and registers it.
func (in *installation) newWorker(ctx context.Context, name string, slots int, work time.Duration) (*worker, error) {
	w := &worker{in: in, name: name, address: in.address(), slots: slots, work: work}
	in.mu.Lock()
	in.workers = append(in.workers, w)
	in.mu.Unlock()
	return w, w.up(ctx)
}

// up starts the process of the worker, and registers it.
func (w *worker) up(ctx context.Context) error {
	if err := w.listen(); err != nil {
		return err
	}
	w.register(ctx, "ready")
	return nil
}

// listen starts the process of the worker.
func (w *worker) listen() error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.born, w.seq = time.Now(), 0
	server := &http.Server{Handler: http.HandlerFunc(w.serve)}
	w.server = server
	w.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	return nil
}

// down ends the process of the worker without a word.
func (w *worker) down() {
	w.mu.Lock()
	server := w.server
	w.server = nil
	w.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// register writes the entry of the worker.
func (w *worker) register(ctx context.Context, state string) {
	w.mu.Lock()
	w.seq++
	text, _ := json.Marshal(object{
		"service": serviceName, "address": w.address, "zone": "a", "version": "v1", "slots": w.slots, "state": state,
		"coldLeftMs": 0, "seq": w.seq, "born": w.born.UnixMilli(),
	})
	w.mu.Unlock()
	w.in.store.Put(ctx, stub.KindServers, w.name, text)
}

// serve runs a request.
func (w *worker) serve(out http.ResponseWriter, r *http.Request) {
	a := arrival{
		at: time.Now(), worker: w.name, id: r.Header.Get(stub.HeaderRequestID), path: r.URL.Path, token: r.Header.Get(stub.HeaderTokenCount),
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	out.Header().Set(stub.HeaderRequestID, a.id)
	if expected := r.Header.Get(stub.HeaderExpectInstance); expected != "" && expected != w.name {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	w.arrivals = append(w.arrivals, a)
	w.mu.Unlock()
	w.in.rec.add("%s runs %s %s", w.name, a.id, a.path)
	if w.handle != nil && w.handle(out, a) {
		return
	}
	sleep(r.Context(), w.work)
	out.Header().Set(stub.HeaderStamp, "stamp-"+w.name)
	fmt.Fprintf(out, "answer to %s with %d bytes\n", a.id, len(body))
}

// ran returns the requests that have reached the worker.
func (w *worker) ran() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.arrivals...)
}
