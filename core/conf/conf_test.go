package conf

import (
	"testing"

	"caroblane/core/event"
	"caroblane/core/model"
)

// TestContiguousAfterInvalid guards against a missed write that is never reported
// to the limit component, because the write after it was invalid.
func TestContiguousAfterInvalid(t *testing.T) {
	valid := model.Template{Rate: 1, Burst: 1}
	invalid := model.Template{Rate: -1, Burst: 1}
	type write struct {
		generation uint64
		value      model.Template
		deleted    bool
		// raised is set if an event is expected. Its Contiguous must be contiguous.
		raised, contiguous bool
	}
	for name, writes := range map[string][]write{
		"no gap": {
			{generation: 1, value: valid, raised: true, contiguous: true},
			{generation: 2, value: invalid},
			{generation: 3, value: valid, raised: true, contiguous: true},
		},
		"gap before a valid write": {
			{generation: 1, value: valid, raised: true, contiguous: true},
			{generation: 3, value: valid, raised: true},
			{generation: 4, value: valid, raised: true, contiguous: true},
		},
		"gap before an invalid write": {
			{generation: 1, value: valid, raised: true, contiguous: true},
			{generation: 3, value: invalid},
			{generation: 4, value: valid, raised: true},
			{generation: 5, value: valid, raised: true, contiguous: true},
		},
		"gap before two invalid writes": {
			{generation: 1, value: valid, raised: true, contiguous: true},
			{generation: 3, value: invalid},
			{generation: 4, value: invalid},
			{generation: 5, value: valid, raised: true},
			{generation: 6, value: valid, raised: true, contiguous: true},
		},
		"gap carried on by a deletion": {
			{generation: 1, value: valid, raised: true, contiguous: true},
			{generation: 3, value: invalid},
			{generation: 4, deleted: true, raised: true},
			{generation: 5, value: valid, raised: true, contiguous: true},
		},
		"first seen write is invalid": {
			{generation: 2, value: invalid},
			{generation: 3, value: valid, raised: true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := New()
			for i, w := range writes {
				change := model.Change{
					Kind: model.KindTemplate, Name: "a", Version: model.Version(i + 1), Generation: w.generation,
					Deleted: w.deleted,
				}
				if !w.deleted {
					change.Value = w.value
				}
				var out Out
				s, out = apply(s, configChanged(change.Version, change))
				raised := false
				for _, e := range out.Raised {
					if changed, ok := e.(event.TemplateChanged); ok {
						raised = true
						if changed.Contiguous != w.contiguous {
							t.Errorf("generation %d: contiguous is %t", w.generation, changed.Contiguous)
						}
					}
				}
				if raised != w.raised {
					t.Errorf("generation %d: raised is %t", w.generation, raised)
				}
			}
		})
	}
}
