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

// nonceSize is the size of a write nonce in bytes.
const nonceSize = 16

// writeResult is a completed write.
type writeResult struct {
	write
	version model.Version
	// generation is the generation of the object after the write.
	generation uint64
}

// execute reads the objects that a plan needs, computes its writes and validates
// all of them before it sends the first.
func (r *runner) execute(ctx context.Context, p plan) ([]writeResult, error) {
	stored, err := r.readObjects(ctx, p)
	if err != nil {
		return nil, err
	}
	writes, err := p.decide(stored)
	if err != nil {
		return nil, err
	}
	bodies := make([][]byte, len(writes))
	for i, w := range writes {
		if w.value == nil {
			continue
		}
		if err := conf.Validate(w.name, w.value); err != nil {
			return nil, Usage.New("%s: %s", w.ref, errorText(err))
		}
		if bodies[i], err = codec.EncodeConfig(w.kind, w.value); err != nil {
			return nil, Usage.New("%s: %s", w.ref, errorText(err))
		}
	}
	var results []writeResult
	for i, w := range writes {
		if w.unchanged {
			results = append(results, writeResult{w, w.ifVersion, w.generation})
			continue
		}
		nonce, err := r.randomBytes(nonceSize)
		if err != nil {
			return results, err
		}
		written, err := r.platform.put(ctx, w, bodies[i], hex.EncodeToString(nonce))
		if err != nil {
			return results, err
		}
		results = append(results, writeResult{w, written.version, written.generation})
	}
	return results, nil
}

// readObjects fetches the objects that a plan depends on. Missing objects are
// left out.
func (r *runner) readObjects(ctx context.Context, p plan) (objects, error) {
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

func (r *runner) randomBytes(size int) ([]byte, error) {
	data := make([]byte, size)
	if _, err := io.ReadFull(r.env.Random, data); err != nil {
		return nil, Failed.Wrap(err, "random numbers could not be read")
	}
	return data, nil
}

// executeAndReport executes a plan and prints the completed writes, also after
// an error.
func (r *runner) executeAndReport(ctx context.Context, p plan) error {
	results, err := r.execute(ctx, p)
	r.reportResults(results)
	return err
}

func (r *runner) reportResults(results []writeResult) {
	for _, res := range results {
		r.report(res)
	}
}

func (r *runner) report(res writeResult) {
	if r.json {
		r.printJSON(struct {
			Kind    string
			Name    string
			Version model.Version
			Action  string
		}{res.kind.Name(), res.name, res.version, res.action()})
		return
	}
	_, _ = fmt.Fprintf(r.env.Out, "%s %s, version %d\n", sanitize(res.String()), res.action(), res.version)
}
