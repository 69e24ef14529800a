package cmds

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// column is one column of a table over values of one kind.
type column[V any] struct {
	title string
	cell  func(V) string
}

// printJSON prints a value as indented JSON.
func (r *runner) printJSON(value any) {
	encoder := json.NewEncoder(r.env.Out)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(value) // Nothing is left to report to if standard output fails.
}

// printTable prints rows under the titles of columns.
func printTable[V any](r *runner, columns []column[V], rows []V) {
	table := tabwriter.NewWriter(r.env.Out, 0, 0, 2, ' ', 0)
	titles := make([]string, len(columns))
	for i, c := range columns {
		titles[i] = c.title
	}
	_, _ = fmt.Fprintln(table, strings.Join(titles, "\t"))
	for _, row := range rows {
		cells := make([]string, len(columns))
		for i, c := range columns {
			if cells[i] = printable(c.cell(row)); cells[i] == "" {
				cells[i] = "-"
			}
		}
		_, _ = fmt.Fprintln(table, strings.Join(cells, "\t"))
	}
	_ = table.Flush()
}

func join[S ~string](names []S) string {
	texts := make([]string, len(names))
	for i, name := range names {
		texts[i] = string(name)
	}
	return strings.Join(texts, ",")
}
