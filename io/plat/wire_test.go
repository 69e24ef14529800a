package plat

import (
	"strings"
	"testing"

	"caroblane/core/model"
)

const goodValue = `{"Rate":1,"Burst":1}`

// pageWith returns a page with an object between two good ones.
func pageWith(value string) string {
	object := func(name, value string) string {
		return `{"Kind":"Template","Name":"` + name + `","Version":3,"Generation":1,"Deleted":false,"Nonce":"n","Value":` + value + `}`
	}
	return `{"Revision":9,"Next":9,"More":false,"Coalesced":false,"Objects":[` +
		object("a", goodValue) + "," + object("odd", value) + "," + object("c", goodValue) + `]}`
}

// TestOddValue guards against one object with a value of another writer that hides all
// other objects: the watch of the configuration then no longer went on.
func TestOddValue(t *testing.T) {
	for name, value := range map[string]string{
		"deep nesting":             strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
		"deep nesting in a field":  `{"Rate":` + strings.Repeat(`{"a":`, 11_000) + "1" + strings.Repeat("}", 11_001),
		"number too large":         `{"Rate":1e999,"Burst":1}`,
		"another type":             `{"Rate":"1","Burst":[1]}`,
		"control bytes":            "{\"Rate\":\"\x00\"}",
		"no object":                `12`,
		"bytes that are not UTF-8": "{\"Rate\":\"\xff\"}",
	} {
		t.Run(name, func(t *testing.T) {
			page, err := decodePage([]byte(pageWith(value)))
			if err != nil || len(page.Objects) != 3 || page.Revision != 9 {
				t.Fatalf("%d objects, revision %d, error %v; want 3 objects", len(page.Objects), page.Revision, err)
			}
			for _, object := range page.Objects {
				change := object.toChange(model.KindTemplate)
				if odd := object.Name == "odd"; (change.Fault != "") != odd || change.Version != 3 {
					t.Errorf("object %s: version %d, fault %.200q", object.Name, change.Version, change.Fault)
				}
			}
		})
	}
}

// TestBrokenPage guards against a page that is cut off, or whose versions cannot be
// read, and passes for a whole one: the node would go on behind an object that it does
// not have.
func TestBrokenPage(t *testing.T) {
	whole := pageWith(goodValue)
	for n := range len(whole) {
		if _, err := decodePage([]byte(whole[:n])); err == nil {
			t.Fatalf("page cut off after %d bytes is accepted", n)
		}
	}
	for _, change := range [][2]string{
		{`"Version":3`, `"Version":-3`},
		{`"Name":"odd"`, `"Name":7`},
		{`"Deleted":false`, `"Deleted":"no"`},
		{`"Next":9`, `"Next":1e30`},
		{`"Objects":[`, `"Objects":[null,`},
	} {
		if _, err := decodePage([]byte(strings.Replace(whole, change[0], change[1], 1))); err == nil {
			t.Errorf("page with %s is accepted", change[1])
		}
	}
	if page, err := decodePage([]byte(`{"Revision":9,"Objects":null}`)); err != nil || page.Objects != nil {
		t.Errorf("page without objects: %+v, error %v", page, err)
	}
}

// FuzzPage guards against bytes from the platform that end the process.
func FuzzPage(f *testing.F) {
	f.Add([]byte(pageWith(goodValue)))
	f.Add([]byte(`{"Revision":9,"Next":9,"Objects":[{"Kind":"Key","Name":"x","Version":1,"Deleted":true}]}`))
	f.Add([]byte("{\"Objects\":[{\"Value\":\"\xff\\"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		page, err := decodePage(data)
		if err != nil {
			return
		}
		for _, object := range page.Objects {
			for kind := model.KindTemplate; kind <= model.KindUsageSnapshot; kind++ {
				_ = object.toChange(kind)
			}
		}
	})
}
