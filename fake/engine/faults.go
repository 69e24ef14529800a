package engine

import (
	"context"
	"net/http"
	"time"

	"caroblane/fake/serve"
)

// faultsBody has the faults of the gate and of the engine side by side.
type faultsBody struct {
	serve.FaultsBody
	CrashMarker string
	CrashTerm   serve.Duration
	CutAfter    int
	Cross       bool
	Late        bool
	Slow        float64
}

func (e *Engine) handleFaults(w http.ResponseWriter, r *http.Request) {
	body, ok := serve.Decode[faultsBody](w, r)
	if !ok {
		return
	}
	own := Faults{
		CrashMarker: body.CrashMarker,
		CrashTerm:   time.Duration(body.CrashTerm),
		CutAfter:    body.CutAfter,
		Cross:       body.Cross,
		Late:        body.Late,
		Slow:        body.Slow,
	}
	if e.SetOwnFaults(r.Context(), own) != nil || e.SetFaults(r.Context(), body.Faults()) != nil {
		serve.Hangup(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// SetOwnFaults puts the engine's own faults into force.
func (e *Engine) SetOwnFaults(ctx context.Context, faults Faults) error {
	return e.Direct(ctx, SetFaults{Faults: faults})
}

func (e *Engine) handleReadFaults(w http.ResponseWriter, _ *http.Request) {
	snapshot := e.Snapshot()
	own := snapshot.Inner().Faults()
	serve.JSON(w, http.StatusOK, faultsBody{
		FaultsBody:  serve.FaultsOf(snapshot.Faults()),
		CrashMarker: own.CrashMarker,
		CrashTerm:   serve.Duration(own.CrashTerm),
		CutAfter:    own.CutAfter,
		Cross:       own.Cross,
		Late:        own.Late,
		Slow:        own.Slow,
	})
}
