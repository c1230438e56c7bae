// Package auth decides which team a caller's key belongs to, and whether that answer can be relied
// on now.
//
// It does no I/O and reads no clock. A Directory holds the teams of one configuration. Given a
// key's fingerprint, a time and a proof of the configuration's age, a Verifier returns one of three
// verdicts: the key belongs to a team, no team has it, or this daemon cannot tell.
//
// # Load pattern
//
// Each statement is checked: thousands a second, with some hundreds to some thousands of keys. A
// check is one map lookup. Guessed keys arrive as fast as an attacker sends them and cost the same.
//
// # Keys
//
// Only a key's SHA-256 digest is kept, sent and logged. A lookup compares digests, so its duration
// can reveal something about the digest of a guess, but nothing about a key. A key that two teams
// have belongs to neither: choosing one would run statements in the other's name.
//
// # Contract
//
// A statement with a key runs only if the key is in a configuration that was the newest one at most
// the bound ago (see the proof of package relay), less Margin for the time between the check and
// the write to the member's socket. So no statement with a key that was removed at time t runs if
// it is sent after t plus the bound, at any daemon: a daemon that is partitioned, slow or frozen
// has an old proof and cannot tell. The caller of Check reads the clock right before it writes to
// the member, after the last point at which the process may have been suspended.
//
// A daemon that cannot tell rejects the statement with the guarantee that it did not run. It does
// not report the key as wrong, and it keeps the sessions of its callers. No action is needed when a
// new proof arrives: the next statement is checked against it.
//
// Without a Directory (the installation has no teams) every caller is admitted, on behalf of no
// team.
package auth
