// Package resetconn opens TCP connections that are reset when they end.
//
// The kernel goes on delivering what was written to a connection after it was closed in the usual
// way, for as long as a partition lasts. A request whose sender has given it up, or has been killed,
// then takes effect many seconds later. A reset discards the data that the peer has not received.
// The option is set when the connection is opened, so it also covers a process that is killed.
//
// PeekUnread finds answers that came unasked, before a connection is used for the next request.
package resetconn
