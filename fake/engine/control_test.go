package engine

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// TestControl guards against a fake engine whose control API differs from a real
// one in the paths, fields and statuses that io/relay and io/orders rely on.
func TestControl(t *testing.T) {
	settings := FastSettings()
	settings.CacheEventLag, settings.CacheEventGap, settings.LoadLag = 0, 0, 0
	e := startEngine(t, settings)
	for _, c := range []struct {
		method, path, body string
		status             int
		want               string
	}{
		{"GET", "/load", "", 200, `{"Running":0,"Queued":0,"Slots":4096,"PinnedPieces":0,"CachedPieces":0,"MemoryPieces":1048576,"Role":"Both","Changing":false}`},
		{"GET", "/kv/7", "", 404, `{"Reason":"NotHeld","Execution":"NotRun"`},
		{"PUT", "/kv/7", `{"Prefix":"8","Tokens":2000}`, 400, `"Malformed"`},
		{"PUT", "/kv/7", `{"Prefix":"7","Tokens":2000}`, 200, `{"Prefix":"7","Tokens":2000}`},
		{"GET", "/kv/7", "", 200, `{"Prefix":"7","Tokens":2000}`},
		{"GET", "/kv/x", "", 400, `"Malformed"`},
		{"GET", "/cache-events?after=0", "", 200, `{"Next":1,"Events":[{"Seq":1,"Stored":true,"Prefix":"7"}]}`},
		{"GET", "/cache-events?after=-1", "", 400, `"Malformed"`},
		{"POST", "/orders", `{"Epoch":2,"Seq":1,"Intent":{"Action":"SetRole","Role":"Decode"}}`, 200, `"Effective":true`},
		{"POST", "/orders", `{"Epoch":1,"Seq":2,"Intent":{"Action":"SetRole","Role":"Both"}}`, 409, `"OldEpoch"`},
		{"POST", "/orders", `{"Epoch":1,"Sequence":2}`, 400, `Sequence`},
		{"GET", "/orders", "", 200, `"Last":{"Epoch":2,"Seq":1,"Intent":{"Action":"SetRole","Role":"Decode"},"Effective":true},"Role":"Decode","Changing":true`},
		{"DELETE", "/requests/r1", "", 404, `"NotHeld"`},
		{"POST", "/faults", `{"CutAfter":3,"SlowBy":"20ms"}`, 204, ""},
		{"GET", "/faults", "", 200, `"SlowBy":"20ms"`},
		{"POST", "/faults", `{"Cut":3}`, 400, `Cut`},
		{"POST", "/faults", `{"SlowBy":"fast"}`, 400, `fast`},
		{"GET", "/stats", "", 200, `"Submitted":0`},
	} {
		request, err := http.NewRequestWithContext(t.Context(), c.method, "http://"+e.Addr()+c.path, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != c.status || !strings.Contains(string(body), c.want) {
			t.Errorf("%s %s %s: status %d, %s, error %v", c.method, c.path, c.body, response.StatusCode, body, err)
		}
	}
}
