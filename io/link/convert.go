package link

import (
	"math"
	"strings"
	"time"

	"caroblane/core/model"
	"caroblane/io/codec"
	"caroblane/io/link/wire"
)

// kindPrefix is the part of a kind's name that the wire leaves out.
const kindPrefix = "Kind"

func allowance(a *wire.Allowance) model.Allowance {
	return model.Allowance{Rate: a.GetRate(), Burst: a.GetBurst(), Level: a.GetLevel()}
}

func wireAllowance(a model.Allowance) *wire.Allowance {
	return &wire.Allowance{Rate: a.Rate, Burst: a.Burst, Level: a.Level}
}

// changes decodes configuration objects. One that cannot be decoded carries its
// fault, as from the store; an unknown kind is an error, because a version may
// not rise past an object that this process cannot hold.
func changes(wires []*wire.Change) ([]model.Change, error) {
	decoded := make([]model.Change, 0, len(wires))
	for _, w := range wires {
		kind, err := model.ParseEnum(kindPrefix+w.GetKind(), model.KindRoster)
		if err != nil {
			return nil, Malformed.Wrap(err, "field Kind of %q", w.GetName())
		}
		change := model.Change{
			Kind:       kind,
			Name:       w.GetName(),
			Version:    model.Version(w.GetVersion()),
			Generation: w.GetGeneration(),
			Deleted:    w.GetDeleted(),
			Fault:      w.GetFault(),
		}
		if !change.Deleted && change.Fault == "" {
			if change.Value, err = codec.DecodeConfig(kind, w.GetValue()); err != nil {
				change.Value, change.Fault = nil, err.Error()
			}
		}
		decoded = append(decoded, change)
	}
	return decoded, nil
}

func wireChanges(changes []model.Change) ([]*wire.Change, error) {
	encoded := make([]*wire.Change, 0, len(changes))
	for _, change := range changes {
		w := &wire.Change{
			Kind:       strings.TrimPrefix(change.Kind.String(), kindPrefix),
			Name:       change.Name,
			Version:    uint64(change.Version),
			Generation: change.Generation,
			Deleted:    change.Deleted,
			Fault:      change.Fault,
		}
		if !change.Deleted && change.Fault == "" {
			value, err := codec.EncodeConfig(change.Kind, change.Value)
			if err != nil {
				return nil, Malformed.Wrap(err, "object %s", change.Name)
			}
			w.Value = value
		}
		encoded = append(encoded, w)
	}
	return encoded, nil
}

// counts decodes crash counts and drops those over the cap.
func counts(wires []*wire.CrashCount) []model.CrashCount {
	var decoded []model.CrashCount
	for _, w := range wires[:min(len(wires), model.MaxCrashCounts)] {
		decoded = append(decoded, model.CrashCount{Fingerprint: w.GetFingerprint(), Count: int(w.GetCount())})
	}
	return decoded
}

func wireCounts(counts []model.CrashCount) []*wire.CrashCount {
	var encoded []*wire.CrashCount
	for _, count := range counts[:min(len(counts), model.MaxCrashCounts)] {
		encoded = append(encoded, &wire.CrashCount{
			Fingerprint: count.Fingerprint,
			Count:       uint32(min(max(count.Count, 0), math.MaxUint32)),
		})
	}
	return encoded
}

func status(w *wire.Status) model.PeerStatus {
	return model.PeerStatus{
		Region:      model.RegionName(w.GetRegion()),
		Name:        model.NodeName(w.GetName()),
		Incarnation: model.Incarnation(w.GetIncarnation()),
		Version:     model.Version(w.GetVersion()),
		Low:         model.Version(w.GetLow()),
		Remaining:   time.Duration(w.GetRemainingNanos()),
		Contact:     w.GetContact(),
		Left:        w.GetLeft(),
	}
}

func wireStatus(s model.PeerStatus) *wire.Status {
	return &wire.Status{
		Region:         string(s.Region),
		Name:           string(s.Name),
		Incarnation:    uint64(s.Incarnation),
		Version:        uint64(s.Version),
		Low:            uint64(s.Low),
		RemainingNanos: int64(s.Remaining),
		Contact:        s.Contact,
		Left:           s.Left,
	}
}
