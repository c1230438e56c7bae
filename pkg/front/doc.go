// Package front is the callers' side of the daemon: it accepts PostgreSQL
// clients, authenticates them, collects their messages into exchanges, hands
// these to an exchange.Handler and writes the answers back.
//
// # One exchange
//
// An exchange is everything up to a Query or a Sync. Messages are passed on as
// they came; only their types, the names of statements and the beginning of
// the SQL text are looked at. A caller has one exchange in progress; what it
// sends ahead stays in the socket or in the input buffer.
//
// A Flush after nothing but Parse, Describe and Close is answered at once: a
// Sync in its place changes nothing that the caller can see, so one is added
// and its ReadyForQuery dropped. A Flush after Bind or Execute is refused,
// because a Sync there would end the implicit transaction too early; a Flush
// directly before a Sync is dropped.
//
// # State of a connection
//
// Connections to targets are shared, so whatever a statement leaves behind on
// its connection would reach the next caller, or be missing for this one. By
// the leading keyword only, the front
//
//   - keeps itself: limpetspan.* settings, protocol-level prepared statements
//     (DEALLOCATE and DISCARD included), application_name;
//   - answers itself when nothing changes by it: SET of a setting to the value
//     that holds anyway, RESET, UNLISTEN, DISCARD;
//   - refuses with SQLSTATE 0A000 and outcome not_run: any other SET without
//     LOCAL, LISTEN, PREPARE and EXECUTE in SQL, LOAD, temporary tables, COPY
//     FROM STDIN, the FunctionCall message;
//   - passes on: SET LOCAL, SET TRANSACTION, SET CONSTRAINTS, cursors,
//     savepoints and all the rest.
//
// Behind another keyword such state is not seen: set_config(..., false),
// pg_advisory_lock, DECLARE ... WITH HOLD, SELECT INTO TEMP, a second statement
// in one Query. docs/CALLERS.md says what to use in their place.
//
// # Failed transactions
//
// When a request of a transaction is refused or lost by limpetspan itself, a
// caller that sends on without looking, such as a pipelining one, must not
// have the rest of the transaction run alone. The front therefore reports
// status 'E' and refuses everything with 25P02, as PostgreSQL does, until the
// caller ends the transaction; a COMMIT is then answered with ROLLBACK. That
// holds whether the transaction still lives at its target (it is rolled back
// there) or is gone.
//
// # Cost of a connection
//
// A connection has one goroutine. It holds buffers only while an exchange is
// in progress: an idle one waits for readability without a buffer (on Linux
// and without TLS; else it waits with a few bytes). A caller that hangs up
// during its request is noticed by one goroutine for all connections, which
// polls the sockets of requests older than a tick for POLLRDHUP. That steals no
// pipelined bytes, sees the end behind unread bytes and costs short requests
// two uncontended mutex operations. Like PostgreSQL's own
// client_connection_check_interval it takes a caller that closed only its
// sending half for one that is gone.
package front
