package plat

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/fake/gate"
	"caroblane/fake/store"
)

// patience bounds the wait for an event that a correct client posts.
const patience = 20 * time.Second

// inbox is a poster that the test reads.
type inbox chan event.Event

func (b inbox) Post(ctx context.Context, e event.Event) error {
	select {
	case b <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// await returns the next event of type E and drops others.
func await[E event.Event](t *testing.T, b inbox) E {
	t.Helper()
	late := time.After(patience)
	for {
		select {
		case got := <-b:
			if e, ok := got.(E); ok {
				return e
			}
		case <-late:
			t.Fatalf("no %T was posted", *new(E))
		}
	}
}

// awaitOp returns the next event about an object call.
func awaitOp(t *testing.T, b inbox) event.Event {
	t.Helper()
	late := time.After(patience)
	for {
		select {
		case got := <-b:
			switch got.(type) {
			case event.ObjectAmbiguous, event.ObjectConflict, event.ObjectRead, event.ObjectReadFailed,
				event.ObjectUnsent, event.ObjectWritten:
				return got
			}
		case <-late:
			t.Fatal("no answer was posted")
		}
	}
}

// start runs a task until the test ends.
func start(t *testing.T, run func(context.Context), done <-chan struct{}) {
	ctx, stop := context.WithCancel(context.Background())
	go run(ctx)
	t.Cleanup(func() {
		stop()
		<-done
	})
}

func startStore(t *testing.T, state store.State) *store.Store {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := store.New(listener, state, rand.New(rand.NewPCG(1, 1)), time.Now)
	start(t, func(ctx context.Context) { _ = s.Run(ctx) }, s.Done())
	return s
}

func startClient(t *testing.T, settings Settings) (*Client, inbox) {
	t.Helper()
	// A short wait makes answers without changes come soon.
	settings.WatchWait = 20 * time.Millisecond
	settings.WatchGap = 0
	b := make(inbox, 64)
	c := New(settings, b, rand.New(rand.NewPCG(2, 2)), SystemClock{})
	start(t, c.Run, c.Done())
	return c, b
}

func put(version model.Version) effect.WriteObject {
	return effect.WriteObject{
		Op: model.Op{Part: model.PartClaim, Seq: 7}, Kind: model.KindModel, Name: "m/1", IfVersion: version,
		Value: model.Model{MaxTokens: 1}, Nonce: "x",
	}
}

// TestWriteFaults guards against a write that took effect and is reported as
// unsent or as a conflict, which would run a claimed request twice, and against
// the opposite, which would refuse requests without need.
func TestWriteFaults(t *testing.T) {
	bigValue := model.Claim{Entries: []model.ClaimEntry{{Key: strings.Repeat("k", maxValue)}}}
	for name, c := range map[string]struct {
		faults gate.Faults
		// gone closes the store's listener before the write.
		gone     bool
		callTerm time.Duration
		write    effect.WriteObject
		want     string
		// twice makes the write once before.
		twice bool
		// took tells whether the write is in the store afterwards.
		took bool
	}{
		"accepted":                  {write: put(0), want: "event.ObjectWritten", took: true},
		"answer lost after write":   {faults: gate.Faults{LoseAnswers: 1}, write: put(0), want: "event.ObjectAmbiguous", took: true},
		"closed without answer":     {faults: gate.Faults{Down: true}, write: put(0), want: "event.ObjectAmbiguous"},
		"down before the request":   {gone: true, write: put(0), want: "event.ObjectUnsent"},
		"stale version":             {write: put(9), want: "event.ObjectConflict"},
		"rate limit":                {faults: gate.Faults{WritesPerSecond: 1e-9}, twice: true, write: put(0), want: "event.ObjectUnsent", took: true},
		"slow past the deadline":    {faults: gate.Faults{SlowBy: time.Hour}, callTerm: 100 * time.Millisecond, write: put(0), want: "event.ObjectAmbiguous", took: true},
		"paused past the deadline":  {faults: gate.Faults{Pause: true}, callTerm: 100 * time.Millisecond, write: put(0), want: "event.ObjectAmbiguous"},
		"deadline passed":           {callTerm: -1, write: put(0), want: "event.ObjectUnsent"},
		"value of another kind":     {write: effect.WriteObject{Kind: model.KindLease, Name: "m/1", Value: model.Model{}}, want: "event.ObjectUnsent"},
		"oversized value":           {write: effect.WriteObject{Kind: model.KindClaim, Name: "m/1", Value: bigValue}, want: "event.ObjectUnsent"},
		"deletion of nothing":       {write: effect.WriteObject{Kind: model.KindModel, Name: "m/1", IfVersion: 3, Delete: true}, want: "event.ObjectConflict"},
		"client is cut off":         {faults: gate.Faults{DropClients: []string{"node-1"}}, write: put(0), want: "event.ObjectAmbiguous"},
		"other client is cut off":   {faults: gate.Faults{DropClients: []string{"node-2"}}, write: put(0), want: "event.ObjectWritten", took: true},
		"slow before the deadline":  {faults: gate.Faults{SlowBy: time.Millisecond}, write: put(0), want: "event.ObjectWritten", took: true},
		"answers lost after writes": {faults: gate.Faults{LoseAnswersAfterWrite: true}, write: put(0), want: "event.ObjectAmbiguous", took: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := startStore(t, store.NewState(store.DefaultLimits()))
			if err := s.SetFaults(t.Context(), c.faults); err != nil {
				t.Fatal(err)
			}
			settings := DefaultSettings("http://"+s.Addr(), "node-1")
			if c.callTerm != 0 {
				settings.CallTerm = c.callTerm
			}
			if c.gone {
				s.Restart(time.Now().Add(time.Hour))
				awaitRefused(t, s.Addr())
			}
			client, b := startClient(t, settings)
			if c.twice {
				client.Execute(t.Context(), c.write)
				awaitOp(t, b)
			}
			client.Execute(t.Context(), c.write)
			got := awaitOp(t, b)
			if fmt.Sprintf("%T", got) != c.want {
				t.Errorf("got %#v, want %s", got, c.want)
			}
			if took := s.Snapshot().Inner().Revision() > 0; took != c.took {
				t.Errorf("write took effect: %v, want %v", took, c.took)
			}
		})
	}
}

// awaitRefused returns once the address refuses connections.
func awaitRefused(t *testing.T, address string) {
	t.Helper()
	for limit := time.Now().Add(patience); time.Now().Before(limit); {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
		if err != nil {
			return
		}
		_ = conn.Close()
	}
	t.Fatalf("%s still accepts connections", address)
}

// TestForeignAnswers guards against answers that do not come from the store, or
// only in part, and are taken for a statement about the object.
func TestForeignAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		write  string
		read   string
	}{
		"cut in the middle":      {"200 OK\r\nConnection: close\r\nContent-Length: 500\r\n\r\n{\"Version\":1", "event.ObjectAmbiguous", "event.ObjectReadFailed"},
		"cut in the header":      {"200 O", "event.ObjectAmbiguous", "event.ObjectReadFailed"},
		"success without object": {"200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}", "event.ObjectAmbiguous", "event.ObjectReadFailed"},
		"proxy error":            {"503 Service Unavailable\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbusy", "event.ObjectAmbiguous", "event.ObjectReadFailed"},
		"page not found":         {"404 Not Found\r\nConnection: close\r\nContent-Length: 9\r\n\r\nnot found", "event.ObjectAmbiguous", "event.ObjectReadFailed"},
		"redirect":               {"307 Temporary Redirect\r\nLocation: /x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", "event.ObjectAmbiguous", "event.ObjectReadFailed"},
		"refusal not executed": {
			"503 Service Unavailable\r\nConnection: close\r\nContent-Length: 39\r\n\r\n" + `{"Reason":"Full","Execution":"NotRun"}` + "\n",
			"event.ObjectUnsent", "event.ObjectReadFailed",
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err == nil {
					_, _ = conn.Write([]byte("HTTP/1.1 " + c.answer))
					_ = conn.Close()
				}
			}))
			defer server.Close()
			client, b := startClient(t, DefaultSettings(server.URL, "node-1"))
			client.Execute(t.Context(), put(0))
			if got := awaitOp(t, b); fmt.Sprintf("%T", got) != c.write {
				t.Errorf("write: got %#v, want %s", got, c.write)
			}
			client.Execute(t.Context(), effect.ReadObject{Kind: model.KindModel, Name: "m"})
			if got := awaitOp(t, b); fmt.Sprintf("%T", got) != c.read {
				t.Errorf("read: got %#v, want %s", got, c.read)
			}
		})
	}
}

