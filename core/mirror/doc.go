// Package mirror is a daemon's copy of a part of the platform's store, and what it needs
// to pass changes of it on to other daemons.
//
// It does no I/O and reads no clock. A copy is replaced by a list of all keys, and brought
// forward by the events of a watch or by what another daemon's copy has seen since. Each
// copy stands at a Position of the store. One that is older than the present one is
// refused, so that a daemon that changes from one source to another never goes back.
//
// # Contract
//
//   - After Replace or Apply at a position, the copy holds every change up to it; it may
//     already hold later ones, which come again and change nothing.
//   - Revisions are compared within an era alone. In a new era only Replace is accepted.
//   - Changes returns what differs between two states of the copy, whether that was learnt
//     by events or by a list, so a follower needs no list of its own after a gap of the
//     copy's source.
package mirror
