// Package render prints the results of commands: as aligned tables on a terminal, as tab-separated lines when
// piped, or as JSON.
package render

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"toucanport/toucanio"
)

// Table buffers rows until Print is called.
type Table struct {
	io     *toucanio.Streams
	header []string
	rows   [][]string
}

// NewTable returns a table with the given column headers and no rows.
func NewTable(io *toucanio.Streams, header ...string) *Table {
	return &Table{io: io, header: header}
}

// Row appends a row; cells must have one value per column.
func (t *Table) Row(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = fmt.Sprint(c)
	}
	t.rows = append(t.rows, row)
}

// Print writes the table. Piped output has no header and separates cells by tabs.
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

// JSON writes v as one line of JSON.
func JSON(io *toucanio.Streams, v any) error {
	return json.NewEncoder(io.Out).Encode(v)
}
