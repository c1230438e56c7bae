// Package engine is a thin layer over the SQL library's C interface: it keeps
// prepared statements, tells reads from writes and reports extended result
// codes, none of which database/sql offers.
package engine

import (
	"fmt"
	"sync/atomic"

	"modernc.org/libc"
	sqlite3 "modernc.org/sqlite/lib"
)

// maxCached bounds the prepared statements that one connection keeps.
const maxCached = 256

// pointerSize is the room for one returned pointer, in bytes.
const pointerSize = 8

// Error is a failure of the engine.
type Error struct {
	// Code is the extended result code.
	Code    int
	Message string
}

func (e *Error) Error() string { return fmt.Sprintf("%s (%d)", e.Message, e.Code) }

// Conn is one connection. It must not be used by two goroutines at a time.
type Conn struct {
	tls *libc.TLS
	db  uintptr
	// out receives pointers returned by the library.
	out   uintptr
	cache map[string]*Stmt
}

var databases atomic.Uint64

// NewName returns the name of a new in-memory database. Connections opened
// under the same name share it; it lives until the last of them is closed.
func NewName() string {
	return fmt.Sprintf("file:/target-%d?vfs=memdb", databases.Add(1))
}

// Private is the name of a database that belongs to one connection.
const Private = ":memory:"

// Open opens a connection to the named in-memory database.
func Open(name string) (*Conn, error) {
	c := &Conn{tls: libc.NewTLS(), cache: make(map[string]*Stmt)}
	c.out = libc.Xmalloc(c.tls, pointerSize)
	cname, err := libc.CString(name)
	if err != nil {
		return nil, err
	}
	defer libc.Xfree(c.tls, cname)
	flags := int32(sqlite3.SQLITE_OPEN_READWRITE | sqlite3.SQLITE_OPEN_CREATE | sqlite3.SQLITE_OPEN_URI | sqlite3.SQLITE_OPEN_NOMUTEX)
	rc := sqlite3.Xsqlite3_open_v2(c.tls, cname, c.out, flags, 0)
	c.db = libc.AtomicLoadPUintptr(c.out)
	if rc != sqlite3.SQLITE_OK {
		err := c.failure(rc)
		c.Close()
		return nil, err
	}
	sqlite3.Xsqlite3_extended_result_codes(c.tls, c.db, 1)
	for _, pragma := range []string{"journal_mode=MEMORY", "cache_spill=OFF", "temp_store=MEMORY", "foreign_keys=ON"} {
		if err := c.Exec("PRAGMA " + pragma); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

// Close finalizes the statements and closes the connection.
func (c *Conn) Close() {
	c.forget()
	sqlite3.Xsqlite3_close_v2(c.tls, c.db)
	libc.Xfree(c.tls, c.out)
	c.tls.Close()
}

func (c *Conn) forget() {
	for sql, st := range c.cache {
		sqlite3.Xsqlite3_finalize(c.tls, st.handle)
		delete(c.cache, sql)
	}
}

func (c *Conn) failure(rc int32) *Error {
	message := libc.GoString(sqlite3.Xsqlite3_errmsg(c.tls, c.db))
	return &Error{Code: int(rc), Message: message}
}

// Exec runs one statement without parameters and drops its rows.
func (c *Conn) Exec(sql string) error {
	st, err := c.Prepare(sql)
	if err != nil {
		return err
	}
	defer st.Reset()
	for {
		row, err := st.Step()
		if err != nil || !row {
			return err
		}
	}
}

// Changes returns how many rows the last INSERT, UPDATE or DELETE touched.
func (c *Conn) Changes() int64 {
	return int64(sqlite3.Xsqlite3_changes64(c.tls, c.db))
}

// Prepare returns the prepared statement for the text, which must hold one
// statement. The statement belongs to the connection's cache; it stays valid
// until the next call of Prepare and must be Reset after use.
func (c *Conn) Prepare(sql string) (*Stmt, error) {
	if st, ok := c.cache[sql]; ok {
		return st, nil
	}
	if len(c.cache) >= maxCached {
		c.forget()
	}
	text, err := libc.CString(sql)
	if err != nil {
		return nil, err
	}
	defer libc.Xfree(c.tls, text)
	if rc := sqlite3.Xsqlite3_prepare_v2(c.tls, c.db, text, -1, c.out, 0); rc != sqlite3.SQLITE_OK {
		return nil, c.failure(rc)
	}
	st := &Stmt{conn: c, handle: libc.AtomicLoadPUintptr(c.out)}
	if st.handle != 0 {
		st.readOnly = sqlite3.Xsqlite3_stmt_readonly(c.tls, st.handle) != 0
	}
	c.cache[sql] = st
	return st, nil
}

// CopyFrom replaces the connection's database by a copy of source's.
func (c *Conn) CopyFrom(source *Conn) error {
	c.forget()
	main, err := libc.CString("main")
	if err != nil {
		return err
	}
	defer libc.Xfree(c.tls, main)
	backup := sqlite3.Xsqlite3_backup_init(c.tls, c.db, main, source.db, main)
	if backup == 0 {
		return c.failure(sqlite3.SQLITE_ERROR)
	}
	sqlite3.Xsqlite3_backup_step(c.tls, backup, -1)
	if rc := sqlite3.Xsqlite3_backup_finish(c.tls, backup); rc != sqlite3.SQLITE_OK {
		return c.failure(rc)
	}
	return nil
}
