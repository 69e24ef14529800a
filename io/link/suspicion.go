package link

import (
	"time"

	"caroblane/core/model"
	"caroblane/io/link/wire"
)

func decodeSuspicion(w *wire.PartSuspicion) model.PartSuspicion {
	p := model.PartSuspicion{
		Part: w.GetPart(), Trials: int(w.GetTrials()), Void: int(w.GetVoid()), Remaining: time.Duration(w.GetLeftMillis()) * time.Millisecond,
	}
	add := func(crashes []uint64, state model.MarkState) {
		for _, crash := range crashes {
			p.Marks = append(p.Marks, model.PartMark{Crash: crash, State: state})
		}
	}
	add(w.GetWeak(), model.MarkWeak)
	add(w.GetStrong(), model.MarkStrong)
	add(w.GetCleared(), model.MarkCleared)
	return p
}

func encodeSuspicion(p model.PartSuspicion) *wire.PartSuspicion {
	w := &wire.PartSuspicion{
		Part: p.Part, Trials: uint32(p.Trials), Void: uint32(p.Void), LeftMillis: uint32(max(0, p.Remaining.Milliseconds())),
	}
	for _, m := range p.Marks {
		switch m.State {
		case model.MarkWeak:
			w.Weak = append(w.Weak, m.Crash)
		case model.MarkStrong:
			w.Strong = append(w.Strong, m.Crash)
		case model.MarkCleared:
			w.Cleared = append(w.Cleared, m.Crash)
		}
	}
	return w
}
