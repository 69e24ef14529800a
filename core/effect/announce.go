package effect

import "caroblane/core/model"

// Announce sends a report of recent changes to peers. There is no response, and
// the message may be lost: the next sync transfers the complete state. A report that is
// too large for a datagram is sent in up to model.MaxReportParts parts.
type Announce struct {
	Peers  []model.Member
	Report model.Report
}

func (Announce) isEffect() {}
