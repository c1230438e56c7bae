// Package auth decides which team a caller's key stands for, and whether that may be
// relied on now.
//
// It does no I/O and reads no clock. A Directory holds the teams of one configuration. A
// Verifier says of a fingerprint, at a moment and with a proof, one of three things: the key is
// a team's, no team has it, or this daemon cannot say.
//
// # Load pattern
//
// Each statement asks, thousands a second, of some hundreds to some thousands of keys: one
// look into a map. Guessed keys come as fast as an attacker sends them and cost the same.
//
// # Keys
//
// Only a key's SHA-256 is kept, sent and logged. A lookup compares digests, so what its
// time tells is about the digest of a guess and not about a key. A key that two teams
// claim is nobody's: to choose one would run a statement in the other's name.
//
// # Contract
//
// A statement of a key runs only if the key is in a configuration that was the newest at
// most the bound ago (package relay's proof), less Margin for what lies between the check
// and the member's socket. So a key that was taken away at time t runs nothing that was
// sent after t plus the bound, at any daemon: one that is cut off, slow or frozen has an
// old proof and answers that it cannot say. The caller of Check reads the clock after the
// last place where the process could have stood still, right before it writes to the
// member.
//
// A daemon that cannot say refuses with a promise that nothing ran; it does not call the
// key wrong, and keeps its callers' sessions. Nothing has to be done when a proof comes:
// the next statement finds it.
//
// Without a Directory (the installation names no teams) every caller is let in, in the
// name of no team.
package auth
