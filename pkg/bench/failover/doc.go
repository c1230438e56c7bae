// Package failover measures the failover gap. Callers write durable rows
// through all daemons of a fleet in this process. Each run injects a fault into
// the primary or its home, takes the time until a write made after the fault is
// acknowledged, ends the fault, waits until the group is whole and goes on.
//
// Replicas lag by 5 to 10 ms, so that a crash takes the latest writes with it.
// Half of the callers give each write a must-not-repeat key and send it again
// until its outcome is known; the others never repeat what may have run. At the
// end the acknowledgments are compared with the journal of the target stand-in,
// which has every commit of every primary with its term and time.
package failover
