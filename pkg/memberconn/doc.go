// Package memberconn is a connection to a member of a database group, on which statements run one after
// the other. After an error it must be closed: an answer may still be outstanding. Only one goroutine may
// use a Conn at a time.
//
// It is reset when it ends, so that the member cannot receive a statement after it was given up.
package memberconn
