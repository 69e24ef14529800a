package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The bounds that the design states.
const (
	configTerm    = 10 * time.Second
	freshnessTerm = 6 * time.Second
	// periodTerm is how long the faults of a pair last: longer than the
	// freshness term, so that every grant from before the fault has ended.
	periodTerm = freshnessTerm + 500*time.Millisecond
	// recoverTerm bounds the return to service after the last fault: the bound
	// for configuration, and the loan term before limits are settled.
	recoverTerm = configTerm + 2*time.Second
	// trafficPause keeps the traffic of a test below the load of the machine.
	trafficPause = 25 * time.Millisecond
	// trafficTerm is when a caller gives up and repeats its send elsewhere.
	trafficTerm = 2 * time.Second
)

// fault is a fault of one node or of the store.
type fault struct {
	name string
	// store is the body of the store's faults.
	store map[string]any
	// begin and end concern a node. Both may be nil.
	begin, end func(*installation)
}

// traffic sends requests through all nodes and keeps what the callers got.
type traffic struct {
	in      *installation
	stop    context.CancelFunc
	running sync.WaitGroup
	mu      sync.Mutex
	answers []answer
	faults  []string
}

// nodeStatus is the part of a node's status that the tests read.
type nodeStatus struct {
	Incarnation string
	Version     uint64
	Fresh       bool
	Faults      map[string]string
	Members     []struct {
		Name    string
		HeardAt time.Time
	}
}

// status returns the status of a node, false if it does not answer.
func (in *installation) status(node int) (nodeStatus, bool) {
	var status nodeStatus
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + in.nodes[node].admin + "/status")
	if err != nil {
		return status, false
	}
	defer func() { _ = response.Body.Close() }()
	return status, json.NewDecoder(response.Body).Decode(&status) == nil
}

// revision returns the store's last revision of an object.
func (in *installation) revision(kind, name string) uint64 {
	in.t.Helper()
	var held struct{ Version uint64 }
	text := httpText(in.t, "http://"+in.store+"/objects/"+kind+"/"+name)
	if err := json.Unmarshal([]byte(text), &held); err != nil {
		in.t.Fatalf("%v: %s", err, text)
	}
	return held.Version
}

// inForce waits until every node has the last write of an object.
func (in *installation) inForce(kind, name string) {
	in.t.Helper()
	version := in.revision(kind, name)
	in.within(configTerm, fmt.Sprintf("%s/%s at version %d is in force", kind, name, version), func() bool {
		for node := range in.nodes {
			if status, ok := in.status(node); !ok || status.Version < version {
				return false
			}
		}
		return true
	})
}

// silent waits until node 1 has not heard a node for longer than the freshness
// term.
func (in *installation) silent(node int) {
	in.t.Helper()
	name := fmt.Sprintf("node-%d", node)
	in.eventually(name+" is silent for longer than the freshness term", func() bool {
		status, _ := in.status(1)
		for _, member := range status.Members {
			if member.Name == name {
				return time.Since(member.HeardAt) > freshnessTerm+time.Second
			}
		}
		return false
	})
}

// ids returns the identifiers of the requests that the plain service executed.
func (in *installation) ids() map[string]bool {
	in.t.Helper()
	var stats struct {
		Runs []struct {
			RequestIDs []string `json:"RequestIds"`
		}
	}
	if err := json.Unmarshal([]byte(httpText(in.t, "http://"+in.plain+"/stats")), &stats); err != nil {
		in.t.Fatal(err)
	}
	ids := map[string]bool{}
	for _, run := range stats.Runs {
		for _, id := range run.RequestIDs {
			ids[id] = true
		}
	}
	return ids
}

// traffic starts callers of all nodes and a watch of their versions.
func (in *installation) traffic() *traffic {
	ctx, stop := context.WithCancel(in.t.Context())
	r := &traffic{in: in, stop: stop}
	for node := range in.nodes {
		r.running.Go(func() { r.chats(ctx, node) })
		r.running.Go(func() { r.sends(ctx, node) })
		r.running.Go(func() { r.versions(ctx, node) })
	}
	in.t.Cleanup(stop)
	return r
}

// chats sends chats through one node.
func (r *traffic) chats(ctx context.Context, node int) {
	for ctx.Err() == nil {
		r.send(ctx, node, "/v1/chat/completions", chatBody(3, true, "hello"))
		pause(ctx, trafficPause)
	}
}

