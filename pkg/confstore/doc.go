// Package confstore keeps the declared configuration in the platform's store
// and spreads it. An Editor makes changes, for operators and for take-overs; a
// Follower keeps a daemon's document in force.
//
// # Layout
//
// Under PREFIX/config/ stand head (revision and change id), groups/ID,
// kinds/NAME, takeovers/NAME, and changes/SLOT, a ring of the last
// HistoryLength changes with what undoes them. A change is one
// compare-and-swap of all its keys, and every one of them swaps head, so head
// is the guard of the full document: whoever saw head unchanged before and
// after reading saw one revision.
//
// # Spreading
//
// A waiting watch counts as a call and the store's rates grow more slowly than
// the fleet, so only a few daemons watch (Options.ShouldWatch). The others
// hear from their peers that a revision exists, pull the changes from them,
// and read head seldom, in case no peer told them.
package confstore
