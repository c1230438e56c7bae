// Package takeover measures a take-over at size, and checks it. A fleet in this
// process has a source and a destination group. Callers read and write records
// by key through all daemons, first without a take-over, then while all records
// move, then without one again.
//
// A caller owns its keys and numbers its writes to each, so the end is checked
// against what callers were told: the destination's table must hold the last
// acknowledged write of each key, the logs and journals of both groups each
// acknowledged write once, and no write on the side that did not own its
// bucket. Must-not-repeat keys that ran before their bucket moved are asked
// again afterwards and must not run.
package takeover
