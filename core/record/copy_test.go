package record_test

import (
	"testing"

	"caroblane/core/effect"
	"caroblane/core/event"
	"caroblane/core/model"
	"caroblane/core/record"
)

// read applies the response to a read of a lease.
func read(c record.Copy[model.Lease], seq uint64, version model.Version, value *model.Lease) (record.Copy[model.Lease], record.Result) {
	c, call := c.Read(model.Op{Seq: seq})
	response := event.ObjectRead{Op: call.(effect.ReadObject).Op, Object: model.Change{Version: version}}
	if value != nil {
		response.Found, response.Object.Value = true, *value
	}
	return c.ApplyResponse(response)
}

// TestReadAfterRestore guards against an object that can never be read again after the
// store came back from a copy, because its revision is lower than before, and against an
// answer of the earlier era that replaces one of the later.
func TestReadAfterRestore(t *testing.T) {
	lease := &model.Lease{Holder: "n"}
	for name, c := range map[string]struct {
		first, second model.Version
		value         *model.Lease
		want          record.Result
	}{
		"later revision":                     {model.NewVersion(1, 9), model.NewVersion(1, 12), lease, record.Read},
		"earlier revision":                   {model.NewVersion(1, 9), model.NewVersion(1, 8), lease, record.Failed},
		"deleted":                            {model.NewVersion(1, 9), model.NewVersion(1, 0), nil, record.Read},
		"earlier revision in a later era":    {model.NewVersion(1, 9), model.NewVersion(2, 8), lease, record.Read},
		"missing in a later era":             {model.NewVersion(1, 9), model.NewVersion(2, 0), nil, record.Read},
		"later revision of an earlier era":   {model.NewVersion(2, 9), model.NewVersion(1, 12), lease, record.Failed},
		"missing in an earlier era":          {model.NewVersion(2, 9), model.NewVersion(1, 0), nil, record.Failed},
		"found again in the era without it":  {model.NewVersion(2, 0), model.NewVersion(2, 8), lease, record.Read},
		"found in the era before it was not": {model.NewVersion(2, 0), model.NewVersion(1, 8), lease, record.Failed},
	} {
		t.Run(name, func(t *testing.T) {
			firstValue := lease
			if c.first.Revision() == 0 {
				firstValue = nil
			}
			first, result := read(record.New[model.Lease](model.KindLease, "l"), 1, c.first, firstValue)
			if result != record.Read {
				t.Fatalf("first read: %v", result)
			}
			second, result := read(first, 2, c.second, c.value)
			want := c.first
			if c.want == record.Read {
				want = c.second
			}
			if result != c.want || second.Version() != want {
				t.Errorf("result %v, version %d; want %v, %d", result, second.Version(), c.want, want)
			}
		})
	}
}
