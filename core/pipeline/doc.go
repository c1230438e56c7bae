// Package pipeline decides whether an answer on a connection belongs to the request that awaits it.
//
// It does no I/O and reads no clock. Requests of one connection are answered in their order, and both
// sides count them from 1. With numbered answers the server puts the number of its request before each
// answer, and Requests accepts an answer only under the number of the oldest request without one.
//
// # Load pattern
//
// An entry forwards the statements of a session over one connection to a home. The statements that
// set the session's state precede the caller's statement in the same write, so several answers are
// outstanding at a time. A home may answer a statement twice, late, in part, or unasked, before or
// after the next statement is sent. By their order alone, the surplus answer would be that of the next
// statement, and each later answer that of the statement before it. A pooled stream between daemons carries
// the requests of many callers, so there it would be another caller's.
//
// # Contract
//
// Sent is called before the first byte of the requests may leave, Accept when an answer begins, and
// Complete when it has been read to its end. The next answer is that of the next request only while
// Idle reports true and nothing unread has arrived. After an error of Accept, and after an answer that
// was not read to its end, Idle never reports true again: the connection must be closed, and its
// outstanding requests have no answer.
//
// Without numbers, an answer is accepted if any request is outstanding. A surplus answer is then found
// only if it arrives while none is.
package pipeline
