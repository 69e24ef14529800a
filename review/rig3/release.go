//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"caroblane/platform/stub"
)

const (
	// maxFDs is the number of descriptors of the smallest machines of the site.
	maxFDs = 3075
	// releaseWorkers is the number of workers of the service, of which releaseAtOnce are
	// replaced each second.
	releaseWorkers = 18
	releaseAtOnce  = 8
	// drainTime is how long a worker that leaves goes on to serve.
	drainTime = 2500 * time.Millisecond
	// peakCallers and calmCallers are the numbers of callers that send a request in each
	// second of the first peakSteps steps and of the calmSteps steps after them.
	peakCallers, peakSteps = 420, 22
	calmCallers, calmSteps = 60, 30
	// probes is the number of requests that are sent at once after the last step and restTime.
	probes   = 150
	restTime = 12 * time.Second
	// leastLate is the least number of requests without an answer that breaks the rule.
	leastLate  = 8
	halfSecond = 500 * time.Millisecond
	// routeTimeout is the timeout of the routes in plainConfig.
	routeTimeout = 4 * time.Second
)

// limitFDs limits the descriptors of the process of a node, as the platform does.
func (n *node) limitFDs(most uint64) error {
	limit := syscall.Rlimit{Cur: most, Max: most}
	_, _, failure := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(n.command.Process.Pid), syscall.RLIMIT_NOFILE,
		uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
	if failure != 0 {
		return failure
	}
	return nil
}

// openFDs returns the number of descriptors that the process of a node has open.
func (n *node) openFDs() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.command.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// caller sends requests on a connection that it keeps.
type caller struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// send sends a request and waits for the answer. It opens a new connection if it has none.
func (c *caller) send(id string, timeout time.Duration) (int, error) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return 0, err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	status, reusable, err := c.exchange(id)
	if err != nil || !reusable {
		c.close()
	}
	return status, err
}

func (c *caller) exchange(id string) (status int, reusable bool, err error) {
	if _, err := io.WriteString(c.conn, head("GET", "/read/1", id, 0)); err != nil {
		return 0, false, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, false, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode, !response.Close, err
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// leave replaces a worker: another one is registered already, and this one drains and ends.
func (w *worker) leave() {
	entry := w.entry
	entry.State = "draining"
	entry.Seq++
	w.rig.put(stub.KindServers, entry.Name, entry)
	time.AfterFunc(drainTime, func() {
		w.rig.store.Remove(w.rig.ctx, stub.KindServers, entry.Name)
		_ = w.server.Close()
		w.rig.line("worker %s: ended", entry.Name)
	})
}

// runRelease shows whether releases of a service use up the descriptors of a node.
func runRelease(r *rig) (int, error) {
	next := 0
	add := func() *worker {
		next++
		return r.addWorker(fmt.Sprintf("i-desk-%d", next), "desk", fmt.Sprintf("z%d", next%3), 150*time.Millisecond)
	}
	var current []*worker
	for range releaseWorkers {
		current = append(current, add())
	}
	r.put(stub.KindConfig, stub.ConfigName, plainConfig(1))
	n := r.addNode(0, func(s object) {
		limits := s["limits"].(object)
		limits["maxFds"], limits["memoryMb"], limits["cpuShare"] = maxFDs, 144, 0.144
	})
	if err := r.awaitReady(20 * time.Second); err != nil {
		return codeUnable, err
	}
	if err := n.limitFDs(maxFDs); err != nil {
		return codeUnable, err
	}
	var sent, answered, refused, unanswered atomic.Int32
	for step, size := range slices.Concat(slices.Repeat([]int{peakCallers}, peakSteps), slices.Repeat([]int{calmCallers}, calmSteps)) {
		begun := time.Now()
		var burst sync.WaitGroup
		for i := range size {
			burst.Go(func() {
				c := &caller{address: n.front}
				defer c.close()
				sent.Add(1)
				switch status, err := c.send(fmt.Sprintf("step-%d-%d", step, i), routeTimeout+halfSecond); {
				case err != nil:
					unanswered.Add(1)
					r.line("client: step-%d-%d has no answer: %v", step, i, err)
				case status == http.StatusOK:
					answered.Add(1)
				default:
					refused.Add(1)
				}
			})
		}
		burst.Wait()
		r.line("step %d: %d descriptors of %d; sent %d, answered %d, refused %d, unanswered %d", step, n.openFDs(), maxFDs,
			sent.Load(), answered.Load(), refused.Load(), unanswered.Load())
		if r.trouble {
			for i := range releaseAtOnce {
				at := (step*releaseAtOnce + i) % len(current)
				old := current[at]
				current[at] = add()
				old.leave()
			}
		}
		time.Sleep(max(0, time.Second-time.Since(begun)))
	}
	// Neither releases nor requests.
	time.Sleep(restTime)
	idle := n.openFDs()
	var last sync.WaitGroup
	var late, served atomic.Int32
	for i := range probes {
		last.Go(func() {
			c := &caller{address: n.front}
			// The callers keep their connections.
			context.AfterFunc(r.ctx, c.close)
			status, err := c.send(fmt.Sprintf("after-%d", i), routeTimeout+halfSecond)
			r.line("client: after-%d has status %d, %v", i, status, err)
			if err != nil {
				late.Add(1)
			}
			if status == http.StatusOK {
				served.Add(1)
			}
		})
	}
	ready := n.isReady()
	last.Wait()
	r.summary("before: sent %d, answered %d, refused %d, unanswered %d", sent.Load(), answered.Load(), refused.Load(), unanswered.Load())
	r.summary("%v later: %d descriptors of %d; ready %v; of %d requests at once %d served, %d without any answer 0.5 s after the timeout of their route",
		restTime, idle, maxFDs, ready, probes, served.Load(), late.Load())
	if late.Load() >= leastLate {
		return codeBroken, nil
	}
	return codeHeld, nil
}
