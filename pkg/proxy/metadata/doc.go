// Package metadata keeps a daemon's copy of what the platform's store holds: the
// configuration, the list of daemons, and where the daemon reaches members itself also the
// list of members and the promotion locks.
//
// What to do next is core/relay's decision: a watch of the store, or a question to a daemon
// that watches it. The copy itself is core/mirror's. This package makes the calls, speaks
// with other daemons, and tells its Owner what has changed. Nothing here knows what an
// item means.
//
// Changes are told one after the other, in one goroutine, and before the proof that covers
// them counts.
package metadata
