//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"caroblane/fake/child"
	"caroblane/platform/stub"
)

const (
	daemon = "target/caroblaned"
	// nodeCount is the number of machines of the smaller site.
	nodeCount    = 7
	readyTimeout = 20 * time.Second
)

// object is a JSON object.
type object = map[string]any

// installation is the daemons with all that is around them.
type installation struct {
	rec   *record
	dir   string
	ip    string
	port  int
	store *stub.Store
	front *storeFront
	nodes []*node
	site  func() object
	// servers are further servers, which are closed at the end.
	servers                     []*http.Server
	storeAddress, dutiesAddress string

	stopParts context.CancelFunc
	parts     sync.WaitGroup
	mu        sync.Mutex
	workers   []*worker
	// sentTo has the node to which each request was sent.
	sentTo map[string]string
}

func newInstallation(ctx context.Context, site func() object, rec *record) (*installation, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	id := os.Getpid()
	in := &installation{
		rec: rec, dir: dir, site: site, sentTo: map[string]string{}, port: 10_000 + rand.IntN(8000),
		ip: net.IPv4(127, byte(64|id>>16&63), byte(id>>8), byte(2+id%250)).String(),
	}
	partsCtx, stop := context.WithCancel(ctx)
	in.stopParts = stop
	in.store = stub.NewStore(in.address(), rand.New(rand.NewPCG(1, 1)))
	in.front = newStoreFront(in.store)
	in.storeAddress, in.dutiesAddress = in.address(), in.address()
	duties := stub.NewDuties(in.dutiesAddress, func(stub.Usage) {})
	for _, part := range []func(context.Context) error{in.store.Run, duties.Run} {
		in.parts.Go(func() { _ = part(partsCtx) })
	}
	if err := in.front.start(in.storeAddress); err != nil {
		return nil, err
	}
	for i := range nodeCount {
		n, err := in.newNode(fmt.Sprintf("front-a-%d", i+1), in.storeAddress, in.dutiesAddress)
		if err != nil {
			return nil, err
		}
		in.nodes = append(in.nodes, n)
	}
	return in, nil
}

func (in *installation) addressAt(port int) string {
	return net.JoinHostPort(in.ip, strconv.Itoa(port))
}

// address returns an address that nobody listens on.
func (in *installation) address() string {
	for {
		a := in.addressAt(in.port)
		in.port++
		if l, err := net.Listen("tcp", a); err == nil {
			_ = l.Close()
			return a
		}
	}
}

// start writes the configuration and starts the daemons.
func (in *installation) start(ctx context.Context) error {
	in.putSite(ctx, in.site())
	for _, n := range in.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range in.nodes {
		if err := n.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (in *installation) putSite(ctx context.Context, site object) {
	text, _ := json.Marshal(site)
	in.store.Put(ctx, stub.KindConfig, stub.ConfigName, text)
	in.rec.add("configuration %v acknowledged", site["version"])
}

// stop ends all processes and removes the temporary folder.
func (in *installation) stop() {
	for _, n := range in.nodes {
		n.kill()
	}
	for _, w := range in.workers {
		w.down()
	}
	for _, server := range append(in.servers, in.front.server) {
		_ = server.Close()
	}
	in.stopParts()
	in.parts.Wait()
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept", in.dir)
		return
	}
	_ = os.RemoveAll(in.dir)
}

// storeFront is the address of the store. It sends the head of the answer to a watch at
// once, and can cut off the watches that wait.
type storeFront struct {
	store  *stub.Store
	server *http.Server
	mu     sync.Mutex
	cuts   map[int]context.CancelFunc
	last   int
}

func newStoreFront(store *stub.Store) *storeFront {
	f := &storeFront{store: store, cuts: map[int]context.CancelFunc{}}
	f.server = &http.Server{Handler: f}
	return f
}

func (f *storeFront) start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = f.server.Serve(l) }()
	return nil
}

// ServeHTTP passes calls on to the store.
func (f *storeFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !r.URL.Query().Has("watch") {
		f.store.ServeHTTP(w, r)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	f.mu.Lock()
	f.last++
	id := f.last
	f.cuts[id] = cancel
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.cuts, id)
	}()
	answer := &buffered{header: http.Header{}, status: http.StatusOK}
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer func() { _ = recover() }()
		f.store.ServeHTTP(answer, r.WithContext(ctx))
	}()
	w.Header().Set("Content-Type", "application/json")
	headSent := false
	select {
	case <-done:
	case <-time.After(20 * time.Millisecond):
		// The watch waits, so its answer will have status 200.
		headSent = true
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		<-done
	}
	if ctx.Err() != nil {
		closeOrderly(w)
		return
	}
	if !headSent {
		w.WriteHeader(answer.status)
	}
	_, _ = w.Write(answer.body)
}

