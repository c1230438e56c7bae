// Package memberconn is a connection to a member of a database group, on which statements run one after
// the other.
//
// Answers name no statement, and a member may give one again at any time. Package correlate decides which
// statement an answer belongs to. A Conn passes it each answer, drops the surplus ones, and has a refusal or
// a report confirmed by a marker before it returns it. After an error the connection must be closed: an
// answer may still be outstanding. Only one goroutine may use a Conn at a time.
//
// It is reset when it ends, so that the member cannot receive a statement after it was given up.
package memberconn
