package target

import (
	"encoding/binary"
	"encoding/hex"
	"math"
	"strconv"

	"github.com/jackc/pgx/v5/pgtype"

	"limpetspan/standin/target/internal/engine"
)

// encode appends a value that is not null in the announced type and format.
func encode(dst []byte, v *engine.Value, oid uint32, format int16) ([]byte, error) {
	switch oid {
	case pgtype.Int2OID, pgtype.Int4OID, pgtype.Int8OID:
		n, err := toInt(v)
		if err != nil {
			return dst, err
		}
		return encodeInt(dst, n, oid, format)
	case pgtype.Float4OID, pgtype.Float8OID:
		f, err := toFloat(v)
		if err != nil {
			return dst, err
		}
		return encodeFloat(dst, f, oid, format), nil
	case pgtype.BoolOID:
		n, err := toInt(v)
		if err != nil {
			return dst, err
		}
		return encodeBool(dst, n != 0, format), nil
	case pgtype.ByteaOID:
		if format == formatBinary {
			return appendText(dst, v), nil
		}
		return hex.AppendEncode(append(dst, `\x`...), appendText(nil, v)), nil
	case pgtype.DateOID, pgtype.TimestampOID, pgtype.TimestamptzOID:
		return encodeMoment(dst, v, oid, format)
	}
	return appendText(dst, v), nil
}

// appendText appends the value's text form.
func appendText(dst []byte, v *engine.Value) []byte {
	switch v.Kind {
	case engine.Int:
		return strconv.AppendInt(dst, v.Int, 10)
	case engine.Float:
		return strconv.AppendFloat(dst, v.Float, 'g', -1, 64)
	}
	return append(dst, v.Bytes...)
}

func toInt(v *engine.Value) (int64, error) {
	switch v.Kind {
	case engine.Int:
		return v.Int, nil
	case engine.Float:
		if v.Float == math.Trunc(v.Float) && math.Abs(v.Float) < math.MaxInt64 {
			return int64(v.Float), nil
		}
	case engine.Text:
		if n, err := strconv.ParseInt(string(v.Bytes), 10, 64); err == nil {
			return n, nil
		}
	}
	return 0, misfit("an integer", v)
}

func toFloat(v *engine.Value) (float64, error) {
	switch v.Kind {
	case engine.Int:
		return float64(v.Int), nil
	case engine.Float:
		return v.Float, nil
	case engine.Text:
		if f, err := strconv.ParseFloat(string(v.Bytes), 64); err == nil {
			return f, nil
		}
	}
	return 0, misfit("a number", v)
}

// misfit reports a stored value that doesn't fit its column's type, which the
// engine, unlike PostgreSQL, lets in.
func misfit(want string, v *engine.Value) error {
	return &Error{State: stateInvalidText, Message: "stored value " + strconv.Quote(string(appendText(nil, v))) + " is not " + want}
}

func encodeInt(dst []byte, n int64, oid uint32, format int16) ([]byte, error) {
	if oid == pgtype.Int4OID && n != int64(int32(n)) || oid == pgtype.Int2OID && n != int64(int16(n)) {
		return dst, &Error{State: stateNumericRange, Message: "integer out of range"}
	}
	if format == formatText {
		return strconv.AppendInt(dst, n, 10), nil
	}
	switch oid {
	case pgtype.Int2OID:
		return binary.BigEndian.AppendUint16(dst, uint16(n)), nil
	case pgtype.Int4OID:
		return binary.BigEndian.AppendUint32(dst, uint32(n)), nil
	}
	return binary.BigEndian.AppendUint64(dst, uint64(n)), nil
}

func encodeFloat(dst []byte, f float64, oid uint32, format int16) []byte {
	bits := 64
	if oid == pgtype.Float4OID {
		bits = 32
	}
	switch {
	case format == formatText:
		return strconv.AppendFloat(dst, f, 'g', -1, bits)
	case oid == pgtype.Float4OID:
		return binary.BigEndian.AppendUint32(dst, math.Float32bits(float32(f)))
	}
	return binary.BigEndian.AppendUint64(dst, math.Float64bits(f))
}

func encodeBool(dst []byte, b bool, format int16) []byte {
	switch {
	case format == formatBinary && b:
		return append(dst, 1)
	case format == formatBinary:
		return append(dst, 0)
	case b:
		return append(dst, 't')
	}
	return append(dst, 'f')
}

func encodeMoment(dst []byte, v *engine.Value, oid uint32, format int16) ([]byte, error) {
	t, err := parseMoment(string(v.Bytes))
	if err != nil {
		return dst, misfit("a date or time", v)
	}
	if format == formatBinary {
		if oid == pgtype.DateOID {
			return binary.BigEndian.AppendUint32(dst, uint32(days(t))), nil
		}
		return binary.BigEndian.AppendUint64(dst, uint64(micros(t))), nil
	}
	layout := sentTimestamp
	switch oid {
	case pgtype.DateOID:
		layout = storedDate
	case pgtype.TimestamptzOID:
		layout = sentTimestamptz
	}
	return t.AppendFormat(dst, layout), nil
}
