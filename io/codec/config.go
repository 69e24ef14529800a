// Package codec encodes the platform's objects as JSON with Pascal-case field
// names. Decoding is strict: an unknown field, a value of another type and an
// unknown enum name are errors that name the field, its value and what is
// accepted. A missing field has its zero value, and a missing enum its first
// name; range checks belong to core/conf.
package codec

import (
	"encoding/hex"
	"encoding/json"
	"fmt"

	"caroblane/core/model"
)

// wireKey is model.Key. Hash is 64 hexadecimal digits.
type wireKey struct {
	Account model.AccountName
	Hash    string
	State   *string
}

type wireMember struct {
	Name    model.NodeName
	Address string
	Zone    model.ZoneName
	// Incarnation is a string, because JSON readers outside of Go round numbers
	// above 2^53.
	Incarnation model.Incarnation `json:",string"`
}

type wireModel struct {
	MaxTokens int
}

type wireRoster struct {
	Region  model.RegionName
	Members []json.RawMessage
	Former  []json.RawMessage `json:",omitempty"`
}

type wireRoute struct {
	Prefix     string
	Upstreams  []model.UpstreamName
	Repeatable bool
	Open       bool
}

type wireTemplate struct {
	Models     []model.ModelName `json:",omitempty"`
	Priority   int
	Rate       float64
	Burst      float64
	CheapShare float64

	RegionShares map[model.RegionName]float64 `json:",omitempty"`
}

type wireUpstream struct {
	Name        model.UpstreamName
	Kind        *string
	Address     string
	Zone        model.ZoneName
	Models      []model.ModelName `json:",omitempty"`
	Role        *string
	State       *string
	Cheap       bool
	ChecksEpoch bool
	Slots       int
}

// DecodeConfig returns the configuration object of the given kind: a
// model.Template, Key, Route, Upstream, Model or Roster.
func DecodeConfig(kind model.Kind, data []byte) (any, error) {
	switch kind {
	case model.KindTemplate:
		return decodeTemplate(data)
	case model.KindKey:
		return decodeKey(data)
	case model.KindRoute:
		return decodeRoute(data)
	case model.KindUpstream:
		return decodeUpstream(data)
	case model.KindModel:
		return decodeModel(data)
	case model.KindRoster:
		return decodeRoster(data)
	default:
		return nil, notConfig(kind)
	}
}

// EncodeConfig returns the JSON of a configuration object, whose type must be
// the one of its kind.
func EncodeConfig(kind model.Kind, value any) ([]byte, error) {
	wire, err := wireOf(kind, value)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(wire)
	if err != nil {
		return nil, Malformed.Wrap(err, "%s cannot be encoded", kind)
	}
	return data, nil
}

func notConfig(kind model.Kind) error {
	return badField("Kind", kind.String(), fmt.Sprintf("%s to %s", model.KindTemplate, model.KindRoster))
}

func wireOf(kind model.Kind, value any) (any, error) {
	mismatch := Malformed.New("field Value has type %T; accepted: the type of %s", value, kind)
	switch kind {
	case model.KindTemplate:
		if v, ok := value.(model.Template); ok {
			return wireTemplate(v), nil
		}
	case model.KindKey:
		if v, ok := value.(model.Key); ok {
			return wireKey{v.Account, hex.EncodeToString(v.Hash[:]), enumName("Key", v.State)}, nil
		}
	case model.KindRoute:
		if v, ok := value.(model.Route); ok {
			return wireRoute(v), nil
		}
	case model.KindUpstream:
		if v, ok := value.(model.Upstream); ok {
			return upstreamWire(v), nil
		}
	case model.KindModel:
		if v, ok := value.(model.Model); ok {
			return wireModel(v), nil
		}
	case model.KindRoster:
		if v, ok := value.(model.Roster); ok {
			return rosterWire(v)
		}
	default:
		return nil, notConfig(kind)
	}
	return nil, mismatch
}

