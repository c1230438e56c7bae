// Package entry takes callers' requests from the front to the home of their
// database group: it routes them under one configuration document, finds the
// home, serves them here or at another daemon, and repeats what is proved not
// to have run, within the request's deadline.
//
// # What is repeated
//
// A request that did not run for want of a home is tried again: at the home
// that the answer hints at, then at the group's candidates in order, then after
// a pause. News of a home ends the pause. Of requests that may have run only
// declared reads are repeated, under a budget that keeps repetition from
// multiplying an outage, and only while the caller has seen nothing of the
// answer.
//
// # Transactions
//
// A transaction stays at the home and in the group where it began. Its
// statements are never repeated and never go elsewhere; a statement that
// belongs to another group is refused.
package entry
