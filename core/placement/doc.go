// Package placement estimates what a read would cost on each member of a database group, from what
// all homes of the group have running there, and chooses among the members.
//
// It does no I/O, reads no clock and draws no randomness.
//
// # Load pattern
//
// Several homes place statements on the same few members. A home that knows only its own statements
// sees a sixth to an eighth of a member's load, finds a free slot on a member whose slots are all in
// use, and treats chance differences of the last few service times as differences of the members:
// with long reads of variable length, more than half of the statements then ran in another zone.
//
// # Shared load
//
// Each home keeps a time-weighted mean of the statements that it has running on each member (Mean)
// and sends it with its reports. The reports are up to a second old, so the number that was running
// at one moment would say nothing about now; the mean does. The statements of the other homes on a
// member then are a random number around the sum of their means (Others), to which a home adds the
// exact number of its own. Expect derives the expected wait for a slot from both.
//
// # Herding
//
// Between two reports, all homes see the same idle member. Each one that moves its reads there
// assumes that the others move theirs as well: Others adds, for each other home, the change of this
// home's own mean since that home's report. Without this, the homes together send the member several
// times what it can run before the next reports show it.
//
// # Service times
//
// The service time is learned by member and kind (Times). A member's time counts as different from
// the group's only as far as the difference exceeds its statistical error, and approaches the
// group's again while nothing runs there, so that a member that was slow is tried again.
package placement
