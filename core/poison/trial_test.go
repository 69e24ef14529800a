package poison

import (
	"testing"
	"time"
)

// TestTrials guards against verdicts that are never tried again, against trials that
// come faster and faster or at several nodes at once, and against callers who are
// invited back at once.
func TestTrials(t *testing.T) {
	h := newHistory()
	h.crash(1, 2)
	h.crash(2, 2)
	for trial, wait := range trialWaits {
		v := h.Verdict(parts(1, 2), "n", h.at())
		if v.TrialDue || v.Part != 2 {
			t.Fatalf("trial %d: verdict %+v at once, want part 2 held", trial, v)
		}
		after := v.RetryAt.Sub(h.at())
		if after < wait || after > wait*3/2 {
			t.Fatalf("trial %d is due after %v, want %v to %v", trial, after, wait, wait*3/2)
		}
		other := newHistory()
		other.merge(h)
		if v := other.Verdict(parts(2), "m", other.at()); v.RetryAt.Equal(startTime.Add(after)) {
			t.Errorf("trial %d is due at the same time at two nodes", trial)
		}
		h.wait(after)
		if v := h.Verdict(parts(1, 2), "n", h.at()); !v.TrialDue || v.RetryAt.Sub(h.at()) < minRetryDelay {
			t.Fatalf("trial %d: verdict %+v, want a trial and a wait of at least %v", trial, v, minRetryDelay)
		}
		h.trial(1, 2)
		h.crash(uint64(10+trial), 1, 2)
	}
	if h.held() != "2" {
		t.Errorf("held parts %q, want 2", h.held())
	}
	h.wait(Retention)
	if h.held() != "" || h.suspects.Len() != 0 {
		t.Errorf("held parts %q after the retention", h.held())
	}
}

// TestTrialOfSoundPart guards against refusing requests for seconds because of a part
// that was sound until upstreams crashed beside it, and against an early trial of one
// that was not.
func TestTrialOfSoundPart(t *testing.T) {
	h := newHistory()
	h.sound(1)
	h.crash(1, 1)
	h.crash(2, 1)
	h.wait(countDelay)
	if v := h.Verdict(parts(1), "n", h.at()); v.Part != 1 {
		t.Fatalf("verdict %+v, want part 1 held", v)
	}
	h.wait(soundTrialDelay)
	if !h.Verdict(parts(1), "n", h.at()).TrialDue {
		t.Errorf("no trial of a sound part %v after it was held", soundTrialDelay)
	}
	h.trial(1)
	h.crash(3, 1)
	h.wait(trialWaits[0])
	if h.Verdict(parts(1), "n", h.at()).TrialDue {
		t.Error("a second trial of a sound part follows at once")
	}
	h.crash(4, 2)
	h.crash(5, 2)
	h.wait(trialWaits[0] - time.Millisecond)
	if h.Verdict(parts(2), "n", h.at()).TrialDue {
		t.Errorf("a trial of a part that was never sound within %v", trialWaits[0])
	}
}

// TestTrialOfAnotherNode guards against a trial by each of the nodes.
func TestTrialOfAnotherNode(t *testing.T) {
	h, other := newHistory(), newHistory()
	h.crash(1, 2)
	h.crash(2, 2)
	other.merge(h)
	for _, node := range []*history{h, other} {
		node.wait(2 * time.Second)
		if !node.Verdict(parts(2), "n", node.at()).TrialDue {
			t.Fatal("no trial after 2 s")
		}
	}
	other.trial(2)
	h.merge(other)
	if v := h.Verdict(parts(2), "n", h.at()); v.TrialDue || v.RetryAt.Sub(h.at()) < trialWaits[1] {
		t.Errorf("verdict %+v after the trial of another node, want a wait of %v", v, trialWaits[1])
	}
	other.sound(2)
	h.merge(other)
	if h.held() != "" {
		t.Error("held after a sound trial of another node")
	}
	h.crash(3, 2)
	h.crash(4, 2)
	h.wait(countDelay)
	if v := h.Verdict(parts(2), "n", h.at()); v.Part != 2 || v.RetryAt.Sub(h.at()) > 3*trialWaits[0]/2 {
		t.Errorf("verdict %+v, want the first wait again after a sound trial", v)
	}
}

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
		t.Errorf("after a trial, %+v is reported to the peers, want one trial of part 1", list)
	}
}

// TestVoidTrialOfPeer guards against a sound part that stays held for minutes, because
// trials of other nodes ended without a result and count as failed.
func TestVoidTrialOfPeer(t *testing.T) {
	h, other := newHistory(), newHistory()
	for crash := range uint64(holdMarks) {
		h.crash(crash+1, 2)
	}
	other.merge(h)
	for range maxVoidTrials {
		h.wait(other.Verdict(parts(2), "m", other.at()).RetryAt.Sub(other.at()))
		other.now = h.now
		h.trial(2)
		h.State = h.WithVoidTrial(parts(2))
		other.merge(h)
	}
	longest := trialWaits[0] * 3 / 2
	if wait := other.Verdict(parts(2), "m", other.at()).RetryAt.Sub(other.at()); wait > longest {
		t.Errorf("the next trial is due after %v, want at most %v", wait, longest)
	}
	h.wait(time.Second)
	h.trial(2)
	h.crash(10, 2)
	other.now = h.now
	other.merge(h)
	if wait := other.Verdict(parts(2), "m", other.at()).RetryAt.Sub(other.at()); wait < trialWaits[1] {
		t.Errorf("the next trial is due %v after one that crashed, want at least %v", wait, trialWaits[1])
	}
}
