package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// The harness runs the programs as processes on loopback: the platform and
// upstream stand-ins, and entry nodes.

const (
	callerKey = "test-key"
	modelName = "m1"
	waitTerm  = 30 * time.Second
	waitPoll  = 20 * time.Millisecond
)

// programs builds the programs once for all tests.
var programs = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "caroblane")
	if err != nil {
		return "", err
	}
	build := exec.Command("go", "build", "-o", dir+string(os.PathSeparator),
		"caroblane/cmd/caroblaned", "caroblane/cmd/caroblane", "caroblane/cmd/caroblane-fake")
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w\n%s", err, out)
	}
	return dir, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if dir, err := programs(); err == nil {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// process is a running program.
type process struct {
	command *exec.Cmd
	ended   chan error
	log     *lockedBuffer
}

// lockedBuffer collects the output of a process.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// installation is a platform, upstreams and entry nodes.
type installation struct {
	t        *testing.T
	dir      string
	store    string
	engines  []string
	plain    string
	nodes    []*entryNode
	standIns []*process
}

// entryNode is a caroblaned process; it keeps its addresses over restarts.
type entryNode struct {
	*process
	settings string
	callers  string
	admin    string
}

type object struct {
	Kind  string
	Name  string
	Value any
}

func start(t testing.TB, name string, args ...string) *process {
	t.Helper()
	dir, err := programs()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{command: exec.Command(filepath.Join(dir, name), args...), ended: make(chan error, 1), log: &lockedBuffer{}}
	p.command.Stderr = p.log
	out, err := p.command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	first := make(chan string, 1)
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			select {
			case first <- lines.Text():
			default:
			}
		}
		p.ended <- p.command.Wait()
	}()
	t.Cleanup(func() { p.kill() })
	if name == "caroblane-fake" {
		select {
		case line := <-first:
			_, address, _ := strings.Cut(line, "address=")
			_, _ = p.log.Write([]byte(address))
		case <-time.After(waitTerm):
			t.Fatalf("%s %v did not start", name, args)
		}
	}
	return p
}

// kill ends the process at once, also when it is paused.
func (p *process) kill() {
	_ = p.command.Process.Signal(syscall.SIGKILL)
	select {
	case err := <-p.ended:
		p.ended <- err
	case <-time.After(waitTerm):
	}
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// exitCode waits for the end of the process.
func (p *process) exitCode(t *testing.T) int {
	t.Helper()
	select {
	case err := <-p.ended:
		p.ended <- err
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			return exit.ExitCode()
		}
		return 0
	case <-time.After(waitTerm):
		t.Fatal("process did not end")
		return 0
	}
}

// install starts stand-ins and entry nodes and waits until they are ready.
func install(t *testing.T, nodes int) *installation {
	t.Helper()
	in := &installation{t: t, dir: t.TempDir()}
	var objects []object
	for i := range 2 {
		address := in.standIn("engine")
		in.engines = append(in.engines, address)
		objects = append(objects, object{"Upstream", fmt.Sprintf("engine-%d", i), map[string]any{
			"Kind": "Engine", "Address": address, "Zone": "a", "Models": []string{modelName}, "Slots": 16,
		}})
	}
	in.plain = in.standIn("plain")
	objects = append(objects,
		object{"Upstream", "plain", map[string]any{"Kind": "Plain", "Address": in.plain, "Zone": "a", "Slots": 64}},
		object{"Route", "send", map[string]any{"Prefix": "/send/", "Upstreams": []string{"plain"}}},
		object{"Route", "read", map[string]any{"Prefix": "/read/", "Upstreams": []string{"plain"}, "Repeatable": true}},
		object{"Model", modelName, map[string]any{"MaxTokens": 4096}},
		object{"Template", "account", map[string]any{"Rate": 1000, "Burst": 1000}},
		object{"Key", "key", map[string]any{"Account": "account", "Hash": keyHash(callerKey), "State": "Active"}},
	)
	in.store = in.standIn("store", "--seed", in.file("seed.json", objects))
	for i := range nodes {
		in.addNode(i)
	}
	in.ready()
	return in
}

func (in *installation) standIn(kind string, args ...string) string {
	in.t.Helper()
	p := start(in.t, "caroblane-fake", append([]string{kind}, args...)...)
	in.standIns = append(in.standIns, p)
	return p.log.String()
}

func (in *installation) file(name string, value any) string {
	in.t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		in.t.Fatal(err)
	}
	path := filepath.Join(in.dir, name)
	if err := os.WriteFile(path, data, 0o600); err != nil {
		in.t.Fatal(err)
	}
	return path
}

func (in *installation) addNode(i int) {
	in.t.Helper()
	node := &entryNode{callers: freeAddress(in.t), admin: freeAddress(in.t)}
	node.settings = filepath.Join(in.dir, fmt.Sprintf("node-%d.ini", i))
	text := fmt.Sprintf("[Node]\nName = node-%d\n[Listen]\nCallers = %s\nPeers = %s\nAdmin = %s\n[Platform]\nAddress = %s\n[Limits]\nDrainNotice = 500ms\n",
		i, node.callers, freeAddress(in.t), node.admin, in.store)
	if err := os.WriteFile(node.settings, []byte(text), 0o600); err != nil {
		in.t.Fatal(err)
	}
	node.start(in.t)
	in.nodes = append(in.nodes, node)
}

func (n *entryNode) start(t *testing.T) {
	t.Helper()
	n.process = start(t, "caroblaned", "--settings", n.settings)
}

