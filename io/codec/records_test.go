package codec

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"caroblane/core/model"
)

// TestRecordsRoundTrip guards against record fields that are lost or changed by
// encoding and decoding.
func TestRecordsRoundTrip(t *testing.T) {
	at := time.Date(2026, 12, 4, 8, 0, 0, 5, time.UTC)
	lines := []model.UsageLine{{Account: "a", Requests: 1, PromptTokens: 2, OutputTokens: 3}}
	cases := map[string]struct {
		kind  model.Kind
		value any
	}{
		"lease": {model.KindLease, model.Lease{Holder: "n1", Incarnation: 1 << 63, Epoch: 3, Nonce: "x"}},
		"claim": {model.KindClaim, model.Claim{Entries: []model.ClaimEntry{
			{Account: "a", Key: "k\x00\"", BodyHash: model.KeyHash{1, 2}, Nonce: "n", State: model.ClaimOpen, WrittenAt: at},
			{
				Account: "b", Key: "k", Nonce: "m", State: model.ClaimAnswered, WrittenAt: at,
				Answer: model.Response{Status: 200, ContentType: "text/plain", Body: []byte{0, 255}, Length: 2},
			},
		}}},
		"order": {model.KindOrder, model.Order{
			Seq: 2, Epoch: 3, State: model.OrderDone, Nonce: "x",
			Intent: model.OrderIntent{Action: model.OrderSetRole, Role: model.RoleDecode},
		}},
		"adapter order": {model.KindOrder, model.Order{Intent: model.OrderIntent{
			Action: model.OrderLoadAdapter, Model: "m", Adapter: "ad",
		}}},
		"provision": {model.KindProvision, model.Provision{
			Epoch: 3, State: model.ProvisionAccepted, Nonce: "x",
			Intent: model.ProvisionIntent{Zone: "z", Model: "m", Cheap: true, Change: -2},
		}},
		"usage part": {model.KindUsagePart, model.UsagePart{Window: 5, Node: "n", Incarnation: 6, Lines: lines, Nonce: "x"}},
		"usage": {model.KindUsage, model.Usage{
			Window: 5, Epoch: 6, Lines: lines, Parts: []string{"5.n.6"}, State: model.UsageReported, Nonce: "x",
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			text, err := EncodeRecord(c.kind, c.value)
			if err != nil {
				t.Fatal(err)
			}
			got, err := DecodeRecord(c.kind, text)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.value, got); diff != "" {
				t.Errorf("decoded record differs (-want +got) from %s:\n%s", text, diff)
			}
		})
	}
}

// TestRecordsReject guards against accepting corrupt records, for example a claim
// entry with a missing state, which would decode as the zero value.
func TestRecordsReject(t *testing.T) {
	cases := map[string]struct {
		kind model.Kind
		text string
	}{
		"no JSON":             {model.KindLease, `{`},
		"unknown claim state": {model.KindClaim, `{"Entries":[{"BodyHash":"` + zeroHash + `","State":"Gone"}]}`},
		"missing claim state": {model.KindClaim, `{"Entries":[{"BodyHash":"` + zeroHash + `"}]}`},
		"short hash":          {model.KindClaim, `{"Entries":[{"BodyHash":"00","State":"ClaimOpen"}]}`},
		"unknown action":      {model.KindOrder, `{"Action":"x","State":"OrderDone"}`},
		"missing order state": {model.KindOrder, `{"Action":"OrderLoadModel"}`},
		"configuration kind":  {model.KindTemplate, `{}`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got, err := DecodeRecord(c.kind, []byte(c.text)); err == nil {
				t.Errorf("decoded %+v, want an error", got)
			}
		})
	}
	if _, err := EncodeRecord(model.KindOrder, model.Lease{}); err == nil {
		t.Error("EncodeRecord accepted a lease for the kind of orders")
	}
}

const zeroHash = "0000000000000000000000000000000000000000000000000000000000000000"
