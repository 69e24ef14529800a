package codec

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"caroblane/core/model"
)

// EncodeRecord encodes a record as JSON. The value must have the type of package
// model that belongs to the kind.
func EncodeRecord(kind model.Kind, value any) ([]byte, error) {
	var record any
	switch v := value.(type) {
	case model.Lease:
		record = leaseRecord(v)
	case model.Claim:
		record = claimToRecord(v)
	case model.Order:
		record = orderToRecord(v)
	case model.Provision:
		record = provisionToRecord(v)
	case model.UsagePart:
		record = usagePartToRecord(v)
	case model.Usage:
		record = usageToRecord(v)
	case model.Registration:
		record = memberRecord{v.Name, v.Address, v.Zone, v.Incarnation, v.Misses}
	case model.UsageSnapshot:
		record = usageSnapshotRecord{v.Epoch, mapSlice(v.Parts, usagePartToRecord), v.Next}
	case model.QuotaRecord:
		record = quotaRecord{v.At.UnixMilli(), mapSlice(v.Accounts, func(h model.QuotaHistory) quotaHistoryRecord {
			return quotaHistoryRecord(h)
		})}
	default:
		return nil, fmt.Errorf("%s: cannot encode a value of type %T as a record", kind, value)
	}
	if got := recordKind(value); got != kind {
		return nil, fmt.Errorf("%s: cannot encode a record of kind %s", kind, got)
	}
	return json.Marshal(record)
}

// DecodeRecord decodes the JSON text of a record. Unknown fields are ignored, so
// that older versions can read records of newer ones.
func DecodeRecord(kind model.Kind, text []byte) (any, error) {
	switch kind {
	case model.KindLease:
		return decodeRecord(kind, text, func(r leaseRecord) (model.Lease, error) { return model.Lease(r), nil })
	case model.KindClaim:
		return decodeRecord(kind, text, claimFromRecord)
	case model.KindOrder:
		return decodeRecord(kind, text, orderFromRecord)
	case model.KindProvision:
		return decodeRecord(kind, text, provisionFromRecord)
	case model.KindUsagePart:
		return decodeRecord(kind, text, usagePartFromRecord)
	case model.KindUsage:
		return decodeRecord(kind, text, usageFromRecord)
	case model.KindMember:
		return decodeRecord(kind, text, registrationFromRecord)
	case model.KindQuota:
		return decodeRecord(kind, text, quotaFromRecord)
	case model.KindUsageSnapshot:
		return decodeRecord(kind, text, usageSnapshotFromRecord)
	default:
		return nil, fmt.Errorf("%s is not a record kind", kind)
	}
}

func decodeRecord[R, V any](kind model.Kind, text []byte, convert func(R) (V, error)) (any, error) {
	var record R
	if err := json.Unmarshal(text, &record); err != nil {
		return nil, fmt.Errorf("%s: %w", kind, err)
	}
	value, err := convert(record)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", kind, err)
	}
	return value, nil
}

func recordKind(value any) model.Kind {
	switch value.(type) {
	case model.Lease:
		return model.KindLease
	case model.Claim:
		return model.KindClaim
	case model.Order:
		return model.KindOrder
	case model.Provision:
		return model.KindProvision
	case model.UsagePart:
		return model.KindUsagePart
	case model.Registration:
		return model.KindMember
	case model.QuotaRecord:
		return model.KindQuota
	case model.UsageSnapshot:
		return model.KindUsageSnapshot
	default:
		return model.KindUsage
	}
}

type leaseRecord struct {
	Holder      model.NodeName
	Incarnation model.Incarnation
	Epoch       model.Epoch
	Nonce       string
}

type quotaHistoryRecord struct {
	Account model.AccountName
	Limit   float64
	Units   []float64
}

// quotaRecord is the stored form of model.QuotaRecord. AtMillis is a Unix time.
type quotaRecord struct {
	AtMillis int64
	Accounts []quotaHistoryRecord
}

func quotaFromRecord(r quotaRecord) (model.QuotaRecord, error) {
	return model.QuotaRecord{
		At: time.UnixMilli(r.AtMillis),
		Accounts: mapSlice(r.Accounts, func(h quotaHistoryRecord) model.QuotaHistory {
			return model.QuotaHistory(h)
		}),
	}, nil
}

