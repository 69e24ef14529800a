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

// eventTypesIn returns the names of the event types in the type switches and type
// assertions of a function in the source files that match a pattern.
func eventTypesIn(t *testing.T, pattern, function string) map[string]bool {
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

// TestReceivers guards against a component that does not receive an event that
// its Apply handles, because receiversOf omits it.
func TestReceivers(t *testing.T) {
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
	named := slices.Sorted(maps.Keys(eventTypesIn(t, "receivers.go", "receiversOf")))
	if listed := slices.Sorted(maps.Keys(routed)); !slices.Equal(named, listed) {
		t.Fatalf("receiversOf names %v, the test covers %v", named, listed)
	}
	for component, dir := range map[receivers]string{
		toConf: "conf", toPeers: "peers", toLimit: "limit", toClaim: "claim",
		toLease: "lease", toOrder: "order", toFlow: "flow",
	} {
		handled := eventTypesIn(t, filepath.Join("..", dir, "*.go"), "Apply")
		maps.Copy(handled, eventTypesIn(t, filepath.Join("..", dir, "*.go"), "apply"))
		if len(handled) == 0 {
			t.Errorf("no handled event found in %s.State.Apply", dir)
		}
		for name, e := range routed {
			if handled[name] && !receiversOf(e).has(component) {
				t.Errorf("%s handles %s but does not receive it", dir, name)
			}
		}
		if !receiversOf(event.Tick{}).has(component) {
			t.Errorf("%s does not receive the events that receiversOf does not name", dir)
		}
	}
}
