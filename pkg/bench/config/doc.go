// Package config measures how long an accepted change of the configuration
// takes to be in force on each daemon of a fleet in this process.
//
// Each change puts one of two schema versions of a kind in service in place of
// the other. The clock starts when the editor's call returns. One caller per
// daemon then asks with a real statement until its answer shows that it was
// decided under the new configuration. Once all have seen that, each asks once
// more: an answer under the old one counts as a reversal, as does a daemon
// whose revision is seen to fall.
//
// The changes run in three parts: with the store up, with some daemons cut off
// from it in turn, and a few with all daemons cut off that watch the store.
// Last, daemons start while the store is down.
package config