// memberRecord is the stored form of the model.Registration of an entry node.
type memberRecord struct {
	Name        model.NodeName
	Address     string
	Zone        model.ZoneName
	Incarnation model.Incarnation
	Misses      []model.NodeName `json:",omitempty"`
}

func registrationFromRecord(r memberRecord) (model.Registration, error) {
	return model.Registration{
		Member: model.Member{Name: r.Name, Address: r.Address, Zone: r.Zone, Incarnation: r.Incarnation}, Misses: r.Misses,
	}, nil
}

type responseRecord struct {
	Status      int
	ContentType string `json:",omitempty"`
	Body        []byte `json:",omitempty"`
	Length      int
	Truncated   bool `json:",omitempty"`
}

type claimEntryRecord struct {
	Account   model.AccountName
	Key       string
	BodyHash  string
	Nonce     string
	State     string
	Answer    *responseRecord `json:",omitempty"`
	WrittenAt time.Time
}

type claimRecord struct{ Entries []claimEntryRecord }

func claimToRecord(c model.Claim) claimRecord {
	record := claimRecord{Entries: make([]claimEntryRecord, 0, len(c.Entries))}
	for _, e := range c.Entries {
		r := claimEntryRecord{
			Account:   e.Account,
			Key:       e.Key,
			BodyHash:  hex.EncodeToString(e.BodyHash[:]),
			Nonce:     e.Nonce,
			State:     e.State.String(),
			WrittenAt: e.WrittenAt.UTC(),
		}
		if e.State == model.ClaimAnswered {
			response := responseRecord(e.Answer)
			r.Answer = &response
		}
		record.Entries = append(record.Entries, r)
	}
	return record
}

func claimFromRecord(record claimRecord) (model.Claim, error) {
	var c model.Claim
	for i, r := range record.Entries {
		e := model.ClaimEntry{Account: r.Account, Key: r.Key, Nonce: r.Nonce, WrittenAt: r.WrittenAt}
		sum, err := hex.DecodeString(r.BodyHash)
		if err != nil || len(sum) != len(e.BodyHash) {
			return c, fmt.Errorf("field Entries[%d].BodyHash has value %q; accepted: %d bytes in hexadecimal", i, r.BodyHash, len(e.BodyHash))
		}
		copy(e.BodyHash[:], sum)
		if e.State, err = model.ParseEnum(r.State, model.ClaimNotRun); err != nil {
			return c, fmt.Errorf("field Entries[%d].State: %w", i, err)
		}
		if r.Answer != nil {
			e.Answer = model.Response(*r.Answer)
		}
		c.Entries = append(c.Entries, e)
	}
	return c, nil
}

type orderRecord struct {
	Seq          uint64
	Epoch        model.Epoch
	Action       string
	Role         string          `json:",omitempty"`
	Model        model.ModelName `json:",omitempty"`
	ModelVersion string          `json:",omitempty"`
	Adapter      string          `json:",omitempty"`
	State        string
	Nonce        string
}

func orderToRecord(o model.Order) orderRecord {
	r := orderRecord{
		Seq:          o.Seq,
		Epoch:        o.Epoch,
		Action:       o.Intent.Action.String(),
		Model:        o.Intent.Model,
		ModelVersion: o.Intent.ModelVersion,
		Adapter:      o.Intent.Adapter,
		State:        o.State.String(),
		Nonce:        o.Nonce,
	}
	if o.Intent.Action == model.OrderSetRole {
		r.Role = o.Intent.Role.String()
	}
	return r
}

func orderFromRecord(r orderRecord) (model.Order, error) {
	o := model.Order{Seq: r.Seq, Epoch: r.Epoch, Nonce: r.Nonce}
	o.Intent = model.OrderIntent{Model: r.Model, ModelVersion: r.ModelVersion, Adapter: r.Adapter}
	var err error
	if o.Intent.Action, err = model.ParseEnum(r.Action, model.OrderLoadAdapter); err != nil {
		return o, fmt.Errorf("field Action: %w", err)
	}
	if o.Intent.Action == model.OrderSetRole {
		if o.Intent.Role, err = model.ParseEnum(r.Role, model.RoleDecode); err != nil {
			return o, fmt.Errorf("field Role: %w", err)
		}
	}
	if o.State, err = model.ParseEnum(r.State, model.OrderRefused); err != nil {
		return o, fmt.Errorf("field State: %w", err)
	}
	return o, nil
}

