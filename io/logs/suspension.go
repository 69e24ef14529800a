package logs

import (
	"context"

	"github.com/rs/zerolog"

	"caroblane/core/effect"
)

// SuspensionLogger is an executor that logs suspensions of the VM.
type SuspensionLogger struct{ Log zerolog.Logger }

// Execute logs ReportSuspension and ignores other effects.
func (s SuspensionLogger) Execute(_ context.Context, e effect.Effect) {
	if suspension, ok := e.(effect.ReportSuspension); ok {
		s.Log.Warn().Dur("For", suspension.For).Dur("Total", suspension.Total).Msg("VM was suspended")
	}
}
