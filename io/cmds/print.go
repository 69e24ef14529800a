package cmds

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// column is a table column that renders values of type V.
type column[V any] struct {
	title string
	cell  func(V) string
}

// printJSON writes a value to standard output as indented JSON.
func (r *runner) printJSON(value any) {
	encoder := json.NewEncoder(r.env.Out)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(value) // There is nowhere to report a write error on standard output.
}

// printTable writes rows as an aligned table with a header line. Empty cells
// are shown as "-".
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
			if cells[i] = sanitize(c.cell(row)); cells[i] == "" {
				cells[i] = "-"
			}
		}
		_, _ = fmt.Fprintln(table, strings.Join(cells, "\t"))
	}
	_ = table.Flush()
}

func joinNames[S ~string](names []S) string {
	texts := make([]string, len(names))
	for i, name := range names {
		texts[i] = string(name)
	}
	return strings.Join(texts, ",")
}
