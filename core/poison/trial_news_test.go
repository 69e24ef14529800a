package poison

import "testing"

// TestTrialIsAnnounced guards against trials by several nodes, because the peers learn
// of the first one only by its result or by a full report.
func TestTrialIsAnnounced(t *testing.T) {
	h := newHistory()
	h.crash(1, 1)
	h.crash(2, 1)
	h.wait(2 * trialWaits[0])
	h.State, _ = h.TakeChanged(h.at())
	h.trial(1)
	_, list := h.TakeChanged(h.at())
	if len(list) != 1 || list[0].Trials != 1 {
		t.Errorf("after a trial the peers are told %+v, want one trial of part 1", list)
	}
}