func (n *entryNode) ready() bool {
	response, err := http.Get("http://" + n.admin + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (in *installation) ready() {
	in.t.Helper()
	for i, node := range in.nodes {
		in.eventually(fmt.Sprintf("node %d is ready", i), node.ready)
	}
}

// eventually waits until a condition holds.
func (in *installation) eventually(what string, holds func() bool) {
	in.t.Helper()
	in.within(waitTerm, what, holds)
}

// within waits at most the given term until a condition holds.
func (in *installation) within(term time.Duration, what string, holds func() bool) {
	in.t.Helper()
	ticker := time.NewTicker(waitPoll)
	defer ticker.Stop()
	limit := time.After(term)
	for !holds() {
		select {
		case <-ticker.C:
		case <-limit:
			for i, node := range in.nodes {
				in.t.Logf("node %d:\n%s", i, node.log)
			}
			in.t.Fatalf("not within %s: %s", term, what)
		}
	}
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
	// stream tells that an event stream was asked for.
	stream bool
}

// refusal is the typed error body.
type refusal struct{ Reason, Execution string }

func (a answer) refusal() refusal {
	var r refusal
	_ = json.Unmarshal([]byte(a.body), &r)
	return r
}

func (in *installation) call(node int, method, path, body string, header ...string) answer {
	return in.callIn(context.Background(), node, method, path, body, header...)
}

func (in *installation) callIn(ctx context.Context, node int, method, path, body string, header ...string) answer {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+in.nodes[node].callers+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+callerKey)
	request.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(text), err: err}
}

func chatBody(tokens int, stream bool, prompt string) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		modelName, stream, tokens, prompt)
}

func (in *installation) chat(node, tokens int) answer {
	return in.call(node, http.MethodPost, "/v1/chat/completions", chatBody(tokens, true, "hello"))
}

// wholeStream tells whether a stream has all its tokens and the end mark.
func wholeStream(a answer, tokens int) error {
	if a.err != nil {
		return a.err
	}
	if got := strings.Count(a.body, `"content":`); got != tokens || !strings.HasSuffix(a.body, "data: [DONE]\n\n") {
		return fmt.Errorf("status %d, %d of %d tokens: %s", a.status, got, tokens, tail(a.body))
	}
	return nil
}

func tail(text string) string { return text[max(0, len(text)-300):] }

// fault sets the faults of a stand-in.
func (in *installation) fault(address, faults string) {
	in.t.Helper()
	response, err := http.Post("http://"+address+"/faults", "application/json", strings.NewReader(faults))
	if err != nil {
		in.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		text, _ := io.ReadAll(response.Body)
		in.t.Fatalf("faults %s: %s %s", faults, response.Status, text)
	}
}

// executions returns how often the plain service executed each idempotency key.
func (in *installation) executions() map[string]int {
	in.t.Helper()
	response, err := http.Get("http://" + in.plain + "/stats")
	if err != nil {
		in.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var stats struct {
		Runs []struct{ IdempotencyKey string }
	}
	if err := json.NewDecoder(response.Body).Decode(&stats); err != nil {
		in.t.Fatal(err)
	}
	counts := map[string]int{}
	for _, run := range stats.Runs {
		counts[run.IdempotencyKey]++
	}
	return counts
}

// write puts an object into the store, whatever its version is.
func (in *installation) write(kind, name string, value any) {
	in.t.Helper()
	url := "http://" + in.store + "/objects/" + kind + "/" + name
	var held struct{ Version uint64 }
	if response, err := http.Get(url); err == nil {
		_ = json.NewDecoder(response.Body).Decode(&held)
		_ = response.Body.Close()
	}
	data, err := json.Marshal(value)
	if err != nil {
		in.t.Fatal(err)
	}
	request, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		in.t.Fatal(err)
	}
	request.Header.Set("If-Version", fmt.Sprint(held.Version))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		in.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		text, _ := io.ReadAll(response.Body)
		in.t.Fatalf("PUT %s: %s %s", url, response.Status, text)
	}
}

// lastPort is the port that freeAddress looked at last.
var lastPort atomic.Int32

// freeAddress returns an address on which nothing listens, also while an entry
// node is down between two starts. A port that was free a moment ago can be
// taken by another package's listener on port 0, or by an outgoing connection:
// the IP number, one of 127.0.0.0/8 by the process id, keeps out the first, and
// a port below the ephemeral range (32768 and above) the second.
func freeAddress(t testing.TB) string {
	t.Helper()
	const firstPort, ports = 10_000, 20_000
	id := os.Getpid()
	ip := net.IPv4(127, byte(64|id>>16&63), byte(id>>8), byte(id)).String()
	for {
		port := lastPort.Add(1)
		if port > ports {
			t.Fatalf("no free port on %s", ip)
		}
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(firstPort+int(port))))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		_ = listener.Close()
		return listener.Addr().String()
	}
}

func httpText(t testing.TB, url string) string {
	t.Helper()
	response, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// openRequests returns the number of open requests that a node reports.
func (in *installation) openRequests(node int) int {
	in.t.Helper()
	var status struct{ OpenRequests int }
	if err := json.Unmarshal([]byte(httpText(in.t, "http://"+in.nodes[node].admin+"/status")), &status); err != nil {
		in.t.Fatal(err)
	}
	return status.OpenRequests
}

// engineStats are counters of an engine.
type engineStats struct{ Submitted, Crashes int }

func (in *installation) engineStats(address string) engineStats {
	in.t.Helper()
	var stats engineStats
	if err := json.Unmarshal([]byte(httpText(in.t, "http://"+address+"/stats")), &stats); err != nil {
		in.t.Fatal(err)
	}
	return stats
}

func keyHash(key string) string {
	hash := sha256.Sum256([]byte(key))
	return hex.EncodeToString(hash[:])
}
