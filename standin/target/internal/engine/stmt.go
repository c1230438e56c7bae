package engine

import (
	"modernc.org/libc"
	sqlite3 "modernc.org/sqlite/lib"
)

// Kind is the storage class of a Value.
type Kind uint8

// The storage classes.
const (
	Null Kind = iota
	Int
	Float
	Text
	Blob
)

// Value is one parameter or result.
type Value struct {
	Kind  Kind
	Int   int64
	Float float64
	// Bytes holds Text and Blob.
	Bytes []byte
}

// Column describes a result column.
type Column struct {
	Name string
	// Decl is the declared type of the table's column, empty for expressions.
	Decl string
}

// Stmt is a prepared statement.
type Stmt struct {
	conn     *Conn
	handle   uintptr
	readOnly bool
	// bound is the memory of the parameters, freed by Reset.
	bound []uintptr
}

// ReadOnly reports whether the statement leaves the database unchanged.
func (s *Stmt) ReadOnly() bool { return s.readOnly }

// Empty reports whether the text held only blanks and comments.
func (s *Stmt) Empty() bool { return s.handle == 0 }

// Params returns the highest parameter number.
func (s *Stmt) Params() int {
	if s.handle == 0 {
		return 0
	}
	return int(sqlite3.Xsqlite3_bind_parameter_count(s.conn.tls, s.handle))
}

// Columns describes the result, empty for a statement without rows.
func (s *Stmt) Columns() []Column {
	if s.handle == 0 {
		return nil
	}
	tls := s.conn.tls
	columns := make([]Column, sqlite3.Xsqlite3_column_count(tls, s.handle))
	for i := range columns {
		columns[i].Name = libc.GoString(sqlite3.Xsqlite3_column_name(tls, s.handle, int32(i)))
		if decl := sqlite3.Xsqlite3_column_decltype(tls, s.handle, int32(i)); decl != 0 {
			columns[i].Decl = libc.GoString(decl)
		}
	}
	return columns
}

// Bind sets the parameters $1 and up; missing ones are null.
func (s *Stmt) Bind(args []Value) error {
	for i := range args {
		if rc := s.bind(int32(i+1), &args[i]); rc != sqlite3.SQLITE_OK {
			return s.conn.failure(rc)
		}
	}
	return nil
}

func (s *Stmt) bind(index int32, v *Value) int32 {
	tls := s.conn.tls
	switch v.Kind {
	case Int:
		return sqlite3.Xsqlite3_bind_int64(tls, s.handle, index, sqlite3.Tsqlite_int64(v.Int))
	case Float:
		return sqlite3.Xsqlite3_bind_double(tls, s.handle, index, v.Float)
	case Text, Blob:
		memory, err := libc.CString(string(v.Bytes))
		if err != nil {
			return sqlite3.SQLITE_NOMEM
		}
		s.bound = append(s.bound, memory)
		if v.Kind == Text {
			return sqlite3.Xsqlite3_bind_text(tls, s.handle, index, memory, int32(len(v.Bytes)), 0)
		}
		return sqlite3.Xsqlite3_bind_blob(tls, s.handle, index, memory, int32(len(v.Bytes)), 0)
	default:
		return sqlite3.Xsqlite3_bind_null(tls, s.handle, index)
	}
}

// Step runs to the next row and reports whether there is one.
func (s *Stmt) Step() (bool, error) {
	if s.handle == 0 {
		return false, nil
	}
	switch rc := sqlite3.Xsqlite3_step(s.conn.tls, s.handle); rc {
	case sqlite3.SQLITE_ROW:
		return true, nil
	case sqlite3.SQLITE_DONE:
		return false, nil
	default:
		return false, s.conn.failure(rc)
	}
}

// Value reads column i of the present row into v, whose memory is not shared
// with the statement.
func (s *Stmt) Value(i int, v *Value) {
	tls, index := s.conn.tls, int32(i)
	v.Bytes = nil
	switch sqlite3.Xsqlite3_column_type(tls, s.handle, index) {
	case sqlite3.SQLITE_INTEGER:
		v.Kind, v.Int = Int, int64(sqlite3.Xsqlite3_column_int64(tls, s.handle, index))
	case sqlite3.SQLITE_FLOAT:
		v.Kind, v.Float = Float, sqlite3.Xsqlite3_column_double(tls, s.handle, index)
	case sqlite3.SQLITE_TEXT:
		v.Kind = Text
		text := sqlite3.Xsqlite3_column_text(tls, s.handle, index)
		v.Bytes = libc.GoBytes(text, int(sqlite3.Xsqlite3_column_bytes(tls, s.handle, index)))
	case sqlite3.SQLITE_BLOB:
		v.Kind, v.Bytes = Blob, []byte{}
		if blob := sqlite3.Xsqlite3_column_blob(tls, s.handle, index); blob != 0 {
			v.Bytes = libc.GoBytes(blob, int(sqlite3.Xsqlite3_column_bytes(tls, s.handle, index)))
		}
	default:
		v.Kind = Null
	}
}

// Reset ends the run and frees the parameters.
func (s *Stmt) Reset() {
	if s.handle == 0 {
		return
	}
	sqlite3.Xsqlite3_reset(s.conn.tls, s.handle)
	sqlite3.Xsqlite3_clear_bindings(s.conn.tls, s.handle)
	for _, memory := range s.bound {
		libc.Xfree(s.conn.tls, memory)
	}
	s.bound = s.bound[:0]
}
