package engine

import (
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
	Slow        float64
}

func (e *Engine) handleFaults(w http.ResponseWriter, r *http.Request) {
	body, ok := serve.Decode[faultsBody](w, r)
	if !ok {
		return
	}
	own := SetFaults{Faults: Faults{
		CrashMarker: body.CrashMarker,
		CrashTerm:   time.Duration(body.CrashTerm),
		CutAfter:    body.CutAfter,
		Cross:       body.Cross,
		Slow:        body.Slow,
	}}
	if e.Direct(r.Context(), own) != nil || e.SetFaults(r.Context(), body.Faults()) != nil {
		serve.Hangup(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
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
		Slow:        own.Slow,
	})
}
