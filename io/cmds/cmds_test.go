package cmds_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"caroblane/core/model"
	"caroblane/fake/store"
	"caroblane/io/admin"
	"caroblane/io/cmds"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"caroblane": func() { os.Exit(cmds.Run(context.Background(), os.Args, cmds.System())) },
	})
}

// startStore runs the fake platform until the test ends.
func startStore(tb interface{ Cleanup(func()) }, objects ...store.Object) *store.Store {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := store.New(listener, store.NewState(store.DefaultLimits()).Seed(objects...), rand.New(rand.NewPCG(1, 2)), time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = s.Run(ctx) }()
	tb.Cleanup(func() {
		cancel()
		<-s.Done()
	})
	return s
}

// fakeNode is a fake node that has only an admin listener.
type fakeNode struct {
	*httptest.Server
	version   atomic.Uint64
	draining  atomic.Bool
	forgotten atomic.Value
}

func startFakeNode(name string, other *fakeNode, otherName string) *fakeNode {
	e := &fakeNode{}
	e.version.Store(1)
	status := func() admin.Status {
		s := admin.Status{Node: model.NodeName(name), Region: "local", Version: model.Version(e.version.Load()), Fresh: true, Draining: e.draining.Load()}
		if other != nil {
			s = s.WithMembers(admin.Member{Name: model.NodeName(otherName), Address: other.Listener.Addr().String()})
		}
		return s
	}
	view := func() model.NodeView { return newView(name) }
	e.Server = httptest.NewServer(admin.New(status, view, admin.Commands{
		Drain:  func(context.Context) error { e.draining.Store(true); return nil },
		Forget: func(_ context.Context, n model.NodeName) error { e.forgotten.Store(string(n)); return nil },
	}, http.NotFoundHandler(), nil))
	return e
}

// TestScripts guards against commands that change their output, effect or exit
// code, on which operators' scripts rely. Each test script has its own fake
// platform, a running node entry-1 and a stopped node entry-2.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			s := startStore(envCleanup{env})
			two := startFakeNode("entry-2", nil, "")
			one := startFakeNode("entry-1", two, "entry-2")
			two.Close()
			env.Defer(one.Close)
			env.Values["store"], env.Values["node"] = s, one
			env.Setenv("CAROBLANE_PLATFORM", s.Addr())
			env.Setenv("ONE", one.Listener.Addr().String())
			env.Setenv("TWO", two.Listener.Addr().String())
			env.Setenv("CAROBLANE_ADMIN", "entry-1="+env.Getenv("ONE")+",entry-2="+env.Getenv("TWO"))
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"code": checkExitCode,
			"faults": func(ts *testscript.TestScript, _ bool, args []string) {
				ts.Check(sendRequest(http.MethodPost, "http://"+ts.Getenv("CAROBLANE_PLATFORM")+"/faults", args[0]))
			},
			"nodeversion": func(ts *testscript.TestScript, _ bool, args []string) {
				version, err := strconv.ParseUint(args[0], 10, 64)
				ts.Check(err)
				ts.Value("node").(*fakeNode).version.Store(version)
			},
			"put": func(ts *testscript.TestScript, _ bool, args []string) {
				ts.Check(sendRequest(http.MethodPut, "http://"+ts.Getenv("CAROBLANE_PLATFORM")+"/objects/"+args[0], ts.ReadFile(args[1])))
			},
			"forgotten": func(ts *testscript.TestScript, _ bool, args []string) {
				if got, _ := ts.Value("node").(*fakeNode).forgotten.Load().(string); got != args[0] {
					ts.Fatalf("forgotten %q", got)
				}
			},
		},
	})
}

// checkExitCode runs caroblane and expects the given exit code, a single line on
// standard error and an unchanged platform.
func checkExitCode(ts *testscript.TestScript, _ bool, args []string) {
	s := ts.Value("store").(*store.Store)
	before := s.Snapshot().Inner().Revision()
	err := ts.Exec("caroblane", args[1:]...)
	code := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		code = exit.ExitCode()
	}
	if want, _ := strconv.Atoi(args[0]); code != want {
		ts.Fatalf("exit code %d, want %d", code, want)
	}
	checkSingleLine(ts.Fatalf, ts.ReadFile("stderr"))
	if after := s.Snapshot().Inner().Revision(); after != before {
		ts.Fatalf("platform revision changed from %d to %d", before, after)
	}
}

// checkSingleLine expects a single line that starts with the program name.
func checkSingleLine(fatal func(string, ...any), stderr string) {
	if !strings.HasPrefix(stderr, "caroblane: ") || strings.Count(stderr, "\n") != 1 || !strings.HasSuffix(stderr, "\n") {
		fatal("standard error is not a single line: %q", stderr)
	}
}

type envCleanup struct{ env *testscript.Env }

func (c envCleanup) Cleanup(f func()) { c.env.Defer(f) }

// sendRequest sends an HTTP request to the fake platform. A PUT only creates
// objects.
func sendRequest(method, url, body string) error {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("If-Version", "0")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s %s: status %d", method, url, response.StatusCode)
	}
	return nil
}

// run runs a command line in this process.
func run(env cmds.Env, platform string, args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	env.Out, env.Err = &out, &errs
	code = cmds.Run(context.Background(), append([]string{"caroblane", "--platform", platform}, args...), env)
	return code, out.String(), errs.String()
}

func newObject(t *testing.T, kind, name, value string) store.Object {
	t.Helper()
	object, err := store.NewObject(kind, name, json.RawMessage(value))
	if err != nil {
		t.Fatal(err)
	}
	return object
}
