//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"caroblane/platform/stub"
)

const (
	// engineCount is the number of engines, and lateShare the share of the orders that they
	// leave unanswered and carry out lateFrom to lateTo later.
	engineCount = 60
	lateShare   = 0.35
	lateFrom    = 2 * time.Second
	lateTo      = 12 * time.Second
	// stageTime is how long an engine needs to change its stage.
	stageTime = 3 * time.Second
	// termDelay is the time from the first order to the SIGTERM of its sender.
	termDelay = 200 * time.Millisecond
	// orderRounds is how often the nodes are started beside other engines, and orderTime how
	// long orders are watched then.
	orderRounds = 8
	orderTime   = 11 * time.Second
)

// wireOrder is an order to an engine.
type wireOrder struct {
	Op, Stage, Holder string
	Fence             uint64
	Expected          *uint64
}

// engine is the stand-in of an engine that takes orders and does not check fences.
type engine struct {
	rig   *rig
	late  bool
	first func(wireOrder)

	mu    sync.Mutex
	entry stub.Entry
	busy  bool
	seq   uint64
	// highest is the highest fence seen, and its holder.
	highest uint64
	holder  string
	// stale lists the orders that came with a lower fence.
	stale []string
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(stub.HeaderExpectInstance) != e.entry.Name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.Method == http.MethodGet && r.URL.Path == "/-/report" {
		e.mu.Lock()
		report := object{
			"stage": e.entry.Stage, "models": []object{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": e.busy, "seq": e.seq,
			"waiting": 0, "running": 0, "kvUsed": 0, "kvTotal": 485_089, "handles": 0,
		}
		e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(report)
		return
	}
	var order wireOrder
	if r.Method != http.MethodPost || r.URL.Path != "/-/order" || json.NewDecoder(r.Body).Decode(&order) != nil || order.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.note(order)
	if e.late && rand.Float64() < lateShare {
		wait := lateFrom + time.Duration(rand.Float64()*float64(lateTo-lateFrom))
		time.AfterFunc(wait, func() { e.carryOut(order) })
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(e.carryOut(order))
}

// note records an order as it arrives.
func (e *engine) note(order wireOrder) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rig.line("engine %s: order of %s with fence %d to stage %s", e.entry.Name, order.Holder, order.Fence, order.Stage)
	if order.Fence < e.highest {
		e.stale = append(e.stale, fmt.Sprintf("%s from %s with fence %d after %s with fence %d", e.entry.Name, order.Holder, order.Fence, e.holder, e.highest))
	} else {
		e.highest, e.holder = order.Fence, order.Holder
	}
	e.first(order)
}

// carryOut begins to carry out an order, and returns the status of the answer.
func (e *engine) carryOut(order wireOrder) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.busy, order.Expected != nil && *order.Expected != e.seq:
		return http.StatusConflict
	case e.entry.Stage == order.Stage:
		return http.StatusOK
	}
	e.busy = true
	e.seq++
	time.AfterFunc(stageTime, func() {
		e.mu.Lock()
		e.busy = false
		e.entry = e.entry.WithStage(order.Stage)
		entry := e.entry
		e.mu.Unlock()
		e.rig.put(stub.KindServers, entry.Name, entry)
	})
	return http.StatusAccepted
}

// addEngine starts an engine without registering it.
func (r *rig) addEngine(ctx context.Context, name, zone string, first func(wireOrder)) *engine {
	address := addressOf(freePorts(1))
	e := &engine{rig: r, late: r.trouble, first: first}
	e.entry = stub.NewEntry(name, "llm", address, zone).WithStage(stub.StageDecode).WithBorn(time.Now())
	e.entry.Slots = 64
	l, err := net.Listen("tcp", address)
	if err != nil {
		panic(err)
	}
	server := &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return e
}

// runOrders shows whether a node sends orders after another one has sent some as the next
// holder.
func runOrders(r *rig) (int, error) {
	config := plainConfig(1)
	config["services"] = append(config["services"].([]object), object{
		"name": "llm", "healthPath": "/health", "maxConnections": 840, "protocol": "h1", "tls": false,
		"engine": object{
			"slots": 64, "kvCapacity": 485_089, "kvTokenBytes": 163_840, "linkMbps": 1_300_000.0, "moves": true, "backups": true,
			"stride": 9, "most": 12, "handleTtlS": 5.0, "stageSwitchS": stageTime.Seconds(), "pinMs": 4000.0, "holdMs": 2000.0,
			"models": []object{{"name": "m"}},
		},
	})
	r.put(stub.KindConfig, stub.ConfigName, config)
	orders, stale := 0, 0
	for round := range orderRounds {
		w := watch{rig: r}
		ctx, end := context.WithCancel(r.ctx)
		var engines []*engine
		for i := range engineCount {
			e := r.addEngine(ctx, fmt.Sprintf("i-llm-%d-%02d", round, i), fmt.Sprintf("z%d", i%3), w.arrived)
			r.put(stub.KindServers, e.entry.Name, e.entry)
			engines = append(engines, e)
		}
		for i := range 3 {
			if round > 0 {
				r.nodes[i].start()
				continue
			}
			r.addNode(i, func(s object) { s["bounds"].(object)["requireFencing"] = false })
		}
		if err := r.awaitReady(20 * time.Second); err != nil {
			end()
			return codeUnable, err
		}
		time.Sleep(orderTime)
		for _, e := range engines {
			e.mu.Lock()
			for _, text := range e.stale {
				stale++
				r.summary("round %d: %s", round, text)
			}
			e.mu.Unlock()
		}
		orders += w.stop()
		for _, n := range r.nodes {
			<-n.signal(syscall.SIGKILL)
		}
		for _, e := range engines {
			r.store.Remove(r.ctx, stub.KindServers, e.entry.Name)
		}
		end()
	}
	r.summary("orders %d, with a lower fence than an earlier one at the same engine %d", orders, stale)
	if stale > 0 {
		return codeBroken, nil
	}
	return codeHeld, nil
}

// watch sees the orders of a round, and ends the process of the node that sent the first one.
type watch struct {
	rig    *rig
	mu     sync.Mutex
	orders int
}

// arrived counts an order. The sender of the first one gets SIGTERM after termDelay.
func (w *watch) arrived(order wireOrder) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orders++
	if w.orders > 1 {
		return
	}
	time.AfterFunc(termDelay, func() {
		for _, n := range w.rig.nodes {
			if n.name == order.Holder {
				n.signal(syscall.SIGTERM)
			}
		}
	})
}

// stop returns the number of orders.
func (w *watch) stop() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.orders
}