// sends sends requests that may not be repeated through one node, and each of
// them once more through the next node.
func (r *traffic) sends(ctx context.Context, node int) {
	for i := 0; ctx.Err() == nil; i++ {
		key := fmt.Sprintf("key-%d-%d", node, i)
		r.send(ctx, node, "/send/1", "{}", "Idempotency-Key", key)
		r.send(ctx, (node+1)%len(r.in.nodes), "/send/1", "{}", "Idempotency-Key", key)
		pause(ctx, trafficPause)
	}
}

func (r *traffic) send(ctx context.Context, node int, path, body string, header ...string) {
	ctx, cancel := context.WithTimeout(ctx, trafficTerm)
	defer cancel()
	got := r.in.callIn(ctx, node, http.MethodPost, path, body, header...)
	got.stream = path == "/v1/chat/completions"
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers = append(r.answers, got)
}

// versions watches that the version in force of a process never falls.
func (r *traffic) versions(ctx context.Context, node int) {
	var last nodeStatus
	for ctx.Err() == nil {
		if status, ok := r.in.status(node); ok {
			if status.Incarnation == last.Incarnation && status.Version < last.Version {
				r.mu.Lock()
				r.faults = append(r.faults, fmt.Sprintf("version of node %d fell from %d to %d", node, last.Version, status.Version))
				r.mu.Unlock()
			}
			last = status
		}
		pause(ctx, trafficPause)
	}
}

// check ends the traffic and checks what must hold under any fault.
func (r *traffic) check() {
	in := r.in
	in.t.Helper()
	r.stop()
	r.running.Wait()
	in.eventually("the plain service has answered", func() bool {
		return in.openRequests(0)+in.openRequests(1)+in.openRequests(2) == 0
	})
	for _, fault := range r.faults {
		in.t.Error(fault)
	}
	for key, n := range in.executions() {
		if key != "" && n > 1 {
			in.t.Errorf("%s was executed %d times", key, n)
		}
	}
	executed, served := in.ids(), 0
	for _, a := range r.answers {
		var body struct {
			refusal
			RequestID string `json:"RequestId"`
		}
		_ = json.Unmarshal([]byte(a.body), &body)
		if body.Execution == "NotRun" && body.RequestID != "" && executed[body.RequestID] {
			in.t.Errorf("executed, but answered %s", a.body)
		}
		if a.status == http.StatusOK && a.err == nil {
			served++
			if err := wholeStream(a, 3); a.stream && err != nil {
				in.t.Error(err)
			}
		}
	}
	if served == 0 {
		in.t.Error("no request was served")
	}
	in.t.Logf("%d answers, %d served, %d sends executed", len(r.answers), served, len(in.executions()))
}

