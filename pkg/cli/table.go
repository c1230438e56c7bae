package cli

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// writeTable prints rows in aligned columns.
func writeTable(w io.Writer, header []any, rows [][]any) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	writeRow(table, header)
	for _, row := range rows {
		writeRow(table, row)
	}
	return table.Flush()
}

func writeRow(w io.Writer, row []any) {
	for i, cell := range row {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, cell)
	}
	fmt.Fprintln(w)
}

// revisionCounts says how many daemons have each revision, the highest first.
func revisionCounts(counts map[uint64]int) string {
	revisions := slices.Sorted(maps.Keys(counts))
	slices.Reverse(revisions)
	parts := make([]string, len(revisions))
	for i, revision := range revisions {
		parts[i] = fmt.Sprintf("%d (%d daemons)", revision, counts[revision])
	}
	return orDash(strings.Join(parts, ", "))
}
