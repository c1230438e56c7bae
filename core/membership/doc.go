// Package membership implements one daemon's view of the fleet as a pure state
// machine: the live daemons with their zones and regions, the state that they
// disseminate (homes of groups, leaving targets, configuration revisions), and
// the candidates for the home of each database group.
//
// # Failure detection
//
// Each daemon probes one other daemon per ProbeInterval, in a shuffled
// round-robin order (SWIM). If the acknowledgment is missing, helpers in other
// zones probe the target before it is suspected, so that a broken path between
// two zones is not mistaken for a dead daemon. A suspect still counts as alive.
// It refutes the suspicion by raising its incarnation; otherwise it is declared
// dead after a timeout that grows with the logarithm of the fleet size.
//
// # Dissemination
//
// An update is gossiped to a few random daemons and piggybacked on probes. Each
// daemon retransmits it a number of times that grows with the logarithm of the
// fleet size. Updates missed this way are found by comparing digests with a
// random daemon (anti-entropy), which transfers only the entries that differ.
// Every message is smaller than MaxDatagramBytes, and the work of one call of
// Reduce is bounded.
//
// Each message carries the configuration revision that its sender has in force.
// A daemon is therefore offered a revision only by daemons that already have it,
// and fetches it from one of them; the fetches form a random tree.
//
// # Contract
//
// Reduce handles one event at a time, at the shell's monotonic time. Random
// numbers are derived from the seed in Start. The shell sends the messages,
// publishes the change and sends a Tick at WakeAt. Reduce keeps no reference to
// the memory of an event except for strings, which are immutable.
package membership
