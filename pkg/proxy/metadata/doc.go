// Package metadata keeps a daemon's copy of the platform's store: the configuration and the list
// of daemons. If the daemon connects to members itself, the copy also holds the members of groups
// and the promotion locks.
//
// Package core/relay decides on the next step, which is a call to the store or a question to a
// relay, which is another daemon. Package core/mirror holds the copied items. This package does
// the I/O: it calls the store, exchanges questions and answers with other daemons, and notifies
// its Owner of changes. It does not interpret items.
//
// Changes are reported one at a time, from one goroutine. A change is reported before the proof
// that covers it takes effect.
package metadata
