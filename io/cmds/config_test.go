package cmds_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"caroblane/io/cmds"
)

// TestConfigWait guards against a command that reports success while a node
// still has an older version, polls without a pause, continues after its
// deadline, or fills a terminal with progress lines.
func TestConfigWait(t *testing.T) {
	s := startStore(t,
		newObject(t, "Model", "om-1", `{"MaxTokens":1}`),
		newObject(t, "Roster", "local", `{"Region":"local","Members":[
			{"Name":"a","Address":"127.0.0.1:1","Incarnation":"1"},{"Name":"b","Address":"127.0.0.1:1","Incarnation":"1"}]}`))
	a, b := startFakeNode("a", nil, ""), startFakeNode("b", nil, "")
	defer a.Close()
	defer b.Close()
	for name, test := range map[string]struct {
		inForce  []uint64
		terminal bool
		code     int
		stderr   string
	}{
		"in force":  {[]uint64{2}, false, 0, "version 2 is in force on 2 of 2 nodes\n"},
		"one lags":  {[]uint64{1, 1, 2}, false, 0, "version 2 is in force on 1 of 2 nodes, not on b\nversion 2 is in force on 2 of 2 nodes\n"},
		"terminal":  {[]uint64{1, 2}, true, 0, "\r\x1b[Kversion 2 is in force on 1 of 2 nodes, not on b\r\x1b[Kversion 2 is in force on 2 of 2 nodes\n"},
		"timed out": {[]uint64{1}, false, 6, "caroblane: version 2 is in force on 1 of 2 nodes, not on b\n"},
		"stopped":   {nil, false, 1, "caroblane: interrupted while version 2 is in force on 1 of 2 nodes, not on b: context canceled\n"},
	} {
		t.Run(name, func(t *testing.T) {
			a.version.Store(2)
			b.version.Store(1)
			versions, now, env := test.inForce, time.Unix(0, 0), cmds.System()
			next := func() {
				if len(versions) > 0 {
					b.version.Store(versions[0])
				}
				if len(versions) > 1 {
					versions = versions[1:]
				}
			}
			next()
			env.Terminal, env.Now = test.terminal, func() time.Time { return now }
			env.Wait = func(_ context.Context, delay time.Duration) error {
				if test.inForce == nil {
					return context.Canceled
				}
				now = now.Add(delay)
				next()
				return nil
			}
			admins := "a=" + a.Listener.Addr().String() + ",b=" + b.Listener.Addr().String()
			code, _, stderr := run(env, s.Addr(), "--admin", admins, "config", "wait", "--within", "3s")
			if code != test.code || !strings.HasSuffix(stderr, test.stderr) {
				t.Errorf("code %d, standard error %q", code, stderr)
			}
			if now.Sub(time.Unix(0, 0)) > 3*time.Second {
				t.Errorf("waited %s", now.Sub(time.Unix(0, 0)))
			}
		})
	}
}