// pause waits between two requests of a caller.
func pause(ctx context.Context, term time.Duration) {
	timer := time.NewTimer(term)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Guards against a second execution, a wrong NotRun, a stream that is not
// whole, a version that falls, and service that does not come back, under each
// pair of faults (G8, G9, G10, G13).
func TestFaultPairs(t *testing.T) {
	t.Parallel()
	killed := fault{
		name:  "kill",
		begin: func(in *installation) { in.nodes[0].kill() },
		end:   func(in *installation) { in.nodes[0].start(in.t) },
	}
	paused := fault{
		name:  "pause",
		begin: func(in *installation) { in.nodes[1].signal(in.t, syscall.SIGSTOP) },
		end:   func(in *installation) { in.nodes[1].signal(in.t, syscall.SIGCONT) },
	}
	cut := fault{name: "cut", store: map[string]any{"DropClients": []string{"node-2"}}}
	down := fault{name: "down", store: map[string]any{"Down": true}}
	slow := fault{name: "slow", store: map[string]any{"SlowBy": "700ms"}}
	lost := fault{name: "lost answers", store: map[string]any{"LoseAnswersAfterWrite": true}}
	// A store that is down is neither slow nor cut off, and loses no answers.
	for _, pair := range [][2]fault{
		{killed, paused},
		{killed, cut},
		{killed, down},
		{killed, slow},
		{killed, lost},
		{paused, cut},
		{paused, down},
		{paused, slow},
		{paused, lost},
		{cut, slow},
		{cut, lost},
		{slow, lost},
	} {
		t.Run(pair[0].name+" and "+pair[1].name, func(t *testing.T) {
			t.Parallel()
			in := install(t, 3)
			run := in.traffic()
			faults := map[string]any{}
			for _, f := range pair {
				for name, value := range f.store {
					faults[name] = value
				}
				if f.begin != nil {
					f.begin(in)
				}
			}
			body, err := json.Marshal(faults)
			if err != nil {
				t.Fatal(err)
			}
			in.fault(in.store, string(body))
			pause(t.Context(), periodTerm)
			for _, f := range pair {
				if f.end != nil {
					f.end(in)
				}
			}
			in.fault(in.store, `{}`)
			in.write("Template", "account", map[string]any{"Rate": 900, "Burst": 900})
			in.inForce("Template", "account")
			in.within(recoverTerm, "every node serves", func() bool {
				for node := range in.nodes {
					if in.chat(node, 1).status != http.StatusOK ||
						in.call(node, http.MethodPost, "/send/1", "{}", "Idempotency-Key", fmt.Sprint("last-", node)).status != http.StatusOK {
						return false
					}
				}
				return true
			})
			run.check()
		})
	}
}

// Guards against a paused node that admits with its old configuration when it
// resumes: a request that waited in its socket, and those that follow (G4).
func TestPausedNodeHasNoOldKey(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ name, store string }{
		{"store up", `{}`},
		{"store down", `{"Down":true}`},
		{"store cut", `{"DropClients":["node-0"]}`},
		{"store slow", `{"SlowBy":"1s"}`},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			in := install(t, 3)
			in.nodes[0].signal(t, syscall.SIGSTOP)
			in.write("Key", "key", map[string]any{"Account": "account", "Hash": keyHash(callerKey), "State": "Withdrawn"})
			early := make(chan answer, 1)
			go func() { early <- in.call(0, http.MethodPost, "/send/1", "{}", "Idempotency-Key", "early") }()
			in.silent(0)
			in.fault(in.store, test.store)
			in.nodes[0].signal(t, syscall.SIGCONT)
			n := 0
			in.within(configTerm, "node 0 refuses the key", func() bool {
				n++
				got := in.call(0, http.MethodPost, "/send/1", "{}", "Idempotency-Key", fmt.Sprint("k", n))
				if got.refusal().Execution != "NotRun" {
					t.Errorf("request %d got %+v", n, got)
				}
				return got.refusal().Reason == "KeyWasWithdrawn"
			})
			if got := <-early; got.refusal().Execution != "NotRun" {
				t.Errorf("request during the pause got %+v", got)
			}
			if runs := in.executions(); len(runs) != 0 {
				t.Errorf("executed %v", runs)
			}
		})
	}
}

// Guards against an outage of the platform that ends service, and against a
// send without a claim (G9, G10).
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name, store string
		cut         []int
	}{
		{"one node cut", `{"DropClients":["node-1"]}`, []int{1}},
		{"down", `{"Down":true}`, []int{0, 1, 2}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			in := install(t, 3)
			in.fault(in.store, test.store)
			began := time.Now()
			in.eventually("the freshness term has passed", func() bool {
				for node := range in.nodes {
					if err := wholeStream(in.chat(node, 1), 1); err != nil {
						t.Fatalf("node %d after %s: %v", node, time.Since(began), err)
					}
				}
				return time.Since(began) > freshnessTerm+time.Second
			})
			for _, node := range test.cut {
				got := in.call(node, http.MethodPost, "/send/1", "{}", "Idempotency-Key", test.name)
				if want := (refusal{"ClaimUnavailable", "NotRun"}); got.refusal() != want {
					t.Errorf("node %d: got %+v, want %+v", node, got, want)
				}
			}
			in.fault(in.store, `{}`)
			in.within(configTerm, "sends work again", func() bool {
				return in.call(1, http.MethodPost, "/send/1", "{}", "Idempotency-Key", test.name).status == http.StatusOK
			})
			if n := in.executions()[test.name]; n != 1 {
				t.Errorf("the send ran %d times", n)
			}
		})
	}
}

