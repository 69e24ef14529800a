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
	// secretPrefix lets logs recognise keys and remove them.
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
	return group("key", "keys of client accounts",
		listCommand(r, keys, ofAccount, &cli.StringFlag{Name: "account", Usage: "only keys of this client account"}),
		r.keyCreate(),
		r.keyWithdraw(),
	)
}

func (r *runner) keyCreate() *cli.Command {
	return r.leaf(spec{
		name: "create", usage: "create a key for a client account", args: "ACCOUNT",
		about:   "The key is printed once. The platform holds only its SHA-256, so it cannot be shown again.",
		example: "caroblane key create acme --name acme-desk-3",
		flags:   []cli.Flag{&cli.StringFlag{Name: "name", Usage: "name of the key; random if not given"}},
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
			_, _ = fmt.Fprintf(r.env.Err, "%s created, version %d. The key is shown only this once:\n",
				printable(results[0].String()), results[0].version)
			_, _ = fmt.Fprintln(r.env.Out, secret.Reveal())
			return nil
		},
	})
}

func (r *runner) keyWithdraw() *cli.Command {
	return r.leaf(spec{
		name: "withdraw", usage: "withdraw a key", args: "NAME",
		about: "NAME is the name of the key, never the key itself. The withdrawn key stays listed. The withdrawal is also\n" +
			"pushed to every node of the rosters, for those without contact with the platform. Nodes that did not get it\n" +
			"are named on standard error; they learn of it from the platform or from another node.",
		example: "caroblane key withdraw acme-desk-3",
		flags:   append(peerFlags(), seenFlag()),
		action: func(ctx context.Context, cmd *cli.Command, args []string) error {
			if strings.HasPrefix(args[0], secretPrefix) {
				return Usage.New("argument NAME is a key; accepted: the name of a key (see caroblane key list)")
			}
			peers, err := peerClient(cmd, r.env.Now)
			if err != nil {
				return err
			}
			results, err := r.execute(ctx, planChange(ref{model.KindKey, args[0]}, seenOf(cmd), withdrawn))
			r.reportAll(results)
			if err != nil {
				return err
			}
			r.push(ctx, peers, results)
			return nil
		},
	})
}

// newKey returns the name of a new key and the key.
func (r *runner) newKey(name string) (string, logs.Secret, error) {
	if strings.HasPrefix(name, secretPrefix) {
		return "", logs.Secret{}, Usage.New("flag --name starts with %s; accepted: a name that does not look like a key", secretPrefix)
	}
	secret, err := r.random(secretSize)
	if err != nil {
		return "", logs.Secret{}, err
	}
	if name == "" {
		id, err := r.random(keyNameSize)
		if err != nil {
			return "", logs.Secret{}, err
		}
		name = "key-" + hex.EncodeToString(id)
	}
	return name, logs.NewSecret(secretPrefix + base64.RawURLEncoding.EncodeToString(secret)), nil
}
