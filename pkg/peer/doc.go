// Package peer carries exchanges and unary calls between daemons: yamux over
// TCP, with mutual TLS when configured, and protobuf headers.
//
// A yamux stream begins with one byte, its kind. An exchange stream carries
// exchanges one after the other and is pooled by the client; a call stream
// carries one call and its reply, and is pooled alike. All frames are: length
// (4 bytes, big endian, of what follows), type (1 byte), payload.
//
//	client → server   header, messages..., run    the request
//	server → client   number, data..., end        its answer
//	client → server   call
//	server → client   reply
//
// Client and server give each request on a stream the same number, counted from 1. The client takes an
// answer only under the number of its request; any other one ends the stream, and the request has no
// answer. A server of an earlier version sends no numbers.
//
// The server starts an exchange only when the run frame has arrived completely.
// Hence the client may report "not run" exactly when it knows that a part of
// the request was never handed to the connection, and must report "unknown"
// for every failure after that.
package peer
