//go:build review

// Command rig3 runs the cases of the third review that are scripts. It starts the daemon as the
// deploy file does, with stand-ins of the store, the duties API, the workers and the clients on
// loopback, and judges what these have seen.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"caroblane/fake/child"
	"caroblane/platform/stub"
)

// The exit codes of a case.
const (
	codeHeld   = 0
	codeBroken = 1
	codeUnable = 2
)

// object is a JSON object.
type object = map[string]any

// record is the record of a run: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, begun: time.Now()}, err
}

// line writes a line with the time since the begin of the run.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// summary writes a line to the record and to standard output.
func (r *record) summary(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// rig is an installation with its stand-ins.
type rig struct {
	*record
	ctx     context.Context
	dir     string
	trouble bool
	store   *stub.Store
	duties  *stub.Duties
	workers []*worker
	nodes   []*node
	running sync.WaitGroup
	storeAt string
	dutyAt  string
}

// given are the ports that freePorts has returned. A process that is down keeps its ports.
var given = map[int]bool{}

// freePorts returns n consecutive free ports of the loopback address, below the range from
// which the system takes ports itself. It is called by one goroutine.
func freePorts(n int) int {
	for {
		first := 10_000 + rand.IntN(20_000)
		free := true
		for i := range n {
			if given[first+i] {
				free = false
				break
			}
			l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(first+i)))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			for i := range n {
				given[first+i] = true
			}
			return first
		}
	}
}

func addressOf(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// newRig starts the stand-ins of the platform.
func newRig(ctx context.Context, rec *record, dir string, trouble bool, onUsage func(stub.Usage)) *rig {
	port := freePorts(2)
	r := &rig{record: rec, ctx: ctx, dir: dir, trouble: trouble, storeAt: addressOf(port), dutyAt: addressOf(port + 1)}
	r.store = stub.NewStore(r.storeAt, rand.New(rand.NewPCG(1, 2)))
	r.duties = stub.NewDuties(r.dutyAt, onUsage)
	r.running.Go(func() { _ = r.store.Run(ctx) })
	r.running.Go(func() { _ = r.duties.Run(ctx) })
	return r
}

// put writes an object of the operator or of a worker.
func (r *rig) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	r.store.Put(r.ctx, kind, name, text)
	r.line("store: put %s/%s", kind, name)
}

// node is a process of the system.
type node struct {
	rig                  *rig
	name, settings       string
	front, ready         string
	mu                   sync.Mutex
	command              *exec.Cmd
	exited               chan struct{}
	starts, killed, died int
}

// addNode writes the settings of a node and starts it.
func (r *rig) addNode(i int, change func(settings object)) *node {
	port := freePorts(8)
	n := &node{rig: r, name: fmt.Sprintf("front-z%d-%d", i%3, i), front: addressOf(port), ready: addressOf(port + 1)}
	n.settings = filepath.Join(r.dir, n.name+".json")
	settings := object{
		"node": n.name, "role": "entry", "machineClass": "front", "serves": []string{"front"}, "ip": "127.0.0.1",
		"zone": fmt.Sprintf("z%d", i%3), "region": "r", "zones": object{"z0": "r", "z1": "r", "z2": "r"},
		"listen":        object{"front": n.front, "ready": n.ready},
		"internalPorts": []int{port + 2, port + 7}, "seeds": []string{}, "bootstrap": false, "inTolerance": false,
		"limits":  object{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "tenants", "leader", "quota", "platform"},
		"faultTolerance": object{"machines": 1, "zones": 0, "regions": 0},
		"bounds": object{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "skewMs": 5000, "strictRevoke": true,
			"revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retrySlack": 58, "quotaWindowS": 8,
			"quotaOvershoot": 0.1, "quotaSlack": 140000, "requireFencing": true, "leaseMs": 3000, "thawSlackMs": 300,
			"usageWindowS": 5, "usageOff": 0.05, "usageLateS": 10, "recoveryS": 12, "transitMs": 120, "againS": 7.7,
		},
		"platform": object{
			"address": r.storeAt, "form": "objects", "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
			"valueBytes": 1048576, "ttlMinMs": 1000,
		},
		"cloud": object{"address": r.dutyAt, "ratePerS": 50.0, "duties": []string{"usage", "scaling"}, "dutyPerS": 50.0},
	}
	if change != nil {
		change(settings)
	}
	text, err := json.Marshal(settings)
	if err == nil {
		err = os.WriteFile(n.settings, text, 0o600)
	}
	if err != nil {
		panic(err)
	}
	r.nodes = append(r.nodes, n)
	n.start()
	return n
}

// start starts the process of a node, as the deploy file says.
func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.starts++
	log, err := os.Create(filepath.Join(n.rig.dir, fmt.Sprintf("%s.%d.log", n.name, n.starts)))
	if err != nil {
		panic(err)
	}
	n.command = exec.Command("target/caroblaned", "platform")
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=/tmp", "LANG=C", "CAROBLANE_NODE_FILE=" + n.settings}
	n.command.Stdout, n.command.Stderr = log, log
	if err := child.Start(n.command); err != nil {
		n.rig.summary("cannot start %s: %v", n.name, err)
		os.Exit(codeUnable)
	}
	n.exited = make(chan struct{})
	n.rig.line("node %s: started, pid %d", n.name, n.command.Process.Pid)
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		_ = log.Close()
		n.rig.line("node %s: ended: %s", n.name, command.ProcessState)
		close(exited)
	}(n.command, n.exited)
}

// signal sends a signal to the process of a node and returns a channel that is closed when it
// has ended.
func (n *node) signal(s syscall.Signal) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.exited:
	default:
		n.rig.line("node %s: signal %v", n.name, s)
		_ = n.command.Process.Signal(s)
	}
	return n.exited
}

// privateBytes returns the anonymous memory of the process of a node, without the pages of
// its program file.
func (n *node) privateBytes() int64 {
	n.mu.Lock()
	pid := n.command.Process.Pid
	n.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			return kb << 10
		}
	}
	return 0
}

// isReady asks a node whether it is ready, as the platform does.
func (n *node) isReady() bool {
	c := dialer{timeout: time.Second}
	status, _, err := c.once(n.ready, "GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n", nil)
	return err == nil && status == 200
}

// awaitReady waits until all nodes are ready.
func (r *rig) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, n := range r.nodes {
		for !n.isReady() {
			if time.Now().After(until) {
				return errors.New(n.name + " is not ready")
			}
			time.Sleep(20 * time.Millisecond)
		}
		r.line("node %s: ready", n.name)
	}
	return nil
}

// stop ends all processes.
func (r *rig) stop() {
	for _, n := range r.nodes {
		<-n.signal(syscall.SIGKILL)
	}
}

func main() {
	cases := map[string]func(*rig) (int, error){
		"orders": runOrders, "release": runRelease, "refusal": runRefusal, "recover": runRecover, "flood": runFlood,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: rig3 CASE DIR")
		os.Exit(codeUnable)
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Println(err)
		os.Exit(codeUnable)
	}
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		fmt.Println(err)
		os.Exit(codeUnable)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 118*time.Second)
	r := newRig(ctx, rec, dir, os.Getenv("TROUBLE") != "0", func(stub.Usage) {})
	code, err := cases[os.Args[1]](r)
	if err != nil {
		r.summary("the case could not run: %v", err)
		code = codeUnable
	}
	r.stop()
	cancel()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	r.summary("exit code %d", code)
	os.Exit(code)
}
