// Package pgframe splits a stream of PostgreSQL protocol messages (version 3,
// type byte and four-byte length) without decoding or copying them, and builds
// the few messages that limpetspan itself says.
package pgframe
