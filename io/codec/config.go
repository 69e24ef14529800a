// Package codec encodes and decodes the objects in the platform's store as JSON
// with PascalCase field names.
//
// Configuration objects are decoded strictly: unknown fields, values of the wrong
// type and unknown enum names are errors that state the field, its value and the
// accepted values. Missing fields get their zero value, and missing enums their
// first value. Range checks are done in core/conf.
//
// Records are decoded leniently: unknown fields are ignored.
package codec

import (
	"encoding/hex"
	"encoding/json"
	"fmt"

	"caroblane/core/model"
)

// keyJSON is the JSON form of model.Key. Hash has 64 hexadecimal digits.
type keyJSON struct {
	Account model.AccountName
	Hash    string
	State   *string
}

type memberJSON struct {
	Name    model.NodeName
	Address string
	Zone    model.ZoneName
	// Incarnation is encoded as a string, because many JSON parsers lose precision
	// for numbers above 2^53.
	Incarnation model.Incarnation `json:",string"`
}

type modelJSON struct {
	MaxTokens int
}

type rosterJSON struct {
	Region  model.RegionName
	Members []json.RawMessage
	Former  []json.RawMessage `json:",omitempty"`
}

type routeJSON struct {
	Prefix     string
	Upstreams  []model.UpstreamName
	Repeatable bool
	Open       bool
}

type templateJSON struct {
	Models     []model.ModelName `json:",omitempty"`
	Priority   int
	Rate       float64
	Burst      float64
	CheapShare float64

	RegionShares map[model.RegionName]float64 `json:",omitempty"`
}

type upstreamJSON struct {
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

// DecodeConfig decodes a configuration object of the given kind. The result is a
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
		return nil, invalidConfigKind(kind)
	}
}

// EncodeConfig encodes a configuration object as JSON. It returns an error if the
// type of value does not match the kind.
func EncodeConfig(kind model.Kind, value any) ([]byte, error) {
	encoded, err := configToJSON(kind, value)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(encoded)
	if err != nil {
		return nil, Malformed.Wrap(err, "cannot encode %s", kind)
	}
	return data, nil
}

func invalidConfigKind(kind model.Kind) error {
	return invalidField("Kind", kind.String(), fmt.Sprintf("%s to %s", model.KindTemplate, model.KindRoster))
}

func configToJSON(kind model.Kind, value any) (any, error) {
	mismatch := Malformed.New("field Value has type %T; accepted: the type for %s", value, kind)
	switch kind {
	case model.KindTemplate:
		if v, ok := value.(model.Template); ok {
			return templateJSON(v), nil
		}
	case model.KindKey:
		if v, ok := value.(model.Key); ok {
			return keyJSON{v.Account, hex.EncodeToString(v.Hash[:]), enumName("Key", v.State)}, nil
		}
	case model.KindRoute:
		if v, ok := value.(model.Route); ok {
			return routeJSON(v), nil
		}
	case model.KindUpstream:
		if v, ok := value.(model.Upstream); ok {
			return upstreamToJSON(v), nil
		}
	case model.KindModel:
		if v, ok := value.(model.Model); ok {
			return modelJSON(v), nil
		}
	case model.KindRoster:
		if v, ok := value.(model.Roster); ok {
			return rosterToJSON(v)
		}
	default:
		return nil, invalidConfigKind(kind)
	}
	return nil, mismatch
}

func decodeKey(data []byte) (any, error) {
	encoded, err := decodeStrict[keyJSON](data)
	if err != nil {
		return nil, err
	}
	state, err := parseEnum("State", "Key", encoded.State, model.KeyWithdrawn)
	if err != nil {
		return nil, err
	}
	key := model.Key{Account: encoded.Account, State: state}
	hash, err := hex.DecodeString(encoded.Hash)
	if err != nil || len(hash) != len(key.Hash) {
		return nil, invalidField("Hash", encoded.Hash, fmt.Sprintf("%d hexadecimal digits", 2*len(key.Hash)))
	}
	copy(key.Hash[:], hash)
	return key, nil
}

func decodeMembers(raws []json.RawMessage) ([]model.Member, error) {
	var members []model.Member
	for _, raw := range raws {
		member, err := decodeStrict[memberJSON](raw)
		if err != nil {
			return nil, err
		}
		members = append(members, model.Member(member))
	}
	return members, nil
}

func decodeModel(data []byte) (any, error) {
	encoded, err := decodeStrict[modelJSON](data)
	if err != nil {
		return nil, err
	}
	return model.Model(encoded), nil
}

func decodeRoster(data []byte) (any, error) {
	encoded, err := decodeStrict[rosterJSON](data)
	if err != nil {
		return nil, err
	}
	roster := model.Roster{Region: encoded.Region}
	if roster.Members, err = decodeMembers(encoded.Members); err != nil {
		return nil, err
	}
	if roster.Former, err = decodeMembers(encoded.Former); err != nil {
		return nil, err
	}
	return roster, nil
}

func decodeRoute(data []byte) (any, error) {
	encoded, err := decodeStrict[routeJSON](data)
	if err != nil {
		return nil, err
	}
	return model.Route(encoded), nil
}

func decodeTemplate(data []byte) (any, error) {
	encoded, err := decodeStrict[templateJSON](data)
	if err != nil {
		return nil, err
	}
	return model.Template(encoded), nil
}

func decodeUpstream(data []byte) (any, error) {
	encoded, err := decodeStrict[upstreamJSON](data)
	if err != nil {
		return nil, err
	}
	kind, err := parseEnum("Kind", "Upstream", encoded.Kind, model.UpstreamPlain)
	if err != nil {
		return nil, err
	}
	role, err := parseEnum("Role", "Role", encoded.Role, model.RoleDecode)
	if err != nil {
		return nil, err
	}
	state, err := parseEnum("State", "Upstream", encoded.State, model.UpstreamWithdrawn)
	if err != nil {
		return nil, err
	}
	return model.Upstream{
		Name: encoded.Name, Kind: kind, Address: encoded.Address, Zone: encoded.Zone, Models: encoded.Models, Role: role,
		State: state, Cheap: encoded.Cheap, ChecksEpoch: encoded.ChecksEpoch, Slots: encoded.Slots,
	}, nil
}

func encodeMembers(members []model.Member) ([]json.RawMessage, error) {
	raws := []json.RawMessage{}
	for _, member := range members {
		raw, err := json.Marshal(memberJSON(member))
		if err != nil {
			return nil, Malformed.Wrap(err, "cannot encode member %s", member.Name)
		}
		raws = append(raws, raw)
	}
	return raws, nil
}

func rosterToJSON(roster model.Roster) (rosterJSON, error) {
	members, err := encodeMembers(roster.Members)
	if err != nil {
		return rosterJSON{}, err
	}
	former, err := encodeMembers(roster.Former)
	return rosterJSON{Region: roster.Region, Members: members, Former: former}, err
}

func upstreamToJSON(v model.Upstream) upstreamJSON {
	return upstreamJSON{
		Name: v.Name, Kind: enumName("Upstream", v.Kind), Address: v.Address, Zone: v.Zone, Models: v.Models,
		Role: enumName("Role", v.Role), State: enumName("Upstream", v.State), Cheap: v.Cheap,
		ChecksEpoch: v.ChecksEpoch, Slots: v.Slots,
	}
}
