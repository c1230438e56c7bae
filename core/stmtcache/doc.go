// Package stmtcache decides which prepared statements a connection to a member holds.
//
// A connection serves many sessions in turn, and a prepared statement stays on it for later sessions
// that run the same text. The member and this process both keep what is prepared, so the number of
// statements and the size of their texts are bounded: beyond a limit, the statements that were not
// used for longest are dropped.
//
// The package does no I/O. The caller deallocates the dropped statements at the member before it
// prepares the new one. A Cache belongs to one connection and is not safe for concurrent use.
//
// # Load pattern
//
// The sessions of a deployment run tens of different statements, far fewer than a connection holds,
// so that in the steady state nothing is prepared. Callers may also prepare texts that are never used
// again, each up to the size of a message. A statement then costs a message for its preparation and
// one for the statement that it replaces, in the same round trip, and memory stays constant.
package stmtcache