func decodeKey(data []byte) (any, error) {
	wire, err := strict[wireKey](data)
	if err != nil {
		return nil, err
	}
	state, err := parseEnum("State", "Key", wire.State, model.KeyWithdrawn)
	if err != nil {
		return nil, err
	}
	key := model.Key{Account: wire.Account, State: state}
	hash, err := hex.DecodeString(wire.Hash)
	if err != nil || len(hash) != len(key.Hash) {
		return nil, badField("Hash", wire.Hash, fmt.Sprintf("%d hexadecimal digits", 2*len(key.Hash)))
	}
	copy(key.Hash[:], hash)
	return key, nil
}

func decodeMembers(raws []json.RawMessage) ([]model.Member, error) {
	var members []model.Member
	for _, raw := range raws {
		member, err := strict[wireMember](raw)
		if err != nil {
			return nil, err
		}
		members = append(members, model.Member(member))
	}
	return members, nil
}

func decodeModel(data []byte) (any, error) {
	wire, err := strict[wireModel](data)
	if err != nil {
		return nil, err
	}
	return model.Model(wire), nil
}

func decodeRoster(data []byte) (any, error) {
	wire, err := strict[wireRoster](data)
	if err != nil {
		return nil, err
	}
	roster := model.Roster{Region: wire.Region}
	if roster.Members, err = decodeMembers(wire.Members); err != nil {
		return nil, err
	}
	if roster.Former, err = decodeMembers(wire.Former); err != nil {
		return nil, err
	}
	return roster, nil
}

func decodeRoute(data []byte) (any, error) {
	wire, err := strict[wireRoute](data)
	if err != nil {
		return nil, err
	}
	return model.Route(wire), nil
}

func decodeTemplate(data []byte) (any, error) {
	wire, err := strict[wireTemplate](data)
	if err != nil {
		return nil, err
	}
	return model.Template(wire), nil
}

func decodeUpstream(data []byte) (any, error) {
	wire, err := strict[wireUpstream](data)
	if err != nil {
		return nil, err
	}
	kind, err := parseEnum("Kind", "Upstream", wire.Kind, model.UpstreamPlain)
	if err != nil {
		return nil, err
	}
	role, err := parseEnum("Role", "Role", wire.Role, model.RoleDecode)
	if err != nil {
		return nil, err
	}
	state, err := parseEnum("State", "Upstream", wire.State, model.UpstreamWithdrawn)
	if err != nil {
		return nil, err
	}
	return model.Upstream{
		Name: wire.Name, Kind: kind, Address: wire.Address, Zone: wire.Zone, Models: wire.Models, Role: role,
		State: state, Cheap: wire.Cheap, ChecksEpoch: wire.ChecksEpoch, Slots: wire.Slots,
	}, nil
}

func encodeMembers(members []model.Member) ([]json.RawMessage, error) {
	raws := []json.RawMessage{}
	for _, member := range members {
		raw, err := json.Marshal(wireMember(member))
		if err != nil {
			return nil, Malformed.Wrap(err, "member %s cannot be encoded", member.Name)
		}
		raws = append(raws, raw)
	}
	return raws, nil
}

func rosterWire(roster model.Roster) (wireRoster, error) {
	members, err := encodeMembers(roster.Members)
	if err != nil {
		return wireRoster{}, err
	}
	former, err := encodeMembers(roster.Former)
	return wireRoster{Region: roster.Region, Members: members, Former: former}, err
}

func upstreamWire(v model.Upstream) wireUpstream {
	return wireUpstream{
		Name: v.Name, Kind: enumName("Upstream", v.Kind), Address: v.Address, Zone: v.Zone, Models: v.Models,
		Role: enumName("Role", v.Role), State: enumName("Upstream", v.State), Cheap: v.Cheap,
		ChecksEpoch: v.ChecksEpoch, Slots: v.Slots,
	}
}
