package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"caroblane/fake/store"
)

func storeCommand() *cli.Command {
	return &cli.Command{
		Name:  "store",
		Usage: "run a fake platform: objects, VM list, weights, provisions, usage",
		Description: "Example:\n\n" +
			"  caroblane-fake store --listen 127.0.0.1:7100 --seed objects.json\n" +
			"  curl -X PUT -H 'If-Version: 0' -d '{\"MaxTokens\":512}' http://127.0.0.1:7100/objects/Model/m1\n" +
			"  curl -d '{\"Down\":true}' http://127.0.0.1:7100/faults\n" +
			"  curl http://127.0.0.1:7100/stats",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "seed", Usage: "`FILE` with a JSON array of {Kind, Name, Value}"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return serve(ctx, cmd, func(listener net.Listener, rng *rand.Rand) (*store.Store, error) {
				objects, err := readSeed(cmd.String("seed"))
				if err != nil {
					return nil, err
				}
				state := store.NewState(store.DefaultLimits()).Seed(objects...)
				return store.New(listener, state, rng, time.Now), nil
			})
		},
	}
}

func readSeed(path string) ([]store.Object, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var objects []store.Object
	if err := json.Unmarshal(data, &objects); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return objects, nil
}
