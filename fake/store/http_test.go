package store

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestHTTP guards against a fake store whose paths, headers, fields and statuses
// differ from the published interface, and against refusals of malformed calls that
// do not name the field.
func TestHTTP(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limits := DefaultLimits()
	limits.VMLag = 0
	s := New(listener, NewState(limits), rand.New(rand.NewPCG(1, 1)), time.Now)
	ctx, stop := context.WithCancel(context.Background())
	go func() { _ = s.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		<-s.Done()
	})
	large := `"` + strings.Repeat("x", limits.ValueBytes-2) + `"`
	for _, c := range []struct {
		method, path, version, body string
		status                      int
		want                        string
	}{
		{"PUT", "/objects/Model/a%2Fb", "0", `{"MaxTokens":1}`, 200, `"Name":"a/b","Version":1,"Generation":1,"Deleted":false,"Nonce":"n","Value":{"MaxTokens":1}`},
		{"PUT", "/objects/Model/a%2Fb", "0", `{}`, 412, `{"Reason":"Conflict","Execution":"NotRun"`},
		{"PUT", "/objects/Model/c", "", `{}`, 400, `If-Version`},
		{"PUT", "/objects/Model/c", "0", `{`, 400, `body`},
		{"PUT", "/objects/Model/c", "0", large, 200, `"Version":2`},
		{"PUT", "/objects/Model/c", "2", large + " ", 413, `"TooLarge"`},
		{"DELETE", "/objects/Model/a%2Fb", "1", "", 200, `"Version":3,"Generation":2,"Deleted":true`},
		{"GET", "/objects/Model/a%2Fb", "", "", 404, `{"Reason":"NotFound","Execution":"NotRun"`},
		{"PUT", "/objects/Model/a%2Fb", "0", `{}`, 200, `"Version":4,"Generation":3`},
		{"GET", "/objects?after=2&limit=1", "", "", 200, `{"Revision":4,"Next":3,"More":true,"Coalesced":false,"Objects":[{"Kind":"Model"`},
		{"GET", "/objects?after=4&wait=1", "", "", 200, `{"Revision":4,"Next":4,"More":false,"Coalesced":false,"Objects":[]}`},
		{"GET", "/objects?after=0&kinds=Key", "", "", 200, `"Next":0,"More":false,"Coalesced":false,"Objects":[]`},
		{"GET", "/objects?after=x", "", "", 400, `after`},
		{"GET", "/objects?wait=9999999", "", "", 400, `0 to 60000`},
		{"POST", "/provisions/p1", "", `{"Lease":"l","Epoch":2,"Order":{}}`, 200, `"Received":1`},
		{"POST", "/provisions/p2", "", `{"Lease":"l","Epoch":1,"Order":{}}`, 409, `"OldEpoch"`},
		{"POST", "/provisions/p3", "", `{"Lease":"other","Epoch":1,"Order":{}}`, 200, `"Epoch":1`},
		{"GET", "/provisions", "", "", 200, `{"Provisions":[{"Id":"p1"`},
		{"POST", "/usage/7", "", `{"Usage":{"Requests":1}}`, 200, `{"Reports":1}`},
		{"GET", "/usage", "", "", 200, `"Window":"7","Client":"test"`},
		{"GET", "/vms", "", "", 200, `{"Vms":[]}`},
		{"POST", "/vms", "", `{"Vms":[{"Name":"v","Address":"10.0.0.1","Leaving":true}]}`, 204, ""},
		{"GET", "/vms", "", "", 200, `{"Vms":[{"Name":"v","Address":"10.0.0.1","Zone":"","Leaving":true}]}`},
		{"GET", "/weights/m", "", "", 200, `{"Model":"m","Bytes":1073741824`},
		{"GET", "/stats", "", "", 200, `"Writes":10`},
	} {
		request, err := http.NewRequestWithContext(t.Context(), c.method, "http://"+s.Addr()+c.path, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("X-Client", "test")
		request.Header.Set("Nonce", "n")
		if c.version != "" {
			request.Header.Set("If-Version", c.version)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != c.status || !strings.Contains(string(body), c.want) {
			t.Errorf("%s %s: status %d, %.200s, error %v", c.method, c.path, response.StatusCode, body, err)
		}
	}
}
