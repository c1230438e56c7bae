// Package membership is the reducer of one daemon's view of the fleet: which
// daemons live, in which zone and region, which news (homes, leaving targets,
// configuration revisions) they spread, and which daemons are the candidates
// for the home of each database group.
//
// # Failure detection
//
// Each daemon probes one other per ProbeInterval, in a random order that
// visits everybody before anybody twice (SWIM). A missing acknowledgment is
// asked for through helpers in other zones before the target is suspected, so
// that a broken path between two zones is not taken for a dead daemon. A
// suspect still counts as alive; it refutes the suspicion by raising its
// incarnation, or is declared dead after a time that grows with the logarithm
// of the fleet.
//
// # Spreading news
//
// A change is sent to a few random daemons and rides on probes, each daemon
// repeating it a number of times that grows with the logarithm of the fleet.
// What that misses is found by comparing digests with a random daemon: only
// the entries that differ are fetched. Every message is smaller than
// MaxDatagramBytes, and the work of one call of Reduce is bounded.
//
// The configuration revision that the sender has in force stands in each
// message, so only a daemon that has a revision offers it, and the daemons
// fetch it from one another like a tree that grows at random.
//
// # Contract
//
// Reduce is called for one event at a time with the shell's monotonic time.
// Randomness comes from the seed in Start. The shell sends the messages,
// reports the change and sends a Tick at WakeAt. Nothing that an event points
// to is kept, but for strings, which are immutable.
package membership
