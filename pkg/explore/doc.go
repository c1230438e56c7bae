// Package explore drives several group reducers against a small model of
// members and callers through many seeded interleavings of messages, losses,
// pauses, crashes and partitions, and checks the promises after each step.
//
// It checks decisions: the model has no sockets, no SQL and no rows. A write
// is the append of a unique number to a member's log, a read returns the log
// it saw. Every run is a function of its seed, so a violation is reproduced
// by running the seed again.
package explore