// Guards against a node that uses its share of a rate twice, or a share that
// another node uses too: around a kill, a pause and a loss of the store (G7).
func TestRateUnderFaults(t *testing.T) {
	t.Parallel()
	restart := func(in *installation) {
		in.nodes[0].kill()
		in.nodes[0].start(in.t)
	}
	for _, test := range []struct {
		name       string
		begin, end func(*installation)
	}{
		{"kill", restart, func(*installation) {}},
		{"kill twice", restart, restart},
		{
			"pause",
			func(in *installation) { in.nodes[0].signal(in.t, syscall.SIGSTOP) },
			func(in *installation) { in.nodes[0].signal(in.t, syscall.SIGCONT) },
		},
		{
			"kill in an outage",
			func(in *installation) {
				in.fault(in.store, `{"Down":true}`)
				restart(in)
			},
			func(in *installation) { in.fault(in.store, `{}`) },
		},
		{
			"cut",
			func(in *installation) { in.fault(in.store, `{"DropClients":["node-0"]}`) },
			func(in *installation) { in.fault(in.store, `{}`) },
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			const rate, burst = 20.0, 9.0
			in := install(t, 3)
			in.write("Template", "account", map[string]any{"Rate": rate, "Burst": burst})
			in.inForce("Template", "account")
			load := in.readers()
			load.more(20)
			test.begin(in)
			pause(t.Context(), periodTerm)
			test.end(in)
			load.more(60)
			load.check(rate, burst)
		})
	}
}

// admitted is a request that was admitted after it was sent and before its
// answer came.
type admitted struct{ sent, answered time.Time }

// readers sends more requests than the account's rate through all nodes.
type readers struct {
	in      *installation
	stop    context.CancelFunc
	running sync.WaitGroup
	mu      sync.Mutex
	all     []admitted
}

func (in *installation) readers() *readers {
	ctx, stop := context.WithCancel(in.t.Context())
	in.t.Cleanup(stop)
	r := &readers{in: in, stop: stop}
	for node := range in.nodes {
		for range 4 {
			r.running.Go(func() {
				for ctx.Err() == nil {
					sent := time.Now()
					if got := in.callIn(ctx, node, http.MethodGet, "/read/x", ""); got.status == http.StatusOK {
						r.mu.Lock()
						r.all = append(r.all, admitted{sent, time.Now()})
						r.mu.Unlock()
					}
					pause(ctx, trafficPause)
				}
			})
		}
	}
	return r
}

func (r *readers) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.all)
}

// more waits until n more requests were admitted.
func (r *readers) more(n int) {
	r.in.t.Helper()
	before := r.count()
	r.in.eventually(fmt.Sprintf("%d more requests are admitted", n), func() bool { return r.count() >= before+n })
}

// check ends the load and compares each window with the limit: the requests
// that were sent and answered within it were admitted within it.
func (r *readers) check(rate, burst float64) {
	r.in.t.Helper()
	r.stop()
	r.running.Wait()
	slices.SortFunc(r.all, func(a, b admitted) int { return a.answered.Compare(b.answered) })
	worst := -burst
	for _, first := range r.all {
		n := 0.0
		for _, last := range r.all {
			if last.sent.Before(first.sent) {
				continue
			}
			n++
			worst = max(worst, n-burst-rate*last.answered.Sub(first.sent).Seconds())
		}
	}
	if worst > 0 {
		r.in.t.Errorf("%.2f requests above burst and rate in a window", worst)
	}
	r.in.t.Logf("%d requests, %.2f above burst and rate in the worst window", len(r.all), worst)
}

// Guards against new work on an upstream that is leaving, and against a cut of
// its running stream (G2, G11).
func TestDrainUpstream(t *testing.T) {
	t.Parallel()
	const tokens = 300
	in := install(t, 3)
	ended := make(chan answer, 1)
	go func() { ended <- in.chat(0, tokens) }()
	leaving := -1
	in.eventually("the stream has begun", func() bool {
		for i, engine := range in.engines {
			if in.engineStats(engine).Submitted == 1 {
				leaving = i
			}
		}
		return leaving >= 0
	})
	in.write("Upstream", fmt.Sprintf("engine-%d", leaving), map[string]any{
		"Kind": "Engine", "Address": in.engines[leaving], "Zone": "a", "Models": []string{modelName},
		"Slots": 16, "State": "Draining",
	})
	in.inForce("Upstream", fmt.Sprintf("engine-%d", leaving))
	if len(ended) > 0 {
		t.Fatal("the stream ended before the upstream was leaving")
	}
	for node := range in.nodes {
		for range 4 {
			if err := wholeStream(in.chat(node, 1), 1); err != nil {
				t.Errorf("node %d: %v", node, err)
			}
		}
	}
	if n := in.engineStats(in.engines[leaving]).Submitted; n != 1 {
		t.Errorf("the leaving engine got %d requests", n)
	}
	if err := wholeStream(<-ended, tokens); err != nil {
		t.Errorf("the running stream: %v", err)
	}
}
