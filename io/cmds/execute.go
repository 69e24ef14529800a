package cmds

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"

	"caroblane/core/conf"
	"caroblane/core/model"
	"caroblane/io/codec"
)

// nonceSize is in bytes.
const nonceSize = 16

// result is a write that was carried out.
type result struct {
	write
	version model.Version
	// generation is that of the object after the write.
	generation uint64
}

// execute reads what a plan needs, lets it decide, validates every write and
// only then makes them.
func (r *runner) execute(ctx context.Context, p plan) ([]result, error) {
	held, err := r.read(ctx, p)
	if err != nil {
		return nil, err
	}
	writes, err := p.decide(held)
	if err != nil {
		return nil, err
	}
	bodies := make([][]byte, len(writes))
	for i, w := range writes {
		if w.value == nil {
			continue
		}
		if err := conf.Validate(w.name, w.value); err != nil {
			return nil, Usage.New("%s: %s", w.ref, text(err))
		}
		if bodies[i], err = codec.EncodeConfig(w.kind, w.value); err != nil {
			return nil, Usage.New("%s: %s", w.ref, text(err))
		}
	}
	var results []result
	for i, w := range writes {
		if w.unchanged {
			results = append(results, result{w, w.ifVersion, w.generation})
			continue
		}
		nonce, err := r.random(nonceSize)
		if err != nil {
			return results, err
		}
		written, err := r.platform.put(ctx, w, bodies[i], hex.EncodeToString(nonce))
		if err != nil {
			return results, err
		}
		results = append(results, result{w, written.version, written.generation})
	}
	return results, nil
}

// read reads the objects that a plan names.
func (r *runner) read(ctx context.Context, p plan) (objects, error) {
	var found []object
	var revision model.Version
	if len(p.kinds) > 0 {
		listed, err := r.platform.list(ctx, p.kinds...)
		if err != nil {
			return objects{}, err
		}
		revision = listed.revision
		for _, o := range listed.byRef {
			found = append(found, o)
		}
	}
	for _, name := range p.refs {
		o, err := r.platform.get(ctx, name)
		if exitCode(err) == CodeNotFound {
			continue
		}
		if err != nil {
			return objects{}, err
		}
		found = append(found, o)
	}
	return newObjects(revision, found), nil
}

// random returns random bytes.
func (r *runner) random(size int) ([]byte, error) {
	data := make([]byte, size)
	if _, err := io.ReadFull(r.env.Random, data); err != nil {
		return nil, Failed.Wrap(err, "no random numbers")
	}
	return data, nil
}

// change carries out a plan and prints what it did.
func (r *runner) change(ctx context.Context, p plan) error {
	results, err := r.execute(ctx, p)
	r.reportAll(results)
	return err
}

func (r *runner) reportAll(results []result) {
	for _, done := range results {
		r.report(done)
	}
}

func (r *runner) report(done result) {
	if r.json {
		r.printJSON(struct {
			Kind    string
			Name    string
			Version model.Version
			Action  string
		}{done.kind.Name(), done.name, done.version, done.action()})
		return
	}
	_, _ = fmt.Fprintf(r.env.Out, "%s %s, version %d\n", printable(done.String()), done.action(), done.version)
}
