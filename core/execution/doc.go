// Package execution decides whether a statement may be reported to its caller as not run.
//
// It does no I/O and reads no clock. A History holds every send of one statement, to a member or to
// another daemon, with its outcome. It returns a NotRun, the proof that nothing ran, only if each
// send was refused before it ran or never left this daemon. No other code can construct a valid
// NotRun: a refusal that says "not run" takes one and checks it.
//
// # Load pattern
//
// When a member or a home is lost, the answers to the reads that it runs are lost as well. These reads
// are tried again elsewhere, where many are refused, because the members that are left have too few
// slots. Such a refusal is true of the last attempt only: the read may have run in an earlier one.
//
// # Contract
//
// A send counts as possibly run from Begin until its outcome is recorded by End. Begin is called
// right before the first byte may leave, so that a path that forgets End yields no proof. Without a
// proof, a read is reported with a code that promises nothing, and a write as in doubt.
package execution
