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
)

// peers makes calls to the peer listeners of nodes.
type peers struct {
	scheme string
	client *http.Client
}

// peerFlags name the files for calls to peer listeners with TLS.
func peerFlags() []cli.Flag {
	file := func(name, usage, variable string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: usage, Sources: cli.EnvVars(variable)}
	}
	return []cli.Flag{
		file("peer-certificate", "PEM `FILE` of the certificate shown to nodes", "CAROBLANE_PEER_CERTIFICATE"),
		file("peer-key", "PEM `FILE` of its key", "CAROBLANE_PEER_KEY"),
		file("peer-authority", "PEM `FILE` of the authority that signs nodes", "CAROBLANE_PEER_AUTHORITY"),
	}
}

// peerClient takes the flags of peerFlags: all three or none.
func peerClient(cmd *cli.Command, now func() time.Time) (peers, error) {
	certificate, key, authority := cmd.String("peer-certificate"), cmd.String("peer-key"), cmd.String("peer-authority")
	transport := link.NewTransport()
	if certificate == "" && key == "" && authority == "" {
		return peers{"http", &http.Client{Transport: transport, Timeout: callWithin}}, nil
	}
	if certificate == "" || key == "" || authority == "" {
		return peers{}, Usage.New("flags --peer-certificate, --peer-key and --peer-authority; accepted: all three or none")
	}
	files, err := certs.NewPeers(certificate, key, authority, now)
	if err != nil {
		return peers{}, Usage.New("%s", text(err))
	}
	transport.DialTLSContext = files.Dial
	return peers{"https", &http.Client{Transport: transport, Timeout: callWithin}}, nil
}

// planPush returns the change to push to the nodes. Its version and generation
// are those of the write, so that nodes keep what is newer.
func planPush(done result) effect.Push {
	return effect.Push{Changes: []model.Change{{
		Kind: done.kind, Name: done.name, Version: done.version, Generation: done.generation, Value: done.value,
	}}}
}

// push delivers the results of a command to every node of the rosters. The
// results are in the platform, so that a node without them is only reported.
func (r *runner) push(ctx context.Context, p peers, results []result) {
	nodes, err := r.nodes(ctx)
	if err != nil {
		r.note("the change was pushed to no node: %s", text(err))
		return
	}
	for _, done := range results {
		change := planPush(done)
		faults := each(nodes, func(n node) error {
			if n.Address == "" {
				return NotFound.New("node %s is in no roster, so that its peer address is not known", n.Name)
			}
			change := change
			change.Peer = n.Member
			_, err := link.Push(ctx, p.client, p.scheme, change)
			return err
		})
		told := 0
		for i, err := range faults {
			if err == nil {
				told++
				continue
			}
			r.note("%s was not pushed to node %s: %s", done.ref, nodes[i].Name, text(err))
		}
		r.note("%s was pushed to %d of %d nodes", done.ref, told, len(nodes))
	}
}

// note prints a line that is no result on standard error.
func (r *runner) note(format string, args ...any) {
	_, _ = fmt.Fprintf(r.env.Err, "note: %s\n", printable(fmt.Sprintf(format, args...)))
}
