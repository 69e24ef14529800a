package node

import (
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"caroblane/core/event"
)

// casesOf returns the events named by type switches and type assertions in a
// function of the source files that match a pattern.
func casesOf(t *testing.T, pattern, function string) map[string]bool {
	t.Helper()
	files, err := filepath.Glob(pattern)
	if err != nil {
		t.Fatal(err)
	}
	events := map[string]bool{}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, decl := range file.Decls {
			f, ok := decl.(*ast.FuncDecl)
			if !ok || f.Name.Name != function {
				continue
			}
			ast.Inspect(f.Body, func(n ast.Node) bool {
				var named []ast.Expr
				switch n := n.(type) {
				case *ast.CaseClause:
					named = n.List
				case *ast.TypeAssertExpr:
					named = []ast.Expr{n.Type}
				}
				for _, expr := range named {
					if selector, ok := expr.(*ast.SelectorExpr); ok {
						if pkg, ok := selector.X.(*ast.Ident); ok && pkg.Name == "event" {
							events[selector.Sel.Name] = true
						}
					}
				}
				return true
			})
		}
	}
	return events
}

// TestTakers guards against a part that misses an event which its Apply
// handles, because takersOf leaves it out.
func TestTakers(t *testing.T) {
	routed := map[string]event.Event{
		"AdmissionAsked":   event.AdmissionAsked{},
		"AdmissionDropped": event.AdmissionDropped{},
		"AdmissionGranted": event.AdmissionGranted{},
		"AdmissionRefused": event.AdmissionRefused{},
		"AttemptEnded":     event.AttemptEnded{},
		"CallerGone":       event.CallerGone{},
		"ClaimAsked":       event.ClaimAsked{},
		"ClaimEnded":       event.ClaimEnded{},
		"ClaimRecorded":    event.ClaimRecorded{},
		"ClaimRefused":     event.ClaimRefused{},
		"ClaimWon":         event.ClaimWon{},
		"RequestArrived":   event.RequestArrived{},
		"UsageCounted":     event.UsageCounted{},
	}
	named := slices.Sorted(maps.Keys(casesOf(t, "route.go", "takersOf")))
	if listed := slices.Sorted(maps.Keys(routed)); !slices.Equal(named, listed) {
		t.Fatalf("takersOf names %v, the test covers %v", named, listed)
	}
	for part, dir := range map[parts]string{
		toConf: "conf", toPeers: "peers", toLimit: "limit", toClaim: "claim",
		toLease: "lease", toOrder: "order", toFlow: "flow",
	} {
		handled := casesOf(t, filepath.Join("..", dir, "*.go"), "Apply")
		maps.Copy(handled, casesOf(t, filepath.Join("..", dir, "*.go"), "apply"))
		if len(handled) == 0 {
			t.Errorf("no event found in %s.State.Apply", dir)
		}
		for name, e := range routed {
			if handled[name] && !takersOf(e).has(part) {
				t.Errorf("%s handles %s and does not get it", dir, name)
			}
		}
		if !takersOf(event.Tick{}).has(part) {
			t.Errorf("%s does not get the events that takersOf does not name", dir)
		}
	}
}
