package codec

import (
	"fmt"
	"testing"
	"time"

	"caroblane/core/model"
)

// BenchmarkRecordSize measures the JSON size of one entry of a claim record and
// of one line of a usage part. docs/CAPACITY.md cites the results.
func BenchmarkRecordSize(b *testing.B) {
	const count = 100
	claims := func(body int) model.Claim {
		var c model.Claim
		for i := range count {
			c.Entries = append(c.Entries, model.ClaimEntry{
				Account: "account-1234", Key: fmt.Sprintf("550e8400-e29b-41d4-a716-%012d", i), Nonce: "3fffffffffffffff.1f4.om-north-a-01-1f4",
				State: model.ClaimAnswered, WrittenAt: time.Unix(1_800_000_000, 0).UTC(),
				Answer: model.Response{Status: 200, ContentType: "application/json", Body: make([]byte, body), Length: body},
			})
		}
		return c
	}
	part := model.UsagePart{Node: "om-north-a-01"}
	for i := range count {
		part.Lines = append(part.Lines, model.UsageLine{Account: model.AccountName(fmt.Sprintf("account-%d", i+1000)), Requests: 12, PromptTokens: 34_567, OutputTokens: 4_567})
	}
	for name, c := range map[string]struct {
		kind  model.Kind
		value any
	}{
		"claim/body=0":    {model.KindClaim, claims(0)},
		"claim/body=200":  {model.KindClaim, claims(200)},
		"claim/body=2048": {model.KindClaim, claims(2048)},
		"usage":           {model.KindUsagePart, part},
	} {
		b.Run(name, func(b *testing.B) {
			size := 0
			for range b.N {
				encoded, err := EncodeRecord(c.kind, c.value)
				if err != nil {
					b.Fatal(err)
				}
				size = len(encoded)
			}
			b.ReportMetric(float64(size)/count, "B/entry")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/count, "ns/entry")
		})
	}
}
