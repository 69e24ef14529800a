package codec

import (
	"reflect"
	"strings"
	"testing"

	"caroblane/core/model"
)

// TestConfigRoundTrip guards against fields that are lost or changed by encoding
// and decoding.
func TestConfigRoundTrip(t *testing.T) {
	for kind, value := range map[model.Kind]any{
		model.KindTemplate: model.Template{
			Models: []model.ModelName{"m"}, Priority: 3, Rate: 2.5, Burst: 7, CheapShare: 0.25,
		},
		model.KindKey:   model.Key{Account: "a", Hash: model.KeyHash{1, 0xff}, State: model.KeyWithdrawn},
		model.KindRoute: model.Route{Prefix: "/p", Upstreams: []model.UpstreamName{"u"}, Repeatable: true, Open: true},
		model.KindUpstream: model.Upstream{
			Name: "u", Kind: model.UpstreamPlain, Address: "127.0.0.1:1", Zone: "z", Models: []model.ModelName{"m"},
			Role: model.RoleDecode, State: model.UpstreamDraining, Cheap: true, ChecksEpoch: true, Slots: 4,
		},
		model.KindModel: model.Model{MaxTokens: 9},
		model.KindRoster: model.Roster{Region: "r", Members: []model.Member{
			{Name: "n", Address: "127.0.0.1:2", Zone: "z", Incarnation: 1<<64 - 1},
		}, Former: []model.Member{{Name: "o", Address: "127.0.0.1:3"}}},
	} {
		data, err := EncodeConfig(kind, value)
		if err != nil {
			t.Fatal(kind, err)
		}
		got, err := DecodeConfig(kind, data)
		if err != nil || !reflect.DeepEqual(got, value) {
			t.Errorf("%s: got %+v, %v; want %+v from %s", kind, got, err, value, data)
		}
	}
}

// TestDecodeConfigErrors guards against partially accepted invalid input, and
// against error messages that do not state the field, its value or the accepted
// values.
func TestDecodeConfigErrors(t *testing.T) {
	for name, c := range map[string]struct {
		kind model.Kind
		data string
		want []string
	}{
		"unknown field": {model.KindModel, `{"MaxTokns":3}`, []string{"MaxTokns", `"3"`, "MaxTokens"}},
		"other case":    {model.KindModel, `{"maxtokens":3}`, []string{"maxtokens", "MaxTokens"}},
		"other type":    {model.KindModel, `{"MaxTokens":"x"}`, []string{"MaxTokens", `x`, "int"}},
		"enum name":     {model.KindUpstream, `{"State":"Drainin"}`, []string{"State", "Drainin", "Active, Draining, Withdrawn"}},
		"empty enum":    {model.KindKey, `{"State":""}`, []string{"State", "Active, Withdrawn"}},
		"short hash":    {model.KindKey, `{"Hash":"00ff"}`, []string{"Hash", "00ff", "64"}},
		"nested field":  {model.KindRoster, `{"Members":[{"Nam":"n"}]}`, []string{"Nam", "Incarnation"}},
		"trailing data": {model.KindModel, `{"MaxTokens":3} {}`, []string{"JSON"}},
		"array":         {model.KindModel, `[]`, []string{"JSON"}},
		"other kind":    {model.KindLease, `{}`, []string{"KindLease", "KindRoster"}},
	} {
		value, err := DecodeConfig(c.kind, []byte(c.data))
		if err == nil || value != nil {
			t.Errorf("%s: got %+v, want an error", name, value)
			continue
		}
		for _, part := range c.want {
			if !strings.Contains(err.Error(), part) {
				t.Errorf("%s: error %q does not contain %q", name, err, part)
			}
		}
	}
}
