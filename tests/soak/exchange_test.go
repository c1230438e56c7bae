package soak

import (
	"strings"
	"time"
)

// exchange is one statement of a caller with its answer.
type exchange struct {
	id, text, database string
	// definition is that of the prepared statement that the text names, empty if the session has none
	// of that name. values are those that the session was told it has.
	definition string
	values     map[string]string
	// inTransaction is set if the statement is part of a transaction.
	inTransaction bool
	// began is when the statement, or the transaction that it is part of, was sent.
	sent, began, answered time.Time
	// ok is set if a whole answer came; end is the message before its READY.
	ok    bool
	end   string
	rows  []string
	state byte
}

// runsAtMember reports whether a member runs the statement.
func (e *exchange) runsAtMember() bool {
	word, _, _ := strings.Cut(e.text, " ")
	return word == "READ" || word == "WRITE" || word == "COMMIT" || word == "EXECUTE"
}

// reads reports whether the statement is a read.
func (e *exchange) reads() bool {
	return strings.HasPrefix(e.text, "READ ") || strings.HasPrefix(e.text, "EXECUTE ") && strings.HasPrefix(e.definition, "READ ")
}

// succeeded reports whether the answer says that the statement succeeded.
func (e *exchange) succeeded() bool { return e.ok && strings.HasPrefix(e.end, "COMPLETE") }

// receipt returns the argument of COMPLETE.
func (e *exchange) receipt() string { return strings.TrimPrefix(e.end, "COMPLETE ") }

// member returns the member that gave the receipt.
func (e *exchange) member() string {
	member, _, _ := strings.Cut(strings.TrimPrefix(e.receipt(), "r."), ".")
	return member
}

// row returns the first row of the answer.
func (e *exchange) row() string {
	if len(e.rows) == 0 {
		return ""
	}
	return e.rows[0]
}

// code returns the code of an error, "none" if no whole answer came.
func (e *exchange) code() string {
	if !e.ok {
		return "none"
	}
	code, _, _ := strings.Cut(strings.TrimPrefix(e.end, "ERROR "), " ")
	return code
}

// promised reports whether the answer promises that nothing of the attempt is kept.
func (e *exchange) promised() bool {
	for _, code := range []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT"} {
		if e.ok && strings.HasPrefix(e.end, "ERROR "+code) {
			return true
		}
	}
	return false
}

// inDoubt reports whether the answer leaves open what happened.
func (e *exchange) inDoubt() bool {
	return !e.ok || strings.HasPrefix(e.end, "ERROR INDOUBT") || strings.HasPrefix(e.end, "ERROR TIMEOUT")
}

// verdict is what a caller was told of a write.
type verdict uint8

const (
	unknown verdict = iota
	acknowledged
	notRun
)

// write is one write of a caller: its data is unique.
type write struct {
	id, data string
	verdict  verdict
	// answered is when the verdict came.
	answered time.Time
}
