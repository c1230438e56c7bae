// Package core holds the types that every decision of limpetspan shares:
// identifiers, time, log positions, member status and statement directives.
//
// The packages below core are pure state machines. They do no I/O, read no
// clock, draw no randomness and start no goroutine: time and random seeds
// arrive in events, and everything to be done leaves as effects. A recorded
// trace of events therefore always reproduces the same effects.
package core
