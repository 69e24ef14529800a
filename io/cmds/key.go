package cmds

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"caroblane/core/model"
	"caroblane/io/logs"
)

const (
	// secretPrefix marks keys, so that they can be recognized and redacted in
	// logs.
	secretPrefix = "cbk_"
	secretSize   = 32
	keyNameSize  = 8
)

func (r *runner) keyCommand() *cli.Command {
	keys := resource[model.Key]{noun: "key", kind: model.KindKey, columns: []column[model.Key]{
		{"ACCOUNT", func(k model.Key) string { return string(k.Account) }},
		{"STATE", func(k model.Key) string { return strings.TrimPrefix(k.State.String(), "Key") }},
	}}
	ofAccount := func(cmd *cli.Command, key model.Key) bool {
		account := cmd.String("account")
		return account == "" || account == string(key.Account)
	}
	return groupCommand("key", "manage keys of client accounts",
		listCommand(r, keys, ofAccount, &cli.StringFlag{Name: "account", Usage: "list only the keys of this client account"}),
		r.keyCreate(),
		r.keyWithdraw(),
	)
}

func (r *runner) keyCreate() *cli.Command {
	return r.command(commandSpec{
		name: "create", usage: "create a key for a client account", args: "ACCOUNT",
		description: "The key is printed only once. The platform stores only its SHA-256 hash, so it cannot be shown again.",
		example:     "caroblane key create acme --name acme-desk-3",
		flags:       []cli.Flag{&cli.StringFlag{Name: "name", Usage: "name of the key; generated if not set"}},
		action: func(ctx context.Context, cmd *cli.Command, args []string) error {
			name, secret, err := r.newKey(cmd.String("name"))
			if err != nil {
				return err
			}
			key := model.Key{Account: model.AccountName(args[0]), Hash: sha256.Sum256([]byte(secret.Reveal()))}
			results, err := r.execute(ctx, planCreateKey(name, key))
			if err != nil {
				return err
			}
			if r.json {
				r.printJSON(struct {
					Name    string
					Account model.AccountName
					Version model.Version
					Secret  string
				}{name, key.Account, results[0].version, secret.Reveal()})
				return nil
			}
			_, _ = fmt.Fprintf(r.env.Err, "%s created, version %d. The key is shown only once:\n",
				sanitize(results[0].String()), results[0].version)
			_, _ = fmt.Fprintln(r.env.Out, secret.Reveal())
			return nil
		},
	})
}

func (r *runner) keyWithdraw() *cli.Command {
	return r.command(commandSpec{
		name: "withdraw", usage: "withdraw a key", args: "NAME",
		description: "NAME is the name of the key, never the key itself. The withdrawn key stays listed. The withdrawal is also\n" +
			"pushed to every node in the rosters, so that it reaches nodes that cannot reach the platform. Nodes that could\n" +
			"not be reached are reported on standard error; they receive it from the platform or from another node.",
		example: "caroblane key withdraw acme-desk-3",
		flags:   append(peerFlags(), ifVersionFlag()),
		action: func(ctx context.Context, cmd *cli.Command, args []string) error {
			if strings.HasPrefix(args[0], secretPrefix) {
				return Usage.New("argument NAME is a key; accepted: the name of a key (see caroblane key list)")
			}
			client, err := newPeerClient(cmd, r.env.Now)
			if err != nil {
				return err
			}
			results, err := r.execute(ctx, planUpdate(ref{model.KindKey, args[0]}, expectedVersionFrom(cmd), withdrawKey))
			r.reportResults(results)
			if err != nil {
				return err
			}
			r.push(ctx, client, results)
			return nil
		},
	})
}

// newKey returns the name and the secret of a new key. It generates the name if
// none is given.
func (r *runner) newKey(name string) (string, logs.Secret, error) {
	if strings.HasPrefix(name, secretPrefix) {
		return "", logs.Secret{}, Usage.New("flag --name starts with %s; accepted: a name that does not look like a key", secretPrefix)
	}
	secret, err := r.randomBytes(secretSize)
	if err != nil {
		return "", logs.Secret{}, err
	}
	if name == "" {
		id, err := r.randomBytes(keyNameSize)
		if err != nil {
			return "", logs.Secret{}, err
		}
		name = "key-" + hex.EncodeToString(id)
	}
	return name, logs.NewSecret(secretPrefix + base64.RawURLEncoding.EncodeToString(secret)), nil
}
