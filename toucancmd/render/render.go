// Package render prints the results of commands: tables at a terminal, tab-separated lines when piped, JSON on
// request.
package render

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"toucanport/toucanio"
)

// Table collects rows under a header.
type Table struct {
	io     *toucanio.Streams
	header []string
	rows   [][]string
}

// NewTable returns an empty table.
func NewTable(io *toucanio.Streams, header ...string) *Table {
	return &Table{io: io, header: header}
}

// Row adds a row with one cell for each column.
func (t *Table) Row(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = fmt.Sprint(c)
	}
	t.rows = append(t.rows, row)
}

// Print writes the table. When piped there is no header and cells are joined by tabs.
func (t *Table) Print() error {
	if !t.io.IsTerminal() {
		for _, row := range t.rows {
			t.io.Printf("%s\n", strings.Join(row, "\t"))
		}
		return nil
	}
	tw := tabwriter.NewWriter(t.io.Out, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{t.header}, t.rows...) {
		if _, err := fmt.Fprintln(tw, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return tw.Flush()
}

// JSON writes v as one line.
func JSON(io *toucanio.Streams, v any) error {
	return json.NewEncoder(io.Out).Encode(v)
}
