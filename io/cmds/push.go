package cmds

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"caroblane/core/effect"
	"caroblane/core/model"
	"caroblane/io/certs"
	"caroblane/io/link"
	"caroblane/io/netio"
)

// peerClient is an HTTP client for the peer listeners of nodes.
type peerClient struct {
	scheme string
	client *http.Client
}

// peerFlags returns the flags for the TLS files of the peer client.
func peerFlags() []cli.Flag {
	file := func(name, usage, variable string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: usage, Sources: cli.EnvVars(variable)}
	}
	return []cli.Flag{
		file("peer-certificate", "PEM `FILE` with the client certificate presented to nodes", "CAROBLANE_PEER_CERTIFICATE"),
		file("peer-key", "PEM `FILE` with the private key of the client certificate", "CAROBLANE_PEER_KEY"),
		file("peer-authority", "PEM `FILE` with the CA that signs node certificates", "CAROBLANE_PEER_AUTHORITY"),
	}
}

// newPeerClient returns a client configured by the flags of peerFlags, of which
// either all three or none must be set. Without them it uses plain HTTP.
func newPeerClient(cmd *cli.Command, now func() time.Time) (peerClient, error) {
	certificate, key, authority := cmd.String("peer-certificate"), cmd.String("peer-key"), cmd.String("peer-authority")
	transport := link.NewTransport(netio.System{})
	if certificate == "" && key == "" && authority == "" {
		return peerClient{"http", &http.Client{Transport: transport, Timeout: requestTimeout}}, nil
	}
	if certificate == "" || key == "" || authority == "" {
		return peerClient{}, Usage.New("flags --peer-certificate, --peer-key and --peer-authority must be set together; accepted: all three or none")
	}
	files, err := certs.NewPeerTLS(certificate, key, authority, now)
	if err != nil {
		return peerClient{}, Usage.New("%s", errorText(err))
	}
	transport.DialTLSContext = files.Dial
	return peerClient{"https", &http.Client{Transport: transport, Timeout: requestTimeout}}, nil
}

// newPush returns the change to push to the nodes. It carries the version and
// generation of the write, so that nodes discard it if they already have a newer
// one.
func newPush(res writeResult) effect.Push {
	return effect.Push{Changes: []model.Change{{
		Kind: res.kind, Name: res.name, Version: res.version, Generation: res.generation, Value: res.value,
	}}}
}

// push sends the written objects to every node in the rosters. The writes are
// already stored on the platform, so a failed push is only reported.
func (r *runner) push(ctx context.Context, p peerClient, results []writeResult) {
	nodes, err := r.nodes(ctx)
	if err != nil {
		r.printNote("the change was not pushed to any node: %s", errorText(err))
		return
	}
	for _, res := range results {
		change := newPush(res)
		errs := parallelMap(nodes, func(n node) error {
			if n.Address == "" {
				return NotFound.New("node %s is not in any roster, so its peer address is unknown", n.Name)
			}
			change := change
			change.Peer = n.Member
			_, err := link.Push(ctx, p.client, p.scheme, change)
			return err
		})
		delivered := 0
		for i, err := range errs {
			if err == nil {
				delivered++
				continue
			}
			r.printNote("%s was not pushed to node %s: %s", res.ref, nodes[i].Name, errorText(err))
		}
		r.printNote("%s was pushed to %d of %d nodes", res.ref, delivered, len(nodes))
	}
}

// printNote prints an informational line on standard error, which keeps standard
// output limited to results.
func (r *runner) printNote(format string, args ...any) {
	_, _ = fmt.Fprintf(r.env.Err, "note: %s\n", sanitize(fmt.Sprintf(format, args...)))
}
