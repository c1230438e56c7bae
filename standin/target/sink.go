package target

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"limpetspan/standin/target/internal/engine"
)

// sink receives the rows of a statement and sends them, or keeps them for a
// portal that is fetched in parts.
type sink struct {
	session *session
	fields  []pgproto3.FieldDescription
	// announce: a RowDescription is due before the first row.
	announce bool
	// formats of the columns, as in a Bind message.
	formats []int16
	// keep collects encoded rows in place of sending them.
	keep bool
	kept []rawMessage
	row  []engine.Value
}

// rawMessage is an encoded message.
type rawMessage []byte

// Encode appends the message.
func (m rawMessage) Encode(dst []byte) ([]byte, error) { return append(dst, m...), nil }

// Decode is not needed: the message is only sent.
func (m rawMessage) Decode([]byte) error { return nil }

// Backend marks the message as one that a server sends.
func (m rawMessage) Backend() {}

// describe sends the row description that is due.
func (k *sink) describe() {
	if !k.announce {
		return
	}
	k.announce = false
	if len(k.fields) > 0 {
		k.session.back.Send(&pgproto3.RowDescription{Fields: known(k.fields)})
	}
}

// known gives columns whose type was not found out the type text.
func known(fields []pgproto3.FieldDescription) []pgproto3.FieldDescription {
	for i := range fields {
		if fields[i].DataTypeOID == 0 {
			fields = append([]pgproto3.FieldDescription(nil), fields...)
			for j := range fields {
				if fields[j].DataTypeOID == 0 {
					fields[j].DataTypeOID, fields[j].DataTypeSize = pgtype.TextOID, sizeOf(pgtype.TextOID)
				}
			}
			return fields
		}
	}
	return fields
}

// read sends the statement's present row.
func (k *sink) read(st *engine.Stmt) error {
	if len(k.row) != len(k.fields) {
		k.row = make([]engine.Value, len(k.fields))
	}
	for i := range k.row {
		st.Value(i, &k.row[i])
	}
	return k.add(k.row)
}

// add sends a row.
func (k *sink) add(row []engine.Value) error {
	if k.announce {
		settle(k.fields, row)
		k.describe()
	}
	message, err := k.encode(row)
	if err != nil {
		return err
	}
	if k.keep {
		encoded, err := message.Encode(nil)
		k.kept = append(k.kept, encoded)
		return err
	}
	k.session.back.Send(message)
	return nil
}

// settle gives columns of unknown type that of their first value.
func settle(fields []pgproto3.FieldDescription, row []engine.Value) {
	for i := range fields {
		if fields[i].DataTypeOID == 0 {
			setType(&fields[i], typeOfKind(row[i].Kind))
		}
	}
}

// typeOfKind returns the type of an expression by its value, zero if unknown.
func typeOfKind(kind engine.Kind) uint32 {
	switch kind {
	case engine.Int:
		return pgtype.Int8OID
	case engine.Float:
		return pgtype.Float8OID
	case engine.Text:
		return pgtype.TextOID
	case engine.Blob:
		return pgtype.ByteaOID
	}
	return 0
}

// noBytes is the empty value, which is not NULL.
var noBytes = []byte{}

// encode builds the row in the session's buffers.
func (k *sink) encode(row []engine.Value) (*pgproto3.DataRow, error) {
	r := &k.session.reply
	r.cells, r.ends = r.cells[:0], r.ends[:0]
	var err error
	for i := range row {
		if row[i].Kind != engine.Null {
			r.cells, err = encode(r.cells, &row[i], k.fields[i].DataTypeOID, formatOf(k.formats, i))
			if err != nil {
				return nil, err
			}
		}
		r.ends = append(r.ends, len(r.cells))
	}
	r.row.Values = r.row.Values[:0]
	start := 0
	for i, end := range r.ends {
		switch {
		case row[i].Kind == engine.Null:
			r.row.Values = append(r.row.Values, nil)
		case start == end:
			// A slice of a buffer that is still nil would be nil and read as NULL.
			r.row.Values = append(r.row.Values, noBytes)
		default:
			r.row.Values = append(r.row.Values, r.cells[start:end:end])
		}
		start = end
	}
	return &r.row, nil
}
