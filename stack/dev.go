package stack

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

const devStartTimeout = 20 * time.Second

// Dev runs an installation on loopback. If once is set, it sends two requests and
// stops. Otherwise it runs until the context is cancelled.
func Dev(ctx context.Context, once bool, log zerolog.Logger, stdout io.Writer) error {
	installation, err := New(ctx, DefaultOptions(), log)
	if err != nil {
		return err
	}
	starting, cancel := context.WithTimeout(ctx, devStartTimeout)
	defer cancel()
	if err = installation.Ready(starting); err == nil {
		if once {
			err = sendRequests(ctx, installation, stdout)
		} else {
			err = waitForCancel(ctx, installation, stdout)
		}
	}
	if stopErr := installation.Stop(); err == nil {
		err = stopErr
	}
	return err
}

// sendRequests sends a streaming chat request and a request that must not be
// repeated, each through a different node.
func sendRequests(ctx context.Context, installation *Stack, stdout io.Writer) error {
	callers := installation.Callers()
	chat := `{"model":"` + Model + `","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"Draft a welcome."}]}`
	if err := send(ctx, stdout, "http://"+callers[0]+"/v1/chat/completions", "", chat); err != nil {
		return err
	}
	return send(ctx, stdout, "http://"+callers[1]+SendPath+"letter-1", "letter-1", `{"text":"approved"}`)
}

func send(ctx context.Context, stdout io.Writer, url, idempotencyKey, body string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+Key)
	request.Header.Set("Content-Type", "application/json")
	if idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", idempotencyKey)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := fmt.Fprintf(stdout, "POST %s\n%s\n", url, response.Status); err != nil {
		return err
	}
	if _, err := io.Copy(stdout, response.Body); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(stdout); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("POST %s: status %s", url, response.Status)
	}
	return nil
}

func waitForCancel(ctx context.Context, installation *Stack, stdout io.Writer) error {
	var text strings.Builder
	for i, address := range installation.Callers() {
		fmt.Fprintf(&text, "node-%d: callers http://%s, admin http://%s\n", i+1, address, installation.Admins()[i])
	}
	fmt.Fprintf(&text, `
export CAROBLANE_PLATFORM=%s CAROBLANE_ADMIN=%s
caroblane config version

curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' \
  -d '{"model":"%s","stream":true,"max_tokens":32,"messages":[{"role":"user","content":"Hello"}]}'

Stop with Ctrl-C.
`, installation.Platform(), adminFlag(installation), installation.Callers()[0], Key, Model)
	if _, err := io.WriteString(stdout, text.String()); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// adminFlag returns the admin addresses in the format of the --admin flag.
func adminFlag(installation *Stack) string {
	var names []string
	for i, address := range installation.Admins() {
		names = append(names, fmt.Sprintf("node-%d=%s", i+1, address))
	}
	return strings.Join(names, ",")
}
