package takeover

import (
	"strconv"
)

// Tables that a take-over keeps in the databases of its groups. They travel
// with a group's log, so a new primary has them.
const (
	// createSealSQL: in the source, the buckets that are about to flip, and
	// with bucket floorBucket the least revision a home may serve the kind at.
	createSealSQL = "CREATE TABLE IF NOT EXISTS limpetspan_seal(kind text, bucket int, " +
		"fence text, revision bigint, PRIMARY KEY (kind, bucket))"
	// createCopySQL: in the destination, who may write copies into a bucket.
	createCopySQL = "CREATE TABLE IF NOT EXISTS limpetspan_copy(kind text, bucket int, " +
		"token bigint NOT NULL, closed bigint NOT NULL, PRIMARY KEY (kind, bucket))"
)

// Statements on the seals.
const (
	sealSQL = "INSERT INTO limpetspan_seal(kind, bucket, fence, revision) VALUES($1, $2, $3, $4) " +
		"ON CONFLICT (kind, bucket) DO UPDATE SET fence = excluded.fence, revision = excluded.revision"
	floorSQL = "INSERT INTO limpetspan_seal(kind, bucket, fence, revision) VALUES($1, -1, '', $2) " +
		"ON CONFLICT (kind, bucket) DO UPDATE SET revision = " +
		"CASE WHEN limpetspan_seal.revision > excluded.revision THEN limpetspan_seal.revision ELSE excluded.revision END"
	// unsealSQL ($2 revision) spares the seals of later claims: it may be an old
	// worker's, late on a connection that was believed lost.
	unsealSQL    = "DELETE FROM limpetspan_seal WHERE kind = $1 AND bucket >= 0 AND revision <= $2"
	readSealsSQL = "SELECT kind, bucket, fence, revision FROM limpetspan_seal"
	// floorBucket is the bucket number of a kind's least revision.
	floorBucket = -1
)

// Statements on the copy's tokens. A refused one sets a NOT NULL column to
// NULL, which fails the whole transaction with its copies.
const (
	// checkTokenSQL ($3 token) admits writes of a claim that is not older than
	// the last one, into a bucket that is not closed. It prevents that a worker
	// which was paused writes old values over newer ones, or into a bucket that
	// has flipped; it holds because it commits or fails with those writes.
	checkTokenSQL = "INSERT INTO limpetspan_copy(kind, bucket, token, closed) VALUES($1, $2, $3, 0) " +
		"ON CONFLICT (kind, bucket) DO UPDATE SET token = CASE " +
		"WHEN limpetspan_copy.closed = 0 AND limpetspan_copy.token <= excluded.token THEN excluded.token ELSE NULL END"
	// closeSQL ($3 token, $4 number of this closing) ends all writes.
	closeSQL = "INSERT INTO limpetspan_copy(kind, bucket, token, closed) VALUES($1, $2, $3, $4) " +
		"ON CONFLICT (kind, bucket) DO UPDATE SET token = excluded.token, closed = CASE " +
		"WHEN limpetspan_copy.closed = 0 AND limpetspan_copy.token <= excluded.token THEN excluded.closed ELSE NULL END"
	// reopenSQL undoes one closing ($3) and no later one.
	reopenSQL     = "UPDATE limpetspan_copy SET closed = 0 WHERE kind = $1 AND bucket = $2 AND closed = $3"
	readTokenSQL  = "SELECT token, closed FROM limpetspan_copy WHERE kind = $1 AND bucket = $2"
	readClosedSQL = "SELECT bucket, closed FROM limpetspan_copy WHERE kind = $1 AND closed <> 0"
)

// Statements on the must-not-repeat keys.
const (
	scanKeysSQL = "SELECT once_key, record_key, bucket FROM limpetspan_once " +
		"WHERE kind = $1 AND once_key > $2 ORDER BY once_key LIMIT $3"
	assignKeySQL = "UPDATE limpetspan_once SET bucket = $1 WHERE once_key = $2"
	readKeysSQL  = "SELECT once_key, record_key, bucket, tag, done_at FROM limpetspan_once " +
		"WHERE kind = $1 AND bucket = $2 AND once_key > $3 ORDER BY once_key LIMIT $4"
	lateKeysSQL = "SELECT once_key, record_key, bucket, tag, done_at FROM limpetspan_once " +
		"WHERE kind = $1 AND done_at >= $2 AND once_key > $3 ORDER BY once_key LIMIT $4"
	copyKeySQL = "INSERT INTO limpetspan_once(once_key, kind, record_key, bucket, tag, done_at) " +
		"VALUES($1, $2, $3, $4, $5, $6) ON CONFLICT (once_key) DO NOTHING"
	countKeysSQL = "SELECT count(*) FROM limpetspan_once WHERE kind = $1 AND bucket = $2"
)

// text, number and statement build parameters and statements.
func text(s string) Value { return Value{Text: s} }

func number[T ~int | ~int64 | ~uint64](n T) Value {
	return Value{Text: strconv.FormatInt(int64(n), 10)}
}

func statement(sql string, args ...Value) Statement { return Statement{SQL: sql, Args: args} }

// integer reads a number column; NULL and garbage are zero.
func (v Value) integer() int64 {
	n, _ := strconv.ParseInt(v.Text, 10, 64)
	return n
}

func sealStatements(o *Order) []Statement {
	list := []Statement{statement(createSealSQL)}
	for _, b := range o.Buckets {
		list = append(list, statement(sealSQL, text(o.Kind), number(b), text(o.Fence), number(o.Revision)))
	}
	return list
}

func settleStatements(o *Order) []Statement {
	return []Statement{
		statement(createSealSQL),
		statement(unsealSQL, text(o.Kind), number(o.Revision)),
		statement(floorSQL, text(o.Kind), number(o.Revision)),
	}
}