// TestReadBack guards against a lost answer that cannot be settled by reading,
// and against versions that differ between write, read and conflict.
func TestReadBack(t *testing.T) {
	s := startStore(t, store.NewState(store.DefaultLimits()))
	client, b := startClient(t, DefaultSettings("http://"+s.Addr(), "node-1"))
	read := effect.ReadObject{Op: model.Op{Part: model.PartLease, Seq: 8}, Kind: model.KindLease, Name: "control.om/north"}
	client.Execute(t.Context(), read)
	if got := awaitOp(t, b).(event.ObjectRead); got.Found || got.Op != read.Op || got.SentAt.IsZero() {
		t.Errorf("absent object: %+v", got)
	}
	if err := s.SetFaults(t.Context(), gate.Faults{LoseAnswers: 1}); err != nil {
		t.Fatal(err)
	}
	lease := model.Lease{Holder: "n1", Epoch: 4, Nonce: "x"}
	write := effect.WriteObject{Op: read.Op, Kind: read.Kind, Name: read.Name, Value: lease, Nonce: "x"}
	client.Execute(t.Context(), write)
	if got := awaitOp(t, b).(event.ObjectAmbiguous); got.SentAt.IsZero() || got.Op != write.Op {
		t.Errorf("lost answer: %+v", got)
	}
	client.Execute(t.Context(), read)
	got := awaitOp(t, b).(event.ObjectRead)
	if !got.Found || got.Object.Value != lease || got.Object.Version != 1 || got.Object.Generation != 1 {
		t.Errorf("read back: %+v", got)
	}
	write.IfVersion, write.Delete, write.Value = 1, true, nil
	client.Execute(t.Context(), write)
	if got := awaitOp(t, b).(event.ObjectWritten); got.Version != 2 || got.Generation != 2 {
		t.Errorf("deletion: %+v", got)
	}
	client.Execute(t.Context(), read)
	if got := awaitOp(t, b).(event.ObjectRead); got.Found {
		t.Errorf("deleted object: %+v", got)
	}
}

