// Package core holds the types that all packages of limpetspan's decision logic share:
// identifiers, time, log positions, member status and statement directives.
//
// The packages below core are pure state machines. They do no I/O, read no clock, draw no
// randomness and start no goroutines: time and random seeds arrive as inputs, and all actions are
// returned to the caller. A recorded sequence of inputs therefore always reproduces the same
// actions.
package core
