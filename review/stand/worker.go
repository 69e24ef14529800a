//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is a request that a worker began to run.
type run struct {
	id, path, worker string
	at               time.Time
}

// worker is a stand-in of a worker.
type worker struct {
	id, service, zone, address string
	store                      *store
	log                        *record
	born                       int64
	stage                      string
	// pause is how long the worker waits before it reads the body of a request, and work how long
	// it works on the request then.
	pause, work time.Duration
	// handle, if set, answers the requests that the worker runs.
	handle func(w http.ResponseWriter, r *http.Request)

	mu      sync.Mutex
	state   string
	seq     int
	leaving bool
	runs    []run
	orders  []order
	server  *http.Server
}

// order is an order that reached a worker.
type order struct {
	worker, holder, stage string
	fence                 uint64
	status                int
	at                    time.Time
}

func (d *deployment) newWorker(id, service, zone string) *worker {
	return &worker{
		id: id, service: service, zone: zone, address: address(freePort()), store: d.store, log: d.log, state: "ready",
		born: time.Now().UnixMilli(),
	}
}

// start serves and registers the worker.
func (w *worker) start() {
	listener, err := net.Listen("tcp", w.address)
	check(err, "listen for a worker")
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	w.register()
}

// register writes the entry of the worker and returns when the store accepted it. Heartbeats
// change nothing but a counter, and so not the entry.
func (w *worker) register() time.Time {
	w.mu.Lock()
	w.seq++
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 16, "state": w.state, "coldLeftMs": 0,
		"seq": w.seq, "born": w.born,
	}
	if w.stage != "" {
		entry["stage"] = w.stage
		entry["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	w.mu.Unlock()
	return w.store.put("servers", w.id, entry)
}

// drain reports that the worker leaves and returns when the store accepted that.
func (w *worker) drain() time.Time {
	w.mu.Lock()
	w.state, w.leaving = "draining", true
	w.mu.Unlock()
	at := w.register()
	w.log.add("worker %s reports draining; the store has accepted it at revision %d", w.id, w.store.revision())
	return at
}

// exit ends the worker and removes its entry.
func (w *worker) exit() {
	_ = w.server.Close()
	w.store.remove("servers", w.id)
	w.log.add("worker %s has ended", w.id)
}

// runsAfter returns the runs that began after a time.
func (w *worker) runsAfter(at time.Time) []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []run
	for _, r := range w.runs {
		if r.at.After(at) {
			list = append(list, r)
		}
	}
	return list
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	leaving := w.leaving
	w.mu.Unlock()
	if leaving {
		rw.Header().Set("Server-Leaving", "1")
	}
	id := r.Header.Get("X-Caroblane-Request-Id")
	if id != "" {
		rw.Header().Set("X-Caroblane-Request-Id", id)
	}
	if expected := r.Header.Get("X-Caroblane-Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("X-Caroblane-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/health":
		rw.Header().Set("X-Caroblane-Instance-Id", w.id)
		if leaving {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case r.URL.Path == "/-/report":
		w.report(rw)
		return
	case r.URL.Path == "/-/order":
		w.order(rw, r)
		return
	case id == "":
		rw.Header().Set("X-Caroblane-Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	w.runs = append(w.runs, run{id, r.URL.Path, w.id, time.Now()})
	w.mu.Unlock()
	w.log.add("worker %s (%s) runs %s %s of tenant %q", w.id, w.service, id, r.URL.Path, r.Header.Get("X-Caroblane-Tenant"))
	if w.handle != nil {
		w.handle(rw, r)
		return
	}
	time.Sleep(w.pause)
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(w.work)
	body := fmt.Sprintf("answer of %s to %s", w.id, id)
	rw.Header().Set("X-Caroblane-Server-Stamp", "stamp."+w.id)
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(rw, body)
}

func (w *worker) report(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	answer(rw, http.StatusOK, map[string]any{
		"stage": w.stage, "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false,
		"seq": len(w.orders), "waiting": 0, "running": 0, "kvUsed": 0, "kvTotal": 90000, "handles": 0,
	})
}

// order accepts an order to change the stage, if the number of accepted orders is right.
func (w *worker) order(rw http.ResponseWriter, r *http.Request) {
	var sent struct {
		Op, Stage, Holder string
		Fence             uint64
		Expected          *int
	}
	if json.NewDecoder(r.Body).Decode(&sent) != nil {
		answer(rw, http.StatusBadRequest, nil)
		return
	}
	w.mu.Lock()
	o := order{worker: w.id, holder: sent.Holder, stage: sent.Stage, fence: sent.Fence, status: http.StatusAccepted, at: time.Now()}
	accepted := 0
	for _, old := range w.orders {
		if old.status == http.StatusAccepted {
			accepted++
		}
	}
	if sent.Expected != nil && *sent.Expected != accepted {
		o.status = http.StatusConflict
	} else {
		w.stage = sent.Stage
	}
	w.orders = append(w.orders, o)
	w.mu.Unlock()
	w.log.add("worker %s gets order stage=%s of %s with fence %d: %d", w.id, o.stage, o.holder, o.fence, o.status)
	answer(rw, o.status, nil)
	if o.status == http.StatusAccepted {
		w.register()
	}
}