// TestQueueFull guards against a call without an answer when more are open than
// the queue holds; the part that asked would wait for ever.
func TestQueueFull(t *testing.T) {
	b := make(inbox, 2)
	c := New(DefaultSettings("http://127.0.0.1:1", "n"), b, rand.New(rand.NewPCG(3, 3)), SystemClock{})
	for range queueSize {
		c.Execute(t.Context(), effect.ReadObject{})
	}
	c.Execute(t.Context(), effect.ReadObject{Op: model.Op{Seq: 1}})
	c.Execute(t.Context(), put(0))
	done := make(chan struct{})
	start(t, func(ctx context.Context) { defer close(done); c.refuse(ctx) }, done)
	answers := map[string]bool{}
	for range 2 {
		answers[fmt.Sprintf("%T", awaitOp(t, b))] = true
	}
	if !answers["event.ObjectReadFailed"] || !answers["event.ObjectUnsent"] {
		t.Errorf("got %v", answers)
	}
}

// TestBoundedCalls guards against more calls at once than the platform grants.
func TestBoundedCalls(t *testing.T) {
	var now, most atomic.Int32
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/objects/") {
			return
		}
		n := now.Add(1)
		defer now.Add(-1)
		for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
		}
		if n == 3 {
			close(release)
		}
		<-release
	}))
	defer server.Close()
	settings := DefaultSettings(server.URL, "n")
	settings.Workers = 3
	client, b := startClient(t, settings)
	for range 12 {
		client.Execute(t.Context(), effect.ReadObject{Kind: model.KindModel, Name: "m"})
	}
	for range 12 {
		awaitOp(t, b)
	}
	if most.Load() != 3 {
		t.Errorf("%d calls at once, want 3", most.Load())
	}
}

// brittleConn fails each write once it is broken, before a byte leaves.
type brittleConn struct {
	net.Conn
	broken *atomic.Bool
}

func (c brittleConn) Write(b []byte) (int, error) {
	if c.broken.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// TestIdleConnection guards against a write that is reported as unsent only
// because the store had closed an idle connection.
func TestIdleConnection(t *testing.T) {
	s := startStore(t, store.NewState(store.DefaultLimits()))
	var first atomic.Bool
	dials := 0
	c := newCaller("http://"+s.Addr(), "n", 1, func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		dials++
		if dials > 1 || err != nil {
			return conn, err
		}
		return brittleConn{conn, &first}, nil
	}, SystemClock{})
	write := request{
		method: http.MethodPut, path: "/objects/Model/m", header: map[string]string{"If-Version": "0"},
		body: []byte("{}"), by: time.Now().Add(patience),
	}
	if _, err := c.do(t.Context(), write); err != nil {
		t.Fatal(err)
	}
	first.Store(true)
	write.header["If-Version"] = "1"
	if _, err := c.do(t.Context(), write); err != nil || dials != 2 || s.Snapshot().Inner().Revision() != 2 {
		t.Errorf("error %v, %d connections, revision %d", err, dials, s.Snapshot().Inner().Revision())
	}
	c.http.CloseIdleConnections()
}

// slowClose is a connection whose Close takes no effect yet.
type slowClose struct {
	net.Conn
	bytes int
}

func (c *slowClose) Close() error { return nil }

func (c *slowClose) RemoteAddr() net.Addr { return &net.TCPAddr{} }

func (c *slowClose) Write(b []byte) (int, error) {
	c.bytes += len(b)
	return len(b), nil
}

// TestSealedConn guards against bytes that leave after a write was reported as
// unsent: the transport writes on a goroutine that outlives the call.
func TestSealedConn(t *testing.T) {
	under := &slowClose{}
	c := &markedConn{Conn: under}
	if writes := c.seal(); writes != 0 {
		t.Errorf("%d writes before the first", writes)
	}
	if n, err := c.Write([]byte("x")); n != 0 || err == nil || under.bytes != 0 || c.count() != 0 {
		t.Errorf("sealed connection wrote %d bytes, error %v", under.bytes, err)
	}
}
