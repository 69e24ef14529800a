//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["drain-behind-relay"] = drainBehindRelay
}

// link forwards connections to an address until it is cut. A cut link drops nothing and closes
// nothing: bytes wait until it heals, and new connections get no answer.
type link struct {
	address, to string

	mu   sync.Mutex
	open chan struct{}
}

func newLink(to string) *link {
	l := &link{address: address(freePort()), to: to, open: make(chan struct{})}
	close(l.open)
	listener, err := net.Listen("tcp", l.address)
	check(err, "listen for a link")
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(conn)
		}
	}()
	return l
}

func (l *link) forward(conn net.Conn) {
	<-l.healthy()
	other, err := net.Dial("tcp", l.to)
	if err != nil {
		_ = conn.Close()
		return
	}
	go l.pass(conn, other)
	l.pass(other, conn)
}

// pass forwards bytes in one direction.
func (l *link) pass(from, to net.Conn) {
	defer func() { _ = to.Close() }()
	data := make([]byte, 32<<10)
	for {
		n, err := from.Read(data)
		<-l.healthy()
		if n > 0 {
			if _, err := to.Write(data[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// healthy returns a channel that is closed while the link is not cut.
func (l *link) healthy() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// cut cuts the link, and heal ends that.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = make(chan struct{})
}

func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.open)
}

// The case with a relay: how many nodes there are, how many workers leave, how long the relay is cut
// off from the store each time, and how long the calm before the next time is.
const (
	relayNodes = 17
	leavers    = 4
	relayCut   = 5 * time.Second
	relayCalm  = 6 * time.Second
)

// leaverWork is how long the workers of this case work on a request, and leaverExit how long after
// its report was accepted a worker ends: drainMs and a little longer.
const (
	leaverWork = 200 * time.Millisecond
	leaverExit = drainBound + 300*time.Millisecond
)

// drainBehindRelay lets workers leave while the relay of a cell is cut off from the store.
func drainBehindRelay(log *record, trouble bool) int {
	d := newDeployment(log)
	defer d.close()
	for i := range relayNodes {
		d.addNode([]string{"za", "zb"}[i%2])
	}
	relay := d.nodes[0]
	way := newLink(d.store.address)
	relay.storeAddress = way.address
	var workers []*worker
	for i := range leavers + 2 {
		workers = append(workers, d.newWorker(fmt.Sprintf("i-%d", i+1), "app", "za"))
	}
	workers = append(workers, d.newWorker("i-z", "app", "zb"))
	for _, w := range workers {
		w.work = leaverWork
	}
	d.start(config(1), workers)
	time.Sleep(12 * time.Second)
	for _, n := range d.nodes {
		need(n.send(http.MethodGet, "/read/1", key, 2*time.Second, nil).status == http.StatusOK, "no answer before the cut")
	}
	sent, failed, late := 0, 0, 0
	for _, leaver := range workers[:leavers] {
		time.Sleep(relayCalm)
		if trouble {
			log.add("%s is cut off from the store", relay.name)
			way.cut()
		}
		time.Sleep(100 * time.Millisecond)
		acknowledged := leaver.drain()
		time.Sleep(time.Until(acknowledged.Add(drainBound + 50*time.Millisecond)))
		bound := time.Now()
		log.add("client: from here on, %v after the store accepted the report, requests are sent to all other nodes", bound.Sub(acknowledged))
		time.AfterFunc(time.Until(acknowledged.Add(leaverExit)), leaver.exit)
		some, bad := d.sendAll(d.nodes[1:], 4, 0)
		sent, failed = sent+some, failed+bad
		time.Sleep(time.Until(acknowledged.Add(relayCut)))
		if trouble {
			way.heal()
		}
		runs := leaver.runsAfter(bound)
		log.add("%d of them ran at %s", len(runs), leaver.id)
		late += len(runs)
	}
	return log.verdict(late > 0, "DRAIN: %d of %d requests to machines that were not cut off, sent more than %v after the store accepted that a worker is draining, ran at that worker; drainMs is %v. %d of the requests, which may not be repeated, ended without the answer of a worker",
		late, sent, drainBound+50*time.Millisecond, drainBound, failed)
}

// sendAll sends requests to some nodes at the same time, and returns how many there were and how
// many of them were not answered with 200.
func (d *deployment) sendAll(nodes []*node, rounds int, pause time.Duration) (sent, failed int) {
	var bad atomic.Int32
	var running sync.WaitGroup
	for _, n := range nodes {
		running.Go(func() {
			for round := range rounds {
				if n.send(http.MethodPost, fmt.Sprintf("/send/%d", round), key, 2*time.Second, []byte("x")).status != http.StatusOK {
					bad.Add(1)
				}
				time.Sleep(pause)
			}
		})
	}
	running.Wait()
	return rounds * len(nodes), int(bad.Load())
}
