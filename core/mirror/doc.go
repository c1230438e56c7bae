// Package mirror holds a daemon's copy of a part of the platform's store, and the changes of the
// copy that other daemons still have to receive.
//
// It does no I/O and reads no clock. A copy is replaced by a list of all keys, and updated by the
// events of a watch or by the latest changes of another daemon's copy. Each copy is at a Position
// of the store. Data of an older position is rejected, so that a daemon that switches from one
// source to another never goes back.
//
// # Contract
//
//   - After Replace or Apply at a position, the copy holds every change up to that position. It may
//     already hold later changes; these arrive again and change nothing.
//   - Revisions are compared only within an era. In a new era only Replace is accepted.
//   - Changes returns the differences between two states of the copy, whether the copy learnt of
//     them by events or by a list. So a follower needs no list of its own after a gap in the
//     copy's source.
package mirror
