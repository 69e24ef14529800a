//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["large-bodies"] = largeBodies
	cases["large-uploads"] = largeUploads
}

// The crowd: how many clients send a body at once to each node, how long each body is, which is
// within maxBodyBytes, how much of it they hold back, and how fast each client sends. Together they
// take 60 MB a second, about half of the link of a machine of the site.
const (
	crowd       = 120
	bodySize    = 4_000_000
	heldBack    = 10
	bytesPerSec = 500_000
	bodyTimeout = 10 * time.Second
)

// uploaders is the number of clients that send a whole body at once to each node, and readDelay how
// long workers take to read one. A sound worker may be silent for 1 to 1.5 s.
const (
	uploaders = 40
	readDelay = time.Second
)

// crowdOf is a crowd: its size, and how many bytes of a body each client holds back.
type crowdOf struct{ clients, heldBack int }

// rounds is the number of crowds, roundTime how long each lasts, and roundPause the pause after it.
const (
	rounds     = 3
	roundTime  = 11 * time.Second
	roundPause = 3 * time.Second
)

// watchMemory ends the process of a node as the platform does once its memory is above the limit
// of its machine, and starts it again. It returns how often it did so.
func (n *node) watchMemory(end <-chan struct{}) (kills int, peak float64) {
	for {
		select {
		case <-end:
			return kills, peak
		case <-time.After(20 * time.Millisecond):
		}
		rss := n.memory()
		peak = max(peak, rss)
		if rss <= float64(n.deployment.memoryMB) {
			continue
		}
		n.deployment.log.add("%s has %.0f MB of %d MB: the platform kills it", n.name, rss, n.deployment.memoryMB)
		n.signal(syscall.SIGKILL)
		<-n.ended
		kills++
		time.Sleep(300 * time.Millisecond)
		n.start()
	}
}

// press opens connections that send a body, but for the bytes held back, and holds them for a time.
func (n *node) press(crowd crowdOf, round int, end <-chan struct{}) {
	var running sync.WaitGroup
	part := make([]byte, 1<<16)
	for i := range crowd.clients {
		running.Go(func() {
			conn, err := net.DialTimeout("tcp", n.front, time.Second)
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			_, _ = fmt.Fprintf(conn, "POST /send/%d HTTP/1.1\r\nHost: %s\r\nX-Caroblane-Request-Id: %016x\r\nX-Caroblane-Deadline-Ms: %d\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n",
				i, host, lastID.Add(1)+0x2c41d07be2a00000, bodyTimeout.Milliseconds(), key, bodySize)
			for left := bodySize - crowd.heldBack; left > 0; left -= len(part) {
				if _, err := conn.Write(part[:min(left, len(part))]); err != nil {
					return
				}
				time.Sleep(time.Duration(len(part)) * time.Second / bytesPerSec)
			}
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			done := make(chan struct{})
			go func() {
				_, _ = io.Copy(io.Discard, conn)
				close(done)
			}()
			select {
			case <-done:
			case <-end:
			}
		})
	}
	running.Wait()
}

// largeBodies lets a crowd of clients send bodies of legal size at once that stop short of their
// end.
func largeBodies(log *record, trouble bool) int {
	return pressAll(log, crowdOf{crowd, heldBack}, 1, 0, trouble)
}

// largeUploads lets clients send whole bodies of legal size at once.
func largeUploads(log *record, trouble bool) int {
	return pressAll(log, crowdOf{uploaders, 0}, 4, readDelay, trouble)
}

// pressAll lets a crowd send bodies to each of two nodes, some times, and watches their memory.
func pressAll(log *record, crowd crowdOf, servers int, pause time.Duration, trouble bool) int {
	d := newDeployment(log)
	defer d.close()
	d.addNode("za")
	d.addNode("zb")
	var workers []*worker
	for i := range servers {
		w := d.newWorker(fmt.Sprintf("i-%d", i+1), "app", "za")
		w.pause = pause
		workers = append(workers, w)
	}
	d.start(config(1, func(c map[string]any) { c["routes"].([]map[string]any)[1]["timeoutMs"] = bodyTimeout.Milliseconds() }), workers)
	time.Sleep(2 * time.Second)
	end := make(chan struct{})
	var watching sync.WaitGroup
	kills, peaks := make([]int, len(d.nodes)), make([]float64, len(d.nodes))
	for i, n := range d.nodes {
		watching.Go(func() { kills[i], peaks[i] = n.watchMemory(end) })
	}
	answered := 0
	for round := range rounds {
		stop := make(chan struct{})
		var running sync.WaitGroup
		if trouble {
			log.add("round %d: %d clients send bodies of %d bytes to each node, and hold back the last %d", round+1, crowd.clients, bodySize, crowd.heldBack)
			for _, n := range d.nodes {
				running.Go(func() { n.press(crowd, round, stop) })
			}
		}
		time.Sleep(roundTime)
		close(stop)
		running.Wait()
		time.Sleep(roundPause)
		for _, n := range d.nodes {
			if n.send(http.MethodGet, "/read/1", key, 2*time.Second, nil).status == http.StatusOK {
				answered++
			}
		}
	}
	close(end)
	watching.Wait()
	broken := 0
	for i, n := range d.nodes {
		log.add("%s: %d times above %d MB, peak %.0f MB", n.name, kills[i], d.memoryMB, peaks[i])
		if kills[i] >= 3 {
			broken++
		}
	}
	return log.verdict(broken >= 2, "Fault: processes ended for want of memory %v times on %d machines, peaks %.0f MB of %d MB; ordinary requests answered after the rounds: %d of %d",
		kills, len(d.nodes), peaks, d.memoryMB, answered, rounds*len(d.nodes))
}
