package home

import (
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"

	"limpetspan/pkg/pgframe"
)

// Statements of the guard of must-not-repeat keys.
const (
	claimOnceSQL = "INSERT INTO limpetspan_once(once_key, kind, record_key, bucket, tag, done_at) " +
		"VALUES($1, $2, $3, $4, $5, $6)"
	tagOnceSQL    = "UPDATE limpetspan_once SET tag = $1 WHERE once_key = $2"
	lookupOnceSQL = "SELECT o.tag FROM limpetspan_once o WHERE o.once_key = $1"
	removeOnceSQL = "DELETE FROM limpetspan_once WHERE once_key IN " +
		"(SELECT once_key FROM limpetspan_once WHERE done_at < %d LIMIT %d)"

	beginSQL    = "BEGIN"
	commitSQL   = "COMMIT"
	rollbackSQL = "ROLLBACK"
	// Inside a caller's transaction a savepoint keeps a repeated key from
	// failing all of it.
	savepointSQL  = "SAVEPOINT limpetspan_once"
	rollbackToSQL = "ROLLBACK TO SAVEPOINT limpetspan_once"
)

// Object ids of parameter types (PostgreSQL, pg_type).
const (
	oidInt8 uint32 = 20
	oidInt4 uint32 = 23
	oidText uint32 = 25
)

// param is a parameter in text format.
type param struct {
	oid   uint32
	value string
}

func textParam(s string) param { return param{oid: oidText, value: s} }

func intParam(oid uint32, n int64) param { return param{oid: oid, value: strconv.FormatInt(n, 10)} }

// appendStatement appends an extended query with its Sync.
func appendStatement(dst []byte, sql string, params ...param) []byte {
	return appendSync(appendUnsynced(dst, sql, params...))
}

// appendUnsynced appends an extended query without a Sync: the member skips what
// follows, up to the Sync, when it fails. Values travel as parameters: a key
// from a caller never becomes SQL.
func appendUnsynced(dst []byte, sql string, params ...param) []byte {
	parse := pgproto3.Parse{Query: sql}
	bind := pgproto3.Bind{}
	for _, p := range params {
		parse.ParameterOIDs = append(parse.ParameterOIDs, p.oid)
		bind.Parameters = append(bind.Parameters, []byte(p.value))
	}
	for _, message := range []pgproto3.FrontendMessage{&parse, &bind, &pgproto3.Execute{}} {
		// Encoding fails only above a gigabyte.
		if out, err := message.Encode(dst); err == nil {
			dst = out
		}
	}
	return dst
}

func appendSync(dst []byte) []byte { return append(dst, 'S', 0, 0, 0, 4) }

func appendQuery(dst []byte, sql string) []byte { return pgframe.AppendQuery(dst, sql) }
