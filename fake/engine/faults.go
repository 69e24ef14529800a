package engine

import (
	"context"
	"net/http"
	"time"

	"caroblane/fake/serve"
)

// faultsBody is the JSON body with the faults of package gate and those of the
// engine.
type faultsBody struct {
	serve.FaultsBody
	CrashMarker string
	CrashTerm   serve.Duration
	CutAfter    int
	Cross       bool
	Late        bool
	Slow        float64
}

func (e *Engine) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	body, ok := serve.Decode[faultsBody](w, r)
	if !ok {
		return
	}
	engineFaults := Faults{
		CrashMarker: body.CrashMarker,
		CrashTerm:   time.Duration(body.CrashTerm),
		CutAfter:    body.CutAfter,
		Cross:       body.Cross,
		Late:        body.Late,
		Slow:        body.Slow,
	}
	if e.SetEngineFaults(r.Context(), engineFaults) != nil || e.SetFaults(r.Context(), body.Faults()) != nil {
		serve.Abort(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// SetEngineFaults replaces the engine faults in force.
func (e *Engine) SetEngineFaults(ctx context.Context, faults Faults) error {
	return e.Direct(ctx, SetFaults{Faults: faults})
}

func (e *Engine) serveReadFaults(w http.ResponseWriter, _ *http.Request) {
	snapshot := e.Snapshot()
	engineFaults := snapshot.Inner().Faults()
	serve.JSON(w, http.StatusOK, faultsBody{
		FaultsBody:  serve.NewFaultsBody(snapshot.Faults()),
		CrashMarker: engineFaults.CrashMarker,
		CrashTerm:   serve.Duration(engineFaults.CrashTerm),
		CutAfter:    engineFaults.CutAfter,
		Cross:       engineFaults.Cross,
		Late:        engineFaults.Late,
		Slow:        engineFaults.Slow,
	})
}
