// Package takeover carries out take-overs. It has two halves.
//
// Worker runs in a daemon that holds the take-over's lease. It does what
// limpetspan/core/takeover decides: it reads and writes records through
// Databases, asks the homes of the source for holds through Homes, and changes
// the configuration. Of what it does, only the lease, its claim and each flip
// go through the platform's store.
//
// Gate runs at the home of each group. Every statement of a kind passes it, so
// that it knows which are in flight and can hold a bucket. See package
// limpetspan/core/takeover for why that is enough.
//
// docs/TAKEOVER.md is the page for operators.
package takeover
