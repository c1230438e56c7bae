package target

import (
	"encoding/binary"
	"encoding/hex"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgtype"

	"limpetspan/standin/target/internal/engine"
)

// decode reads a parameter; raw nil is null. The value shares no memory with raw.
func decode(oid uint32, format int16, raw []byte) (engine.Value, error) {
	switch {
	case raw == nil:
		return engine.Value{}, nil
	case format == formatBinary:
		return decodeBinary(oid, raw)
	}
	return decodeText(oid, string(raw))
}

func intValue(n int64) engine.Value { return engine.Value{Kind: engine.Int, Int: n} }

func floatValue(f float64) engine.Value { return engine.Value{Kind: engine.Float, Float: f} }

func textValue(s string) engine.Value { return engine.Value{Kind: engine.Text, Bytes: []byte(s)} }

func blobValue(b []byte) engine.Value {
	return engine.Value{Kind: engine.Blob, Bytes: append([]byte{}, b...)}
}

func boolValue(b bool) engine.Value {
	if b {
		return intValue(1)
	}
	return intValue(0)
}

func decodeText(oid uint32, text string) (engine.Value, error) {
	switch oid {
	case pgtype.Int2OID, pgtype.Int4OID, pgtype.Int8OID:
		n, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
		return intValue(n), invalidText(err, "integer", text)
	case pgtype.Float4OID, pgtype.Float8OID:
		f, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		return floatValue(f), invalidText(err, "double precision", text)
	case pgtype.BoolOID:
		return decodeBool(text)
	case pgtype.ByteaOID:
		if digits, ok := strings.CutPrefix(text, `\x`); ok {
			b, err := hex.DecodeString(digits)
			return engine.Value{Kind: engine.Blob, Bytes: b}, invalidText(err, "bytea", text)
		}
		return blobValue([]byte(text)), nil
	case pgtype.TimestampOID, pgtype.TimestamptzOID, pgtype.DateOID:
		t, err := parseMoment(text)
		return moment(oid, t), invalidText(err, "timestamp", text)
	}
	return textValue(text), nil
}

func invalidText(err error, typeName, text string) error {
	if err == nil {
		return nil
	}
	return &Error{State: stateInvalidText, Message: "invalid input syntax for type " + typeName + ": " + strconv.Quote(text)}
}

func decodeBool(text string) (engine.Value, error) {
	switch strings.ToLower(text) {
	case "t", "true", "1", "on", "yes", "y":
		return boolValue(true), nil
	case "f", "false", "0", "off", "no", "n":
		return boolValue(false), nil
	}
	return engine.Value{}, &Error{State: stateInvalidText, Message: "invalid input syntax for type boolean: " + strconv.Quote(text)}
}

// moment returns the stored form of a point in time.
func moment(oid uint32, t time.Time) engine.Value {
	switch oid {
	case pgtype.DateOID:
		return textValue(t.Format(storedDate))
	case pgtype.TimestamptzOID:
		return textValue(t.Format(storedTimestamptz))
	}
	return textValue(t.Format(storedTimestamp))
}

func decodeBinary(oid uint32, raw []byte) (engine.Value, error) {
	if size := sizeOf(oid); size > 0 && len(raw) != int(size) {
		return engine.Value{}, &Error{State: stateInvalidBinary, Message: "incorrect binary data format in bind parameter"}
	}
	switch oid {
	case pgtype.BoolOID:
		return boolValue(raw[0] != 0), nil
	case pgtype.Int2OID:
		return intValue(int64(int16(binary.BigEndian.Uint16(raw)))), nil
	case pgtype.Int4OID:
		return intValue(int64(int32(binary.BigEndian.Uint32(raw)))), nil
	case pgtype.Int8OID:
		return intValue(int64(binary.BigEndian.Uint64(raw))), nil
	case pgtype.Float4OID:
		return floatValue(float64(math.Float32frombits(binary.BigEndian.Uint32(raw)))), nil
	case pgtype.Float8OID:
		return floatValue(math.Float64frombits(binary.BigEndian.Uint64(raw))), nil
	case pgtype.ByteaOID:
		return blobValue(raw), nil
	case pgtype.DateOID:
		return moment(oid, fromDays(int32(binary.BigEndian.Uint32(raw)))), nil
	case pgtype.TimestampOID, pgtype.TimestamptzOID:
		return moment(oid, fromMicros(int64(binary.BigEndian.Uint64(raw)))), nil
	case pgtype.JSONBOID, pgtype.NumericOID, pgtype.UUIDOID:
		return engine.Value{}, &Error{State: stateUnsupported, Message: "binary parameters of this type are not supported"}
	}
	return textValue(string(raw)), nil
}
