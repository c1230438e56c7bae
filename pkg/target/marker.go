package target

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/jackc/pgx/v5/pgtype"

	"limpetspan/pkg/pgframe"
)

// A marker proves that the answer in front of it belongs to the exchange in front of it. It is an empty statement
// whose parameter types say a number that no other marker of the connection has. The member describes it with the
// same types, so that an answer too many or too few shows in its place. An empty statement is accepted in every
// state of a transaction, takes no snapshot and runs nothing. It replaces the unnamed statement, which no exchange
// expects to find.

// Numbers of parameters of a marker. Probes are frequent and short, so that the markers of control connections weigh
// most; their numbers come again after 65,536 calls.
const (
	markerDigits        = 8
	controlMarkerDigits = 4
)

// markerTypes are the types of a parameter by its digit. Every server has them.
var markerTypes = [16]uint32{
	pgtype.BoolOID, pgtype.ByteaOID, pgtype.NameOID, pgtype.Int8OID,
	pgtype.Int2OID, pgtype.Int4OID, pgtype.TextOID, pgtype.OIDOID,
	pgtype.JSONOID, pgtype.Float4OID, pgtype.Float8OID, pgtype.VarcharOID,
	pgtype.DateOID, pgtype.TimestampOID, pgtype.NumericOID, pgtype.UUIDOID,
}

// Lengths of the messages that hold the types, in bytes without the type of the message and the digits, and of a digit.
const (
	markerParseLen       = 4 + len("\x00") + len("\x00") + 2
	markerDescriptionLen = 4 + 2
	markerDigitLen       = 4
)

// appendMarker appends the marker as messages: Parse, Describe and Sync.
func appendMarker(dst []byte, number uint32, digits int) []byte {
	dst = append(dst, msgParse, 0, 0, 0, byte(markerParseLen+markerDigitLen*digits), 0, 0, 0, byte(digits))
	dst = appendDigits(dst, number, digits)
	dst = append(dst, msgDescribe, 0, 0, 0, 6, closeStatement, 0)
	return append(dst, msgSync, 0, 0, 0, 4)
}

// appendMarkerAnswer appends the answer to the marker in the given state of the transaction.
func appendMarkerAnswer(dst []byte, number uint32, digits int, status byte) []byte {
	dst = append(dst, msgParseComplete, 0, 0, 0, 4)
	dst = append(dst, msgParameterDescription, 0, 0, 0, byte(markerDescriptionLen+markerDigitLen*digits), 0, byte(digits))
	dst = appendDigits(dst, number, digits)
	dst = append(dst, msgNoData, 0, 0, 0, 4)
	return pgframe.AppendReadyForQuery(dst, status)
}

func appendDigits(dst []byte, number uint32, digits int) []byte {
	for i := range digits {
		dst = binary.BigEndian.AppendUint32(dst, markerTypes[number>>(4*i)&15])
	}
	return dst
}

// readMarker reads the answer of the connection's last marker.
func (r *Runner) readMarker(status byte) error {
	r.proof = appendMarkerAnswer(r.proof[:0], r.conn.marker, r.conn.markerDigits, status)
	for rest := r.proof; len(rest) > 0; {
		message, err := r.reader.Next()
		if err != nil {
			return fmt.Errorf("no proof that the answer is the exchange's: %w", err)
		}
		switch message.Type() {
		case msgNoticeResponse, msgParameterStatus, msgNotificationResponse:
			continue
		}
		next, ok := bytes.CutPrefix(rest, message)
		if !ok {
			return fmt.Errorf("%w: message %q in place of the marker's answer", ErrOutOfStep, message.Type())
		}
		rest = next
	}
	return nil
}