// closeOrderly closes the connection of a request without a reset.
func closeOrderly(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = conn.Close()
}

// cutWatches cuts off all watches that wait, and returns their number.
func (f *storeFront) cutWatches() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, cut := range f.cuts {
		cut()
	}
	return len(f.cuts)
}

// buffered is a response in memory.
type buffered struct {
	header http.Header
	status int
	body   []byte
}

func (b *buffered) Header() http.Header         { return b.header }
func (b *buffered) WriteHeader(status int)      { b.status = status }
func (b *buffered) Write(p []byte) (int, error) { b.body = append(b.body, p...); return len(p), nil }

// node is an entry daemon, which keeps its addresses when it is started again.
type node struct {
	in                 *installation
	name, settings     string
	frontAddr, readyAt string
	// peers is the address at which other nodes reach this one.
	peers   string
	mu      sync.Mutex
	process *os.Process
	exited  chan struct{}
	// startedAt is when the process was started last.
	startedAt time.Time
	starts    int
}

func (in *installation) newNode(name, store, duties string) (*node, error) {
	n := &node{in: in, name: name, settings: filepath.Join(in.dir, name+".json"), frontAddr: in.address(), readyAt: in.address()}
	first := 0
	for first == 0 {
		a := in.address()
		if b := in.address(); portOf(b) == portOf(a)+1 {
			first, n.peers = portOf(a), a
		}
	}
	text, err := json.Marshal(object{
		"node": name, "role": "entry", "machineClass": "front", "serves": []string{"front"}, "ip": in.ip,
		"zone": "a", "region": "r", "zones": object{"a": "r"},
		"listen":        object{"front": n.frontAddr, "ready": n.readyAt},
		"internalPorts": []int{first, first + 1}, "seeds": []string{}, "bootstrap": true,
		"limits":    object{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
		"bounds": object{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "skewMs": 5000, "strictRevoke": true,
			"revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retrySlack": 54, "quotaWindowS": 8,
			"quotaOvershoot": 0.1, "quotaSlack": 140000, "requireFencing": true, "leaseMs": 3000, "thawSlackMs": 300,
			"usageWindowS": 5, "usageOff": 0.05, "usageLateS": 10, "recoveryS": 12, "transitMs": 120, "againS": 7.9,
		},
		"platform": object{
			"address": store, "form": "objects", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576,
		},
		"cloud": object{"address": duties, "ratePerS": 50.0, "duties": []string{"usage"}, "dutyPerS": 50.0},
	})
	if err != nil {
		return nil, err
	}
	return n, os.WriteFile(n.settings, text, 0o600)
}

func portOf(address string) int {
	_, port, _ := net.SplitHostPort(address)
	n, _ := strconv.Atoi(port)
	return n
}

// start starts the process, as the deploy file says.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.starts++
	log, err := os.Create(filepath.Join(n.in.dir, fmt.Sprintf("%s.%d.log", n.name, n.starts)))
	if err != nil {
		return err
	}
	command := exec.Command(daemon, "platform")
	command.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "CAROBLANE_NODE_FILE=" + n.settings,
	}
	command.Stdout, command.Stderr = log, log
	if err := child.Start(command); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.process, n.exited, n.startedAt = command.Process, exited, time.Now()
	n.in.rec.add("%s started", n.name)
	go func() {
		_ = command.Wait()
		_ = log.Close()
		n.in.rec.add("%s ended: %s", n.name, command.ProcessState)
		close(exited)
	}()
	return nil
}

// kill ends the process at once and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	process, exited := n.process, n.exited
	n.mu.Unlock()
	if process == nil {
		return
	}
	select {
	case <-exited:
	default:
		_ = process.Signal(syscall.SIGKILL)
		<-exited
	}
}

// runsFor returns how long the process has been running.
func (n *node) runsFor() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.startedAt)
}

// awaitReady waits until the node is ready.
func (n *node) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		if response, err := client.Get("http://" + n.readyAt + "/-/ready"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		sleep(ctx, 20*time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", n.name)
}

// signalKill ends the process at once and does not wait.
func (n *node) signalKill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.process.Signal(syscall.SIGKILL)
}

// terminate asks the process to stop.
func (n *node) terminate() {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.process.Signal(syscall.SIGTERM)
}
