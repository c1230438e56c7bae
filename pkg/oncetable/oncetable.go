// Package oncetable declares the table of must-not-repeat keys, which stands in
// the databases of the groups. Two sides make it where it is missing: a home at
// the first key of its group, and a take-over in both of its groups.
package oncetable

import "strings"

// Create are the statements that make the table and its indexes. Each does
// nothing where its object exists. The primary key admits a key once. By kind
// and bucket a take-over copies and counts, by done_at it finds late keys and a
// home removes old ones; without the indexes each would read the entire table.
var Create = []string{
	"CREATE TABLE IF NOT EXISTS limpetspan_once(once_key text PRIMARY KEY, " +
		"kind text, record_key text, bucket int, tag text, done_at bigint)",
	"CREATE INDEX IF NOT EXISTS limpetspan_once_bucket ON limpetspan_once(kind, bucket)",
	"CREATE INDEX IF NOT EXISTS limpetspan_once_done_at ON limpetspan_once(done_at)",
}

// CreateScript is Create as the text of one simple query, which a member runs
// as one transaction: the table is never seen without its indexes.
var CreateScript = strings.Join(Create, "; ")
