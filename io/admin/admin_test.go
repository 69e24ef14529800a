package admin_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"caroblane/core/model"
	"caroblane/io/admin"
)

// TestResponses guards against a node that is reported as ready while it cannot
// admit requests, so that the load balancer sends callers to it, and against
// commands that are acknowledged but not posted to the control loop.
func TestResponses(t *testing.T) {
	fresh := admin.Status{Node: "a", Fresh: true, Settled: true}.WithMembers(admin.Member{Name: "b"})
	draining, stale, unsettled := fresh, fresh, fresh
	draining.Draining, stale.Fresh, unsettled.Settled = true, false, false
	running, stopped := make(chan struct{}), make(chan struct{})
	close(stopped)
	for name, test := range map[string]struct {
		status  admin.Status
		request string
		stopped chan struct{}
		fault   error
		code    int
		text    string
		posted  string
	}{
		"healthy":          {status: fresh, request: "GET /healthz", code: 200},
		"loop stopped":     {status: fresh, request: "GET /healthz", stopped: stopped, code: 503, text: "control loop has stopped"},
		"ready":            {status: fresh, request: "GET /readyz", code: 200},
		"draining":         {status: draining, request: "GET /readyz", code: 503, text: "draining"},
		"stale":            {status: stale, request: "GET /readyz", code: 503, text: "not fresh"},
		"stale is healthy": {status: stale, request: "GET /healthz", code: 200},
		"unsettled":        {status: unsettled, request: "GET /readyz", code: 503, text: "not settled"},
		"metrics":          {status: fresh, request: "GET /metrics", code: 200, text: "metrics here"},
		"drain":            {status: fresh, request: "POST /drain", code: 202, posted: "drain"},
		"drain by GET":     {status: fresh, request: "GET /drain", code: 405},
		"drain fails":      {status: fresh, request: "POST /drain", fault: errors.New("queue is full"), code: 503, text: "queue is full"},
		"forget":           {status: fresh, request: "POST /forget?node=b", code: 202, posted: "forget b"},
		"forget fails":     {status: fresh, request: "POST /forget?node=b", fault: errors.New("queue is full"), code: 503},
		"forget nobody":    {status: fresh, request: "POST /forget", code: 400, text: "parameter node is empty"},
		"forget itself":    {status: fresh, request: "POST /forget?node=a", code: 400, text: "names this node"},
		"forget stranger":  {status: fresh, request: "POST /forget?node=c", code: 404, text: "c is not a member"},
		"unknown path":     {status: fresh, request: "GET /", code: 404},
	} {
		t.Run(name, func(t *testing.T) {
			var posted string
			post := func(what string) error {
				if test.fault == nil {
					posted = what
				}
				return test.fault
			}
			ended := running
			if test.stopped != nil {
				ended = test.stopped
			}
			handler := admin.New(func() admin.Status { return test.status }, nil, admin.Commands{
				Drain:  func(context.Context) error { return post("drain") },
				Forget: func(_ context.Context, n model.NodeName) error { return post("forget " + string(n)) },
			}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("metrics here")) }), ended)
			method, path, _ := strings.Cut(test.request, " ")
			got := httptest.NewRecorder()
			handler.ServeHTTP(got, httptest.NewRequest(method, path, nil))
			if got.Code != test.code || !strings.Contains(got.Body.String(), test.text) || posted != test.posted {
				t.Errorf("got %d %q, posted %q", got.Code, got.Body, posted)
			}
		})
	}
}

// TestMissingCommands guards against a panic on a node that does not provide a
// command, whose function is then nil.
func TestMissingCommands(t *testing.T) {
	handler := admin.New(func() admin.Status { return admin.Status{} }, nil, admin.Commands{}, http.NotFoundHandler(), nil)
	for _, path := range []string{"/drain", "/forget?node=b"} {
		got := httptest.NewRecorder()
		handler.ServeHTTP(got, httptest.NewRequest(http.MethodPost, path, nil))
		if got.Code != http.StatusNotImplemented {
			t.Errorf("%s: %d", path, got.Code)
		}
	}
}

// TestCrossOriginRequest guards against a web page that drains a node: it can
// make the browser of an operator send the request.
func TestCrossOriginRequest(t *testing.T) {
	handler := admin.New(func() admin.Status { return admin.Status{} }, nil, admin.Commands{
		Drain: func(context.Context) error { t.Error("drained"); return nil },
	}, http.NotFoundHandler(), nil)
	request := httptest.NewRequest(http.MethodPost, "/drain", nil)
	request.Header.Set("Sec-Fetch-Site", "cross-site")
	got := httptest.NewRecorder()
	handler.ServeHTTP(got, request)
	if got.Code != http.StatusForbidden {
		t.Errorf("got %d", got.Code)
	}
}

// TestStatusOverHTTP guards against a status that loses digits of the
// incarnation, as numbers above 2^53 do in many JSON decoders, against field
// names that clients do not know, and against a listener that stays open after
// its context is cancelled.
func TestStatusOverHTTP(t *testing.T) {
	want := admin.Status{Node: "a", Incarnation: 1<<64 - 1, Version: 7}.WithFaults(map[string]string{"Key/k": "Hash"})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	handler := admin.New(func() admin.Status { return want }, nil, admin.Commands{}, http.NotFoundHandler(), nil)
	go func() { ended <- admin.Serve(ctx, listener, handler) }()
	response, err := http.Get("http://" + listener.Addr().String() + "/status")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var got admin.Status
	decoder := json.NewDecoder(response.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&got); err != nil || got.Incarnation != want.Incarnation || got.Faults["Key/k"] != "Hash" {
		t.Errorf("got %+v, %v", got, err)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", listener.Addr().String()); err == nil {
		t.Error("the listener is open after Serve returned")
	}
}
