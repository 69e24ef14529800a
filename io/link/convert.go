package link

import (
	"strings"
	"time"

	"caroblane/core/model"
	"caroblane/io/codec"
	"caroblane/io/link/wire"
)

// kindPrefix is stripped from the name of a model.Kind in messages.
const kindPrefix = "Kind"

func decodeAllowance(a *wire.Allowance) model.Allowance {
	return model.Allowance{Rate: a.GetRate(), Burst: a.GetBurst(), Level: a.GetLevel()}
}

func encodeAllowance(a model.Allowance) *wire.Allowance {
	return &wire.Allowance{Rate: a.Rate, Burst: a.Burst, Level: a.Level}
}

// decodeChanges decodes configuration objects. An object whose value cannot be
// decoded is returned with Fault set, as when it is read from the store. An
// unknown kind is an error, because the node must not advance its configuration
// version past an object that it cannot represent.
func decodeChanges(messages []*wire.Change) ([]model.Change, error) {
	decoded := make([]model.Change, 0, len(messages))
	for _, w := range messages {
		kind, err := model.ParseEnum(kindPrefix+w.GetKind(), model.KindRoster)
		if err != nil {
			return nil, Malformed.Wrap(err, "unknown kind of object %q", w.GetName())
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

func encodeChanges(changes []model.Change) ([]*wire.Change, error) {
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
				return nil, Malformed.Wrap(err, "cannot encode object %s", change.Name)
			}
			w.Value = value
		}
		encoded = append(encoded, w)
	}
	return encoded, nil
}

// decodeCrashRecords decodes at most model.MaxCrashRecords records and drops the rest.
func decodeCrashRecords(messages []*wire.CrashRecord) []model.CrashRecord {
	var decoded []model.CrashRecord
	for _, w := range messages[:min(len(messages), model.MaxCrashRecords)] {
		crashes := w.GetCrashes()
		decoded = append(decoded, model.CrashRecord{
			Fingerprint: w.GetFingerprint(), Crashes: crashes[:min(len(crashes), model.MaxCrashes)], Age: time.Duration(w.GetAgeMicros()) * time.Microsecond,
		})
	}
	return decoded
}

func encodeCrashRecords(records []model.CrashRecord) []*wire.CrashRecord {
	var encoded []*wire.CrashRecord
	for _, r := range records[:min(len(records), model.MaxCrashRecords)] {
		encoded = append(encoded, &wire.CrashRecord{
			Fingerprint: r.Fingerprint, Crashes: r.Crashes, AgeMicros: r.Age.Microseconds(),
		})
	}
	return encoded
}

func decodeStatus(w *wire.Status) model.PeerStatus {
	return model.PeerStatus{
		Region:         model.RegionName(w.GetRegion()),
		Name:           model.NodeName(w.GetName()),
		Incarnation:    model.Incarnation(w.GetIncarnation()),
		Version:        model.Version(w.GetVersion()),
		SettledVersion: model.Version(w.GetLow()),
		ValidFor:       time.Duration(w.GetRemainingNanos()),
		StoreContact:   w.GetContact(),
		Left:           w.GetLeft(),
	}
}

func encodeStatus(s model.PeerStatus) *wire.Status {
	return &wire.Status{
		Region:         string(s.Region),
		Name:           string(s.Name),
		Incarnation:    uint64(s.Incarnation),
		Version:        uint64(s.Version),
		Low:            uint64(s.SettledVersion),
		RemainingNanos: int64(s.ValidFor),
		Contact:        s.StoreContact,
		Left:           s.Left,
	}
}