type provisionRecord struct {
	Epoch  model.Epoch
	Zone   model.ZoneName
	Model  model.ModelName
	Cheap  bool
	Change int
	State  string
	Nonce  string
}

func provisionToRecord(p model.Provision) provisionRecord {
	return provisionRecord{
		Epoch:  p.Epoch,
		Zone:   p.Intent.Zone,
		Model:  p.Intent.Model,
		Cheap:  p.Intent.Cheap,
		Change: p.Intent.Change,
		State:  p.State.String(),
		Nonce:  p.Nonce,
	}
}

func provisionFromRecord(r provisionRecord) (model.Provision, error) {
	p := model.Provision{
		Epoch:  r.Epoch,
		Intent: model.ProvisionIntent{Zone: r.Zone, Model: r.Model, Cheap: r.Cheap, Change: r.Change},
		Nonce:  r.Nonce,
	}
	var err error
	if p.State, err = model.ParseEnum(r.State, model.ProvisionRefused); err != nil {
		return p, fmt.Errorf("field State: %w", err)
	}
	return p, nil
}

type usageLineRecord struct {
	Account      model.AccountName
	Requests     int64
	PromptTokens int64
	OutputTokens int64
}

type usagePartRecord struct {
	Window      model.Window
	Node        model.NodeName
	Incarnation model.Incarnation
	Cell        bool `json:",omitempty"`
	Lines       []usageLineRecord
	Nonce       string
}

type usageRecord struct {
	Window model.Window
	Epoch  model.Epoch
	Lines  []usageLineRecord
	Parts  []string
	State  string
	Nonce  string
}

func mapSlice[A, B any](from []A, convert func(A) B) []B {
	if len(from) == 0 {
		return nil
	}
	to := make([]B, 0, len(from))
	for _, a := range from {
		to = append(to, convert(a))
	}
	return to
}

func usageLineToRecord(l model.UsageLine) usageLineRecord   { return usageLineRecord(l) }
func usageLineFromRecord(r usageLineRecord) model.UsageLine { return model.UsageLine(r) }

func usagePartToRecord(p model.UsagePart) usagePartRecord {
	return usagePartRecord{p.Window, p.Node, p.Incarnation, p.Cell, mapSlice(p.Lines, usageLineToRecord), p.Nonce}
}

func usagePartFromRecord(r usagePartRecord) (model.UsagePart, error) {
	lines := mapSlice(r.Lines, usageLineFromRecord)
	return model.UsagePart{
		Window: r.Window, Node: r.Node, Incarnation: r.Incarnation, Cell: r.Cell, Lines: lines, Nonce: r.Nonce,
	}, nil
}

type usageSnapshotRecord struct {
	Epoch model.Epoch `json:",omitempty"`
	Parts []usagePartRecord
	Next  model.Window
}

func usageSnapshotFromRecord(r usageSnapshotRecord) (model.UsageSnapshot, error) {
	snapshot := model.UsageSnapshot{Epoch: r.Epoch, Next: r.Next}
	for _, part := range r.Parts {
		p, err := usagePartFromRecord(part)
		if err != nil {
			return snapshot, err
		}
		snapshot.Parts = append(snapshot.Parts, p)
	}
	return snapshot, nil
}

func usageToRecord(u model.Usage) usageRecord {
	return usageRecord{u.Window, u.Epoch, mapSlice(u.Lines, usageLineToRecord), u.Parts, u.State.String(), u.Nonce}
}

func usageFromRecord(r usageRecord) (model.Usage, error) {
	u := model.Usage{Window: r.Window, Epoch: r.Epoch, Lines: mapSlice(r.Lines, usageLineFromRecord), Parts: r.Parts, Nonce: r.Nonce}
	var err error
	if u.State, err = model.ParseEnum(r.State, model.UsageReported); err != nil {
		return u, fmt.Errorf("field State: %w", err)
	}
	return u, nil
}
