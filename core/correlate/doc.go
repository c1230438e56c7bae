// Package correlate decides whether an answer belongs to the request that awaits it, on a connection
// whose answers name no request.
//
// It does no I/O, reads no clock and uses no randomness. A Matcher belongs to one connection, whose owner
// has at most one request outstanding whose answer carries a receipt. The owner passes each answer to the
// Matcher, and ends the connection as soon as a request is given up.
//
// # Load pattern
//
// A peer answers requests in the order in which it received them, but may give an answer again, any number
// of times: before or after the next request is sent, in a transaction, or after a request whose answer is
// not awaited for itself. An overloaded peer refuses many requests, and each new connection costs it as
// much as a request. So a connection outlives a refusal, although a repeated refusal looks like a new one.
//
// # Contract
//
// A receipt names the run of a request: an answer with a receipt that was not given before on the connection
// belongs to the request that awaits one, unless it came before the request was sent. A receipt that was given
// before, or an answer of a kind that the request cannot have, is surplus and dropped. If it cannot be a repeat
// either, the connection ends with the request or transaction in progress.
//
// An acknowledgement is accepted if it fits, as a request whose acknowledgement comes too early is executed
// before the next one all the same. Nothing else may be concluded from it.
//
// A refusal or a report proves nothing by itself. The owner then sends a Marker, a random sequence of requests
// whose acknowledgements show the transaction state. If its answers follow, no other answer to a request before
// it is still to come. The refusal or the report is then the answer to the last of them, unless that one was lost and
// a repeat came in its place: for a request that commits, the end of the peer's log excludes that. For a repeat to pass
// beside the answer, an answer to each request of an equal earlier marker would have to be repeated, in order, in
// the time that the answer takes. If they do not follow, nothing is known of the request but what a receipt
// shows, and the connection ends.
//
// A Matcher recognizes a receipt among the last RememberedReceipts of the connection.
package correlate
