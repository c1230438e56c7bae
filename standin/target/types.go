package target

import (
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
)

// typeRules map the beginning of a declared type to its OID; the first match
// counts. Types that the stand-in doesn't know are text, numeric among them.
var typeRules = []struct {
	prefix string
	oid    uint32
}{
	{"BIGINT", pgtype.Int8OID},
	{"INT8", pgtype.Int8OID},
	{"BIGSERIAL", pgtype.Int8OID},
	{"SMALLINT", pgtype.Int2OID},
	{"INT2", pgtype.Int2OID},
	{"INTERVAL", pgtype.TextOID},
	{"INT", pgtype.Int4OID},
	{"SERIAL", pgtype.Int4OID},
	{"REAL", pgtype.Float4OID},
	{"FLOAT4", pgtype.Float4OID},
	{"FLOAT", pgtype.Float8OID},
	{"DOUBLE", pgtype.Float8OID},
	{"BOOL", pgtype.BoolOID},
	{"BYTEA", pgtype.ByteaOID},
	{"BLOB", pgtype.ByteaOID},
	{"TIMESTAMPTZ", pgtype.TimestamptzOID},
	{"TIMESTAMP WITH TIME ZONE", pgtype.TimestamptzOID},
	{"TIMESTAMP", pgtype.TimestampOID},
	{"DATETIME", pgtype.TimestampOID},
	{"DATE", pgtype.DateOID},
	{"VARCHAR", pgtype.VarcharOID},
}

// typeOf returns the OID of a declared type.
func typeOf(declared string) uint32 {
	declared = strings.ToUpper(declared)
	for _, r := range typeRules {
		if strings.HasPrefix(declared, r.prefix) {
			return r.oid
		}
	}
	return pgtype.TextOID
}

// sizeOf returns the size that a row description states for the type.
func sizeOf(oid uint32) int16 {
	switch oid {
	case pgtype.BoolOID:
		return 1
	case pgtype.Int2OID:
		return 2
	case pgtype.Int4OID, pgtype.Float4OID, pgtype.DateOID:
		return 4
	case pgtype.Int8OID, pgtype.Float8OID, pgtype.TimestampOID, pgtype.TimestamptzOID:
		return 8
	}
	return -1
}

// The formats of parameters and results.
const (
	formatText   int16 = 0
	formatBinary int16 = 1
)

// formatOf returns the format of item i of a Bind message's format codes.
func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return formatText
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return formatText
}
